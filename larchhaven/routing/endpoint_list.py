"""The endpoint list: its updates, retries of the watch, and administrative ejection."""

from __future__ import annotations

import random
from dataclasses import replace

from larchhaven.routing.actions import WatchEndpoints
from larchhaven.routing.events import (
    AdministrativeEjection,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    ServerState,
)
from larchhaven.routing.hashing import hash_server_id
from larchhaven.routing.health_checks import HealthChecks
from larchhaven.routing.load_estimate import LoadEstimate
from larchhaven.routing.migration import Migration
from larchhaven.routing.outlier_ejection import OutlierEjection
from larchhaven.routing.ranking import Ranking
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import Server
from larchhaven.routing.settings import RoutingSettings
from larchhaven.routing.slow_start import SlowStart

# Bounds of the jitter window, as fractions of the time within which the list has to be polled. The
# first poll and the first retry are sent within this window.
MIN_JITTER_FRACTION = 0.1
MAX_JITTER_FRACTION = 0.5
POLL_INTERVAL_PER_PROXY_US = 125_000  # discovery may time out on all polls if they are closer
RETRY_INTERVAL_PER_PROXY_US = 150_000  # leaves discovery time for other polls
# A proxy counts as notified of a change 6 s after discovery can be reached again. This leaves 0.5 s
# for the poll.
MAX_RETRY_DELAY_US = 5_500_000
# Longest retry delay in a small fleet, so that more than one retry fits into these 6 s.
SMALL_FLEET_RETRY_DELAY_US = 2_000_000
# Shortest delay of a later retry, as a fraction of the backoff. The first retry has spread the
# proxies; much more jitter would send more retries at once than discovery can answer.
MIN_RETRY_DELAY_FRACTION = 0.9
# Time that a slow discovery may take to answer.
SLOW_ANSWER_US = 2_000_000
MIN_WEIGHT = 1e-3  # weights are divisors


def _max_retry_delay_us(proxy_count: int) -> int:
    """Return the longest retry delay for which retries come no faster than discovery answers."""
    fleet_us = RETRY_INTERVAL_PER_PROXY_US * proxy_count
    return sorted((SMALL_FLEET_RETRY_DELAY_US, MAX_RETRY_DELAY_US, fleet_us))[1]


def _max_pushed_retry_delay_us(drain_grace_us: int) -> int:
    """Return the longest retry delay where lists are pushed.

    A proxy is assumed to know each list at once, so that retries have to come within the drain
    grace. Where it is long enough, they leave time for a slow answer.
    """
    half_us = drain_grace_us // 2
    if drain_grace_us <= SLOW_ANSWER_US:
        return half_us
    return min(half_us, max(drain_grace_us - SLOW_ANSWER_US, drain_grace_us // 4))


class PollBackoff:
    """Schedules the opening of the watch: at the start, and with backoff after a failure."""

    def __init__(self, settings: RoutingSettings, scheduler: Scheduler, rng: random.Random) -> None:
        self._scheduler = scheduler
        self._rng = rng
        if settings.subscribes_to_endpoints:
            poll_within_us = settings.poll_deadline_us
            self._max_backoff_us = min(poll_within_us, _max_retry_delay_us(settings.proxy_count))
        else:
            poll_within_us = _max_pushed_retry_delay_us(settings.drain_grace_us)
            self._max_backoff_us = poll_within_us
        min_us = int(MIN_JITTER_FRACTION * poll_within_us)
        max_us = int(MAX_JITTER_FRACTION * poll_within_us)
        spread_us = POLL_INTERVAL_PER_PROXY_US * settings.proxy_count
        self._jitter_window_us = sorted((min_us, max_us, spread_us))[1]
        self._backoff_us = 0

    def start_first_poll(self) -> None:
        """Open the watch after a random delay within the jitter window."""
        delay_us = self._rng.random() * self._jitter_window_us
        self._scheduler.start_timer(delay_us, self._open_watch)

    def retry_later(self) -> None:
        """Reopen the watch after a jittered backoff, which doubles with each failure.

        All watches fail at once when discovery does, so the first retry may come at any time within
        the backoff.
        """
        min_fraction = MIN_RETRY_DELAY_FRACTION if self._backoff_us else 0.0
        self._backoff_us = max(2 * self._backoff_us, self._jitter_window_us)
        self._backoff_us = min(self._backoff_us, self._max_backoff_us)
        delay_us = self._backoff_us * self._rng.uniform(min_fraction, 1)
        self._scheduler.start_timer(delay_us, self._open_watch)

    def reset(self) -> None:
        """Reset the backoff after an endpoint list has been received."""
        self._backoff_us = 0

    def _open_watch(self) -> None:
        self._scheduler.emit(WatchEndpoints())


class EndpointList:
    """Applies the endpoint list and administrative ejections to the servers.

    Attributes:
        ejected_server_ids: Servers ejected by operators, whatever their state in the list.
    """

    def __init__(
        self,
        *,
        servers: dict[str, Server],
        servers_by_hash: dict[bytes, Server],
        scheduler: Scheduler,
        rng: random.Random,
        backoff: PollBackoff,
        load_estimate: LoadEstimate,
        slow_start: SlowStart,
        ejection: OutlierEjection,
        ranking: Ranking,
        health_checks: HealthChecks,
        migration: Migration,
    ) -> None:
        self.ejected_server_ids: set[str] = set()
        self._servers = servers
        self._servers_by_hash = servers_by_hash
        self._scheduler = scheduler
        self._rng = rng
        self._backoff = backoff
        self._load_estimate = load_estimate
        self._slow_start = slow_start
        self._ejection = ejection
        self._ranking = ranking
        self._health_checks = health_checks
        self._migration = migration

    def on_endpoint_list_update(self, event: EndpointListUpdate) -> None:
        """Apply an endpoint list or changes to it, or schedule a retry after a failed watch."""
        if event.kind is EndpointListKind.FAILED:
            self._backoff.retry_later()
            return
        self._backoff.reset()
        if event.kind is not EndpointListKind.CHANGES:
            self._remove_all_but({endpoint.server_id for endpoint in event.endpoints})
        for endpoint in event.endpoints:
            self._apply_endpoint(endpoint)

    def on_administrative_ejection(self, event: AdministrativeEjection) -> None:
        """Eject a server, or let it return.

        An ejected server drains whatever its state in the list. A returning server counts as one
        that has just started, without earlier ejections and penalties.
        """
        server = self._servers.get(event.server_id)
        is_returning = not event.is_ejected and event.server_id in self.ejected_server_ids
        if event.is_ejected:
            self.ejected_server_ids.add(event.server_id)
        else:
            self.ejected_server_ids.discard(event.server_id)
        if server is None:
            return
        if is_returning:
            self._ejection.reset(server)
            self._ranking.clear_penalties(server)
            server.endpoint = replace(server.endpoint, started_at_us=self._scheduler.now_us)
            self._health_checks.check_returning_server(server)
        self._apply_endpoint(server.endpoint)

    def _remove_all_but(self, listed_ids: set[str]) -> None:
        unlisted = [each.endpoint for each in self._servers.values() if each.id not in listed_ids]
        for endpoint in unlisted:
            self._apply_endpoint(replace(endpoint, state=ServerState.REMOVED))

    def _apply_endpoint(self, endpoint: Endpoint) -> None:
        server = self._servers.get(endpoint.server_id) or self._add_server(endpoint)
        server.endpoint = endpoint
        self._apply_state(server, endpoint)
        if server.state is ServerState.REMOVED:
            self._load_estimate.forget_server(server)
        weight = max(endpoint.weight, MIN_WEIGHT)
        if server.weight != weight:
            self._load_estimate.forget_report(server)
            server.weight = weight
        if endpoint.started_at_us > server.started_at_us:
            server.started_at_us = endpoint.started_at_us
            self._load_estimate.forget_server(server)
            self._slow_start.begin_warm_up(server, self._rng.random())
        self._ranking.reorder_server(server)

    def _apply_state(self, server: Server, endpoint: Endpoint) -> None:
        state = endpoint.state
        if state is ServerState.READY and server.id in self.ejected_server_ids:
            state = ServerState.DRAINING
        begins_to_drain = state is ServerState.DRAINING and server.state is not ServerState.DRAINING
        if state is not ServerState.READY and server.state is ServerState.READY:
            server.unready_since_us = self._scheduler.now_us
        server.state = state
        server.zone = endpoint.zone
        server.cell = endpoint.cell
        if begins_to_drain:
            self._migration.drain_server(server)

    def _add_server(self, endpoint: Endpoint) -> Server:
        server_hash = hash_server_id(endpoint.server_id)
        server = Server(endpoint.server_id, self._rng.random(), server_hash, endpoint)
        self._servers[server.id] = server
        self._servers_by_hash[server_hash] = server
        return server
