"""Scenarios hold against the real program, and those of the repository can be read."""

from __future__ import annotations

import asyncio
import io

import msgspec
import pytest

from larchhaven.cli.app import BuiltInScenario
from larchhaven.cli.lab import BUILT_IN_SCENARIOS
from larchhaven.testbed.event_record import EventRecord
from larchhaven.testbed.invariant_checker import InvariantChecker
from larchhaven.testbed.scenario_file import load_scenario
from larchhaven.testbed.scenario_player import ScenarioPlayer, play_scenario
from tests.proxy_harness import ROOT

SCENARIO = """
name: "day" seed: 3 seconds: 6.5
classes { name: "chat" worth: 1 } classes { name: "exam" worth: 5 }
servers { count: 4 capacity: 40 setup_ms: 3 }
terminals { class: "chat" arrivals_per_second: 12 stay_seconds: 3 message_seconds: 0.2 retries: 1 }
terminals { class: "exam" arrivals_per_second: 4 stay_seconds: 3 message_seconds: 0.2 }
"""


@pytest.mark.parametrize(
    "more",
    [
        'events { at_seconds: 1.5 drain: "s0" } events { at_seconds: 5 gone: "s0" }',
        'events { at_seconds: 1.5 crash: "s1" } events { at_seconds: 3 start: "s1" }',
        'events { at_seconds: 2 hang: "s2" }',
        "proxies: 2 events { at_seconds: 1 discovery_down: true }",
        "events { at_seconds: 2 reconnect_all: true } events { at_seconds: 4 surge: 60 }",
        "peers: 3 peer_datagrams_per_second: 100 pass_through: true",
    ],
    ids=["drain", "crash", "hang", "discovery", "reconnect", "peers"],
)
def test_invariants_hold_in_a_scenario(more: str) -> None:
    scenario, complaints = load_scenario(SCENARIO + more)
    assert not complaints
    written = io.BytesIO()
    outcome = asyncio.run(play_scenario(scenario, record_file=written))
    assert outcome.holds, outcome.failures
    assert outcome.classes["chat"].answers["UP"] > 30
    assert outcome.classes["exam"].answers["UP"] > 5
    unanswered = outcome.event_counts["ask"] - outcome.event_counts["answer"]
    assert 0 <= unanswered <= 5  # those in flight as the scenario ended
    again = InvariantChecker()
    for line in written.getvalue().splitlines():
        again.handle(msgspec.json.decode(line, type=EventRecord))
    assert again.violations == []


def test_requests_in_flight_at_the_end_are_answered_and_judged() -> None:
    """Guards verdicts: a request that was open at the end counted as given up by its client."""
    scenario, complaints = load_scenario(
        "seed: 4 seconds: 0.6 servers { count: 2 capacity: 500 setup_ms: 500 }"
        ' terminals { class: "chat" arrivals_per_second: 60 stay_seconds: 3 }'
    )
    assert not complaints
    outcome = asyncio.run(play_scenario(scenario))
    assert outcome.holds, outcome.failures
    chat = outcome.classes["chat"]
    assert chat.requests == chat.answers["UP"] > 20


def test_arrivals_that_a_busy_test_bed_missed_still_come() -> None:
    """Guards figures of a busy machine: a test bed held up at the end left its last clients out."""
    scenario, complaints = load_scenario(
        "seed: 4 seconds: 1 servers { count: 2 capacity: 500 }"
        ' terminals { class: "chat" arrivals_per_second: 60 stay_seconds: 3 }'
    )
    assert not complaints

    def hold_up_until_end(player: ScenarioPlayer) -> None:
        while player.deployment.elapsed_s() < scenario.seconds:
            pass

    usual = asyncio.run(play_scenario(scenario)).classes["chat"]
    held_up = asyncio.run(play_scenario(scenario, progress=hold_up_until_end)).classes["chat"]
    assert held_up.requests == usual.requests == usual.answers["UP"] == held_up.answers["UP"]


def test_example_scenarios_are_read_without_a_complaint() -> None:
    paths = [
        *(ROOT / "example" / "lab").glob("*.textproto"),
        *BUILT_IN_SCENARIOS.glob("*.textproto"),
    ]
    assert len(paths) >= 3
    assert all(load_scenario(path.read_text())[1] == [] for path in paths)
    assert {path.stem for path in BUILT_IN_SCENARIOS.glob("*.textproto")} == {
        scenario.value for scenario in BuiltInScenario
    }
    assert load_scenario('terminals { member: "x" } servers { count: 1 }')[1] == [
        "terminals: there is no member 'x', known are []"
    ]


def test_member_within_its_quota_does_not_pay_for_the_others_surplus() -> None:
    """The south asks for several times its quota, in the scenario with members on real proxies."""
    scenario, _ = load_scenario((BUILT_IN_SCENARIOS / "charts.textproto").read_text())
    scenario.seconds = 9.0
    del scenario.events[:]
    outcome = asyncio.run(play_scenario(scenario))
    assert outcome.holds, outcome.failures
    served = {
        name: words.get("UP", 0) / sum(words.values())
        for name, words in outcome.tenant_answers.items()
    }
    assert served["north"] > 0.7, outcome.tenant_answers
    assert served["south"] < 0.6 * served["north"], outcome.tenant_answers
