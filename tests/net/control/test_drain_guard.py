"""Servers that are draining or administratively ejected."""

from __future__ import annotations

from larchhaven.net.control.drain_guard import DRAIN_GRACE_MARGIN_US, DrainGuard
from larchhaven.net.core.event_loop import EventLoop

GRACE_US = 1_000_000
SEND_WINDOW_US = GRACE_US - DRAIN_GRACE_MARGIN_US


class FakeEndpoints:
    """Fake endpoint directory."""

    def __init__(self) -> None:
        self.drained_at_us: int | None = None

    def find_address(self, server_id: str) -> tuple[str, int] | None:
        return ("127.0.0.1", 1)

    def drain_notified_at_us(self, server_id: str) -> int | None:
        return self.drained_at_us


def make_guard() -> tuple[EventLoop, FakeEndpoints, DrainGuard]:
    loop, endpoints = EventLoop(), FakeEndpoints()
    guard = DrainGuard(loop, GRACE_US)
    guard.attach_endpoints(endpoints)
    return loop, endpoints, guard


def test_draining_server_may_be_used_until_shortly_before_its_drain_grace_ends() -> None:
    loop, endpoints, guard = make_guard()
    assert guard.may_send_to("s0")
    endpoints.drained_at_us = loop.now_us - SEND_WINDOW_US + 1
    assert guard.may_send_to("s0")
    endpoints.drained_at_us -= 1
    assert not guard.may_send_to("s0")


def test_drain_grace_counts_from_the_first_report_of_an_ejection_until_it_is_revoked() -> None:
    loop, _endpoints, guard = make_guard()
    guard.set_ejection("s0", True)
    loop.now_us += SEND_WINDOW_US - 1
    guard.set_ejection("s0", True)
    assert guard.may_send_to("s0")
    loop.now_us += 1
    assert not guard.may_send_to("s0")
    assert guard.may_send_to("s1")
    guard.set_ejection("s0", False)
    assert guard.may_send_to("s0")
