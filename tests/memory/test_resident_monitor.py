"""Tests of the resident memory monitor."""

from __future__ import annotations

from larchhaven.memory.plan import BYTES_PER_MB as MB
from larchhaven.memory.resident_monitor import TRIM_INTERVAL_US, ResidentMemoryMonitor


def test_unaccounted_growth_causes_one_warning_per_threshold() -> None:
    monitor = ResidentMemoryMonitor(100 * MB)
    monitor.start(20 * MB, MB)
    assert not monitor.sample(1, 24 * MB, 5 * MB).should_warn
    assert monitor.last_sample.unaccounted_bytes == 0
    warned = [monitor.sample(at, (24 + at) * MB, 5 * MB).should_warn for at in range(1, 20)]
    assert [at for at, should_warn in enumerate(warned, 1) if should_warn] == [6, 12, 18]
    assert monitor.peak_bytes == 43 * MB


def test_allocator_is_trimmed_at_most_once_per_interval() -> None:
    monitor = ResidentMemoryMonitor(32 * MB)
    monitor.start(22 * MB, 0)
    assert not monitor.sample(0, 22 * MB + MB // 2, 0).should_trim
    trims = [
        monitor.sample(at, 25 * MB, 0).should_trim
        for at in (1, 2, TRIM_INTERVAL_US, TRIM_INTERVAL_US + 1, TRIM_INTERVAL_US + 2)
    ]
    assert trims == [True, False, False, True, False]
    assert monitor.trim_count == 2
