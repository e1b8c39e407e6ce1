"""The soak verdict on synthetic samples."""

from __future__ import annotations

import math
import random
from typing import Any

from larchhaven.soak.slope import fit_slope
from larchhaven.soak.verdict import judge_samples
from larchhaven.testbed.outcome import ProxySample

MB = 1 << 20


def make_sizes(
    minutes: float, mb_per_hour: float, noise_mb: float = 0.05, swing_mb: float = 0.0
) -> list[float]:
    rng = random.Random(1)
    count = int(minutes * 30)
    return [
        25 * MB
        + MB * (mb_per_hour * i / 1800 + rng.gauss(0, noise_mb) + swing_mb * math.sin(i / 60))
        for i in range(count)
    ]


def make_times_s(sizes: list[float]) -> list[float]:
    return [2.0 * i for i in range(len(sizes))]


def test_constant_size_is_flat_and_a_leak_is_not() -> None:
    flat, leak = make_sizes(30, 0), make_sizes(30, 1.0)
    slope = fit_slope(make_times_s(flat), flat)
    assert slope is not None
    assert slope.is_flat
    assert abs(slope.fraction_per_hour) < 0.01
    slope = fit_slope(make_times_s(leak), leak)
    assert slope is not None
    assert not slope.is_flat
    assert slope.low_bytes_per_hour > 0
    assert abs(slope.bytes_per_hour - MB) < 0.1 * MB
    assert slope.low_bytes_per_hour < MB < slope.high_bytes_per_hour


def test_slow_oscillation_widens_the_interval() -> None:
    plain, swinging = make_sizes(30, 0), make_sizes(30, 0, swing_mb=0.3)
    narrow, wide = (
        fit_slope(make_times_s(plain), plain),
        fit_slope(make_times_s(swinging), swinging),
    )
    assert narrow is not None
    assert wide is not None
    assert wide.correlation > 0.5
    wide_width = wide.high_bytes_per_hour - wide.low_bytes_per_hour
    assert wide_width > 5 * (narrow.high_bytes_per_hour - narrow.low_bytes_per_hour)
    assert wide.low_bytes_per_hour <= 0 <= wide.high_bytes_per_hour


def test_too_few_samples_give_no_slope() -> None:
    assert fit_slope([], []) is None
    assert fit_slope([1.0], [2.0]) is None
    assert fit_slope(make_times_s(make_sizes(1, 0)), make_sizes(1, 0)) is None


def make_sample(at_s: float, resident_bytes: int, peak_bytes: int = 5) -> ProxySample:
    purposes = {"buffers": {"cap": 10, "used": 1, "high": peak_bytes, "refused": 3}}
    memory: dict[str, Any] = {
        "grant": 32 * MB,
        "start": 20 * MB,
        "accounted": resident_bytes - 20 * MB,
        "unaccounted": 0,
        "errors": 0,
        "purposes": purposes,
    }
    return ProxySample(
        at_s=at_s,
        proxy="n0",
        resident_bytes=resident_bytes,
        descriptors=0,
        memory_report=memory,
        pending_requests=0,
        established_connections=0,
    )


def test_verdict_names_each_limit_that_is_violated() -> None:
    flat = [make_sample(2.0 * i, 25 * MB + i % 7) for i in range(400)]
    assert judge_samples(flat, 60).complaints == []
    assert judge_samples(flat, 60).to_builtins()["holds"]
    growing = [make_sample(2.0 * i, 25 * MB + i * 10_000) for i in range(400)]
    assert [text.split(" is ")[0] for text in judge_samples(growing, 60).complaints] == [
        "the resident size",
        "the accounted size",
    ]
    assert judge_samples(growing, 60, judges_slope=False).complaints == []
    over_limit = judge_samples(
        [*flat, make_sample(900, 33 * MB, peak_bytes=11)], 60, judges_slope=False
    )
    assert over_limit.complaints == [
        "the resident size reached 33792 KB of 32768 KB",
        "buffers passed its cap",
    ]
    over_limit.idle_connection_bytes = {"n0": 5}
    over_limit.violations = ["rule broken"]
    assert len(over_limit.complaints) == 4
