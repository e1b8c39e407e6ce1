"""``larchhaven soak``: long runs and abuses, with a verdict and a report."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from larchhaven.cli.exit_codes import ExitCode, exit_code_for
from larchhaven.cli.lab import show_progress
from larchhaven.errors import LarchhavenError

if TYPE_CHECKING:
    from larchhaven.soak.slope import Slope
    from larchhaven.soak.verdict import SoakVerdict

ALL_ABUSES = "all"
CHURN_LABEL = "churn"
SECONDS_PER_MINUTE = 60
BYTES_PER_KB = 1 << 10
BYTES_PER_MB = 1 << 20


class SoakPlanError(LarchhavenError):
    """The options name no soak that can be played."""


@dataclass(frozen=True, slots=True)
class PlannedPart:
    """One part of a soak that is to be played."""

    abuse_name: str
    duration_s: float

    @property
    def label(self) -> str:
        """Name of its files and in the output."""
        return self.abuse_name or CHURN_LABEL


def run(
    minutes: float,
    abuses: Sequence[str],
    abuse_minutes: float,
    arrivals: float,
    memory_mb: float,
    sockets: int,
    seed: int,
    out: Path,
    as_json: bool,
) -> int:
    """Play the parts of a soak and write what they showed.

    Args:
        minutes: How long the churn lasts; 0 for none.
        abuses: Names of abuses that follow, or ``all``.
        abuse_minutes: How long each abuse lasts.
        arrivals: New connections a second.
        memory_mb: Memory granted to the proxy.
        sockets: Descriptors granted to the proxy.
        seed: Seed of the scenarios.
        out: Folder for samples, verdicts and reports.
        as_json: Whether to print JSON.

    Returns:
        The exit code.
    """
    try:
        planned = _plan_parts(minutes, abuses, abuse_minutes)
        verdicts = _play_parts(planned, arrivals, memory_mb, sockets, seed, out, as_json)
    except SoakPlanError as error:
        return _fail(str(error))
    except ModuleNotFoundError as error:
        return _fail(f"larchhaven soak needs the extra 'report' ({error.name} is missing)")
    if as_json:
        output = {label: verdict.to_builtins() for label, verdict in verdicts.items()}
        print(msgspec.json.encode(output).decode())
    else:
        print(f"reports and samples are in {out}")
    return exit_code_for(not any(verdict.complaints for verdict in verdicts.values()))


def _play_parts(
    planned: Sequence[PlannedPart],
    arrivals: float,
    memory_mb: float,
    sockets: int,
    seed: int,
    out: Path,
    as_json: bool,
) -> dict[str, SoakVerdict]:
    """Play the parts, write what they showed, and return their verdicts by label."""
    # Loads the numeric and plotting libraries, which the other commands do without.
    from larchhaven.soak.results import write_results
    from larchhaven.soak.run import run_part
    from larchhaven.soak.scenario import SoakLoad

    load = SoakLoad(arrivals, memory_mb, sockets, seed)
    out.mkdir(parents=True, exist_ok=True)
    verdicts: dict[str, SoakVerdict] = {}
    for plan in planned:
        samples_path = out / f"{plan.label}.jsonl"
        samples_path.unlink(missing_ok=True)
        part = run_part(plan.duration_s, load, plan.abuse_name, samples_path, show_progress)
        verdicts[plan.label] = part.verdict
        write_results(out, plan.label, plan.duration_s, load, part)
        if not as_json:
            _print_verdict(plan.label, part.verdict)
    return verdicts


def _plan_parts(minutes: float, abuses: Sequence[str], abuse_minutes: float) -> list[PlannedPart]:
    """Return the parts of a soak in order.

    Raises:
        SoakPlanError: An abuse is not known, or there is nothing to do.
    """
    from larchhaven.soak.abuses import ABUSES

    names = list(ABUSES) if ALL_ABUSES in abuses else list(abuses)
    unknown = [name for name in names if name not in ABUSES]
    if unknown:
        known = ", ".join(ABUSES)
        raise SoakPlanError(f"there is no abuse {unknown[0]!r}; known are {known}")
    planned = [PlannedPart("", SECONDS_PER_MINUTE * minutes)] if minutes else []
    planned += [PlannedPart(name, SECONDS_PER_MINUTE * abuse_minutes) for name in names]
    if not planned:
        raise SoakPlanError("larchhaven soak: nothing to do: write --minutes or --abuse")
    return planned


def _fail(message: str) -> int:
    print(message, file=sys.stderr)
    return ExitCode.UNUSABLE_INPUT


def _print_verdict(label: str, verdict: SoakVerdict) -> None:
    complaints = verdict.complaints
    print(f"{label}: {'does not hold' if complaints else 'holds'}")
    for complaint in complaints:
        print(f"  {complaint}")
    _print_slope("resident", verdict.resident_slope)
    _print_slope("accounted", verdict.accounted_slope)


def _print_slope(name: str, slope: Slope | None) -> None:
    if slope is None:
        return
    low_kb = slope.low_bytes_per_hour / BYTES_PER_KB
    high_kb = slope.high_bytes_per_hour / BYTES_PER_KB
    print(
        f"  {name}: {slope.mean_bytes / BYTES_PER_MB:.2f} MB,"
        f" {100 * slope.fraction_per_hour:+.2f}% an hour ({low_kb:+.0f} to {high_kb:+.0f} KB)"
    )
