"""Exit codes shared by all sub-commands."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """The result of a sub-command."""

    HOLDS = 0
    DOES_NOT_HOLD = 1
    UNUSABLE_INPUT = 2


def exit_code_for(holds: bool) -> ExitCode:
    """Return the exit code for a verdict that holds or does not."""
    return ExitCode.HOLDS if holds else ExitCode.DOES_NOT_HOLD
