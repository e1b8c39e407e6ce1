"""Errors of the simulation."""

from __future__ import annotations

from larchhaven.errors import LarchhavenError


class ModelError(LarchhavenError):
    """Base class of the errors of the simulation."""


class ProcessNumbersError(ModelError):
    """A list of process numbers that is malformed or names a process that does not exist.

    Attributes:
        numbers: The part of the list that is at fault.
        reason: What is wrong, in words for the author of the experiment.
    """

    def __init__(self, numbers: str, reason: str) -> None:
        super().__init__(reason)
        self.numbers = numbers
        self.reason = reason


class InvariantViolationError(ModelError):
    """A step of the search broke an invariant of the protocol.

    Attributes:
        member: The number of the member that broke it.
        violation: Which invariant is broken and how.
    """

    def __init__(self, member: int, violation: str) -> None:
        super().__init__(violation)
        self.member = member
        self.violation = violation
