"""Runs one phase of a soak, churn or an abuse, and writes each sample to a file as it is taken."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from contextlib import nullcontext
from dataclasses import dataclass
from pathlib import Path

import msgspec

from larchhaven.soak.scenario import SoakLoad, build_soak_scenario
from larchhaven.soak.verdict import SoakVerdict, judge_samples
from larchhaven.testbed.outcome import ProxySample, ScenarioOutcome
from larchhaven.testbed.scenario_player import ScenarioPlayer, play_scenario

SAMPLE_INTERVAL_S = 2.0
# Excluded from the slopes: at first the tables still fill and the allocator has not settled.
WARM_UP_FRACTION = 0.2
MAX_WARM_UP_S = 300.0
MAX_REPORTED_VIOLATIONS = 10


@dataclass(frozen=True, slots=True)
class SoakPhase:
    """The results of one phase of a soak.

    Attributes:
        abuse_name: The abuse that was played; empty for none.
        warm_up_s: Initial period that is excluded from the slopes.
        samples: The samples in chronological order.
        verdict: The verdict on the samples.
    """

    abuse_name: str
    warm_up_s: float
    samples: list[ProxySample]
    verdict: SoakVerdict


def run_phase(
    duration_s: float,
    load: SoakLoad,
    abuse_name: str,
    samples_path: Path | None,
    progress: Callable[[ScenarioPlayer], None] | None = None,
) -> SoakPhase:
    """Run one phase of a soak and return its samples with the verdict.

    Args:
        duration_s: Duration of the phase.
        load: The traffic and the grant.
        abuse_name: The abuse that is added to the traffic; empty for none.
        samples_path: File to which the samples are appended as JSON lines, if any.
        progress: Called periodically during the phase.

    Raises:
        ProxyNotStartedError: The proxy did not start to listen.
    """
    samples: list[ProxySample] = []
    with samples_path.open("ab") if samples_path is not None else nullcontext() as file:

        def store_sample(sample: ProxySample) -> None:
            samples.append(sample)
            if file is not None:
                row = {"abuse": abuse_name, **msgspec.to_builtins(sample)}
                file.write(msgspec.json.encode(row) + b"\n")
                file.flush()

        outcome = asyncio.run(
            play_scenario(
                build_soak_scenario(duration_s, load, abuse_name),
                sample_interval_s=SAMPLE_INTERVAL_S,
                sample_taken=store_sample,
                progress=progress,
            )
        )
    warm_up_s = min(duration_s * WARM_UP_FRACTION, MAX_WARM_UP_S)
    verdict = judge_phase(outcome, samples, warm_up_s, judges_slope=not abuse_name)
    return SoakPhase(abuse_name, warm_up_s, samples, verdict)


def judge_phase(
    outcome: ScenarioOutcome,
    samples: Sequence[ProxySample],
    warm_up_s: float,
    *,
    judges_slope: bool,
) -> SoakVerdict:
    """Judge a phase by its samples, violated invariants, crashes and idle connections.

    Args:
        outcome: The outcome of the scenario.
        samples: The samples in chronological order.
        warm_up_s: Initial period that is excluded from the slopes.
        judges_slope: Whether the verdict includes the slopes.

    Raises:
        NoSamplesError: There are no samples.
    """
    verdict = judge_samples(samples, warm_up_s, judges_slope=judges_slope)
    verdict.violations = [
        f"invariant violated: {violation.invariant}: {violation.description}"
        for violation in outcome.violations[:MAX_REPORTED_VIOLATIONS]
    ]
    if outcome.omitted_violations:
        verdict.violations.append(f"and {outcome.omitted_violations} more violations")
    verdict.errors = [f"proxy crashed: {name}" for name in outcome.crashed_proxies] + outcome.errors
    verdict.classes = outcome.classes
    verdict.idle_connection_bytes = {
        name: report["purposes"]["connections"]["used"]
        for name, report in outcome.idle_memory_reports.items()
        if report
    }
    return verdict
