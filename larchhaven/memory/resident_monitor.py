"""The account against the resident size: how much of its growth no purpose explains."""

from __future__ import annotations

from dataclasses import dataclass

# The unaccounted part is reported when it exceeds this part of the grant, and again each time it
# has grown by as much: allocators waste some, and a leak exceeds any such threshold.
WARNING_STEP_RATIO = 0.05
# The allocator is asked to return freed memory when the unaccounted part exceeds this part of what
# the grant leaves beside the program, at most once in the interval.
TRIM_THRESHOLD_RATIO = 0.10
TRIM_INTERVAL_US = 30_000_000
# Assumed to be left beside the program where the grant leaves less.
MIN_HEADROOM_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class ResidentSample:
    """One sample of the process's resident size.

    Attributes:
        at_us: When it was taken.
        resident_bytes: The resident size.
        growth_bytes: Its growth since the start.
        unaccounted_bytes: The part of the growth that no purpose explains.
    """

    at_us: int
    resident_bytes: int
    growth_bytes: int
    unaccounted_bytes: int


@dataclass(frozen=True, slots=True)
class SampleAdvice:
    """What a sample calls for.

    Attributes:
        should_warn: The unaccounted part has exceeded a further threshold.
        should_trim: The allocator should return freed memory to the system.
    """

    should_warn: bool
    should_trim: bool


class ResidentMemoryMonitor:
    """Compares samples of the resident size with the account.

    Attributes:
        last_sample: The latest sample.
        peak_bytes: The largest resident size sampled.
        trim_count: How often a trim was advised.
    """

    def __init__(self, grant_bytes: int) -> None:
        self._grant_bytes = grant_bytes
        self._start_bytes = 0
        self._accounted_at_start_bytes = 0
        self._warning_threshold_bytes = WARNING_STEP_RATIO * grant_bytes
        self._trimmed_at_us: int | None = None
        self.last_sample = ResidentSample(
            at_us=0, resident_bytes=0, growth_bytes=0, unaccounted_bytes=0
        )
        self.peak_bytes = 0
        self.trim_count = 0

    @property
    def start_bytes(self) -> int:
        """The resident size when the proxy began to serve."""
        return self._start_bytes

    def start(self, resident_bytes: int, accounted_bytes: int) -> None:
        """Record the resident size at the start, and the part of it that the account explains."""
        self._start_bytes = resident_bytes
        self._accounted_at_start_bytes = accounted_bytes
        self.last_sample = ResidentSample(
            at_us=0, resident_bytes=resident_bytes, growth_bytes=0, unaccounted_bytes=0
        )

    def sample(self, now_us: int, resident_bytes: int, accounted_bytes: int) -> SampleAdvice:
        """Take a sample.

        Args:
            now_us: The time of the sample.
            resident_bytes: The resident size of the process.
            accounted_bytes: The part of it that the account explains.

        Returns:
            What the sample calls for.
        """
        growth_bytes = resident_bytes - self._start_bytes
        unaccounted_bytes = growth_bytes - (accounted_bytes - self._accounted_at_start_bytes)
        self.last_sample = ResidentSample(now_us, resident_bytes, growth_bytes, unaccounted_bytes)
        self.peak_bytes = max(self.peak_bytes, resident_bytes)
        return SampleAdvice(
            should_warn=self._advance_warning_threshold(unaccounted_bytes),
            should_trim=self._begin_trim(now_us, unaccounted_bytes),
        )

    def _advance_warning_threshold(self, unaccounted_bytes: int) -> bool:
        """Return whether the threshold was exceeded; if so, set the next one."""
        if unaccounted_bytes <= self._warning_threshold_bytes:
            return False
        self._warning_threshold_bytes = unaccounted_bytes + WARNING_STEP_RATIO * self._grant_bytes
        return True

    def _begin_trim(self, now_us: int, unaccounted_bytes: int) -> bool:
        """Return whether a trim is due; if so, count it."""
        headroom_bytes = max(self._grant_bytes - self._start_bytes, MIN_HEADROOM_BYTES)
        if unaccounted_bytes <= TRIM_THRESHOLD_RATIO * headroom_bytes:
            return False
        if self._trimmed_at_us is not None and now_us < self._trimmed_at_us + TRIM_INTERVAL_US:
            return False
        self._trimmed_at_us = now_us
        self.trim_count += 1
        return True
