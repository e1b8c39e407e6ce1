"""The invariant checker reports each violation and nothing else, and its memory is bounded."""

from __future__ import annotations

import msgspec
import pytest

from larchhaven.testbed.event_record import EventKind, EventRecord
from larchhaven.testbed.invariant_checker import InvariantChecker
from larchhaven.testbed.invariants import MAX_KEPT_VIOLATIONS

MS = 1_000
S = 1_000_000


def r(
    at_us: int,
    kind: str,
    server_name: str = "",
    detail: str = "",
    request_id: str = "a",
    wait_us: int = S,
) -> EventRecord:
    return EventRecord(at_us, EventKind(kind), request_id, server_name, detail, wait_us)


UP = [
    r(0, "ask"),
    r(MS, "sent", "s0"),
    r(2 * MS, "up", "s0", "UP 1"),
    r(3 * MS, "answer", detail="UP 1"),
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
        ([r(0, "ask"), r(MS, "answer", detail="BUSY")], None),
        (
            [r(0, "ask"), r(MS, "answer", detail="BUSY"), r(2 * MS, "answer", detail="BUSY")],
            "one answer",
        ),
        ([r(0, "ask"), r(MS, "answer")], "one answer"),
        ([r(0, "ask"), r(2 * S, "answer", detail="BUSY")], "one answer"),
        ([r(0, "ask"), r(MS, "answer", detail="UP forged")], "one answer"),
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
        ([EventRecord(0, EventKind.OVERSIZED_DATAGRAM, server_name="p0", amount=300)], "datagrams"),
    ],
)
def test_checker_reports_each_violation_and_nothing_else(
    records: list[EventRecord], rule: str | None
) -> None:
    checker = InvariantChecker()
    for record in records:
        checker.handle(record)
    assert [found.invariant for found in checker.finish(records[-1].at_us)] == (
        [rule] if rule else []
    )


@pytest.mark.parametrize(("count", "breaks"), [(8, False), (30, True)])
def test_checker_reports_a_cold_server_that_is_overloaded(count: int, breaks: bool) -> None:
    checker = InvariantChecker()
    checker.handle(
        EventRecord(0, EventKind.SERVER_STARTED_COLD, server_name="s0", wait_us=7 * S, amount=10)
    )
    for at in range(0, 3 * S, 100 * MS):
        if at < count * 100 * MS:
            checker.handle(r(at, "sent", "s0", request_id=f"c{at}"))
        else:
            checker.handle(r(at, "over", "s0", request_id="none"))
    assert bool(checker.violations) is breaks
    assert all(found.invariant == "cold" for found in checker.violations)


def test_checker_forgets_finished_requests_and_bounds_its_report() -> None:
    checker = InvariantChecker()
    for number in range(20_000):
        at = number * 10 * MS
        checker.handle(r(at, "ask", request_id=f"c{number}"))
        checker.handle(r(at, "answer", request_id=f"c{number}"))
    assert len(checker._requests) < 2_000
    assert len(checker.violations) == MAX_KEPT_VIOLATIONS
    assert checker.log.omitted == 20_000 - MAX_KEPT_VIOLATIONS


def test_record_of_a_kind_from_another_version_is_skipped() -> None:
    record = msgspec.json.decode(b'{"at":5,"kind":"unheard-of","id":"a"}', type=EventRecord)
    assert record.kind is EventKind.UNKNOWN
    checker = InvariantChecker()
    checker.handle(record)
    assert checker.finish(9 * S) == []
