"""Compares the memory account with the resident size to find growth that is not accounted for."""

from __future__ import annotations

from dataclasses import dataclass

# The unaccounted growth is reported when it exceeds this fraction of the grant, and again whenever
# it has increased by the same amount. Allocators waste some memory, but a leak exceeds every
# threshold eventually.
WARNING_STEP_RATIO = 0.05
# The allocator is asked to return freed memory when the unaccounted growth exceeds this fraction of
# the headroom (the grant minus the size of the program), at most once per interval.
TRIM_THRESHOLD_RATIO = 0.10
TRIM_INTERVAL_US = 30_000_000
# The headroom to assume if the actual one is smaller.
MIN_HEADROOM_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class ResidentSample:
    """One sample of the process's resident size.

    Attributes:
        at_us: When the sample was taken.
        resident_bytes: The resident size.
        growth_bytes: The growth of the resident size since the start.
        unaccounted_bytes: The share of the growth that no purpose accounts for.
    """

    at_us: int
    resident_bytes: int
    growth_bytes: int
    unaccounted_bytes: int


@dataclass(frozen=True, slots=True)
class SampleAdvice:
    """The actions that a sample requires.

    Attributes:
        should_warn: Whether to warn: the unaccounted growth has exceeded the next threshold.
        should_trim: Whether to ask the allocator to return freed memory to the system.
    """

    should_warn: bool
    should_trim: bool


class ResidentMemoryMonitor:
    """Compares samples of the resident size with the account.

    Attributes:
        last_sample: The latest sample.
        peak_bytes: The largest resident size sampled.
        trim_count: The number of trims advised.
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
        """The resident size in bytes when the proxy began to serve."""
        return self._start_bytes

    def start(self, resident_bytes: int, accounted_bytes: int) -> None:
        """Record the resident size and the accounted bytes at the start."""
        self._start_bytes = resident_bytes
        self._accounted_at_start_bytes = accounted_bytes
        self.last_sample = ResidentSample(
            at_us=0, resident_bytes=resident_bytes, growth_bytes=0, unaccounted_bytes=0
        )

    def sample(self, now_us: int, resident_bytes: int, accounted_bytes: int) -> SampleAdvice:
        """Record a sample of the resident size.

        Args:
            now_us: The time of the sample.
            resident_bytes: The resident size of the process.
            accounted_bytes: The accounted share of the resident size.

        Returns:
            The actions that the sample requires.
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
        """Return whether the warning threshold is exceeded; if so, raise the threshold."""
        if unaccounted_bytes <= self._warning_threshold_bytes:
            return False
        self._warning_threshold_bytes = unaccounted_bytes + WARNING_STEP_RATIO * self._grant_bytes
        return True

    def _begin_trim(self, now_us: int, unaccounted_bytes: int) -> bool:
        """Return whether a trim is due; if so, record it."""
        headroom_bytes = max(self._grant_bytes - self._start_bytes, MIN_HEADROOM_BYTES)
        if unaccounted_bytes <= TRIM_THRESHOLD_RATIO * headroom_bytes:
            return False
        if self._trimmed_at_us is not None and now_us < self._trimmed_at_us + TRIM_INTERVAL_US:
            return False
        self._trimmed_at_us = now_us
        self.trim_count += 1
        return True
