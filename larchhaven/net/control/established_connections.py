"""Established connections: events, migration, and transfer between processes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larchhaven.net.control.interfaces import EstablishedConnection
from larchhaven.net.control.message_delay_filter import MessageDelayFilter
from larchhaven.net.control.request import Request
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.routing.actions import MigrateConnection
from larchhaven.routing.events import (
    AttemptResult,
    ConnectionLoadChanged,
    ConnectionRestored,
    Event,
    LoadReport,
    MessageDelayObserved,
    RequestArrived,
    ServerUnresponsive,
)


class ConnectionRequests(Protocol):
    """The part of the request table that established connections need."""

    def find_request(self, request_id: int) -> Request | None:
        """Return an open request, or None if it has ended."""

    def list_established(self) -> list[Request]:
        """Return the requests whose connections are established."""

    def add_request(self, request: Request) -> int:
        """Add a request; return its id."""

    def remove_request(self, request_id: int) -> Request | None:
        """Remove a request; return it, or None if it had already ended."""


class EstablishedConnections:
    """Manages the connections between clients and servers, identified by their request ids.

    Args:
        loop: The event loop.
        requests: The open requests, including those of established connections.
        delay_filter: Selects the message delays to report as events.
        queue_event: Queues events for the balancer.
    """

    def __init__(
        self,
        loop: EventLoop,
        requests: ConnectionRequests,
        delay_filter: MessageDelayFilter,
        queue_event: Callable[[Event], None],
    ) -> None:
        self._loop = loop
        self._requests = requests
        self._delay_filter = delay_filter
        self._queue_event = queue_event

    # Reports

    def on_load_changed(self, request_id: int, load: float) -> None:
        """Report the new load of a connection, in cores."""
        request = self._requests.find_request(request_id)
        if request is not None:
            request.load = load
            self._queue_event(
                ConnectionLoadChanged(request_id, request.attempt_number, request.server_id, load)
            )

    def on_message_answered(self, request_id: int, delay_us: int) -> None:
        """Report how long a server took to answer, if the filter selects this delay."""
        request = self._requests.find_request(request_id)
        if request is None:
            return
        if self._delay_filter.should_report(request.server_id, delay_us, self._loop.now_us):
            self._queue_event(
                MessageDelayObserved(
                    request_id, request.attempt_number, request.server_id, float(delay_us)
                )
            )

    def on_message_waiting(self, request_id: int, age_us: int) -> None:
        """Report the age of the oldest unanswered message, if the filter selects this delay."""
        self.on_message_answered(request_id, age_us)

    def on_server_unresponsive(self, request_id: int, age_us: int) -> None:
        """Report a message unanswered for so long that the connection should be migrated."""
        request = self._requests.find_request(request_id)
        if request is not None:
            self._queue_event(
                ServerUnresponsive(request_id, request.attempt_number, request.server_id, age_us)
            )

    def on_connection_ended(
        self, request_id: int, result: AttemptResult, report: LoadReport | None
    ) -> None:
        """Remove a connection that has ended, and report its result."""
        request = self._requests.remove_request(request_id)
        if request is not None:
            self._queue_connection_end(request, result, report)

    def forget_server(self, server_id: str) -> None:
        """Forget the message delays of a removed server."""
        self._delay_filter.forget_server(server_id)

    # Migration

    def migrate_connection(self, action: MigrateConnection) -> None:
        """Ask a client to reconnect, if its connection is established."""
        request = self._requests.find_request(action.request_id)
        if request is not None and request.connection is not None:
            request.connection.migrate()

    def migrate_all_connections(self) -> None:
        """Ask every client with an established connection to reconnect."""
        for request in self._requests.list_established():
            if request.connection is not None:
                request.connection.migrate()

    def end_migrations(self) -> None:
        """End every connection whose migration still waits for the end of a line."""
        for request in self._requests.list_established():
            if request.connection is not None:
                request.connection.end_migration()

    # Hot restart

    def list_connections(self) -> list[Request]:
        """Return the requests whose connections are established."""
        return self._requests.list_established()

    def release_connection(self, request_id: int) -> None:
        """Remove a connection that another process has taken over."""
        request = self._requests.remove_request(request_id)
        if request is not None and request.connection is not None:
            request.connection.detach_sockets()
            self._queue_connection_end(request, AttemptResult.CANCELLED)

    def adopt_connection(
        self,
        spec: RequestSpec,
        server_id: str,
        connect: Callable[[int], EstablishedConnection],
    ) -> None:
        """Take over an established connection from another process.

        Args:
            spec: Parameters of its request, without the payload.
            server_id: Id of its server.
            connect: Creates the connection from its sockets, given the request id.
        """
        now_us = self._loop.now_us
        request = Request(None, spec, now_us)
        request.attempt_number = 0
        request.server_id = server_id
        request.attempt_started_us = now_us
        request_id = self._requests.add_request(request)
        arrival = RequestArrived(
            request_id,
            spec.class_index,
            0,
            spec.tenant_index,
            spec.affinity_key,
            spec.load,
            spec.affinity_group,
        )
        self._queue_event(ConnectionRestored(arrival, server_id))
        request.connection = connect(request_id)

    def _queue_connection_end(
        self, request: Request, result: AttemptResult, report: LoadReport | None = None
    ) -> None:
        self._queue_event(
            request.report_attempt_end(result, self._loop.now_us, is_final=True, report=report)
        )
