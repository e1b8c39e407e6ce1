"""Runs the attempts that the balancer starts or cancels, and reports their results to it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larchhaven.net.control.drain_guard import DrainGuard
from larchhaven.net.control.interfaces import (
    ConnectionObserver,
    EndpointAddresses,
    UpstreamAttempt,
)
from larchhaven.net.control.request import Request, RequestState
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.metrics import Metrics
from larchhaven.routing.actions import CancelAttempt, StartAttempt
from larchhaven.routing.events import AttemptResult, ConnectionEstablished, Event, LoadReport
from larchhaven.routing.retries import NOT_EXECUTED_RESULTS


class RequestFinder(Protocol):
    """The part of the request table that attempts need."""

    def find_request(self, request_id: int) -> Request | None:
        """Return an open request, or None if it has ended."""

    def answer_established(self, request: Request, observer: ConnectionObserver) -> None:
        """Connect a client to the server that has accepted its request."""


class AttemptTransport(Protocol):
    """Starts attempts at servers."""

    @property
    def endpoints(self) -> EndpointAddresses:
        """Addresses of servers."""

    def start_attempt(
        self, request_id: int, payload: bytes, address: tuple[str, int], timeout_us: int, /
    ) -> UpstreamAttempt:
        """Start an attempt of a request at an address."""


class AttemptRunner:
    """Runs at most one attempt of each request at a time.

    Args:
        loop: The event loop.
        requests: The open requests.
        connections: Observes the connections that result from attempts.
        drain_guard: Tells whether a server may still be sent requests.
        metrics: Counts requests sent to servers.
        queue_event: Queues events for the balancer.
        is_attempt_allowed: Asks the balancer whether the running attempt may still send its
            request, given the current time in microseconds and the request id.
    """

    def __init__(
        self,
        loop: EventLoop,
        requests: RequestFinder,
        connections: ConnectionObserver,
        drain_guard: DrainGuard,
        metrics: Metrics,
        queue_event: Callable[[Event], None],
        is_attempt_allowed: Callable[[int, int], bool],
    ) -> None:
        self._loop = loop
        self._requests = requests
        self._connections = connections
        self._drain_guard = drain_guard
        self._metrics = metrics
        self._queue_event = queue_event
        self._is_attempt_allowed = is_attempt_allowed
        self._transport: AttemptTransport

    def attach_transport(self, transport: AttemptTransport) -> None:
        """Set the transport that starts attempts; call this before the first action."""
        self._transport = transport

    # Actions

    def start_attempt(self, action: StartAttempt) -> None:
        """Start an attempt, unless the request has been answered or has a running attempt."""
        request = self._requests.find_request(action.request_id)
        if request is None or request.state is not RequestState.WAITING:
            return
        now_us = self._loop.now_us
        request.assign_server(action.server_id, now_us)
        address = self._transport.endpoints.find_address(action.server_id)
        remaining_us = request.deadline_us - now_us
        timeout_us = min(action.timeout_us or remaining_us, remaining_us)
        can_start = timeout_us > 0 and self._drain_guard.may_send_to(action.server_id)
        if address is None or not can_start:
            self._queue_attempt_end(request, AttemptResult.NOT_SENT)
            return
        request.begin_attempt(
            self._transport.start_attempt(
                action.request_id, request.spec.payload, address, timeout_us
            )
        )

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt if it is still running."""
        request = self._requests.find_request(action.request_id)
        if request is None or request.state is not RequestState.ATTEMPTING:
            return
        if request.attempt_number == action.attempt:
            request.take_attempt().cancel()
            self._queue_attempt_end(request, AttemptResult.CANCELLED)

    # Progress

    def may_send_request(self, request_id: int) -> bool:
        """Return whether the first byte of a request may be sent now.

        The connect may have taken long. Since it began, the client may have disconnected, or the
        server may have started to drain.
        """
        request = self._requests.find_request(request_id)
        if request is None:
            return False
        if request.client is not None:
            request.client.read_available()
            if request.state is RequestState.ENDED:
                return False  # the client has disconnected
        can_send = self._drain_guard.may_send_to(request.server_id)
        return can_send and self._is_attempt_allowed(self._loop.now_us, request_id)

    def on_request_sent(self, request_id: int) -> None:
        """Count a request as sent; from now on, its server may have executed it."""
        self._metrics.upstream_requests += 1
        request = self._requests.find_request(request_id)
        if request is not None:
            request.note_sent(self._loop.now_us)

    def on_attempt_established(self, request_id: int) -> None:
        """Connect a client to the server that has accepted its request."""
        request = self._requests.find_request(request_id)
        if request is None or request.state is not RequestState.ATTEMPTING:
            return
        latency_us = self._loop.now_us - request.attempt_started_us
        self._queue_event(
            ConnectionEstablished(request_id, request.attempt_number, request.server_id, latency_us)
        )
        self._requests.answer_established(request, self._connections)

    def on_attempt_failed(
        self, request_id: int, result: AttemptResult, report: LoadReport | None
    ) -> None:
        """Handle an attempt that ended without a connection."""
        request = self._requests.find_request(request_id)
        if request is not None and request.state is RequestState.ATTEMPTING:
            request.take_attempt()
            if result in NOT_EXECUTED_RESULTS:
                request.note_not_executed()
            self._queue_attempt_end(request, result, report)

    def _queue_attempt_end(
        self, request: Request, result: AttemptResult, report: LoadReport | None = None
    ) -> None:
        self._queue_event(
            request.report_attempt_end(result, self._loop.now_us, is_final=False, report=report)
        )
