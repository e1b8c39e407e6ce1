"""Handling of attempt events: established connections, failures, disconnects, load changes."""

from __future__ import annotations

from collections.abc import Mapping

from larchhaven.routing.actions import CancelAttempt
from larchhaven.routing.affinity import StickyTable
from larchhaven.routing.arrival_statistics import ArrivalStatistics
from larchhaven.routing.circuit_breaker import SHARED_FAILURES, CircuitBreaker
from larchhaven.routing.connections import ConnectionTable
from larchhaven.routing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
    ConnectionRestored,
)
from larchhaven.routing.migration import Migration
from larchhaven.routing.outlier_ejection import (
    OUTLIER_RESULTS,
    SUSPECT_RESULTS,
    OutlierEjection,
)
from larchhaven.routing.placement import Placement
from larchhaven.routing.ranking import Ranking
from larchhaven.routing.request import Request, RequestState
from larchhaven.routing.retries import RetryPolicy
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import Server
from larchhaven.routing.settings import RoutingSettings

# A failure within this fraction of the latency objective may be caused by the request itself.
FAST_FAILURE_OBJECTIVES = 0.5


class AttemptEvents:
    """Handles the events of attempts and connections, and retries failed attempts."""

    def __init__(
        self,
        *,
        settings: RoutingSettings,
        scheduler: Scheduler,
        requests: Mapping[int, Request],
        servers: Mapping[str, Server],
        connections: ConnectionTable,
        arrivals: ArrivalStatistics,
        breaker: CircuitBreaker,
        ejection: OutlierEjection,
        retry_policy: RetryPolicy,
        ranking: Ranking,
        sticky_table: StickyTable,
        migration: Migration,
        placement: Placement,
    ) -> None:
        self._can_cancel = settings.can_cancel
        self._scheduler = scheduler
        self._requests = requests
        self._servers = servers
        self._connections = connections
        self._arrivals = arrivals
        self._breaker = breaker
        self._ejection = ejection
        self._retry_policy = retry_policy
        self._ranking = ranking
        self._sticky_table = sticky_table
        self._migration = migration
        self._placement = placement

    def on_connection_restored(self, event: ConnectionRestored) -> None:
        """Add a connection that the predecessor established before a hot restart."""
        request = self._placement.add_request(event.arrival)
        request.begin_attempt(self._servers.get(event.server_id))
        request.establish()
        self._add_connection(request)

    def on_connection_established(self, event: ConnectionEstablished) -> None:
        """Record an established connection, and eject the servers that failed its request fast."""
        request = self._requests.get(event.request_id)
        if request is None or request.attempt_in_flight != event.attempt:
            return
        request.establish()
        self._breaker.record_success()
        for server in request.suspected_outliers:
            # Another server accepted the request, so the request was not at fault.
            self._ejection.eject_server(server)
        self._add_connection(request)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Record the result of an attempt, then retry or close its request."""
        request = self._requests.get(event.request_id)
        server = self._servers.get(event.server_id)
        is_fast = False
        # An invalid request fails fast at every server, and so does one with no time left. Such
        # failures must not count against the servers.
        if request is not None and not request.is_established:
            objective_us = request.request_class.latency_objective_us
            is_fast = event.latency_us < FAST_FAILURE_OBJECTIVES * objective_us
        if server is not None:
            self._record_server_result(server, request, event, is_fast)
        if request is None or request.attempt_in_flight != event.attempt:
            return
        self._count_failure(request, event.result, is_fast)
        self._end_attempt(request, event)
        if event.is_final or request.state is RequestState.CLOSED:
            self._placement.close(request)
        else:
            self._placement.place(request)

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Cancel the attempt of a request whose client disconnected."""
        request = self._requests.get(event.request_id)
        if request is None:
            return
        attempt = request.attempt_in_flight
        is_attempting = request.state is RequestState.ATTEMPTING
        if attempt is not None and is_attempting and self._can_cancel:
            self._scheduler.emit(CancelAttempt(request.id, attempt))
        self._placement.close(request)

    def on_connection_load_changed(self, event: ConnectionLoadChanged) -> None:
        """Record the new load of a connection."""
        request = self._requests.get(event.request_id)
        if request is None or request.attempt_in_flight != event.attempt:
            return
        self._arrivals.record_class_load(request.class_index, event.load)
        if request.server is not None:
            self._ranking.apply_load_change(request.server, event.load - request.load)
        request.load = event.load

    def _add_connection(self, request: Request) -> None:
        self._connections.add_connection(request)
        if request.server is not None and request.key_hash:
            # Replicated, so that other proxies can find the server if this proxy crashes.
            self._sticky_table.remember_connection(request.key_hash, request.server)
        self._migration.on_connection_established(request)

    def _record_server_result(
        self, server: Server, request: Request | None, event: AttemptEnded, is_fast: bool
    ) -> None:
        """Update the load and the health of a server by the result of an attempt."""
        self._ranking.apply_report(server, event.report, event.latency_us)
        if request is not None and is_fast and event.result in SUSPECT_RESULTS:
            request.suspected_outliers.append(server)
        elif is_fast and event.result is AttemptResult.TIMEOUT:
            return  # the request had no time left; any server would have timed out
        elif event.result in OUTLIER_RESULTS:
            self._ejection.eject_server(server)
        elif event.result is AttemptResult.OVERLOADED:
            self._ranking.mark_full(server)

    def _count_failure(self, request: Request, result: AttemptResult, is_fast: bool) -> None:
        """Report a failed set-up to the circuit breaker, unless the request may be at fault."""
        if result not in SHARED_FAILURES or request.is_established:
            return
        is_first_error = result is AttemptResult.ERROR and request.attempt_count == 1
        if is_first_error or not is_fast:
            self._breaker.record_failure()

    def _end_attempt(self, request: Request, event: AttemptEnded) -> None:
        if request.is_established:
            self._connections.remove_connection(request)
        server = request.server
        if server is not None:
            self._ranking.apply_load_change(server, -request.load)
            self._retry_policy.record_end(request, server, event.result, event.latency_us)
        request.end_attempt()
