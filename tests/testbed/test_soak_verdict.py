"""The verdict of a soak on samples made by hand."""

from __future__ import annotations

import math
import random
from typing import Any

from larchhaven.soak.slope import fit_slope
from larchhaven.soak.verdict import judge_samples
from larchhaven.testbed.outcome import ProxySample

MB = 1 << 20


def series(minutes: float, an_hour: float, noise: float = 0.05, swing: float = 0.0) -> list[float]:
    rng = random.Random(1)
    count = int(minutes * 30)
    return [
        25 * MB + MB * (an_hour * i / 1800 + rng.gauss(0, noise) + swing * math.sin(i / 60))
        for i in range(count)
    ]


def at(sizes: list[float]) -> list[float]:
    return [2.0 * i for i in range(len(sizes))]


def test_flat_series_is_flat_and_a_leak_is_not() -> None:
    flat, leak = series(30, 0), series(30, 1.0)
    slope = fit_slope(at(flat), flat)
    assert slope is not None
    assert slope.is_flat
    assert abs(slope.fraction_per_hour) < 0.01
    slope = fit_slope(at(leak), leak)
    assert slope is not None
    assert not slope.is_flat
    assert slope.low_bytes_per_hour > 0
    assert abs(slope.bytes_per_hour - MB) < 0.1 * MB
    assert slope.low_bytes_per_hour < MB < slope.high_bytes_per_hour


def test_slow_swing_widens_the_interval() -> None:
    plain, swinging = series(30, 0), series(30, 0, swing=0.3)
    narrow, wide = fit_slope(at(plain), plain), fit_slope(at(swinging), swinging)
    assert narrow is not None
    assert wide is not None
    assert wide.correlation > 0.5
    wide_width = wide.high_bytes_per_hour - wide.low_bytes_per_hour
    assert wide_width > 5 * (narrow.high_bytes_per_hour - narrow.low_bytes_per_hour)
    assert wide.low_bytes_per_hour <= 0 <= wide.high_bytes_per_hour


def test_too_few_samples_are_no_verdict() -> None:
    assert fit_slope([], []) is None
    assert fit_slope([1.0], [2.0]) is None
    assert fit_slope(at(series(1, 0)), series(1, 0)) is None


def sample(at: float, resident: int, high: int = 5) -> ProxySample:
    purposes = {"buffers": {"cap": 10, "used": 1, "high": high, "refused": 3}}
    memory: dict[str, Any] = {
        "grant": 32 * MB,
        "start": 20 * MB,
        "accounted": resident - 20 * MB,
        "unaccounted": 0,
        "errors": 0,
        "purposes": purposes,
    }
    return ProxySample(
        at_s=at,
        proxy="n0",
        resident_bytes=resident,
        descriptors=0,
        memory_report=memory,
        pending_requests=0,
        established_connections=0,
    )


def test_verdict_names_each_thing_that_does_not_hold() -> None:
    flat = [sample(2.0 * i, 25 * MB + i % 7) for i in range(400)]
    assert judge_samples(flat, 60).complaints == []
    assert judge_samples(flat, 60).to_builtins()["holds"]
    growing = [sample(2.0 * i, 25 * MB + i * 10_000) for i in range(400)]
    assert [text.split(" is ")[0] for text in judge_samples(growing, 60).complaints] == [
        "the resident size",
        "the accounted size",
    ]
    assert judge_samples(growing, 60, judges_slope=False).complaints == []
    passed = judge_samples([*flat, sample(900, 33 * MB, high=11)], 60, judges_slope=False)
    assert passed.complaints == [
        "the resident size reached 33792 KB of 32768 KB",
        "buffers passed its cap",
    ]
    passed.idle_connection_bytes = {"n0": 5}
    passed.violations = ["rule broken"]
    assert len(passed.complaints) == 4
