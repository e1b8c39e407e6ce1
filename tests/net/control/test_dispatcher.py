"""The dispatcher between real decisions and a transport made of plain objects."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest

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
from larchhaven.net.core.metrics import Metrics
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.routing.events import AttemptResult, Endpoint, EndpointListKind, EndpointListUpdate
from tests.routing.builders import BASIC_SETTINGS


@dataclass
class FakeTransport:
    """Plays servers, attempts, connections and one client."""

    drain_notification_us: int | None = None
    started: list[tuple[int, str]] = field(default_factory=list)
    answers: list[str] = field(default_factory=list)

    def find_address(self, server_id: str) -> tuple[str, int] | None:
        return ("127.0.0.1", 1)

    def drain_notified_at_us(self, server_id: str) -> int | None:
        return self.drain_notification_us

    def begin(
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
        self.answers.append("migrated")


@pytest.fixture
def fake_transport() -> FakeTransport:
    return FakeTransport()


@pytest.fixture
def dispatcher(fake_transport: FakeTransport) -> Dispatcher:
    loop = EventLoop()
    made = Dispatcher(loop, RateLimitedLog(loop), BASIC_SETTINGS, 1, Metrics.for_classes(["chat"]))
    nothing: Any = lambda *_: None  # noqa: E731
    made.attach_transport(Transport(fake_transport, fake_transport.begin, *[nothing] * 7))
    made.queue_event(EndpointListUpdate(EndpointListKind.COMPLETE, 1, (Endpoint("s0"),)))
    loop.on_iteration_end = made.dispatch_events
    return made


def test_list_is_checked_again_when_a_slow_connect_completes(
    dispatcher: Dispatcher, fake_transport: FakeTransport
) -> None:
    """Guards the drain rule: a send counts from its first byte, which a slow connect puts off."""
    token = dispatcher.requests.accept_request(fake_transport, RequestSpec(b"x", 0, None))
    dispatcher.dispatch_events()
    assert fake_transport.started == [(token, "x")]
    assert dispatcher.attempts.may_send_request(token)
    fake_transport.drain_notification_us = dispatcher._loop.now_us
    assert dispatcher.attempts.may_send_request(token)
    fake_transport.drain_notification_us = (
        dispatcher._loop.now_us - BASIC_SETTINGS.drain_grace_us + DRAIN_GRACE_MARGIN_US
    )
    assert not dispatcher.attempts.may_send_request(token)
    assert not dispatcher.attempts.may_send_request(token + 1)


@pytest.mark.parametrize("last", ["up", "left", "overdue"])
def test_request_gets_one_answer_whatever_comes_after(
    dispatcher: Dispatcher, fake_transport: FakeTransport, last: str
) -> None:
    """Guards the one final answer: events of a request that is over must find nobody."""
    token = dispatcher.requests.accept_request(fake_transport, RequestSpec(b"x", 0, 100_000))
    dispatcher.dispatch_events()
    if last == "up":
        dispatcher.attempts.on_attempt_established(token)
    elif last == "left":
        dispatcher.requests.on_client_disconnected(token)
    else:
        dispatcher.requests._on_deadline(token)
    first = list(fake_transport.answers)
    assert (
        first == {"up": ["served"], "left": ["cancelled"], "overdue": ["cancelled", "failed"]}[last]
    )
    dispatcher.dispatch_events()
    dispatcher.attempts.on_attempt_established(token)
    dispatcher.attempts.on_attempt_failed(token, AttemptResult.RESET, None)
    dispatcher.requests._on_deadline(token)
    dispatcher.requests.on_client_disconnected(token)
    dispatcher.dispatch_events()
    assert fake_transport.answers == first
    dispatcher.connections.on_connection_ended(token, AttemptResult.OK, None)
    assert dispatcher.requests.count_requests() == 0


def test_slow_messages_are_reported_once_a_second_and_once_when_over(
    dispatcher: Dispatcher, fake_transport: FakeTransport
) -> None:
    token = dispatcher.requests.accept_request(fake_transport, RequestSpec(b"x", 0, None))
    dispatcher.dispatch_events()
    dispatcher.attempts.on_attempt_established(token)
    dispatcher.dispatch_events()
    events: list[Any] = []
    dispatcher.connections._queue_event = events.append
    for delay in (1_000, 90_000, 80_000, 2_000, 3_000):
        dispatcher.connections.on_message_answered(token, delay)
    assert [event.delay_us for event in events] == [90_000, 2_000]
