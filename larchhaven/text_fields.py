"""Typed parsing of text fields, and the errors for malformed text."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TypeVar

from larchhaven.errors import LarchhavenError

ValueT = TypeVar("ValueT")


class FormatError(LarchhavenError):
    """A text does not have the expected format.

    Attributes:
        expectation: The expected and the actual text; completes a sentence after "expected".
    """

    def __init__(self, expectation: str) -> None:
        super().__init__(f"expected {expectation}")
        self.expectation = expectation


class InvalidFieldError(FormatError):
    """A field has an invalid value.

    Attributes:
        field: The name of the field.
        requirement: The valid values, in words.
        value: The invalid value.
    """

    def __init__(self, field: str, requirement: str, value: object) -> None:
        super().__init__(f"{field} to be {requirement}, not {value!r}")
        self.field = field
        self.requirement = requirement
        self.value = value


def read_word(table: Mapping[str, ValueT], text: str, field: str) -> ValueT:
    """Parse a keyword.

    Args:
        table: The values, by keyword.
        text: The text to parse.
        field: The name of the field, for the error.

    Raises:
        InvalidFieldError: The text is not a keyword of the table.
    """
    try:
        return table[text]
    except KeyError:
        raise InvalidFieldError(field, f"one of {', '.join(table)}", text) from None


def read_int(text: str, field: str) -> int:
    """Parse an integer.

    Args:
        text: The text to parse.
        field: The name of the field, for the error.

    Raises:
        InvalidFieldError: The text is not an integer.
    """
    try:
        return int(text)
    except ValueError:
        raise InvalidFieldError(field, "an integer", text) from None


def read_number(text: str, field: str) -> float:
    """Parse a finite number.

    Args:
        text: The text to parse.
        field: The name of the field, for the error.

    Raises:
        InvalidFieldError: The text is not a finite number.
    """
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise InvalidFieldError(field, "a finite number", text)
    return value
