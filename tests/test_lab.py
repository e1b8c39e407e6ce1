"""The lab: the rule checker catches each broken rule, and scripted days hold against the real program."""

from __future__ import annotations

import asyncio
import io
from pathlib import Path

import msgspec
import pytest

from larchhaven.cli.app import Day
from larchhaven.cli.lab import DAYS
from larchhaven.testbed.deployment import load, play
from larchhaven.testbed.event_record import Record
from larchhaven.testbed.invariants import BROKEN_MOST, Checker

ROOT = Path(__file__).parent.parent
MS = 1_000
S = 1_000_000


def r(
    at: int, kind: str, server: str = "", text: str = "", identity: str = "a", wait: int = S
) -> Record:
    return Record(at, kind, identity, server, text, wait)


UP = [
    r(0, "ask"),
    r(MS, "sent", "s0"),
    r(2 * MS, "up", "s0", "UP 1"),
    r(3 * MS, "answer", text="UP 1"),
]


@pytest.mark.parametrize(
    ("records", "rule"),
    [
        (UP, None),
        ([*UP, r(S, "leave"), r(S, "over", "s0", "proxy")], None),
        ([*UP, r(S, "over", "s0", "self"), r(S, "end")], None),  # the exam server ended it
        ([*UP, r(S, "move"), r(S, "end")], None),
        ([*UP, r(S, "left", "s0"), r(S, "end")], None),  # the exam server crashed
        ([*UP, r(S, "end")], "move before loss"),
        ([r(0, "ask"), r(MS, "answer", text="BUSY")], None),
        (
            [r(0, "ask"), r(MS, "answer", text="BUSY"), r(2 * MS, "answer", text="BUSY")],
            "one answer",
        ),
        ([r(0, "ask"), r(MS, "answer")], "one answer"),
        ([r(0, "ask"), r(2 * S, "answer", text="BUSY")], "one answer"),
        ([r(0, "ask"), r(MS, "answer", text="UP forged")], "one answer"),
        ([r(0, "ask"), r(MS, "leave")], None),
        ([r(0, "ask"), r(9 * S, "told", "s0", "ready")], "one answer"),
        ([r(0, "told", "s0", "draining"), r(3 * S, "sent", "s0")], None),
        ([r(0, "told", "s0", "draining"), r(4 * S, "sent", "s0")], "drain"),
        (
            [r(0, "told", "s0", "draining"), r(S, "told", "s0", "ready"), r(4 * S, "sent", "s0")],
            None,
        ),
        ([r(0, "sent", "s0"), r(MS, "sent", "s1"), r(20 * MS, "over", "s0")], None),
        ([r(0, "sent", "s0"), r(100 * MS, "sent", "s1"), r(120 * MS, "over", "s0")], None),
        (
            [r(0, "sent", "s0"), r(100 * MS, "sent", "s1"), r(300 * MS, "over", "s0")],
            "one execution",
        ),
        (
            [r(0, "sent", "s0"), r(1, "sent", "s1"), r(2, "sent", "s2")],
            "one execution",
        ),
        ([Record(0, "long", server="p0", amount=300)], "datagrams"),
    ],
)
def test_checker_catches_what_breaks_a_rule_and_nothing_else(
    records: list[Record], rule: str | None
) -> None:
    checker = Checker()
    for record in records:
        checker.take(record)
    assert [one.rule for one in checker.finish(records[-1].at)] == ([rule] if rule else [])


@pytest.mark.parametrize(("count", "breaks"), [(8, False), (30, True)])
def test_checker_catches_a_cold_server_that_is_pushed_over(count: int, breaks: bool) -> None:
    checker = Checker()
    checker.take(Record(0, "born", server="s0", wait=7 * S, amount=10))
    for at in range(0, 3 * S, 100 * MS):
        if at < count * 100 * MS:
            checker.take(r(at, "sent", "s0", identity=f"c{at}"))
        else:
            checker.take(r(at, "over", "s0", identity="none"))
    assert bool(checker.broken) is breaks
    assert all(one.rule == "cold" for one in checker.broken)


def test_checker_forgets_what_is_over_and_bounds_what_it_tells() -> None:
    checker = Checker()
    for number in range(20_000):
        at = number * 10 * MS
        checker.take(r(at, "ask", identity=f"c{number}"))
        checker.take(r(at, "answer", identity=f"c{number}"))
    assert len(checker._open) < 2_000
    assert len(checker.broken) == BROKEN_MOST
    assert checker.more == 20_000 - BROKEN_MOST


DAY = """
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
def test_rules_hold_on_a_scripted_day(more: str) -> None:
    scenario, complaints = load(DAY + more)
    assert not complaints
    written = io.BytesIO()
    outcome = asyncio.run(play(scenario, record=written))
    assert outcome.holds, (outcome.broken[:5], outcome.crashed, outcome.errors)
    assert outcome.classes["chat"]["answers"]["UP"] > 30
    assert outcome.classes["exam"]["answers"]["UP"] > 5
    unanswered = outcome.records["ask"] - outcome.records["answer"]
    assert 0 <= unanswered <= 5  # those under way as the day ended
    again = Checker()
    for line in written.getvalue().splitlines():
        again.take(msgspec.json.decode(line, type=Record))
    assert again.broken == []


def test_example_scenarios_are_read_without_a_complaint() -> None:
    paths = [*(ROOT / "example" / "lab").glob("*.textproto"), *DAYS.glob("*.textproto")]
    assert len(paths) >= 3
    assert all(load(path.read_text())[1] == [] for path in paths)
    assert {path.stem for path in DAYS.glob("*.textproto")} == {day.value for day in Day}
    assert load('terminals { member: "x" } servers { count: 1 }')[1] == [
        "terminals: there is no member 'x', known are []"
    ]


def test_member_within_its_quota_does_not_pay_for_the_others_surplus() -> None:
    """Plays the small day with members on the real program: the south asks for several times its quota."""
    scenario, _ = load((DAYS / "charts.textproto").read_text())
    scenario.seconds = 9.0
    del scenario.events[:]
    outcome = asyncio.run(play(scenario))
    assert outcome.holds, (outcome.broken[:5], outcome.crashed, outcome.errors)
    served = {
        name: words.get("UP", 0) / sum(words.values()) for name, words in outcome.members.items()
    }
    assert served["north"] > 0.7, outcome.members
    assert served["south"] < 0.6 * served["north"], outcome.members
