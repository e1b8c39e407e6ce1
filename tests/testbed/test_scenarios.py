"""Scenarios played on real proxies keep the invariants; the repository's scenarios load."""

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
    "extra",
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
def test_invariants_hold_in_a_scenario(extra: str) -> None:
    scenario, complaints = load_scenario(SCENARIO + extra)
    assert not complaints
    record_file = io.BytesIO()
    outcome = asyncio.run(play_scenario(scenario, record_file=record_file))
    assert outcome.holds, outcome.failures
    assert outcome.classes["chat"].answers["UP"] > 30
    assert outcome.classes["exam"].answers["UP"] > 5
    unanswered = outcome.event_counts["ask"] - outcome.event_counts["answer"]
    assert 0 <= unanswered <= 5  # requests in flight at the end of the scenario
    checker = InvariantChecker()
    for line in record_file.getvalue().splitlines():
        checker.handle(msgspec.json.decode(line, type=EventRecord))
    assert checker.violations == []


def test_requests_in_flight_at_the_end_are_answered_and_checked() -> None:
    """Requests that are open at the end of a scenario are still answered and checked.

    If the clients were stopped at once, such a request would count as abandoned by its client, and
    an answer that never comes would go unnoticed.
    """
    scenario, complaints = load_scenario(
        "seed: 4 seconds: 0.6 servers { count: 2 capacity: 500 setup_ms: 500 }"
        ' terminals { class: "chat" arrivals_per_second: 60 stay_seconds: 3 }'
    )
    assert not complaints
    outcome = asyncio.run(play_scenario(scenario))
    assert outcome.holds, outcome.failures
    chat = outcome.classes["chat"]
    assert chat.requests == chat.answers["UP"] > 20


def test_overdue_arrivals_of_a_blocked_test_bed_still_happen() -> None:
    """Clients whose arrival is overdue at the end of a scenario still arrive.

    Otherwise a test bed that is blocked until the end would leave out its last clients, and the
    results would depend on the load of the machine.
    """
    scenario, complaints = load_scenario(
        "seed: 4 seconds: 1 servers { count: 2 capacity: 500 }"
        ' terminals { class: "chat" arrivals_per_second: 60 stay_seconds: 3 }'
    )
    assert not complaints

    def block_until_end(player: ScenarioPlayer) -> None:
        while player.deployment.elapsed_s() < scenario.seconds:
            pass

    unblocked = asyncio.run(play_scenario(scenario)).classes["chat"]
    blocked = asyncio.run(play_scenario(scenario, progress=block_until_end)).classes["chat"]
    assert (
        blocked.requests == unblocked.requests == unblocked.answers["UP"] == blocked.answers["UP"]
    )


def test_example_scenarios_load_without_errors() -> None:
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


def test_tenant_within_its_quota_is_served_despite_excess_load_of_another() -> None:
    """Tenant "south" requests several times its quota; "north" stays within its own."""
    scenario, _ = load_scenario((BUILT_IN_SCENARIOS / "charts.textproto").read_text())
    scenario.seconds = 9.0
    del scenario.events[:]
    outcome = asyncio.run(play_scenario(scenario))
    assert outcome.holds, outcome.failures
    served_ratio = {
        name: words.get("UP", 0) / sum(words.values())
        for name, words in outcome.tenant_answers.items()
    }
    assert served_ratio["north"] > 0.7, outcome.tenant_answers
    assert served_ratio["south"] < 0.6 * served_ratio["north"], outcome.tenant_answers
