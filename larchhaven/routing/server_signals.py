"""Server signals other than attempt results: message delays, silence, and health checks."""

from __future__ import annotations

from collections.abc import Mapping

from larchhaven.routing.events import (
    AttemptResult,
    HealthCheckCompleted,
    MessageDelayObserved,
    ServerUnresponsive,
)
from larchhaven.routing.health_checks import HealthChecks
from larchhaven.routing.migration import Migration
from larchhaven.routing.outlier_ejection import OUTLIER_RESULTS, OutlierEjection
from larchhaven.routing.placement import Placement
from larchhaven.routing.ranking import Ranking
from larchhaven.routing.request import Request
from larchhaven.routing.server import Server
from larchhaven.routing.settings import RoutingSettings

SLOW_MESSAGE_DIVISOR = 3  # a message is slow above the latency objective divided by this


class ServerSignals:
    """Ranks, ejects and rebalances servers according to their signals."""

    def __init__(
        self,
        *,
        settings: RoutingSettings,
        requests: Mapping[int, Request],
        servers: Mapping[str, Server],
        ejection: OutlierEjection,
        ranking: Ranking,
        health_checks: HealthChecks,
        migration: Migration,
        placement: Placement,
    ) -> None:
        self._message_objective_us = min(
            each.message_latency_objective_us or each.latency_objective_us
            for each in settings.classes
        )
        self._requests = requests
        self._servers = servers
        self._ejection = ejection
        self._ranking = ranking
        self._health_checks = health_checks
        self._migration = migration
        self._placement = placement

    def on_message_delay_observed(self, event: MessageDelayObserved) -> None:
        """Rank a server by its message delay; a very long delay may indicate an overload."""
        server = self._servers.get(event.server_id)
        if server is None:
            return
        objective_us = self._message_objective_us
        is_slow = event.delay_us > objective_us / SLOW_MESSAGE_DIVISOR
        self._ranking.mark_slow(server, is_slow)
        if event.delay_us > objective_us:
            self._migration.check_overload(server)

    def on_server_unresponsive(self, event: ServerUnresponsive) -> None:
        """Eject a silent server, and migrate the connection to make its client reconnect."""
        request = self._requests.get(event.request_id)
        server = self._servers.get(event.server_id)
        if server is not None:
            self._ejection.eject_server(server)
        if request is not None and request.attempt_in_flight == event.attempt:
            self._migration.migrate(request)

    def on_health_check_completed(self, event: HealthCheckCompleted) -> None:
        """Apply the result of a health check, and resume the requests that waited for it."""
        server = self._servers.get(event.server_id)
        if server is not None and event.result is AttemptResult.OK:
            self._ranking.apply_report(server, event.report, event.latency_us)
            self._migration.rebalance_server(server)
        elif server is not None and event.result in OUTLIER_RESULTS:
            self._ejection.eject_server(server)
        for request in self._health_checks.finish_check(event.server_id):
            self._placement.resume_after_checks(request)
