"""A tokenizer of protobuf text format that exposes the positions of tokens."""

from __future__ import annotations

from typing import Any

from google.protobuf import text_format

from larchhaven.operator.settings import TextPosition

GROUP_ENDS = {"{": "}", "<": ">"}
_OPENING = frozenset({"{", "<", "["})
_CLOSING = frozenset({"}", ">", "]"})


class TokenReader:
    """Reads the tokens of a text one by one, using the tokenizer of the protobuf library.

    The methods raise ``google.protobuf.text_format.ParseError`` if the next token is malformed or
    not of the requested type.
    """

    def __init__(self, text: str) -> None:
        self._tokenizer: Any = text_format.Tokenizer(text.splitlines())

    @property
    def current(self) -> str:
        """The current token; empty at the end of the text."""
        return str(self._tokenizer.token)

    @property
    def position(self) -> TextPosition:
        """The position at which the current token begins."""
        # The public API of the tokenizer exposes the position only in errors.
        return TextPosition(self._tokenizer._line + 1, self._tokenizer._column + 1)

    @property
    def is_at_end(self) -> bool:
        """Whether all tokens have been read."""
        return bool(self._tokenizer.AtEnd())

    def advance(self) -> None:
        """Advance to the next token."""
        self._tokenizer.NextToken()

    def try_consume(self, token: str) -> bool:
        """Consume the current token if it equals the given one; return whether it did."""
        return bool(self._tokenizer.TryConsume(token))

    def consume_identifier(self) -> str:
        """Consume the name of a field or of an enum value."""
        return str(self._tokenizer.ConsumeIdentifier())

    def consume_bool(self) -> bool:
        """Consume a Boolean."""
        return bool(self._tokenizer.ConsumeBool())

    def consume_string(self) -> str:
        """Consume a quoted string."""
        return str(self._tokenizer.ConsumeString())

    def consume_number(self) -> float:
        """Consume a number, which may have a minus sign."""
        sign = -1 if self.try_consume("-") else 1
        return sign * float(self._tokenizer.ConsumeFloat())

    def make_error(self, text: str) -> Exception:
        """Create a parse error at the position of the current token."""
        error: Exception = self._tokenizer.ParseError(text)
        return error

    def skip_value(self) -> None:
        """Skip a scalar, or a message or list with its contents."""
        if self.current in _OPENING:
            self._skip_group()
        elif not self.is_at_end and self.current not in _CLOSING:
            self.try_consume("-")
            self.advance()

    def _skip_group(self) -> None:
        depth = 0
        while not self.is_at_end:
            if self.current in _OPENING:
                depth += 1
            elif self.current in _CLOSING:
                depth -= 1
            self.advance()
            if not depth:
                return
