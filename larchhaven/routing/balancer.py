"""The balancer of one proxy: least ratio routing for long-lived connections.

It takes events and the current time, and returns actions. It does no I/O and reads no clock. This
module wires up the components and dispatches each event to the component that handles it.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

from larchhaven.routing.actions import Action
from larchhaven.routing.admission import Admission
from larchhaven.routing.affinity import StickyTable
from larchhaven.routing.arrival_statistics import ArrivalStatistics
from larchhaven.routing.attempts import AttemptEvents
from larchhaven.routing.circuit_breaker import CircuitBreaker
from larchhaven.routing.connections import ConnectionTable
from larchhaven.routing.endpoint_list import EndpointList, PollBackoff
from larchhaven.routing.events import (
    AdministrativeEjection,
    AttemptEnded,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
    ConnectionRestored,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HealthCheckCompleted,
    LivePeersChanged,
    MessageDelayObserved,
    ProxyDraining,
    RequestArrived,
    ServerUnresponsive,
    TimerFired,
)
from larchhaven.routing.health_checks import HealthChecks
from larchhaven.routing.live_peers import LivePeers
from larchhaven.routing.load_estimate import LoadEstimate
from larchhaven.routing.migration import Migration
from larchhaven.routing.outlier_ejection import OutlierEjection
from larchhaven.routing.peer_gossip import PeerGossip
from larchhaven.routing.placement import Placement
from larchhaven.routing.ranking import Ranking
from larchhaven.routing.request import Request
from larchhaven.routing.retries import RetryPolicy
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import Server
from larchhaven.routing.server_signals import ServerSignals
from larchhaven.routing.settings import RoutingSettings
from larchhaven.routing.slow_start import SlowStart


class Balancer:
    """Makes all routing decisions of one proxy.

    Attributes:
        settings: The settings that the proxy was started with.
        servers: The state of each server, by id.
        requests: The requests that are not closed, by id.
        arrivals: Statistics of arriving requests.
        connections: The established connections.
        ranking: The ready servers, lowest load ratio first.
        sticky_table: Maps connections to their servers.
        migration: Moves established connections to other servers.
        placement: Selects a server for each request.
    """

    def __init__(self, settings: RoutingSettings, seed: int) -> None:
        self.settings = settings
        self.servers: dict[str, Server] = {}
        self.requests: dict[int, Request] = {}
        self.connections = ConnectionTable()
        self._servers_by_hash: dict[bytes, Server] = {}
        self._rng = random.Random(seed)
        self._scheduler = Scheduler(settings.timer_resolution_us)
        self._live_peers = LivePeers(settings.proxy_count)
        self.arrivals = ArrivalStatistics(len(settings.classes), self._scheduler)
        self._load_estimate = LoadEstimate(self._scheduler, self._live_peers)
        self._slow_start = SlowStart(settings, self._scheduler, self._live_peers, self.arrivals)
        self._ejection = OutlierEjection(self._scheduler, self._rng)
        self._breaker = CircuitBreaker(settings, self._scheduler, self._rng)
        self._retry_policy = RetryPolicy(settings, self._scheduler)
        self.ranking = self._build_ranking()
        self._health_checks = HealthChecks(settings, self._scheduler, self._rng, self.ranking)
        self.sticky_table = StickyTable(
            settings, self._scheduler, self._live_peers, self.servers, self._servers_by_hash
        )
        self.migration = self._build_migration()
        self._poll_backoff = PollBackoff(settings, self._scheduler, self._rng)
        self._endpoint_list = self._build_endpoint_list()
        self.placement = self._build_placement()
        self._attempts = self._build_attempt_events()
        self._signals = self._build_server_signals()
        self._gossip = PeerGossip(
            proxy_index=settings.proxy_index,
            scheduler=self._scheduler,
            requests=self.requests,
            arrivals=self.arrivals,
            sticky_table=self.sticky_table,
            migration=self.migration,
            placement=self.placement,
        )
        self._handlers = self._event_handlers()
        self._has_started = False

    def handle(self, now_us: int, events: Iterable[Event]) -> Sequence[Action]:
        """Process a batch of events.

        Args:
            now_us: The current time, in microseconds; it never decreases.
            events: The events since the last call, in order.

        Returns:
            The actions to carry out, in order.
        """
        self._scheduler.begin_batch(now_us)
        if not self._has_started:
            self._has_started = True
            if self.settings.subscribes_to_endpoints:
                self._poll_backoff.start_first_poll()
            self.sticky_table.announce_start()
        handlers = self._handlers
        for event in events:
            handlers[type(event)](event)
        return self._scheduler.actions

    def may_start_attempt(self, now_us: int, request_id: int) -> bool:
        """Return whether an attempt may still be sent without risk of executing its request twice.

        Called before the first byte is sent, since connecting may have taken long.

        Args:
            now_us: The current time, in microseconds.
            request_id: Id of the request.
        """
        self._scheduler.now_us = now_us
        request = self.requests.get(request_id)
        return (
            request is not None
            and self._retry_policy.is_harmless(request)
            and self._retry_policy.is_in_scope(request, request.server)
        )

    def count_unavailable_servers(self, now_us: int) -> int:
        """Count the listed servers that get no new requests, as they are draining or ejected.

        Args:
            now_us: The current time, in microseconds.
        """
        self._scheduler.now_us = now_us
        return self.ranking.count_unavailable_servers()

    def _event_handlers(self) -> dict[type, Callable[..., None]]:
        attempts = self._attempts
        signals = self._signals
        endpoint_list = self._endpoint_list
        return {
            RequestArrived: self.placement.on_request_arrived,
            ConnectionRestored: attempts.on_connection_restored,
            TimerFired: self._scheduler.fire_timer,
            EndpointListUpdate: endpoint_list.on_endpoint_list_update,
            HealthCheckCompleted: signals.on_health_check_completed,
            GossipReceived: self._gossip.on_gossip_received,
            ConnectionLoadChanged: attempts.on_connection_load_changed,
            MessageDelayObserved: signals.on_message_delay_observed,
            ServerUnresponsive: signals.on_server_unresponsive,
            ProxyDraining: self.migration.on_proxy_draining,
            AdministrativeEjection: endpoint_list.on_administrative_ejection,
            ClientDisconnected: attempts.on_client_disconnected,
            ConnectionEstablished: attempts.on_connection_established,
            AttemptEnded: attempts.on_attempt_ended,
            LivePeersChanged: self._live_peers.on_live_peers_changed,
        }

    def _build_ranking(self) -> Ranking:
        return Ranking(
            settings=self.settings,
            scheduler=self._scheduler,
            servers=self.servers,
            live_peers=self._live_peers,
            arrivals=self.arrivals,
            load_estimate=self._load_estimate,
            slow_start=self._slow_start,
            ejection=self._ejection,
            retry_policy=self._retry_policy,
        )

    def _build_migration(self) -> Migration:
        return Migration(
            settings=self.settings,
            scheduler=self._scheduler,
            rng=self._rng,
            arrivals=self.arrivals,
            load_estimate=self._load_estimate,
            health_checks=self._health_checks,
            connections=self.connections,
            requests=self.requests,
        )

    def _build_endpoint_list(self) -> EndpointList:
        return EndpointList(
            servers=self.servers,
            servers_by_hash=self._servers_by_hash,
            scheduler=self._scheduler,
            rng=self._rng,
            backoff=self._poll_backoff,
            load_estimate=self._load_estimate,
            slow_start=self._slow_start,
            ejection=self._ejection,
            ranking=self.ranking,
            health_checks=self._health_checks,
            migration=self.migration,
        )

    def _build_placement(self) -> Placement:
        admission = Admission(
            settings=self.settings,
            live_peers=self._live_peers,
            load_estimate=self._load_estimate,
            ranking=self.ranking,
            connection_counts=self.connections.count_by_tenant,
        )
        return Placement(
            settings=self.settings,
            scheduler=self._scheduler,
            rng=self._rng,
            requests=self.requests,
            arrivals=self.arrivals,
            breaker=self._breaker,
            slow_start=self._slow_start,
            retry_policy=self._retry_policy,
            ranking=self.ranking,
            health_checks=self._health_checks,
            admission=admission,
            sticky_table=self.sticky_table,
            migration=self.migration,
            ejected_server_ids=self._endpoint_list.ejected_server_ids,
        )

    def _build_server_signals(self) -> ServerSignals:
        return ServerSignals(
            settings=self.settings,
            requests=self.requests,
            servers=self.servers,
            ejection=self._ejection,
            ranking=self.ranking,
            health_checks=self._health_checks,
            migration=self.migration,
            placement=self.placement,
        )

    def _build_attempt_events(self) -> AttemptEvents:
        return AttemptEvents(
            settings=self.settings,
            scheduler=self._scheduler,
            requests=self.requests,
            servers=self.servers,
            connections=self.connections,
            arrivals=self.arrivals,
            breaker=self._breaker,
            ejection=self._ejection,
            retry_policy=self._retry_policy,
            ranking=self.ranking,
            sticky_table=self.sticky_table,
            migration=self.migration,
            placement=self.placement,
        )
