"""Membership on an event loop: report, log, datagrams per iteration, hot restart and switch."""

from __future__ import annotations

import heapq
import itertools
import json
import logging
from collections.abc import Callable
from typing import Any, cast

import msgspec
import pytest

from larchhaven.membership.counters import ProtocolCounter
from larchhaven.membership.member import Capability, MemberInfo
from larchhaven.net.control import membership_transport
from larchhaven.net.control.membership_switch import MembershipSwitch, derive_key
from larchhaven.net.control.membership_transport import (
    MAX_DATAGRAMS_PER_ITERATION,
    MAX_QUEUED_DATAGRAMS,
    MembershipTransport,
)
from larchhaven.net.core.event_loop import EventLoop, TimerHandle
from larchhaven.operator.settings import Settings

SECOND_US = 1_000_000
LATENCY_US = 300
UNIX_OFFSET_US = 1_790_000_000_000_000
KEY = derive_key("a key for this test")


class ManualLoop:
    """The timers of an event loop, on a clock that the test advances."""

    def __init__(self) -> None:
        self.now_us = SECOND_US
        self._timers: list[tuple[int, int, TimerHandle]] = []
        self._order = itertools.count()

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> TimerHandle:
        timer = TimerHandle(self.now_us + delay_us, callback)
        heapq.heappush(self._timers, (timer.due_us, next(self._order), timer))
        return timer

    def cancel(self, timer: TimerHandle | None) -> None:
        if timer is not None:
            timer.callback = None

    def run_until(self, until_us: int) -> None:
        while self._timers and self._timers[0][0] <= until_us:
            at_us, _, timer = heapq.heappop(self._timers)
            self.now_us = max(self.now_us, at_us)
            if timer.callback is not None:
                timer.callback()
        self.now_us = until_us


class Fleet:
    """Transports that exchange datagrams; those to and from cut-off transports are lost."""

    def __init__(self, size: int, table_size: int) -> None:
        self.loop = ManualLoop()
        self.cut_off: set[int] = set()
        self.present: dict[int, frozenset[int]] = {}
        self.transports = {number: self.start(number, table_size) for number in range(size)}

    def start(self, number: int, table_size: int) -> MembershipTransport:
        def send_datagram(receiver: int, data: bytes) -> None:
            is_lost = bool({number, receiver} & self.cut_off)
            if receiver in self.transports and not is_lost:
                transport = self.transports[receiver]
                self.loop.call_later(LATENCY_US, lambda: transport.handle_datagram(number, data))

        def store_present(proxies: frozenset[int]) -> None:
            self.present[number] = proxies

        info = MemberInfo(f"n{number}", number % 2, capabilities=Capability.LOAD_REPORTS)
        loop = cast("EventLoop", self.loop)
        transport = MembershipTransport(
            loop, number, table_size, info, [KEY], send_datagram, number
        )
        transport.on_present_changed = store_present
        return transport

    def report(self, number: int) -> dict[str, Any]:
        encoded = msgspec.json.encode(self.transports[number].report())
        return dict(json.loads(encoded))


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Fleet:
    monkeypatch.setattr(membership_transport, "unix_offset_us", lambda: UNIX_OFFSET_US)
    return Fleet(3, 4)


def test_report_keeps_the_keys_that_operators_read(fleet: Fleet) -> None:
    fleet.loop.run_until(15 * SECOND_US)
    expected = {
        "on": True, "why_off": "", "me": 0, "incarnation": 54310401, "view": 5, "sure": True,
        "doubt": 0, "here": 3, "agreed": 3, "table": 4, "confidence": 1.0, "part": "whole",
        "zones_lost": [],
        "members": [
            {"number": number, "name": f"n{number}", "state": "alive", "since_s": 13.0,
             "incarnation": 54310401, "by": [], "zone": number % 2, "version": 1,
             "started": 1790000001, "can": ["reports"]}
            for number in range(3)
        ],
        "counts": {"sent": 93}, "refused": {},
    }  # fmt: skip
    encoded = msgspec.json.encode(fleet.transports[0].report())
    assert encoded == msgspec.json.encode(expected)  # the order of the keys as well


def test_capabilities_have_the_names_that_operators_read() -> None:
    names = membership_transport.CAPABILITY_NAMES
    assert [names[flag] for flag in Capability] == ["reports", "copies", "shedding"]


def test_counters_have_the_names_that_operators_read() -> None:
    assert [counter.value for counter in ProtocolCounter] == [
        "sent", "held back", "probes failed", "accused", "gaps", "late turns",
        "numbers beyond the table",
    ]  # fmt: skip


def test_unreachable_proxy_is_reported_dead_and_logged(
    fleet: Fleet, caplog: pytest.LogCaptureFixture
) -> None:
    fleet.loop.run_until(15 * SECOND_US)
    fleet.cut_off.add(2)
    with caplog.at_level(logging.INFO, "larchhaven"):
        fleet.loop.run_until(24 * SECOND_US)
    report = fleet.report(0)
    assert [member["state"] for member in report["members"]] == ["alive", "alive", "dead"]
    assert sorted(report["members"][2]["by"]) == [0, 1]
    assert (report["here"], report["agreed"], report["part"]) == (2, 3, "majority")
    assert fleet.present[0] == {0, 1, 3}  # proxy 3 has sent nothing yet, so it is presumed present
    line = "membership changed: dead: 2 (n2); 2 of 4 present; partition side: majority"
    lines = {record.getMessage(): record for record in caplog.records}
    assert vars(lines[line])["event"] == "members"
    assert vars(lines[line])["detail"] == line.removeprefix("membership changed: ")


def test_changes_within_a_second_are_logged_in_one_line(
    fleet: Fleet, caplog: pytest.LogCaptureFixture
) -> None:
    with caplog.at_level(logging.INFO, "larchhaven"):
        fleet.loop.run_until(4 * SECOND_US)
    line = "alive: 0 (n0), 1 (n1), 2 (n2); 3 of 4 present; partition side: unknown"
    assert [record.getMessage() for record in caplog.records] == [f"membership changed: {line}"] * 3


def test_datagrams_beyond_the_queue_limit_are_dropped_and_counted(fleet: Fleet) -> None:
    fleet.loop.run_until(5 * SECOND_US)
    transport = fleet.transports[0]
    for _ in range(MAX_QUEUED_DATAGRAMS + 3):
        transport.handle_datagram(1, b"M")
    fleet.loop.run_until(fleet.loop.now_us)  # one iteration
    assert fleet.report(0)["refused"] == {"size": MAX_DATAGRAMS_PER_ITERATION}
    fleet.loop.run_until(6 * SECOND_US)
    report = fleet.report(0)
    assert report["counts"]["dropped unread"] == 3
    assert report["refused"] == {"size": MAX_QUEUED_DATAGRAMS}


def test_successor_takes_over_with_a_larger_incarnation(fleet: Fleet) -> None:
    fleet.loop.run_until(5 * SECOND_US)
    transport = fleet.transports[2]
    incarnation = transport.hand_over()
    assert incarnation == 54310401
    sent_before = fleet.report(2)["counts"]["sent"]
    fleet.loop.run_until(6 * SECOND_US)
    assert fleet.report(2)["counts"]["sent"] == sent_before
    fleet.transports[2] = successor = fleet.start(2, 4)
    successor.take_over(incarnation)
    fleet.loop.run_until(10 * SECOND_US)
    assert fleet.report(2)["incarnation"] > incarnation
    assert fleet.report(0)["members"][2]["incarnation"] == fleet.report(2)["incarnation"]


def test_disabled_membership_reports_the_reason() -> None:
    switch = MembershipSwitch(
        cast("EventLoop", ManualLoop()), cast("Any", None), lambda proxy, data: None, False
    )
    assert switch.report_json() == (
        b'{"on":false,"why_off":"the operators\' file does not turn it on (membership.on)"}'
    )
    assert switch.memory_bytes() == 0
    assert not switch.handle_datagram(1, b"M")
    assert switch.hand_over() == 0
    assert not switch.is_handed_over
    switch.apply_settings(Settings())
    switch.start()
    assert switch.disabled_reason()
