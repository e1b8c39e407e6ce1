"""The invariant checker reports each violation and nothing else, in bounded memory."""

from __future__ import annotations

import msgspec
import pytest

from larchhaven.testbed.event_record import EventKind, EventRecord
from larchhaven.testbed.invariant_checker import InvariantChecker
from larchhaven.testbed.invariants import MAX_KEPT_VIOLATIONS

# Units of time in microseconds.
MS = 1_000
S = 1_000_000


def make_record(
    at_us: int,
    kind: str,
    server_name: str = "",
    detail: str = "",
    request_id: str = "a",
    wait_us: int = S,
) -> EventRecord:
    return EventRecord(at_us, EventKind(kind), request_id, server_name, detail, wait_us)


ESTABLISHED = [
    make_record(0, "ask"),
    make_record(MS, "sent", "s0"),
    make_record(2 * MS, "up", "s0", "UP 1"),
    make_record(3 * MS, "answer", detail="UP 1"),
]


@pytest.mark.parametrize(
    ("records", "invariant"),
    [
        (ESTABLISHED, None),
        ([*ESTABLISHED, make_record(S, "leave"), make_record(S, "over", "s0", "proxy")], None),
        # The server itself ends the connection.
        (
            [*ESTABLISHED, make_record(S, "over", "s0", "self"), make_record(S, "end")],
            None,
        ),
        ([*ESTABLISHED, make_record(S, "move"), make_record(S, "end")], None),
        # The server crashes.
        (
            [*ESTABLISHED, make_record(S, "left", "s0"), make_record(S, "end")],
            None,
        ),
        ([*ESTABLISHED, make_record(S, "end")], "move before loss"),
        ([make_record(0, "ask"), make_record(MS, "answer", detail="BUSY")], None),
        (
            [
                make_record(0, "ask"),
                make_record(MS, "answer", detail="BUSY"),
                make_record(2 * MS, "answer", detail="BUSY"),
            ],
            "one answer",
        ),
        ([make_record(0, "ask"), make_record(MS, "answer")], "one answer"),
        ([make_record(0, "ask"), make_record(2 * S, "answer", detail="BUSY")], "one answer"),
        ([make_record(0, "ask"), make_record(MS, "answer", detail="UP forged")], "one answer"),
        ([make_record(0, "ask"), make_record(MS, "leave")], None),
        # The request is never answered; the last record only advances the time.
        ([make_record(0, "ask"), make_record(9 * S, "told", "s0", "ready")], "one answer"),
        ([make_record(0, "told", "s0", "draining"), make_record(3 * S, "sent", "s0")], None),
        ([make_record(0, "told", "s0", "draining"), make_record(4 * S, "sent", "s0")], "drain"),
        (
            [
                make_record(0, "told", "s0", "draining"),
                make_record(S, "told", "s0", "ready"),
                make_record(4 * S, "sent", "s0"),
            ],
            None,
        ),
        # Two attempts, of which the second starts within the tolerance.
        (
            [
                make_record(0, "sent", "s0"),
                make_record(MS, "sent", "s1"),
                make_record(20 * MS, "over", "s0"),
            ],
            None,
        ),
        # The first attempt ends 20 ms after the second has started, within the tolerance.
        (
            [
                make_record(0, "sent", "s0"),
                make_record(100 * MS, "sent", "s1"),
                make_record(120 * MS, "over", "s0"),
            ],
            None,
        ),
        # The first attempt ends 200 ms after the second has started.
        (
            [
                make_record(0, "sent", "s0"),
                make_record(100 * MS, "sent", "s1"),
                make_record(300 * MS, "over", "s0"),
            ],
            "one execution",
        ),
        # A third attempt starts while two are pending.
        (
            [
                make_record(0, "sent", "s0"),
                make_record(1, "sent", "s1"),
                make_record(2, "sent", "s2"),
            ],
            "one execution",
        ),
        ([EventRecord(0, EventKind.OVERSIZED_DATAGRAM, server_name="p0", amount=300)], "datagrams"),
    ],
)
def test_checker_reports_each_violation_and_nothing_else(
    records: list[EventRecord], invariant: str | None
) -> None:
    checker = InvariantChecker()
    for record in records:
        checker.handle(record)
    assert [violation.invariant for violation in checker.finish(records[-1].at_us)] == (
        [invariant] if invariant else []
    )


@pytest.mark.parametrize(("attempt_count", "is_violated"), [(8, False), (30, True)])
def test_checker_reports_overload_of_a_server_in_slow_start(
    attempt_count: int, is_violated: bool
) -> None:
    checker = InvariantChecker()
    checker.handle(
        EventRecord(0, EventKind.SERVER_STARTED_COLD, server_name="s0", wait_us=7 * S, amount=10)
    )
    for at_us in range(0, 3 * S, 100 * MS):
        if at_us < attempt_count * 100 * MS:
            checker.handle(make_record(at_us, "sent", "s0", request_id=f"c{at_us}"))
        else:
            checker.handle(make_record(at_us, "over", "s0", request_id="none"))
    assert bool(checker.violations) is is_violated
    assert all(violation.invariant == "cold" for violation in checker.violations)


def test_checker_drops_finished_requests_and_limits_kept_violations() -> None:
    checker = InvariantChecker()
    for number in range(20_000):
        at_us = number * 10 * MS
        checker.handle(make_record(at_us, "ask", request_id=f"c{number}"))
        checker.handle(make_record(at_us, "answer", request_id=f"c{number}"))
    assert len(checker._requests) < 2_000
    assert len(checker.violations) == MAX_KEPT_VIOLATIONS
    assert checker.log.omitted == 20_000 - MAX_KEPT_VIOLATIONS


def test_record_of_an_unknown_kind_is_skipped() -> None:
    record = msgspec.json.decode(b'{"at":5,"kind":"unheard-of","id":"a"}', type=EventRecord)
    assert record.kind is EventKind.UNKNOWN
    checker = InvariantChecker()
    checker.handle(record)
    assert checker.finish(9 * S) == []
