"""Runs one part of a soak: churn or an abuse; samples are written to a file as they are taken."""

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
# The first part of a run does not count for slopes: tables fill, the allocator settles.
WARM_UP_FRACTION = 0.2
MAX_WARM_UP_S = 300.0
MAX_REPORTED_VIOLATIONS = 10


@dataclass(frozen=True, slots=True)
class SoakPart:
    """One part of a soak.

    Attributes:
        abuse_name: The abuse that was played; empty for none.
        warm_up_s: How long samples do not count for slopes.
        samples: The samples in order of time.
        verdict: What they showed.
    """

    abuse_name: str
    warm_up_s: float
    samples: list[ProxySample]
    verdict: SoakVerdict


def run_part(
    duration_s: float,
    load: SoakLoad,
    abuse_name: str,
    samples_path: Path | None,
    progress: Callable[[ScenarioPlayer], None] | None = None,
) -> SoakPart:
    """Play one part of a soak.

    Args:
        duration_s: How long it lasts.
        load: The traffic and the grant.
        abuse_name: The abuse on top of the traffic; empty for none.
        samples_path: Where the samples are appended as JSON lines, if anywhere.
        progress: Called again and again while it is played.

    Raises:
        ProxyNotStartedError: The proxy did not listen.
    """
    samples: list[ProxySample] = []
    with samples_path.open("ab") if samples_path is not None else nullcontext() as file:

        def keep_sample(sample: ProxySample) -> None:
            samples.append(sample)
            if file is not None:
                row = {"abuse": abuse_name, **msgspec.to_builtins(sample)}
                file.write(msgspec.json.encode(row) + b"\n")
                file.flush()

        outcome = asyncio.run(
            play_scenario(
                build_soak_scenario(duration_s, load, abuse_name),
                sample_interval_s=SAMPLE_INTERVAL_S,
                sample_taken=keep_sample,
                progress=progress,
            )
        )
    warm_up_s = min(duration_s * WARM_UP_FRACTION, MAX_WARM_UP_S)
    verdict = judge_part(outcome, samples, warm_up_s, judges_slope=not abuse_name)
    return SoakPart(abuse_name, warm_up_s, samples, verdict)


def judge_part(
    outcome: ScenarioOutcome,
    samples: Sequence[ProxySample],
    warm_up_s: float,
    *,
    judges_slope: bool,
) -> SoakVerdict:
    """Join what the samples and what the invariants say."""
    verdict = judge_samples(samples, warm_up_s, judges_slope=judges_slope)
    verdict.violations = [
        f"rule broken: {violation.invariant}: {violation.description}"
        for violation in outcome.violations[:MAX_REPORTED_VIOLATIONS]
    ]
    if outcome.omitted_violations:
        verdict.violations.append(f"and {outcome.omitted_violations} more")
    verdict.errors = [f"crashed: {name}" for name in outcome.crashed_proxies] + outcome.errors
    verdict.classes = outcome.classes
    verdict.idle_connection_bytes = {
        name: report["purposes"]["connections"]["used"]
        for name, report in outcome.idle_memory_reports.items()
        if report
    }
    return verdict
