"""``larchhaven soak``: runs churn and abuses, and writes a verdict and a report of each phase."""

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
    """The options do not describe a valid soak."""


@dataclass(frozen=True, slots=True)
class PlannedPhase:
    """A phase of a soak before it runs: churn, or the abuse with the given name."""

    abuse_name: str
    duration_s: float

    @property
    def label(self) -> str:
        """Name of the phase in the output, also the base name of its files."""
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
    """Run the phases of a soak and write their results.

    Args:
        minutes: Duration of the churn; 0 for no churn.
        abuses: Names of the abuses that follow, or ``all``.
        abuse_minutes: Duration of each abuse.
        arrivals: New connections per second.
        memory_mb: Memory granted to the proxy.
        sockets: Descriptors granted to the proxy.
        seed: Seed of the scenarios.
        out: Folder for samples, verdicts and reports.
        as_json: Whether to print JSON.

    Returns:
        The exit code.
    """
    try:
        planned = _plan_phases(minutes, abuses, abuse_minutes)
        verdicts = _run_phases(planned, arrivals, memory_mb, sockets, seed, out, as_json)
    except SoakPlanError as error:
        return _fail(str(error))
    except ModuleNotFoundError as error:
        return _fail(f"larchhaven soak needs the extra 'report' ({error.name} is missing)")
    if as_json:
        output = {label: verdict.to_builtins() for label, verdict in verdicts.items()}
        print(msgspec.json.encode(output).decode())
    else:
        print(f"reports, verdicts and samples written to {out}")
    return exit_code_for(not any(verdict.complaints for verdict in verdicts.values()))


def _run_phases(
    planned: Sequence[PlannedPhase],
    arrivals: float,
    memory_mb: float,
    sockets: int,
    seed: int,
    out: Path,
    as_json: bool,
) -> dict[str, SoakVerdict]:
    """Run the phases, write their results, and return their verdicts by label."""
    # Imported here because it loads numpy, scipy and matplotlib, which other commands do not need.
    from larchhaven.soak.results import write_results
    from larchhaven.soak.run import run_phase
    from larchhaven.soak.scenario import SoakLoad

    load = SoakLoad(arrivals, memory_mb, sockets, seed)
    out.mkdir(parents=True, exist_ok=True)
    verdicts: dict[str, SoakVerdict] = {}
    for planned_phase in planned:
        samples_path = out / f"{planned_phase.label}.jsonl"
        samples_path.unlink(missing_ok=True)
        phase = run_phase(
            planned_phase.duration_s, load, planned_phase.abuse_name, samples_path, show_progress
        )
        verdicts[planned_phase.label] = phase.verdict
        write_results(out, planned_phase.label, planned_phase.duration_s, load, phase)
        if not as_json:
            _print_verdict(planned_phase.label, phase.verdict)
    return verdicts


def _plan_phases(minutes: float, abuses: Sequence[str], abuse_minutes: float) -> list[PlannedPhase]:
    """Return the phases of a soak in order.

    Raises:
        SoakPlanError: An abuse is unknown, or no phase was requested.
    """
    from larchhaven.soak.abuses import ABUSES

    names = list(ABUSES) if ALL_ABUSES in abuses else list(abuses)
    unknown = [name for name in names if name not in ABUSES]
    if unknown:
        choices = ", ".join(ABUSES)
        raise SoakPlanError(
            f"larchhaven soak: unknown abuse {unknown[0]!r}: write one of {choices}"
        )
    planned = [PlannedPhase("", SECONDS_PER_MINUTE * minutes)] if minutes else []
    planned += [PlannedPhase(name, SECONDS_PER_MINUTE * abuse_minutes) for name in names]
    if not planned:
        raise SoakPlanError("larchhaven soak: nothing to run: write --minutes above 0, or --abuse")
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
        f" {100 * slope.fraction_per_hour:+.2f}% per hour"
        f" ({low_kb:+.0f} to {high_kb:+.0f} KB per hour)"
    )
