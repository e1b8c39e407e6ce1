"""The account against reality: how far the resident size has grown beyond what the account explains."""

from __future__ import annotations

from dataclasses import dataclass

MB = 1 << 20
# The unaccounted part is told when it passes this part of the grant, and again each time it has grown so
# much more: allocators waste some, and a leak passes any such line.
WARN_STEP_RATIO = 0.05
# An allocator that keeps what was freed is asked to return it when the unaccounted part passes this part of
# the room between the start size and the grant, not more often than so.
TRIM_RATIO = 0.10
TRIM_INTERVAL_US = 30_000_000


@dataclass(frozen=True, slots=True)
class ResidentSample:
    """One look, in bytes: resident size, its growth since the start, what of that no purpose explains."""

    at_us: int
    resident_bytes: int
    growth_bytes: int
    unaccounted_bytes: int


@dataclass(frozen=True, slots=True)
class SampleAdvice:
    """What a look calls for."""

    should_warn: bool  # the unaccounted part has grown past another line
    should_trim: bool  # have the allocator return what it keeps


class ResidentMemoryMonitor:
    """Compares samples with the account."""

    def __init__(self, grant: int) -> None:
        self._grant = grant
        self._start = 0
        self._accounted_at_start = 0
        self._told_at = WARN_STEP_RATIO * grant  # the next line
        self._trimmed_at: int | None = None
        self.last_sample = ResidentSample(0, 0, 0, 0)
        self.peak_bytes = 0
        self.trim_count = 0

    @property
    def start_bytes(self) -> int:
        """The resident size when the proxy began to serve, in bytes."""
        return self._start

    def start(self, resident: int, accounted: int) -> None:
        """Take the start size, and what the account had by then: that is part of it."""
        self._start, self._accounted_at_start = resident, accounted
        self.last_sample = ResidentSample(0, resident, 0, 0)

    def sample(self, now: int, resident: int, accounted: int) -> SampleAdvice:
        """Take a sample: the resident size and what the account says of it."""
        growth = resident - self._start
        unaccounted = growth - (accounted - self._accounted_at_start)
        self.last_sample = ResidentSample(now, resident, growth, unaccounted)
        self.peak_bytes = max(self.peak_bytes, resident)
        tell = unaccounted > self._told_at
        if tell:
            self._told_at = unaccounted + WARN_STEP_RATIO * self._grant
        rested = self._trimmed_at is None or now >= self._trimmed_at + TRIM_INTERVAL_US
        trim = rested and unaccounted > TRIM_RATIO * max(self._grant - self._start, MB)
        if trim:
            self._trimmed_at = now
            self.trim_count += 1
        return SampleAdvice(tell, trim)
