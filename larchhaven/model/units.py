"""Unit conversions of the simulation, whose times and durations are whole microseconds."""

from __future__ import annotations

US_PER_SECOND = 1_000_000
US_PER_MS = 1_000
SECONDS_PER_HOUR = 3600.0
PERCENT_PER_WHOLE = 100


def to_us(seconds: float) -> int:
    """Convert a duration in seconds to whole microseconds, rounding towards zero.

    Args:
        seconds: The duration in seconds.
    """
    return int(seconds * US_PER_SECOND)
