"""The verdict of a soak on samples made by hand."""

from __future__ import annotations

import math
import random
from typing import Any

from larchhaven.soak.verdict import fit, judge

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
    slope = fit(at(flat), flat)
    assert slope is not None
    assert slope.flat
    assert abs(slope.share_an_hour) < 0.01
    slope = fit(at(leak), leak)
    assert slope is not None
    assert not slope.flat
    assert slope.low > 0
    assert abs(slope.an_hour - MB) < 0.1 * MB
    assert slope.low < MB < slope.high


def test_slow_swing_widens_the_interval() -> None:
    plain, swinging = series(30, 0), series(30, 0, swing=0.3)
    narrow, wide = fit(at(plain), plain), fit(at(swinging), swinging)
    assert narrow is not None
    assert wide is not None
    assert wide.correlation > 0.5
    assert wide.high - wide.low > 5 * (narrow.high - narrow.low)
    assert wide.low <= 0 <= wide.high


def test_too_few_samples_are_no_verdict() -> None:
    assert fit([], []) is None
    assert fit([1.0], [2.0]) is None
    assert fit(at(series(1, 0)), series(1, 0)) is None


def sample(at: float, resident: int, high: int = 5) -> dict[str, Any]:
    purposes = {"buffers": {"cap": 10, "used": 1, "high": high, "refused": 3}}
    memory = {
        "grant": 32 * MB,
        "start": 20 * MB,
        "accounted": resident - 20 * MB,
        "unaccounted": 0,
        "errors": 0,
        "purposes": purposes,
    }
    return {"at": at, "resident": resident, "memory": memory}


def test_verdict_names_each_thing_that_does_not_hold() -> None:
    flat = [sample(2.0 * i, 25 * MB + i % 7) for i in range(400)]
    assert judge(flat, 60).complaints == []
    assert judge(flat, 60).as_dict()["holds"]
    growing = [sample(2.0 * i, 25 * MB + i * 10_000) for i in range(400)]
    assert [text.split(" is ")[0] for text in judge(growing, 60).complaints] == [
        "the resident size",
        "the accounted size",
    ]
    assert judge(growing, 60, judges_slope=False).complaints == []
    passed = judge([*flat, sample(900, 33 * MB, high=11)], 60, judges_slope=False)
    assert passed.complaints == [
        "the resident size reached 33792 KB of 32768 KB",
        "buffers passed its cap",
    ]
    passed.rest = {"n0": 5}
    passed.broken = ["rule broken"]
    assert len(passed.complaints) == 4
