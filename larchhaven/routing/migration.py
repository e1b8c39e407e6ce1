"""Migration of established connections: server drains, proxy shutdown, and rebalancing."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from functools import partial
from typing import NamedTuple

from larchhaven.routing.actions import MigrateConnection
from larchhaven.routing.arrival_statistics import ArrivalStatistics
from larchhaven.routing.connections import ConnectionTable
from larchhaven.routing.events import ProxyDraining, ServerState
from larchhaven.routing.health_checks import HealthChecks
from larchhaven.routing.load_estimate import REPORT_LAG_US, LoadEstimate
from larchhaven.routing.request import Request, RequestState
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import Server
from larchhaven.routing.settings import RoutingSettings


class RebalancingLimits(NamedTuple):
    """Limits on moving connections off an overloaded server.

    Attributes:
        from_ratio: Load ratio above which a server is rebalanced.
        target_ratio: Load ratio to rebalance down to, or the fleet mean if that is higher.
        budget_per_request: Fraction of a request's value that may be spent on migrations.
        cool_down_lags: Pause between two rebalancings of a server, in report lags.
    """

    from_ratio: float = 0.9
    target_ratio: float = 0.75
    budget_per_request: float = 0.01
    cool_down_lags: int = 3  # migrated clients take a while to reconnect


class DrainPace(NamedTuple):
    """Pace at which the connections of a draining server are migrated.

    Attributes:
        max_arrival_multiple: Maximum rate, as a multiple of the arrival rate of new connections.
        max_grace_multiple: Maximum duration, as a multiple of the drain grace; takes precedence
            over the rate.
    """

    max_arrival_multiple: float = 4.0
    max_grace_multiple: float = 2.0


REBALANCING = RebalancingLimits()
DRAIN_PACE = DrainPace()
SHUTDOWN_FRACTION = 0.8  # a draining proxy spreads its migrations over this fraction of its time


class Migration:
    """Closes established connections gracefully, so that their clients reconnect elsewhere.

    Attributes:
        credit: Migrations that rebalancing may still make; each arriving request adds to it.
    """

    def __init__(
        self,
        *,
        settings: RoutingSettings,
        scheduler: Scheduler,
        rng: random.Random,
        arrivals: ArrivalStatistics,
        load_estimate: LoadEstimate,
        health_checks: HealthChecks,
        connections: ConnectionTable,
        requests: Mapping[int, Request],
    ) -> None:
        self.credit = 0.0
        self._drain_grace_us = settings.drain_grace_us
        budget = REBALANCING.budget_per_request
        self._credit_per_request = min(budget / max(settings.costs.migration, budget), 1.0)
        self._scheduler = scheduler
        self._rng = rng
        self._arrivals = arrivals
        self._load_estimate = load_estimate
        self._health_checks = health_checks
        self._connections = connections
        self._requests = requests
        self._shutdown_by_us = 0  # deadline of all migrations; 0 unless the proxy drains

    def record_arrival(self) -> None:
        """Add the credit that one request earns."""
        self.credit += self._credit_per_request

    def migrate(self, request: Request) -> None:
        """Migrate a connection if it is established and not closing yet."""
        if request.state is RequestState.ESTABLISHED:
            self._scheduler.emit(MigrateConnection(request.id))
            request.close()

    def on_connection_established(self, request: Request) -> None:
        """Migrate a new connection if its server or this proxy is draining."""
        server = request.server
        if server is not None and server.state is ServerState.DRAINING:
            self.drain_connections(server, [request])
        if self._shutdown_by_us:
            self._migrate_before_shutdown(request)

    def on_proxy_draining(self, event: ProxyDraining) -> None:
        """Migrate all connections in the time left, evenly spread to avoid flooding the servers.

        A drain time of 0 cancels the drain.
        """
        self._shutdown_by_us = 0
        if event.within_us:
            within_us = int(SHUTDOWN_FRACTION * event.within_us)
            self._shutdown_by_us = self._scheduler.now_us + within_us
            for request in self._requests.values():
                self._migrate_before_shutdown(request)

    def drain_server(self, server: Server) -> None:
        """Migrate all connections of a server that starts draining."""
        self.drain_connections(server, list(self._connections.on_server(server).values()))

    def drain_connections(self, server: Server, requests: Iterable[Request]) -> None:
        """Migrate connections before a draining server cuts them, each after a random delay.

        The delays span the drain grace, or more if the other servers would be flooded.
        """
        grace_us = self._drain_grace_us
        max_rate = DRAIN_PACE.max_arrival_multiple * self._arrivals.arrivals_per_us()
        paced_us = max(len(self._connections.on_server(server)) / max_rate, grace_us)
        spread_us = min(paced_us, DRAIN_PACE.max_grace_multiple * grace_us)
        for request in requests:
            delay_us = self._rng.random() * spread_us
            self._scheduler.start_timer(delay_us, partial(self._migrate_if_draining, request))

    def rebalance_server(self, server: Server) -> None:
        """Migrate this proxy's share of a server's excess load, heaviest connections first."""
        ratio = server.reported_ratio
        if ratio is None or ratio <= REBALANCING.from_ratio:
            return
        target = max(self._load_estimate.mean_ratio(), REBALANCING.target_ratio)
        connections = self._connections.on_server(server)
        if target >= REBALANCING.from_ratio or not connections:
            return
        if server.migrated_until_us > self._scheduler.now_us:
            return
        self._begin_cool_down(server)
        cool_down_us = server.next_rebalance_at_us - self._scheduler.now_us
        self._scheduler.start_timer(cool_down_us, partial(self._recheck_server, server))
        server.migrated_until_us = server.next_rebalance_at_us
        excess = (1 - target / ratio) * sum(request.load for request in connections.values())
        for request in sorted(connections.values(), key=lambda each: -each.load):
            if excess <= 0 or self.credit < 1:
                break
            if self._rng.random() * request.load < excess:
                self.credit -= 1
                self.migrate(request)
            excess -= request.load

    def check_overload(self, server: Server) -> None:
        """Check a server with very slow messages; its report shows how much load to migrate."""
        is_due = server.next_rebalance_at_us <= self._scheduler.now_us
        if is_due and self._health_checks.check_for_free(server):
            self._begin_cool_down(server)

    def _begin_cool_down(self, server: Server) -> None:
        jitter = 0.5 + self._rng.random()
        cool_down_us = int(REBALANCING.cool_down_lags * REPORT_LAG_US * jitter)
        server.next_rebalance_at_us = self._scheduler.now_us + cool_down_us

    def _recheck_server(self, server: Server) -> None:
        """Check a rebalanced server, unless a recent report or slow messages show its load."""
        now_us = self._scheduler.now_us
        if now_us - server.reported_at_us > REPORT_LAG_US and server.slow_until_us <= now_us:
            self._health_checks.spend_check(server)

    def _migrate_before_shutdown(self, request: Request) -> None:
        time_left_us = max(self._shutdown_by_us - self._scheduler.now_us, 0)
        delay_us = self._rng.random() * time_left_us
        self._scheduler.start_timer(delay_us, partial(self._migrate_if_draining, request))

    def _migrate_if_draining(self, request: Request) -> None:
        server = request.server
        server_drains = server is not None and server.state is ServerState.DRAINING
        if self._shutdown_by_us or server_drains:
            self.migrate(request)
