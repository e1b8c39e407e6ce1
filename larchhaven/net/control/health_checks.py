"""Starts the health checks that the balancer requests, and those shared among the proxies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larchhaven.gossip.shared_health_checks import SharedHealthChecks
from larchhaven.net.control.interfaces import EndpointAddresses
from larchhaven.net.core.event_loop import EventLoop, TimerHandle
from larchhaven.net.core.metrics import Metrics
from larchhaven.routing.actions import CheckHealth, SendGossip
from larchhaven.routing.events import (
    AttemptResult,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HealthCheckCompleted,
)
from larchhaven.routing.gossip_messages import SharedLoadReports
from larchhaven.routing.settings import RoutingSettings


class HealthCheckTransport(Protocol):
    """Starts health checks of servers."""

    @property
    def endpoints(self) -> EndpointAddresses:
        """Addresses of servers."""

    def check_health(self, server_id: str, address: tuple[str, int], /) -> None:
        """Start a health check of a server at an address."""


class HealthCheckStarter:
    """Starts health checks of listed servers.

    Args:
        queue_event: Queues events for the balancer.
    """

    def __init__(self, queue_event: Callable[[Event], None]) -> None:
        self._queue_event = queue_event
        self._transport: HealthCheckTransport

    def attach_transport(self, transport: HealthCheckTransport) -> None:
        """Set the transport that starts health checks; call this before the first check."""
        self._transport = transport

    def check_health(self, action: CheckHealth) -> None:
        """Start a health check; for an unlisted server, report it as not sent."""
        address = self._transport.endpoints.find_address(action.server_id)
        if address is None:
            self.skip_check(action)
        else:
            self._transport.check_health(action.server_id, address)

    def skip_check(self, action: CheckHealth) -> None:
        """Report that a health check was not sent."""
        self._queue_event(HealthCheckCompleted(action.server_id, AttemptResult.NOT_SENT, 0))


class SharedHealthCheckScheduler:
    """Runs this proxy's share of the shared health checks.

    Args:
        loop: The event loop.
        settings: The routing settings.
        metrics: Counts invalid entries in the gossip of peers.
        starter: Starts health checks.
        send_gossip: Sends the results of health checks to peers.
    """

    def __init__(
        self,
        loop: EventLoop,
        settings: RoutingSettings,
        metrics: Metrics,
        starter: HealthCheckStarter,
        send_gossip: Callable[[SendGossip], None],
    ) -> None:
        self._loop = loop
        self._proxy_index = settings.proxy_index
        self._metrics = metrics
        self._starter = starter
        self._send_gossip = send_gossip
        self._shared_checks = SharedHealthChecks(settings)
        self._timer: TimerHandle | None = None

    def set_live_peers(self, proxies: frozenset[int]) -> None:
        """Distribute the checks among these proxies."""
        self._shared_checks.update_live_peers(self._loop.now_us, proxies)

    def check_health(self, action: CheckHealth) -> None:
        """Start a health check that the balancer requests, unless one is already running."""
        if self._shared_checks.try_begin_check(action.server_id):
            self._starter.check_health(action)
        elif not self._shared_checks.is_ready(action.server_id):
            self._starter.skip_check(action)

    def process_events(self, events: list[Event]) -> list[Event]:
        """Update the shared health checks from events.

        Returns:
            The events for the balancer, with load reports of other proxies replaced by the health
            check results that they contain.
        """
        processed: list[Event] = []
        for event in events:
            if isinstance(event, GossipReceived) and isinstance(event.message, SharedLoadReports):
                processed += self._receive_load_reports(event.message)
            else:
                processed.append(event)
                self._process_event(event)
        self._update_timer()
        return processed

    def _receive_load_reports(self, message: SharedLoadReports) -> list[HealthCheckCompleted]:
        invalid_before = self._shared_checks.invalid_entries
        results = self._shared_checks.receive_reports(self._loop.now_us, message)
        self._metrics.invalid_peer_messages += self._shared_checks.invalid_entries - invalid_before
        return results

    def _process_event(self, event: Event) -> None:
        now_us = self._loop.now_us
        if isinstance(event, GossipReceived):
            # A message from the other process of a hot restart does not prove contact with a peer.
            if event.sender_index != self._proxy_index:
                self._shared_checks.record_contact(now_us)
        elif isinstance(event, EndpointListUpdate):
            self._shared_checks.update_endpoints(now_us, event)
        elif isinstance(event, HealthCheckCompleted):
            self._shared_checks.record_result(now_us, event)

    def _update_timer(self) -> None:
        due_us = self._shared_checks.due_us
        if due_us is not None and (self._timer is None or self._timer.due_us != due_us):
            self._loop.cancel(self._timer)
            self._start_timer(due_us)

    def _start_timer(self, due_us: int) -> None:
        self._timer = self._loop.call_later(due_us - self._loop.now_us, self._run_due_checks)

    def _run_due_checks(self) -> None:
        for action in self._shared_checks.run_due(self._loop.now_us):
            if isinstance(action, CheckHealth):
                self._starter.check_health(action)
            elif isinstance(action, SendGossip):
                self._send_gossip(action)
        if self._shared_checks.due_us is not None:
            self._start_timer(self._shared_checks.due_us)
