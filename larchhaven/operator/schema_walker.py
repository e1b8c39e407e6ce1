"""Checks a text in protobuf text format against its schema and collects all errors.

The parser of the protobuf library stops at the first error. The messages that it returns have no
positions, so a value that is out of range could not be located in the text.
"""

from __future__ import annotations

import difflib
import math
from collections.abc import Sequence

from google.protobuf import text_format
from google.protobuf.descriptor import Descriptor, EnumDescriptor, FieldDescriptor

from larchhaven.errors import LarchhavenError
from larchhaven.operator.field_kinds import INTEGER_BOUNDS, describe_kind, find_range_fault
from larchhaven.operator.settings import Complaint, TextPosition
from larchhaven.operator.token_reader import GROUP_ENDS, TokenReader

MAX_COMPLAINTS = 50
MAX_DEPTH = 20


class TooManyComplaintsError(LarchhavenError):
    """The maximum number of complaints has been reached."""


class SchemaWalker:
    """Checks one text in a single pass.

    Attributes:
        complaints: The errors, in the order of the text; at most ``MAX_COMPLAINTS``.
        positions: The position of each field, by path such as ``memory.log``.
    """

    def __init__(self, text: str) -> None:
        self.complaints: list[Complaint] = []
        self.positions: dict[str, TextPosition] = {}
        self._tokens = TokenReader(text)

    def walk(self, schema: Descriptor) -> None:
        """Check the whole text against the schema of its message type."""
        try:
            self._walk_message(schema, "", None, 0)
        except text_format.ParseError as error:
            # The text after a malformed token or an unexpected end cannot be interpreted.
            self._complain(*describe_parse_error(error))
        except TooManyComplaintsError:
            pass

    def _complain(self, position: TextPosition, text: str) -> None:
        self.complaints.append(Complaint.at(position, text))
        if len(self.complaints) >= MAX_COMPLAINTS:
            raise TooManyComplaintsError

    def _walk_message(self, schema: Descriptor, path: str, end: str | None, depth: int) -> None:
        first_positions: dict[str, TextPosition] = {}
        while self._tokens.current != end:
            position = self._tokens.position
            if self._tokens.is_at_end:
                if end is not None:
                    text = f"the file ends before {path!r} is closed: write {end!r}"
                    self._complain(position, text)
                return
            name = self._tokens.consume_identifier()
            field = schema.fields_by_name.get(name)
            if field is None:
                self._skip_unknown_field(schema, path, name, position)
                continue
            field_path = f"{path}.{name}" if path else name
            if name in first_positions and not field.is_repeated:
                first = first_positions[name]
                place = f"the first is at {first.line}:{first.column}"
                text = f"{field_path!r} is set more than once: remove one, {place}"
                self._complain(position, text)
            first_positions.setdefault(name, position)
            self.positions.setdefault(field_path, position)
            self._walk_value(field, field_path, depth)
            if not self._tokens.try_consume(","):
                self._tokens.try_consume(";")

    def _skip_unknown_field(
        self, schema: Descriptor, path: str, name: str, position: TextPosition
    ) -> None:
        field_names = list(schema.fields_by_name)
        matches = difflib.get_close_matches(name, field_names, 1)
        hint = f"write {matches[0]!r}" if matches else f"the fields are {', '.join(field_names)}"
        subject = repr(path) if path else "the file"
        self._complain(position, f"{subject} has no field {name!r}: {hint}")
        self._tokens.try_consume(":")
        self._tokens.skip_value()

    def _walk_value(self, field: FieldDescriptor, path: str, depth: int) -> None:
        has_colon = self._tokens.try_consume(":")
        if field.is_repeated and self._tokens.try_consume("["):
            self._walk_list(field, path, depth)
        else:
            self._walk_item(field, path, depth, has_colon=has_colon)

    def _walk_list(self, field: FieldDescriptor, path: str, depth: int) -> None:
        while not self._tokens.try_consume("]"):
            self._walk_item(field, path, depth, has_colon=True)
            if not self._tokens.try_consume(",") and self._tokens.current != "]":
                text = f"{path!r} is a list: write ',' between its items or ']' after the last one"
                self._complain(self._tokens.position, text)
                self._tokens.try_consume(self._tokens.current)
            if self._tokens.is_at_end:
                return

    def _walk_item(self, field: FieldDescriptor, path: str, depth: int, *, has_colon: bool) -> None:
        if field.message_type is not None:
            self._walk_group(field.message_type, path, depth)
            return
        position = self._tokens.position
        if not has_colon:
            name = path.rpartition(".")[2]
            self._complain(position, f"{path!r} is a scalar field: write '{name}: ...'")
        if self._tokens.current in GROUP_ENDS or self._tokens.current == "[":
            text = f"{path!r} must be {describe_kind(field)}, not a message or a list"
            self._complain(position, text)
            self._tokens.skip_value()
            return
        self._check_scalar(field, path, position)

    def _walk_group(self, schema: Descriptor, path: str, depth: int) -> None:
        end = GROUP_ENDS.get(self._tokens.current)
        if end is None:
            name = path.rpartition(".")[2]
            text = f"{path!r} is a message field: write '{name} {{ ... }}'"
            self._complain(self._tokens.position, text)
            self._tokens.skip_value()
            return
        if depth >= MAX_DEPTH:
            raise self._tokens.make_error(
                f"{path!r} exceeds the maximum nesting depth of {MAX_DEPTH} messages"
            )
        self._tokens.advance()
        self._walk_message(schema, path, end, depth + 1)
        self._tokens.try_consume(end)

    def _check_scalar(self, field: FieldDescriptor, path: str, position: TextPosition) -> None:
        token = self._tokens.current
        try:
            fault = self._find_scalar_fault(field)
        except text_format.ParseError:
            if self._tokens.position == position and not self._tokens.is_at_end:
                self._tokens.advance()
            fault = f"must be {describe_kind(field)}, not {token!r}"
        if fault:
            self._complain(position, f"{path!r} {fault}")

    def _find_scalar_fault(self, field: FieldDescriptor) -> str:
        """Consume a scalar; return the complaint about it, or an empty string if it is valid."""
        match field.cpp_type:
            case FieldDescriptor.CPPTYPE_BOOL:
                self._tokens.consume_bool()
                return ""
            case FieldDescriptor.CPPTYPE_ENUM:
                assert field.enum_type is not None
                return _find_enum_fault(field.enum_type, self._tokens.consume_identifier())
            case FieldDescriptor.CPPTYPE_STRING:
                length = len(self._tokens.consume_string())
                return find_range_fault(field, length, " characters")
        return _find_number_fault(field, self._tokens.consume_number())


def _find_enum_fault(enum: EnumDescriptor, name: str) -> str:
    value_names: Sequence[str] = list(enum.values_by_name)
    if name in value_names:
        return ""
    matches = difflib.get_close_matches(name.upper(), value_names, 1)
    hint = f"write {matches[0]}" if matches else f"the values are {', '.join(value_names)}"
    return f"has no value {name!r}: {hint}"


def _find_number_fault(field: FieldDescriptor, value: float) -> str:
    bounds = INTEGER_BOUNDS.get(field.cpp_type)
    if bounds is not None and not bounds.contains(value):
        return f"must be {describe_kind(field)}, not {value:g}"
    if not math.isfinite(value):
        return f"must be a finite number, not {value:g}"
    return find_range_fault(field, value)


def describe_parse_error(error: Exception) -> tuple[TextPosition, str]:
    """Return the position and the message of an error of the protobuf library's parser."""
    line = getattr(error, "GetLine", lambda: 0)() or 0
    column = getattr(error, "GetColumn", lambda: 0)() or 0
    return TextPosition(line, column), str(error).rpartition(" : ")[2]
