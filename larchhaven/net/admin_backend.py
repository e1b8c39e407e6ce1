"""The backend of the admin API: reads and changes the state of a running proxy."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

import msgspec

from larchhaven.net.admin.administrative_ejection import (
    AdministrativeEjections,
    EjectionNotSavedError,
)
from larchhaven.net.admin.http_api import EjectionOutcome
from larchhaven.net.admin.memory_accounting import DescriptorState
from larchhaven.net.control.connection_limits import ConnectionLimits
from larchhaven.net.control.endpoint_directory import EndpointDirectory
from larchhaven.net.core.metrics import Metrics
from larchhaven.net.resources import ProxyResources

# Time within which a drain migrates all connections, if they end at the proxy.
DRAIN_DURATION_US = 4_000_000

_log = logging.getLogger("larchhaven")


class ClientListener(Protocol):
    """The listener that accepts clients."""

    is_draining: bool  # whether the answer to PING sends clients elsewhere

    @property
    def is_accepting(self) -> bool:
        """Whether clients are accepted."""


class ProxyAdminBackend:
    """Carries out the calls of the admin API.

    Args:
        resources: The shared resources of the proxy.
        metrics: The metrics of the proxy.
        endpoints: The endpoint list.
        limits: The limits on clients and descriptors.
        listener: Accepts clients.
        ejections: The servers ejected by operators.
        count_unavailable_servers: Returns the number of listed servers that get no new requests.
        report_members: Returns the membership report as JSON.
        migrate_connections: Migrates all connections within a time in microseconds; 0 cancels the
            migrations that are still to come. Does nothing if connections do not end at the proxy.
    """

    def __init__(
        self,
        resources: ProxyResources,
        metrics: Metrics,
        endpoints: EndpointDirectory,
        limits: ConnectionLimits,
        listener: ClientListener,
        ejections: AdministrativeEjections,
        count_unavailable_servers: Callable[[], int],
        report_members: Callable[[], bytes],
        migrate_connections: Callable[[int], None],
    ) -> None:
        self._loop = resources.loop
        self._log = resources.log
        self._accounting = resources.accounting
        self._metrics = metrics
        self._endpoints = endpoints
        self._limits = limits
        self._listener = listener
        self._ejections = ejections
        self._count_unavailable_servers = count_unavailable_servers
        self._report_members = report_members
        self._migrate_connections = migrate_connections

    def is_ready(self) -> bool:
        """Return whether this process accepts clients and at least one server is listed."""
        return self._listener.is_accepting and self._endpoints.count_listed() > 0

    def encode_metrics(self) -> bytes:
        """Return the metrics as JSON."""
        self._metrics.listed_servers = self._endpoints.count_listed()
        self._metrics.unavailable_servers = self._count_unavailable_servers()
        return self._metrics.encode()

    def encode_memory(self) -> bytes:
        """Return the memory account as JSON."""
        descriptors = DescriptorState(
            self._limits.max_descriptors,
            self._loop.socket_count(),
            self._limits.descriptor_rejections,
        )
        return msgspec.json.encode(self._accounting.state(descriptors))

    def encode_members(self) -> bytes:
        """Return the membership report as JSON."""
        return self._report_members()

    def set_ejected(self, server_id: str, is_ejected: bool) -> EjectionOutcome:
        """Eject or reinstate a server; ``APPLIED`` means that the change is saved and in effect."""
        if not self._endpoints.was_listed(server_id) and server_id not in self._ejections:
            return EjectionOutcome.UNKNOWN_SERVER
        try:
            self._ejections.set_ejected(server_id, is_ejected)
        except EjectionNotSavedError as error:
            self._log.warning("server ejection not saved", error.reason)
            return EjectionOutcome.NOT_SAVED
        return EjectionOutcome.APPLIED

    def set_draining(self, is_draining: bool) -> None:
        """Drain the proxy or activate it again; a repeated call changes nothing."""
        if self._listener.is_draining == is_draining:
            return
        self._listener.is_draining = is_draining
        _log.info("proxy draining" if is_draining else "proxy activated")
        self._migrate_connections(DRAIN_DURATION_US if is_draining else 0)
