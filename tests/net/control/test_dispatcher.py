"""The dispatcher between real decisions and a transport made of plain objects."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest

from larchhaven.net.admin.metrics import Metrics
from larchhaven.net.control.dispatcher import Dispatcher
from larchhaven.net.control.drain_guard import DRAIN_GRACE_MARGIN_US
from larchhaven.net.control.interfaces import (
    ConnectionObserver,
    EstablishedConnection,
    Transport,
    UpstreamAttempt,
)
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.routing.events import AttemptResult, Endpoint, EndpointListKind, EndpointListUpdate
from tests.world import PLAIN


@dataclass
class Transports:
    """Plays servers, attempts, connections and one client."""

    drain_notified_us: int | None = None
    started: list[tuple[int, str]] = field(default_factory=list)
    answers: list[str] = field(default_factory=list)

    def find_address(self, server_id: str) -> tuple[str, int] | None:
        return ("127.0.0.1", 1)

    def drain_notified_at_us(self, server_id: str) -> int | None:
        return self.drain_notified_us

    def start_attempt(
        self, request_id: int, payload: bytes, address: tuple[str, int], timeout_us: int
    ) -> UpstreamAttempt:
        self.started.append((request_id, payload.decode()))
        return self

    def cancel(self) -> None:
        self.answers.append("cancelled")

    def read_available(self) -> None:
        """Nothing: the client stays."""

    def send_rejection(self, retry_after_us: int) -> None:
        self.answers.append(f"rejected {retry_after_us}")

    def send_failure(self) -> None:
        self.answers.append("failed")

    def establish_connection(
        self, attempt: UpstreamAttempt, request_id: int, observer: ConnectionObserver
    ) -> EstablishedConnection:
        self.answers.append("served")
        return self

    def detach_sockets(self) -> None:
        self.answers.append("released")

    def migrate(self) -> None:
        self.answers.append("moved")


@pytest.fixture
def transports() -> Transports:
    return Transports()


@pytest.fixture
def dispatcher(transports: Transports) -> Dispatcher:
    loop = EventLoop()
    made = Dispatcher(loop, RateLimitedLog(loop), PLAIN, 1, Metrics.for_classes(["chat"]))
    nothing: Any = lambda *_: None  # noqa: E731
    made.attach_transport(Transport(transports, transports.start_attempt, *[nothing] * 7))
    made.queue_event(EndpointListUpdate(EndpointListKind.COMPLETE, 1, (Endpoint("s0"),)))
    loop.on_iteration_end = made.dispatch_events
    return made


def test_list_is_checked_again_when_a_slow_connect_completes(
    dispatcher: Dispatcher, transports: Transports
) -> None:
    """Guards the drain rule: a send counts from its first byte, which a slow connect puts off."""
    request_id = dispatcher.requests.accept_request(transports, RequestSpec(b"x", 0, None))
    dispatcher.dispatch_events()
    assert transports.started == [(request_id, "x")]
    assert dispatcher.attempts.may_send_request(request_id)
    transports.drain_notified_us = dispatcher._loop.now_us
    assert dispatcher.attempts.may_send_request(request_id)
    transports.drain_notified_us = (
        dispatcher._loop.now_us - PLAIN.drain_grace_us + DRAIN_GRACE_MARGIN_US
    )
    assert not dispatcher.attempts.may_send_request(request_id)
    assert not dispatcher.attempts.may_send_request(request_id + 1)


@pytest.mark.parametrize("last", ["up", "left", "overdue"])
def test_request_gets_one_answer_whatever_comes_after(
    dispatcher: Dispatcher, transports: Transports, last: str
) -> None:
    """Guards the one final answer: events of a request that is over must find nobody."""
    request_id = dispatcher.requests.accept_request(transports, RequestSpec(b"x", 0, 100_000))
    dispatcher.dispatch_events()
    if last == "up":
        dispatcher.attempts.on_attempt_established(request_id)
    elif last == "left":
        dispatcher.requests.on_client_disconnected(request_id)
    else:
        dispatcher.requests._on_deadline(request_id)
    first = list(transports.answers)
    assert (
        first == {"up": ["served"], "left": ["cancelled"], "overdue": ["cancelled", "failed"]}[last]
    )
    dispatcher.dispatch_events()
    dispatcher.attempts.on_attempt_established(request_id)
    dispatcher.attempts.on_attempt_failed(request_id, AttemptResult.RESET, None)
    dispatcher.requests._on_deadline(request_id)
    dispatcher.requests.on_client_disconnected(request_id)
    dispatcher.dispatch_events()
    assert transports.answers == first
    dispatcher.connections.on_connection_ended(request_id, AttemptResult.OK, None)
    assert dispatcher.requests.count_requests() == 0


def test_slow_messages_are_reported_once_a_second_and_once_when_over(
    dispatcher: Dispatcher, transports: Transports
) -> None:
    request_id = dispatcher.requests.accept_request(transports, RequestSpec(b"x", 0, None))
    dispatcher.dispatch_events()
    dispatcher.attempts.on_attempt_established(request_id)
    dispatcher.dispatch_events()
    delays_us: list[float] = []
    dispatcher.connections._queue_event = lambda event: delays_us.append(event.delay_us)  # type: ignore
    for delay in (1_000, 90_000, 80_000, 2_000, 3_000):
        dispatcher.connections.on_message_answered(request_id, delay)
    assert delays_us == [90_000, 2_000]
