"""Passes events to the balancer and executes the actions that it returns.

This module is independent of the protocol. It accesses clients, servers, health checks, the
endpoint list and the other proxies through ``larchhaven.net.control.interfaces``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from larchhaven.gossip.shared_health_checks import uses_shared_checks
from larchhaven.memory.account import MemoryAccount
from larchhaven.net.control.arrival_gate import ArrivalGate, find_max_wait_us
from larchhaven.net.control.attempt_runner import AttemptRunner
from larchhaven.net.control.drain_guard import DrainGuard
from larchhaven.net.control.established_connections import EstablishedConnections
from larchhaven.net.control.event_queue import EventQueue
from larchhaven.net.control.health_checks import HealthCheckStarter, SharedHealthCheckScheduler
from larchhaven.net.control.interfaces import Transport
from larchhaven.net.control.message_delay_filter import MessageDelayFilter, find_slow_threshold_us
from larchhaven.net.control.request_table import RequestTable
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.metrics import Metrics
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.routing.actions import (
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    MigrateConnection,
    PollEndpoints,
    RejectRequest,
    SendGossip,
    StartAttempt,
    StartTimer,
    WatchEndpoints,
)
from larchhaven.routing.balancer import Balancer
from larchhaven.routing.events import (
    AdministrativeEjection,
    EndpointListUpdate,
    Event,
    LivePeersChanged,
    TimerFired,
)
from larchhaven.routing.settings import RoutingSettings


class Dispatcher:
    """Connects the balancer to the sources of its events and the executors of its actions.

    Args:
        loop: The event loop.
        log: Receives log messages of the balancer and of the request table.
        settings: The routing settings.
        seed: Seed of the balancer's random number generator.
        metrics: Metrics to update.
        account: Memory account that is charged for requests; None for no limit.

    Attributes:
        requests: The open requests.
        attempts: The attempts of these requests at servers.
        connections: The established connections.
    """

    def __init__(
        self,
        loop: EventLoop,
        log: RateLimitedLog,
        settings: RoutingSettings,
        seed: int,
        metrics: Metrics,
        account: MemoryAccount | None = None,
    ) -> None:
        self._loop = loop
        self._log = log
        self._events = EventQueue(loop)
        queue_event = self._events.append
        self._drain_guard = DrainGuard(loop, settings.drain_grace_us)
        self._health_checks = HealthCheckStarter(queue_event)
        self._shared_health_checks = self._create_shared_health_checks(settings, metrics)
        if self._shared_health_checks is not None:
            settings = replace(settings, can_check_health=False)
        self._balancer = Balancer(settings, seed)
        self._arrival_gate = ArrivalGate(
            loop, find_max_wait_us(settings), queue_event, self._find_remaining_budget_us
        )
        account = account or MemoryAccount.unbounded()
        admit = self._arrival_gate.admit
        self.requests = RequestTable(loop, log, settings, metrics, account, queue_event, admit)
        delay_filter = MessageDelayFilter(find_slow_threshold_us(settings))
        self.connections = EstablishedConnections(loop, self.requests, delay_filter, queue_event)
        may_send = self._balancer.may_start_attempt
        self.attempts = AttemptRunner(
            loop, self.requests, self.connections, self._drain_guard, metrics, queue_event, may_send
        )
        self._transport: Transport
        self._handlers = self._map_handlers()

    def _create_shared_health_checks(
        self, settings: RoutingSettings, metrics: Metrics
    ) -> SharedHealthCheckScheduler | None:
        """Return the scheduler of shared health checks; None if each proxy runs its own checks."""
        if not uses_shared_checks(settings):
            return None
        return SharedHealthCheckScheduler(
            self._loop, settings, metrics, self._health_checks, self._send_gossip
        )

    def _map_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the method that executes each type of action."""
        checks = self._shared_health_checks or self._health_checks
        return {
            StartAttempt: self.attempts.start_attempt,
            CancelAttempt: self.attempts.cancel_attempt,
            RejectRequest: self.requests.answer_rejected,
            FailRequest: self.requests.answer_failed,
            MigrateConnection: self.connections.migrate_connection,
            CheckHealth: checks.check_health,
            SendGossip: self._send_gossip,
            StartTimer: self._start_timer,
            WatchEndpoints: self._set_watch_enabled,
            PollEndpoints: self._poll_endpoints,
            CloseIdleConnections: self._close_idle_connections,
            LogMessage: self._log_message,
        }

    def attach_transport(self, transport: Transport) -> None:
        """Set the transport that executes actions; call this before the first event."""
        self._transport = transport
        self.requests.attach_identity_exchange(transport)
        self.attempts.attach_transport(transport)
        self._health_checks.attach_transport(transport)
        self._drain_guard.attach_endpoints(transport.endpoints)

    # State of the balancer

    def count_unavailable_servers(self) -> int:
        """Return the number of listed servers that currently receive no new requests."""
        return self._balancer.count_unavailable_servers(self._loop.now_us)

    def count_sticky_entries(self) -> int:
        """Return the number of entries in the sticky table."""
        return len(self._balancer.sticky_table)

    def evict_sticky_entries(self, count: int) -> None:
        """Evict the oldest sticky entries; their connections may reach another server mid-flow."""
        self._balancer.sticky_table.forget_oldest(count)

    # Events

    def queue_event(self, event: Event) -> None:
        """Queue an event for the balancer until the end of this event loop iteration."""
        self._events.append(event)

    def receive_endpoint_list(self, update: EndpointListUpdate) -> None:
        """Queue an endpoint list or a watch failure, and pass on the requests held back for it."""
        self._events.append(update)
        self._arrival_gate.open()

    def wait_for_endpoint_list(self) -> None:
        """Hold back requests until an endpoint list arrives or the time limit is reached."""
        self._arrival_gate.close()

    def on_process_resumed(self) -> None:
        """Hold back events until all input that arrived during a process pause has been read."""
        self._events.gather_after_pause()

    def set_administrative_ejection(self, server_id: str, is_ejected: bool) -> None:
        """Eject a server at the request of operators, or revoke the ejection."""
        self._drain_guard.set_ejection(server_id, is_ejected)
        self._events.append(AdministrativeEjection(server_id, is_ejected))

    def set_live_peers(self, proxies: frozenset[int]) -> None:
        """Set which proxies are live; all others count as gone."""
        if self._shared_health_checks is not None:
            self._shared_health_checks.set_live_peers(proxies)
        self._events.append(LivePeersChanged(proxies))

    def forget_server(self, server_id: str) -> None:
        """Drop the state kept here for a removed server; the balancer drops its own."""
        self.connections.forget_server(server_id)

    def dispatch_events(self) -> None:
        """Pass the queued events to the balancer, and execute the actions that it returns."""
        if not self._events.pending:
            return
        events = self._events.take_events()
        if not events:
            return
        if self._shared_health_checks is not None:
            events = self._shared_health_checks.process_events(events)
        for action in self._balancer.handle(self._loop.now_us, events):
            self._handlers[type(action)](action)
        if self._events.pending:
            # Some actions complete immediately; their events must not wait for socket activity.
            self._loop.skip_next_wait()

    def _find_remaining_budget_us(self, request_id: int) -> int | None:
        return self.requests.find_remaining_budget_us(request_id)

    # Actions

    def _send_gossip(self, action: SendGossip) -> None:
        self._transport.send_gossip(action.peer_index, action.message)

    def _start_timer(self, action: StartTimer) -> None:
        event = TimerFired(action.timer_id)
        self._loop.call_later(action.delay_us, lambda: self._events.append(event))

    def _set_watch_enabled(self, action: WatchEndpoints) -> None:
        self._transport.set_watch_enabled(action.is_enabled)

    def _poll_endpoints(self, _action: PollEndpoints) -> None:
        self._transport.poll_endpoints()

    def _close_idle_connections(self, action: CloseIdleConnections) -> None:
        self._transport.close_idle_connections(action.server_id)

    def _log_message(self, action: LogMessage) -> None:
        self._log.warning("balancer", action.text)
