"""Judges a soak: the slopes of the memory sizes, and the peak of each purpose against its cap."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from larchhaven.errors import LarchhavenError
from larchhaven.soak.slope import Slope, fit_slope
from larchhaven.testbed.client_statistics import ClassOutcome
from larchhaven.testbed.outcome import ProxySample


class NoSamplesError(LarchhavenError, ValueError):
    """A soak took no samples, so it cannot be judged."""

    def __init__(self) -> None:
        super().__init__("the soak took no samples of the proxy; there is nothing to judge")


class CapUsage(
    msgspec.Struct,
    rename={"cap_bytes": "cap", "peak_bytes": "high", "rejections": "refused"},
):
    """The use of one memory purpose over a whole phase.

    Attributes:
        cap_bytes: Cap of the purpose.
        peak_bytes: Peak use.
        rejections: Number of charges that were rejected because they would have exceeded the cap.
    """

    cap_bytes: int
    peak_bytes: int
    rejections: int

    @property
    def holds(self) -> bool:
        """Whether the peak use stayed within the cap."""
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
    """The measurements of one phase of a soak, with the verdict that follows from them.

    Attributes:
        resident_slope: Slope of the resident size after warm-up; None for too few samples.
        accounted_slope: Slope of the start size plus the accounted bytes after warm-up; None for
            too few samples.
        resident_peak_bytes: Peak of the resident size.
        grant_bytes: Memory granted to the proxy.
        caps: Use of each memory purpose.
        peak_unaccounted_bytes: Peak of the growth that is not accounted to any purpose.
        violations: Descriptions of violated invariants.
        errors: Descriptions of crashes and unexpected errors.
        excess_releases: Number of releases that exceeded what had been charged.
        classes: Outcomes of the requests, by request class.
        idle_connection_bytes: Bytes still charged to connections after all clients have left, by
            proxy.
        judges_slope: Whether the verdict includes the slopes; an abuse is too short for them.
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
        """The reasons why the verdict is negative; empty if it holds."""
        found = [*self.violations, *self.errors]
        if self.resident_peak_bytes > self.grant_bytes:
            peak_kb = self.resident_peak_bytes >> 10
            grant_kb = self.grant_bytes >> 10
            found.append(f"the resident size reached {peak_kb} KB of {grant_kb} KB")
        found += [f"{name} passed its cap" for name, cap in self.caps.items() if not cap.holds]
        found += [
            f"{name} still accounts {used_bytes} bytes to connections after all clients have left"
            for name, used_bytes in self.idle_connection_bytes.items()
            if used_bytes
        ]
        if self.excess_releases:
            found.append(f"{self.excess_releases} releases exceeded what had been charged")
        if self.judges_slope:
            found += _judge_slope("resident", self.resident_slope)
            found += _judge_slope("accounted", self.accounted_slope)
        return found

    def to_builtins(self) -> dict[str, Any]:
        """Return the measurements and the verdict as built-in types, for JSON."""
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
    return [f"the {name} size is not flat: {100 * slope.fraction_per_hour:+.2f}% per hour"]


def _describe_slope(slope: Slope | None) -> dict[str, Any] | None:
    if slope is None:
        return None
    output: dict[str, Any] = msgspec.to_builtins(slope)
    return output | {"share_an_hour": slope.fraction_per_hour, "flat": slope.is_flat}


def judge_samples(
    samples: Sequence[ProxySample], warm_up_s: float, *, judges_slope: bool = True
) -> SoakVerdict:
    """Judge the samples of a phase.

    Args:
        samples: The samples in chronological order.
        warm_up_s: Initial period that is excluded from the slopes.
        judges_slope: Whether the verdict includes the slopes.

    Raises:
        NoSamplesError: There are no samples.
    """
    if not samples:
        raise NoSamplesError
    reported = [sample for sample in samples if sample.memory_report]
    warmed_up = [sample for sample in reported if sample.at_s >= warm_up_s]
    times_s = [sample.at_s for sample in warmed_up]
    resident_bytes = [sample.resident_bytes for sample in warmed_up]
    explained_bytes = [
        sample.memory_report["accounted"] + sample.memory_report["start"] for sample in warmed_up
    ]
    empty_report: dict[str, Any] = {"grant": 0, "purposes": {}, "errors": 0}
    last_report = reported[-1].memory_report if reported else empty_report
    caps = {
        name: CapUsage(purpose["cap"], purpose["high"], purpose["refused"])
        for name, purpose in last_report["purposes"].items()
    }
    unaccounted_bytes = [sample.memory_report["unaccounted"] for sample in reported]
    return SoakVerdict(
        resident_slope=fit_slope(times_s, resident_bytes),
        accounted_slope=fit_slope(times_s, explained_bytes),
        resident_peak_bytes=max(sample.resident_bytes for sample in samples),
        grant_bytes=last_report["grant"],
        caps=caps,
        peak_unaccounted_bytes=max(unaccounted_bytes, default=0),
        excess_releases=last_report["errors"],
        judges_slope=judges_slope,
    )
