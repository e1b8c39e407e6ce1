"""Reads protobuf text format and complains about all that is wrong at once, each with its line and column.

The library's own parser stops at the first mistake, and its messages keep no positions, so that a value out
of range could not be found again. Here its tokenizer walks the text along the schema; what the walk finds
right is then parsed by the library itself, which has the last word.
"""

from __future__ import annotations

import difflib
import math
from dataclasses import dataclass, field
from typing import Any, TypeVar, cast

from google.protobuf import text_format
from google.protobuf.descriptor import Descriptor, EnumDescriptor, FieldDescriptor
from google.protobuf.message import Message

from larchhaven.operator import options_pb2
from larchhaven.operator.settings import Complaint

M = TypeVar("M", bound=Message)

# A file for people is far shorter; a longer one is refused unread.
TEXT_MOST = 1 << 20
COMPLAINTS_MOST = 50
DEPTH_MOST = 20
_OPEN = {"{": "}", "<": ">"}
_NUMBERS = {
    FieldDescriptor.CPPTYPE_INT32: (True, -(1 << 31), (1 << 31) - 1),
    FieldDescriptor.CPPTYPE_INT64: (True, -(1 << 63), (1 << 63) - 1),
    FieldDescriptor.CPPTYPE_UINT32: (True, 0, (1 << 32) - 1),
    FieldDescriptor.CPPTYPE_UINT64: (True, 0, (1 << 64) - 1),
    FieldDescriptor.CPPTYPE_DOUBLE: (False, 0, 0),
    FieldDescriptor.CPPTYPE_FLOAT: (False, 0, 0),
}


@dataclass
class Found:
    """What the walk has found: complaints, and where each field stands, by paths such as ``memory.log``."""

    complaints: list[Complaint] = field(default_factory=list)
    places: dict[str, tuple[int, int]] = field(default_factory=dict)


class _TooManyError(Exception):
    """Enough complaints for one file."""


class _Walk:
    """One pass over a text along a schema."""

    def __init__(self, text: str) -> None:
        self.found = Found()
        self._tokens: Any = text_format.Tokenizer(text.splitlines())

    def run(self, schema: Descriptor) -> Found:
        """Walk the whole text."""
        try:
            self._message(schema, "", None, 0)
        except text_format.ParseError as error:
            # A token that cannot be one, or an end in the midst: the rest cannot be made out.
            line, column = error.GetLine() or 0, error.GetColumn() or 0
            text = str(error).rpartition(" : ")[2]
            self._add((line, column), text)
        except _TooManyError:
            pass
        return self.found

    @property
    def _token(self) -> str:
        return str(self._tokens.token)

    def _at(self) -> tuple[int, int]:
        return self._tokens._line + 1, self._tokens._column + 1

    def _add(self, at: tuple[int, int], text: str) -> None:
        self.found.complaints.append(Complaint(*at, text))
        if len(self.found.complaints) >= COMPLAINTS_MOST:
            raise _TooManyError

    def _message(self, schema: Descriptor, path: str, end: str | None, depth: int) -> None:
        seen: dict[str, tuple[int, int]] = {}
        while self._token != end:
            if self._tokens.AtEnd():
                if end is not None:
                    self._add(self._at(), f"the text ends before {path} is closed: write {end!r}")
                return
            at = self._at()
            name = self._tokens.ConsumeIdentifier()
            known = schema.fields_by_name.get(name)
            if known is None:
                near = difflib.get_close_matches(name, list(schema.fields_by_name), 1)
                hint = (
                    f"write {near[0]!r}"
                    if near
                    else f"known are {', '.join(schema.fields_by_name)}"
                )
                self._add(at, f"{_where(path)}has no field {name!r}: {hint}")
                self._skip()
                continue
            full = f"{path}.{name}" if path else name
            if name in seen and not known.is_repeated:
                first = f"{seen[name][0]}:{seen[name][1]}"
                self._add(
                    at, f"{full!r} is given again: keep one of the two, the first is at {first}"
                )
            seen.setdefault(name, at)
            self.found.places.setdefault(full, at)
            self._value(known, full, depth)
            if not self._tokens.TryConsume(","):
                self._tokens.TryConsume(";")

    def _value(self, known: FieldDescriptor, path: str, depth: int) -> None:
        colon = self._tokens.TryConsume(":")
        if known.is_repeated and self._tokens.TryConsume("["):
            while not self._tokens.TryConsume("]"):
                self._one(known, path, depth, True)
                if not self._tokens.TryConsume(",") and self._token != "]":
                    self._add(
                        self._at(), f"{path!r}: write ',' between the items, or ']' after the last"
                    )
                    self._tokens.TryConsume(self._token)
                if self._tokens.AtEnd():
                    return
        else:
            self._one(known, path, depth, bool(colon))

    def _one(self, known: FieldDescriptor, path: str, depth: int, colon: bool) -> None:
        at = self._at()
        if known.message_type is not None:
            if self._token not in _OPEN:
                self._add(at, f"{path!r} is a group: write '{path.rpartition('.')[2]} {{ ... }}'")
                self._skip_one()
            elif depth >= DEPTH_MOST:
                raise self._tokens.ParseError("groups are nested too deeply")
            else:
                end = _OPEN[self._token]
                self._tokens.NextToken()
                self._message(known.message_type, path, end, depth + 1)
                self._tokens.TryConsume(end)
            return
        if not colon:
            self._add(at, f"{path!r} is a value: write '{path.rpartition('.')[2]}: ...'")
        if self._token in _OPEN or self._token == "[":
            self._add(at, f"{path!r} is {_kind(known)}, not a group or a list")
            self._skip_one()
            return
        self._scalar(known, path, at)

    def _scalar(self, known: FieldDescriptor, path: str, at: tuple[int, int]) -> None:
        token = self._token
        try:
            match known.cpp_type:
                case FieldDescriptor.CPPTYPE_BOOL:
                    self._tokens.ConsumeBool()
                case FieldDescriptor.CPPTYPE_ENUM:
                    assert known.enum_type is not None
                    self._enum(known.enum_type, path, at)
                case FieldDescriptor.CPPTYPE_STRING:
                    self._range(known, path, at, len(self._tokens.ConsumeString()), " characters")
                case kind:
                    self._number(known, path, at, *_NUMBERS[kind])
        except text_format.ParseError:
            if self._at() == at and not self._tokens.AtEnd():
                self._tokens.NextToken()
            self._add(at, f"{path!r} is {_kind(known)}, not {token!r}")

    def _number(
        self,
        known: FieldDescriptor,
        path: str,
        at: tuple[int, int],
        whole: bool,
        least: int,
        most: int,
    ) -> None:
        sign = -1 if self._tokens.TryConsume("-") else 1
        value = sign * self._tokens.ConsumeFloat()
        if whole and not (value == value // 1 and least <= value <= most):
            self._add(at, f"{path!r} is {_kind(known)}, not {value:g}")
        elif not math.isfinite(value):
            self._add(at, f"{path!r} is a finite number")
        else:
            self._range(known, path, at, value, "")

    def _enum(self, names: EnumDescriptor, path: str, at: tuple[int, int]) -> None:
        name = self._tokens.ConsumeIdentifier()
        if name not in names.values_by_name:
            near = difflib.get_close_matches(name.upper(), list(names.values_by_name), 1)
            hint = f"write {near[0]}" if near else f"known are {', '.join(names.values_by_name)}"
            self._add(at, f"{path!r} has no value {name!r}: {hint}")

    def _range(
        self, known: FieldDescriptor, path: str, at: tuple[int, int], value: float, unit: str
    ) -> None:
        options = known.GetOptions()
        if not options.HasExtension(options_pb2.range):
            return
        bounds = options.Extensions[options_pb2.range]
        if not bounds.least <= value <= bounds.most:
            unit = unit or f" {bounds.unit}".rstrip()
            self._add(
                at, f"{path!r} is {value:g}{unit}: write {bounds.least:g} to {bounds.most:g}{unit}"
            )

    def _skip(self) -> None:
        """Pass over the value of a field that is not known."""
        self._tokens.TryConsume(":")
        self._skip_one()

    def _skip_one(self) -> None:
        if self._token not in ("{", "<", "["):
            if not self._tokens.AtEnd() and self._token not in ("}", ">", "]"):
                if self._tokens.TryConsume("-"):
                    pass
                self._tokens.NextToken()
            return
        depth = 0
        while not self._tokens.AtEnd():
            depth += (self._token in ("{", "<", "[")) - (self._token in ("}", ">", "]"))
            self._tokens.NextToken()
            if not depth:
                return


def _where(path: str) -> str:
    return f"{path!r} " if path else "the file "


def _kind(known: FieldDescriptor) -> str:
    match known.cpp_type:
        case FieldDescriptor.CPPTYPE_BOOL:
            return "true or false"
        case FieldDescriptor.CPPTYPE_STRING:
            return 'a text in quotes ("...")'
        case FieldDescriptor.CPPTYPE_ENUM if known.enum_type is not None:
            return f"one of {', '.join(known.enum_type.values_by_name)}"
        case FieldDescriptor.CPPTYPE_DOUBLE | FieldDescriptor.CPPTYPE_FLOAT:
            return "a number"
        case FieldDescriptor.CPPTYPE_UINT32 | FieldDescriptor.CPPTYPE_UINT64:
            return "a whole number from 0 on"
    return "a whole number"


def parse(text: str, made: type[M]) -> tuple[M, Found]:
    """Read a text into a message; the message counts only if there are no complaints."""
    message = made()
    if len(text) > TEXT_MOST:
        return message, Found([Complaint(0, 0, f"the file is longer than {TEXT_MOST >> 10} KiB")])
    found = _Walk(text).run(cast("Descriptor", message.DESCRIPTOR))
    if not found.complaints:
        try:
            text_format.Parse(text, message)
        except (text_format.ParseError, UnicodeError, ValueError) as error:
            line = getattr(error, "GetLine", lambda: 0)() or 0
            column = getattr(error, "GetColumn", lambda: 0)() or 0
            found.complaints.append(Complaint(line, column, str(error).rpartition(" : ")[2]))
    return message, found
