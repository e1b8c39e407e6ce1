"""The dispatcher with a real balancer and a fake transport."""

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
    """Fakes servers, attempts, connections and one client."""

    drain_notification_us: int | None = None
    started: list[tuple[int, str]] = field(default_factory=list)
    answers: list[str] = field(default_factory=list)

    def find_address(self, server_id: str) -> tuple[str, int] | None:
        return ("127.0.0.1", 1)

    def drain_notified_at_us(self, server_id: str) -> int | None:
        return self.drain_notification_us

    def start_attempt(
        self, request_id: int, payload: bytes, address: tuple[str, int], timeout_us: int
    ) -> UpstreamAttempt:
        self.started.append((request_id, payload.decode()))
        return self

    def cancel(self) -> None:
        self.answers.append("cancelled")

    def read_available(self) -> None:
        """Do nothing: the client stays connected."""

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

    def end_migration(self) -> None:
        self.answers.append("ended")


@pytest.fixture
def fake_transport() -> FakeTransport:
    return FakeTransport()


@pytest.fixture
def dispatcher(fake_transport: FakeTransport) -> Dispatcher:
    loop = EventLoop()
    new_dispatcher = Dispatcher(
        loop, RateLimitedLog(loop), BASIC_SETTINGS, 1, Metrics.for_classes(["chat"])
    )
    ignore: Any = lambda *_: None  # noqa: E731
    new_dispatcher.attach_transport(
        Transport(fake_transport, fake_transport.start_attempt, *[ignore] * 7)
    )
    new_dispatcher.queue_event(EndpointListUpdate(EndpointListKind.COMPLETE, 1, (Endpoint("s0"),)))
    loop.on_iteration_end = new_dispatcher.dispatch_events
    return new_dispatcher


def test_drain_state_is_checked_again_when_a_slow_connect_completes(
    dispatcher: Dispatcher, fake_transport: FakeTransport
) -> None:
    """A slow connect must not lead to a request after the drain grace of its server.

    The drain rule applies when the first byte is sent, not when the server is chosen.
    """
    request_id = dispatcher.requests.accept_request(fake_transport, RequestSpec(b"x", 0, None))
    dispatcher.dispatch_events()
    assert fake_transport.started == [(request_id, "x")]
    assert dispatcher.attempts.may_send_request(request_id)
    fake_transport.drain_notification_us = dispatcher._loop.now_us
    assert dispatcher.attempts.may_send_request(request_id)
    fake_transport.drain_notification_us = (
        dispatcher._loop.now_us - BASIC_SETTINGS.drain_grace_us + DRAIN_GRACE_MARGIN_US
    )
    assert not dispatcher.attempts.may_send_request(request_id)
    assert not dispatcher.attempts.may_send_request(request_id + 1)


@pytest.mark.parametrize("end", ["established", "disconnected", "overdue"])
def test_request_gets_one_answer_regardless_of_later_events(
    dispatcher: Dispatcher, fake_transport: FakeTransport, end: str
) -> None:
    """Late events of a request that has ended must not cause a second answer."""
    request_id = dispatcher.requests.accept_request(fake_transport, RequestSpec(b"x", 0, 100_000))
    dispatcher.dispatch_events()
    if end == "established":
        dispatcher.attempts.on_attempt_established(request_id)
    elif end == "disconnected":
        dispatcher.requests.on_client_disconnected(request_id)
    else:
        dispatcher.requests._on_deadline(request_id)
    answers = list(fake_transport.answers)
    assert (
        answers
        == {
            "established": ["served"],
            "disconnected": ["cancelled"],
            "overdue": ["cancelled", "failed"],
        }[end]
    )
    dispatcher.dispatch_events()
    dispatcher.attempts.on_attempt_established(request_id)
    dispatcher.attempts.on_attempt_failed(request_id, AttemptResult.RESET, None)
    dispatcher.requests._on_deadline(request_id)
    dispatcher.requests.on_client_disconnected(request_id)
    dispatcher.dispatch_events()
    assert fake_transport.answers == answers
    dispatcher.connections.on_connection_ended(request_id, AttemptResult.OK, None)
    assert dispatcher.requests.count_requests() == 0


def test_slow_messages_are_reported_once_per_second_and_then_the_first_fast_one(
    dispatcher: Dispatcher, fake_transport: FakeTransport
) -> None:
    request_id = dispatcher.requests.accept_request(fake_transport, RequestSpec(b"x", 0, None))
    dispatcher.dispatch_events()
    dispatcher.attempts.on_attempt_established(request_id)
    dispatcher.dispatch_events()
    events: list[Any] = []
    dispatcher.connections._queue_event = events.append
    for delay_us in (1_000, 90_000, 80_000, 2_000, 3_000):
        dispatcher.connections.on_message_answered(request_id, delay_us)
    assert [event.delay_us for event in events] == [90_000, 2_000]
