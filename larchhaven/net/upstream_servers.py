"""Collects information about servers: the endpoint list, health checks and load reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from larchhaven.memory import item_costs
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.configuration import ProxyConfiguration
from larchhaven.net.control.endpoint_directory import (
    MAX_REMEMBERED_SERVERS,
    EndpointDirectory,
    EndpointListMessage,
)
from larchhaven.net.control.endpoint_watch import EndpointWatch
from larchhaven.net.resources import ProxyResources
from larchhaven.net.text_protocol.health_check_connection import HealthCheckConnections
from larchhaven.routing.events import (
    AttemptResult,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    HealthCheckCompleted,
    LoadReport,
)

# Fraction of the memory for tables that the ids of current and former servers may fill.
REMEMBERED_SERVERS_RATIO = 0.10


@dataclass(slots=True)
class ReceivedReport:
    """A load report with the time at which it was received."""

    received_at_us: int
    report: LoadReport


class ServerEventReceiver(Protocol):
    """Receives events about servers."""

    def queue_event(self, event: Event) -> None:
        """Queue an event for the balancer."""

    def receive_endpoint_list(self, update: EndpointListUpdate) -> None:
        """Receive an update of the endpoint list, or the notice that the watch has failed."""

    def wait_for_endpoint_list(self) -> None:
        """Hold new requests back until a list is received or they cannot wait any longer."""

    def forget_server(self, server_id: str) -> None:
        """Discard the state of a removed server."""


class UpstreamServers:
    """Turns endpoint lists and health check results into events for the balancer.

    Args:
        resources: The resources shared by the proxy's components.
        config: The configuration.
        receiver: Receives the events.

    Attributes:
        directory: The endpoint list.
        health_checks: The connections on which servers are checked.
        endpoint_watch: The watch on the endpoint list.
        latest_reports: The latest load report of each server, by its id.
    """

    def __init__(
        self,
        resources: ProxyResources,
        config: ProxyConfiguration,
        receiver: ServerEventReceiver,
    ) -> None:
        self._loop = resources.loop
        self._config = config
        self._receiver = receiver
        self.latest_reports: dict[str, ReceivedReport] = {}
        self.directory = _build_directory(resources, config)
        self.directory.on_server_removed = self._forget_server
        self.health_checks = HealthCheckConnections(
            resources.loop,
            resources.health_check_pool,
            config.settings.connect_timeout_us,
            self._on_health_check_completed,
        )
        self.endpoint_watch = EndpointWatch(
            resources.loop,
            resources.admin_pool,
            resources.log,
            config.discovery_address,
            config.initial_endpoints.version,
            self._on_endpoint_list,
            config.settings.proxy_count,
        )

    def start(self) -> None:
        """Apply the configured endpoint list, and start the watch unless the balancer does."""
        update = self.directory.apply_list(
            EndpointListKind.CACHED, self._config.initial_endpoints, self._loop.now_us
        )
        self._receiver.queue_event(update)
        if not self._config.settings.subscribes_to_endpoints:
            # These settings expect lists to be pushed, which only the simulator does. Over HTTP, a
            # list is only received through a watch.
            self.endpoint_watch.start_with_poll()
            self._receiver.wait_for_endpoint_list()

    def _on_endpoint_list(self, message: EndpointListMessage | None) -> None:
        if message is None:
            update = EndpointListUpdate(EndpointListKind.FAILED)
        else:
            kind = EndpointListKind.COMPLETE if message.is_complete else EndpointListKind.CHANGES
            # The drain grace starts when this process is notified. If the watch was silent, the
            # notification counts from the beginning of the silence.
            notified_at_us = self._loop.now_us - self.endpoint_watch.notification_delay_us
            update = self.directory.apply_list(kind, message, notified_at_us)
        self._receiver.receive_endpoint_list(update)

    def _on_health_check_completed(
        self, server_id: str, result: AttemptResult, latency_us: int, report: LoadReport | None
    ) -> None:
        if report is not None:
            self.latest_reports[server_id] = ReceivedReport(self._loop.now_us, report)
        self._receiver.queue_event(HealthCheckCompleted(server_id, result, latency_us, report))

    def _forget_server(self, server_id: str) -> None:
        """Discard the state of a removed server; the balancer discards its own."""
        self.health_checks.close(server_id)
        self._receiver.forget_server(server_id)
        self.latest_reports.pop(server_id, None)


def _build_directory(resources: ProxyResources, config: ProxyConfiguration) -> EndpointDirectory:
    tables_bytes = resources.account.cap_bytes(MemoryPurpose.TABLES)
    remembered_bytes = int(REMEMBERED_SERVERS_RATIO * tables_bytes)
    return EndpointDirectory(
        config.zones,
        config.hardware_kinds,
        min(MAX_REMEMBERED_SERVERS, remembered_bytes // item_costs.REMEMBERED_SERVER_BYTES),
    )
