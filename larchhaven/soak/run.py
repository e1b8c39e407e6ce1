"""Runs a soak: one long churn, then each abuse for a while; samples go to a file as they come."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from larchhaven.soak.days import day
from larchhaven.soak.verdict import Verdict, judge
from larchhaven.testbed.deployment import Outcome, Sample, Site, play

SAMPLE_GAP_S = 2.0
# The first part of a run does not count for slopes: tables fill, the allocator settles.
WARM_SHARE, WARM_MOST_S = 0.2, 300.0


@dataclass(frozen=True, slots=True)
class Part:
    """One part of a soak: how long, under which abuse if any, and what it showed."""

    abuse: str
    warm_s: float
    samples: list[dict[str, Any]]
    verdict: Verdict


def run_part(
    seconds: float,
    arrivals: float,
    memory_mb: float,
    sockets: int,
    seed: int,
    abuse: str,
    samples_file: Path | None,
    progress: Callable[[Site], None] | None = None,
) -> Part:
    """Play one part; ``samples_file`` gets the samples as JSON lines."""
    scenario = day(seconds, arrivals, memory_mb, sockets, seed, abuse)
    samples: list[dict[str, Any]] = []
    file = samples_file.open("ab") if samples_file is not None else None

    def take(sample: Sample) -> None:
        samples.append(msgspec.to_builtins(sample))
        if file is not None:
            file.write(msgspec.json.encode({"abuse": abuse, **samples[-1]}) + b"\n")
            file.flush()

    try:
        outcome = asyncio.run(
            play(scenario, sample_gap=SAMPLE_GAP_S, sample_taken=take, progress=progress)
        )
    finally:
        if file is not None:
            file.close()
    warm = min(seconds * WARM_SHARE, WARM_MOST_S)
    return Part(abuse, warm, samples, verdict_of(outcome, samples, warm, not abuse))


def verdict_of(
    outcome: Outcome, samples: Sequence[dict[str, Any]], warm_s: float, judges_slope: bool
) -> Verdict:
    """Join what the samples and what the rules say."""
    verdict = judge(samples, warm_s, judges_slope)
    verdict.broken = [f"rule broken: {b.rule}: {b.text}" for b in outcome.broken[:10]]
    if outcome.broken_more:
        verdict.broken.append(f"and {outcome.broken_more} more")
    verdict.errors = [f"crashed: {name}" for name in outcome.crashed] + outcome.errors
    verdict.answers = outcome.classes
    verdict.rest = {
        name: m["purposes"]["connections"]["used"] for name, m in outcome.rest.items() if m
    }
    return verdict
