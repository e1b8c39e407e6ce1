"""The verdict on a series of samples: slopes with confidence intervals, and each purpose against its cap."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

import numpy as np
from scipy import stats

CONFIDENCE = 0.95
# Samples are averaged over blocks of this length before a line is fitted: neighbours tell the same story.
BLOCK_S = 30.0
BLOCKS_LEAST = 8
MIN_SAMPLES = 2
FITTED_PARAMETERS = 2  # intercept and slope
# A slope is flat if it is under this part of the mean an hour and its interval holds 0.
FLAT_AN_HOUR = 0.01


@dataclass(frozen=True, slots=True)
class Slope:
    """A fitted line: per hour, in bytes, with its confidence interval; ``mean`` is the level in bytes."""

    mean: float
    an_hour: float
    low: float
    high: float
    blocks: int
    correlation: float  # of one block with the next, after the line is taken off

    @property
    def share_an_hour(self) -> float:
        """Return the slope as a part of the mean."""
        return self.an_hour / self.mean if self.mean else 0.0

    @property
    def flat(self) -> bool:
        """Tell whether nothing grows that an hour would show."""
        return abs(self.share_an_hour) < FLAT_AN_HOUR and self.low <= 0 <= self.high


def fit(at: Sequence[float], sizes: Sequence[float]) -> Slope | None:
    """Fit a line through samples (seconds, bytes); None for too few.

    Blocks are averaged, and the interval is widened for what neighbouring blocks share (an AR(1) rest, by
    the effective number of blocks n(1-r)/(1+r)): without that a slow swing would look like a leak.
    """
    if len(at) < MIN_SAMPLES:
        return None
    times, values = np.asarray(at), np.asarray(sizes, dtype=float)
    numbers = ((times - times[0]) // BLOCK_S).astype(int)
    kept = np.unique(numbers)
    if len(kept) < BLOCKS_LEAST:
        return None
    x = np.array([times[numbers == k].mean() for k in kept]) / 3600
    y = np.array([values[numbers == k].mean() for k in kept])
    line = stats.linregress(x, y)
    rest = y - (line.intercept + line.slope * x)
    spread = float((rest**2).sum())
    r = float((rest[1:] * rest[:-1]).sum()) / spread if spread else 0.0
    r = min(max(r, 0.0), 0.95)
    count = len(x)
    effective = max(count * (1 - r) / (1 + r), 3.0)
    # linregress divides by count - 2; the effective number takes its place.
    error = (
        float(line.stderr)
        * math.sqrt((count - FITTED_PARAMETERS) / (effective - FITTED_PARAMETERS))
        if effective > FITTED_PARAMETERS
        else math.inf
    )
    half = float(stats.t.ppf((1 + CONFIDENCE) / 2, max(effective - FITTED_PARAMETERS, 1))) * error
    slope = float(line.slope)
    return Slope(float(y.mean()), slope, slope - half, slope + half, count, r)


@dataclass(slots=True)
class Cap:
    """One purpose over the whole run, in bytes and times."""

    cap: int
    high: int
    refused: int

    @property
    def held(self) -> bool:
        """Tell whether the gauge stayed under its cap."""
        return self.high <= self.cap


@dataclass(slots=True)
class Verdict:
    """What a soak has shown."""

    resident: Slope | None
    accounted: Slope | None
    resident_peak: int
    grant: int
    caps: dict[str, Cap]
    unaccounted_most: int
    broken: list[str] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    account_errors: int = 0
    answers: dict[str, Any] = field(default_factory=dict)
    rest: dict[str, int] = field(
        default_factory=dict
    )  # connections' gauge once all had left, by proxy
    judges_slope: bool = True

    @property
    def complaints(self) -> list[str]:
        """Say in plain sentences why this does not hold; empty if it does."""
        found = list(self.broken) + list(self.errors)
        if self.resident_peak > self.grant:
            found.append(
                f"the resident size reached {self.resident_peak >> 10} KB of {self.grant >> 10} KB"
            )
        found += [f"{name} passed its cap" for name, cap in self.caps.items() if not cap.held]
        found += [
            f"{name} still counted {n} bytes of connections at rest"
            for name, n in self.rest.items()
            if n
        ]
        if self.account_errors:
            found.append(f"{self.account_errors} give-backs exceeded what was taken")
        if self.judges_slope:
            for name, slope in (("resident", self.resident), ("accounted", self.accounted)):
                if slope is None:
                    found.append(f"too few samples for the slope of the {name} size")
                elif not slope.flat:
                    found.append(
                        f"the {name} size is not flat: {100 * slope.share_an_hour:+.2f}% an hour"
                    )
        return found

    def as_dict(self) -> dict[str, Any]:
        """Return all of it for JSON."""
        whole = {name: getattr(self, name) for name in self.__slots__}
        for name in ("resident", "accounted"):
            slope = whole[name]
            if slope is not None:
                whole[name] = asdict(slope) | {
                    "share_an_hour": slope.share_an_hour,
                    "flat": slope.flat,
                }
        whole["caps"] = {name: asdict(cap) | {"held": cap.held} for name, cap in self.caps.items()}
        return whole | {"holds": not self.complaints, "complaints": self.complaints}


def judge(samples: Sequence[dict[str, Any]], warm_s: float, judges_slope: bool = True) -> Verdict:
    """Judge samples as ``lab`` takes them; those before ``warm_s`` count for caps only."""
    if not samples:
        raise ValueError("there is no sample to judge")
    warm = [s for s in samples if s["at"] >= warm_s and s["memory"]]
    at = [s["at"] for s in warm]
    full = [s for s in samples if s["memory"]]
    last: dict[str, Any] = full[-1]["memory"] if full else {"grant": 0, "purposes": {}, "errors": 0}
    caps = {name: Cap(p["cap"], p["high"], p["refused"]) for name, p in last["purposes"].items()}
    return Verdict(
        resident=fit(at, [s["resident"] for s in warm]),
        accounted=fit(at, [s["memory"]["accounted"] + s["memory"]["start"] for s in warm]),
        resident_peak=max(s["resident"] for s in samples),
        grant=last["grant"],
        caps=caps,
        unaccounted_most=max((s["memory"]["unaccounted"] for s in full), default=0),
        account_errors=last["errors"],
        judges_slope=judges_slope,
    )
