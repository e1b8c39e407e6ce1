"""Tests that the members agree on deaths and converge after simulated failures.

Deaths, partitions, slow and paused processes, losses and restarts are hard to distinguish, because
each of them delays or prevents answers.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from larchhaven.model.results import ExperimentResult
from tests.model.harness import run
from tests.proxy_harness import ROOT

# Each scenario is an experiment on this fleet, with a predicate that its result must fulfil.
FLEET = "seed: 3 members: 12 zones: 3 "


def agrees_within(seconds: float) -> Callable[[ExperimentResult], bool]:
    return lambda r: (
        bool(r.deaths) and all(d.agreed_s is not None and d.agreed_s <= seconds for d in r.deaths)
    )


def converges_within(seconds: float) -> Callable[[ExperimentResult], bool]:
    return lambda r: (
        all(c.duration_s is not None and c.duration_s <= seconds for c in r.convergences)
        and r.is_converged_at_end
    )


SCENARIOS: dict[str, tuple[str, Callable[[ExperimentResult], bool]]] = {
    "one death": (
        'seconds: 20 faults { at_seconds: 8 who { numbers: "4" } kill: true }',
        agrees_within(6),
    ),
    "simultaneous death of half of the fleet": (
        'seconds: 40 faults { at_seconds: 8 who { numbers: "0-5" } kill: true }',
        agrees_within(14),
    ),
    "a cut between zones that heals": (
        "seconds: 70 faults { at_seconds: 8 for_seconds: 30 who { zone: 1 } cut {} }",
        converges_within(10),
    ),
    "a one-way cut from one member to all others": (
        (
            'seconds: 60 faults { at_seconds: 8 for_seconds: 20 who { numbers: "2" }'
            " cut { one_way: true } }"
        ),
        converges_within(10),
    ),
    "a one-way cut from one member to another": (
        (
            'seconds: 60 faults { at_seconds: 8 who { numbers: "2" }'
            ' cut { to { numbers: "3" } one_way: true } }'
        ),
        lambda r: r.false_deaths == 0 and converges_within(4)(r),
    ),
    "a cut between two members that others still reach": (
        'seconds: 60 faults { at_seconds: 8 who { numbers: "2" } cut { to { numbers: "3" } } }',
        lambda r: r.false_deaths == 0 and converges_within(4)(r),
    ),
    "a slow process that suspects all others": (
        'seconds: 90 faults { at_seconds: 8 for_seconds: 40 who { numbers: "2" } slow_ms: 700 }',
        lambda r: (
            all(death.number == 2 for death in r.false_death_samples) and converges_within(10)(r)
        ),
    ),
    "a pause of two seconds": (
        (
            'seconds: 40 faults { at_seconds: 8 for_seconds: 2 who { numbers: "2" } pause: true'
            " every_seconds: 6 }"
        ),
        lambda r: r.false_deaths == 0 and r.counters["gaps"] >= 5,
    ),
    "a pause of twenty seconds": (
        'seconds: 60 faults { at_seconds: 8 for_seconds: 20 who { numbers: "2" } pause: true }',
        # It is declared dead once; no other process is declared dead.
        lambda r: (
            [death.number for death in r.false_death_samples] == [2] and converges_within(8)(r)
        ),
    ),
    "a process that restarts each second": (
        (
            'seconds: 60 faults { at_seconds: 8 for_seconds: 0.5 who { numbers: "2" } kill: true'
            " every_seconds: 1 }"
        ),
        lambda r: (
            r.max_messages_per_second < 25
            and not [d for d in r.false_death_samples if d.number != 2]
        ),
    ),
    "a restart with a clock that is behind": (
        (
            'seconds: 50 faults { at_seconds: 20 for_seconds: 0.6 who { numbers: "2" } kill: true'
            " clock_seconds: -5000 }"
        ),
        converges_within(6),
    ),
    "a graceful leave": (
        'seconds: 20 faults { at_seconds: 8 who { numbers: "2" } leave: true }',
        lambda r: agrees_within(1)(r) and r.suspicions == 0,
    ),
    "a graceful leave whose announcement is lost": (
        (
            'seconds: 40 faults { at_seconds: 7.9 for_seconds: 5 who { numbers: "2" } cut {} }'
            ' faults { at_seconds: 8 who { numbers: "2" } leave: true }'
        ),
        agrees_within(12),
    ),
    "30% loss in bursts": (
        (
            "seconds: 60 links { loss_percent: 30 burst_ms: 200 }"
            ' faults { at_seconds: 20 who { numbers: "2" } kill: true }'
        ),
        agrees_within(15),
    ),
    "every message duplicated with a delay": (
        (
            "seconds: 40 links { doubled_percent: 100 doubled_late_ms: 3000 }"
            ' faults { at_seconds: 8 who { numbers: "2" } kill: true }'
        ),
        lambda r: agrees_within(6)(r) and r.false_deaths == 0,
    ),
    "clocks a day apart": (
        (
            "seconds: 30 clocks_apart_seconds: 86400"
            ' faults { at_seconds: 8 for_seconds: 5 who { numbers: "2" } kill: true }'
        ),
        converges_within(6),
    ),
}


@pytest.mark.parametrize("seed", [2, 4, 7, 8])
def test_no_false_deaths_when_the_example_partition_heals(seed: int) -> None:
    """Suspected members are probed again before their deadline.

    Otherwise suspicions from the partition expire just after it heals, before the next probe
    of the suspected members, and members that are reachable again are declared dead.
    """
    text = (ROOT / "example" / "model" / "cut.textproto").read_text()
    result = run(text.replace("seed: 1", f"seed: {seed}"))
    assert result.seed == seed
    assert result.false_deaths == 0, result.false_death_samples
    assert result.is_converged_at_end


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name: str) -> None:
    text, holds = SCENARIOS[name]
    result = run(FLEET + text)
    assert holds(result), result
