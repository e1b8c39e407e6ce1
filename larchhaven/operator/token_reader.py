"""The tokens of a text in protobuf text format, with their positions."""

from __future__ import annotations

from typing import Any

from google.protobuf import text_format

from larchhaven.operator.settings import TextPosition

GROUP_ENDS = {"{": "}", "<": ">"}
_OPENING = frozenset({"{", "<", "["})
_CLOSING = frozenset({"}", ">", "]"})


class TokenReader:
    """Reads one token after another; the protobuf library splits the text.

    The methods raise ``google.protobuf.text_format.ParseError`` for a token that cannot be one.
    """

    def __init__(self, text: str) -> None:
        self._tokenizer: Any = text_format.Tokenizer(text.splitlines())

    @property
    def current(self) -> str:
        """The present token; empty at the end."""
        return str(self._tokenizer.token)

    @property
    def position(self) -> TextPosition:
        """Where the present token begins."""
        # The tokenizer reports its position only inside of errors.
        return TextPosition(self._tokenizer._line + 1, self._tokenizer._column + 1)

    @property
    def is_at_end(self) -> bool:
        """Whether there are no more tokens."""
        return bool(self._tokenizer.AtEnd())

    def advance(self) -> None:
        """Go on to the next token."""
        self._tokenizer.NextToken()

    def try_consume(self, token: str) -> bool:
        """Go on if the present token is this one, and return whether it was."""
        return bool(self._tokenizer.TryConsume(token))

    def consume_identifier(self) -> str:
        """Consume the name of a field or of an enum's value."""
        return str(self._tokenizer.ConsumeIdentifier())

    def consume_bool(self) -> bool:
        """Consume a truth value."""
        return bool(self._tokenizer.ConsumeBool())

    def consume_string(self) -> str:
        """Consume a text in quotes."""
        return str(self._tokenizer.ConsumeString())

    def consume_number(self) -> float:
        """Consume a number with its sign."""
        sign = -1 if self.try_consume("-") else 1
        return sign * float(self._tokenizer.ConsumeFloat())

    def make_error(self, text: str) -> Exception:
        """Return an error about the present token."""
        error: Exception = self._tokenizer.ParseError(text)
        return error

    def skip_value(self) -> None:
        """Skip a value of any kind, with all that is in it."""
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
