"""What the operators' API reads and changes in a running proxy."""

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

# Where connections end at the proxy, all of them are migrated within this time of a drain.
DRAIN_US = 4_000_000

_log = logging.getLogger("larchhaven")


class ClientListener(Protocol):
    """The listener that accepts the clients."""

    is_draining: bool  # whether PING is answered so that clients are sent elsewhere

    @property
    def is_accepting(self) -> bool:
        """Whether clients are accepted."""


class ProxyAdminBackend:
    """Carries out the operators' calls.

    Args:
        resources: What the parts of the proxy share.
        metrics: The metrics of the proxy.
        endpoints: The endpoint list.
        limits: The limits of clients.
        listener: Accepts the clients.
        ejections: The servers that operators have ejected.
        count_unavailable_servers: Counts the listed servers that get nothing new.
        report_members: Returns what is known of the other proxies, as JSON.
        migrate_connections: Has connections migrated within a time in microseconds, or with 0 has
            those stay that are still here; does nothing where connections do not end at the proxy.
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
        """Tell whether this process accepts clients and knows servers for them."""
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
        """Return what is known of the other proxies, as JSON."""
        return self._report_members()

    def set_ejected(self, server_id: str, is_ejected: bool) -> EjectionOutcome:
        """Eject a server, or reinstate it; once this returns, the change is saved and applied."""
        if not self._endpoints.was_listed(server_id) and server_id not in self._ejections:
            return EjectionOutcome.UNKNOWN_SERVER
        try:
            self._ejections.set_ejected(server_id, is_ejected)
        except EjectionNotSavedError as error:
            self._log.warning("server ejection not saved", error.reason)
            return EjectionOutcome.NOT_SAVED
        return EjectionOutcome.APPLIED

    def set_draining(self, is_draining: bool) -> None:
        """Drain the proxy, or activate it again."""
        if self._listener.is_draining == is_draining:
            return
        self._listener.is_draining = is_draining
        _log.info("proxy draining" if is_draining else "proxy activated")
        self._migrate_connections(DRAIN_US if is_draining else 0)
