"""Errors of the simulation."""

from __future__ import annotations

from larchhaven.errors import LarchhavenError


class ModelError(LarchhavenError):
    """Base class of the errors of the simulation."""


class ProcessNumbersError(ModelError):
    """A list of process numbers is malformed or names a process that does not exist.

    Attributes:
        numbers: The item of the list that is invalid.
        reason: Explains the error to the author of the experiment.
    """

    def __init__(self, numbers: str, reason: str) -> None:
        super().__init__(reason)
        self.numbers = numbers
        self.reason = reason


class InvariantViolationError(ModelError):
    """A step of the search violated an invariant of the protocol.

    Attributes:
        member: The number of the member that violated it.
        violation: The invariant and how it was violated.
    """

    def __init__(self, member: int, violation: str) -> None:
        super().__init__(violation)
        self.member = member
        self.violation = violation
