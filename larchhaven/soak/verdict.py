"""The verdict on a soak: slopes of the sizes, and each memory purpose against its cap."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from larchhaven.errors import LarchhavenError
from larchhaven.soak.slope import Slope, fit_slope
from larchhaven.testbed.client_statistics import ClassOutcome
from larchhaven.testbed.outcome import ProxySample


class NoSamplesError(LarchhavenError, ValueError):
    """There is no sample to judge."""

    def __init__(self) -> None:
        super().__init__("there is no sample to judge")


class CapUsage(
    msgspec.Struct,
    rename={"cap_bytes": "cap", "peak_bytes": "high", "rejections": "refused"},
):
    """One memory purpose over the whole run.

    Attributes:
        cap_bytes: Its cap.
        peak_bytes: The most that was used.
        rejections: How often more was asked for than the cap allows.
    """

    cap_bytes: int
    peak_bytes: int
    rejections: int

    @property
    def holds(self) -> bool:
        """Whether the use stayed within the cap."""
        return self.peak_bytes <= self.cap_bytes


class SoakVerdict(
    msgspec.Struct,
    rename={
        "resident_slope": "resident",
        "accounted_slope": "accounted",
        "resident_peak_bytes": "resident_peak",
        "grant_bytes": "grant",
        "peak_unaccounted_bytes": "unaccounted_most",
        "violations": "broken",
        "excess_releases": "account_errors",
        "classes": "answers",
        "idle_connection_bytes": "rest",
    },
):
    """What a soak has shown.

    Attributes:
        resident_slope: Slope of the resident size after warm-up; None for too few samples.
        accounted_slope: Slope of the start size and what the account explains.
        resident_peak_bytes: The largest resident size.
        grant_bytes: The memory granted.
        caps: Use of each memory purpose.
        peak_unaccounted_bytes: The most that no purpose explained.
        violations: Sentences on violated invariants.
        errors: Sentences on crashes and unexpected errors.
        excess_releases: How often more was released than had been charged.
        classes: What the clients of each request class met.
        idle_connection_bytes: Charged to connections once all clients had left, by proxy.
        judges_slope: Whether slopes count; an abuse lasts too short for them.
    """

    resident_slope: Slope | None
    accounted_slope: Slope | None
    resident_peak_bytes: int
    grant_bytes: int
    caps: dict[str, CapUsage]
    peak_unaccounted_bytes: int
    violations: list[str] = []
    errors: list[str] = []
    excess_releases: int = 0
    classes: dict[str, ClassOutcome] = {}
    idle_connection_bytes: dict[str, int] = {}
    judges_slope: bool = True

    @property
    def complaints(self) -> list[str]:
        """Why this does not hold, in plain sentences; empty if it does."""
        found = [*self.violations, *self.errors]
        if self.resident_peak_bytes > self.grant_bytes:
            peak_kb = self.resident_peak_bytes >> 10
            grant_kb = self.grant_bytes >> 10
            found.append(f"the resident size reached {peak_kb} KB of {grant_kb} KB")
        found += [f"{name} passed its cap" for name, cap in self.caps.items() if not cap.holds]
        found += [
            f"{name} still counted {used_bytes} bytes of connections at rest"
            for name, used_bytes in self.idle_connection_bytes.items()
            if used_bytes
        ]
        if self.excess_releases:
            found.append(f"{self.excess_releases} give-backs exceeded what was taken")
        if self.judges_slope:
            found += _judge_slope("resident", self.resident_slope)
            found += _judge_slope("accounted", self.accounted_slope)
        return found

    def to_builtins(self) -> dict[str, Any]:
        """Return all of it for JSON, with what follows from it."""
        output: dict[str, Any] = msgspec.to_builtins(self)
        output["resident"] = _describe_slope(self.resident_slope)
        output["accounted"] = _describe_slope(self.accounted_slope)
        output["caps"] = {
            name: msgspec.to_builtins(cap) | {"held": cap.holds} for name, cap in self.caps.items()
        }
        complaints = self.complaints
        return output | {"holds": not complaints, "complaints": complaints}


def _judge_slope(name: str, slope: Slope | None) -> list[str]:
    if slope is None:
        return [f"too few samples for the slope of the {name} size"]
    if slope.is_flat:
        return []
    return [f"the {name} size is not flat: {100 * slope.fraction_per_hour:+.2f}% an hour"]


def _describe_slope(slope: Slope | None) -> dict[str, Any] | None:
    if slope is None:
        return None
    output: dict[str, Any] = msgspec.to_builtins(slope)
    return output | {"share_an_hour": slope.fraction_per_hour, "flat": slope.is_flat}


def judge_samples(
    samples: Sequence[ProxySample], warm_up_s: float, *, judges_slope: bool = True
) -> SoakVerdict:
    """Judge the samples of a run.

    Args:
        samples: The samples in order of time.
        warm_up_s: Earlier samples count for caps only.
        judges_slope: Whether the slopes count.

    Raises:
        NoSamplesError: There is no sample.
    """
    if not samples:
        raise NoSamplesError
    reported = [sample for sample in samples if sample.memory_report]
    warm = [sample for sample in reported if sample.at_s >= warm_up_s]
    times_s = [sample.at_s for sample in warm]
    resident_bytes = [sample.resident_bytes for sample in warm]
    explained_bytes = [
        sample.memory_report["accounted"] + sample.memory_report["start"] for sample in warm
    ]
    empty: dict[str, Any] = {"grant": 0, "purposes": {}, "errors": 0}
    last = reported[-1].memory_report if reported else empty
    caps = {
        name: CapUsage(purpose["cap"], purpose["high"], purpose["refused"])
        for name, purpose in last["purposes"].items()
    }
    unaccounted_bytes = [sample.memory_report["unaccounted"] for sample in reported]
    return SoakVerdict(
        resident_slope=fit_slope(times_s, resident_bytes),
        accounted_slope=fit_slope(times_s, explained_bytes),
        resident_peak_bytes=max(sample.resident_bytes for sample in samples),
        grant_bytes=last["grant"],
        caps=caps,
        peak_unaccounted_bytes=max(unaccounted_bytes, default=0),
        excess_releases=last["errors"],
        judges_slope=judges_slope,
    )
