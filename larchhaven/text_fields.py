"""Typed reads of text fields, and the errors for a text that is not in the expected form."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TypeVar

from larchhaven.errors import LarchhavenError

ValueT = TypeVar("ValueT")


class FormatError(LarchhavenError):
    """A text is not in the expected form.

    Attributes:
        expectation: What was expected, and what was found in its place.
    """

    def __init__(self, expectation: str) -> None:
        super().__init__(f"expected {expectation}")
        self.expectation = expectation


class InvalidFieldError(FormatError):
    """A field does not have a value that it may have.

    Attributes:
        field: Its name.
        requirement: What it may be.
        value: What it is.
    """

    def __init__(self, field: str, requirement: str, value: object) -> None:
        super().__init__(f"{field} to be {requirement}, not {value!r}")
        self.field = field
        self.requirement = requirement
        self.value = value


def read_word(table: Mapping[str, ValueT], text: str, field: str) -> ValueT:
    """Return what a word stands for.

    Raises:
        InvalidFieldError: It is not in the table.
    """
    try:
        return table[text]
    except KeyError:
        raise InvalidFieldError(field, f"one of {', '.join(table)}", text) from None


def read_int(text: str, field: str) -> int:
    """Return a whole number.

    Raises:
        InvalidFieldError: It is none.
    """
    try:
        return int(text)
    except ValueError:
        raise InvalidFieldError(field, "a whole number", text) from None


def read_number(text: str, field: str) -> float:
    """Return a finite number.

    Raises:
        InvalidFieldError: It is none.
    """
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise InvalidFieldError(field, "a number", text)
    return value
