"""Tracks the addresses of the servers on the endpoint list, and since when they are draining."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from larchhaven.net.core.event_loop import unix_offset_us
from larchhaven.routing.events import Endpoint, EndpointListKind, EndpointListUpdate, ServerState

# After this time, no data sent to a removed server can still be in transit.
REMOVED_SERVER_RETENTION_US = 60_000_000
MAX_REMEMBERED_SERVERS = 10_000
MAX_PORT = 65_535
US_PER_MS = 1_000

_STATES = {
    "ready": ServerState.READY,
    "draining": ServerState.DRAINING,
    "gone": ServerState.REMOVED,
}


class EndpointEntry(msgspec.Struct):
    """One server in a message from discovery, with the JSON keys of the protocol."""

    server_id: str = msgspec.field(name="host")
    address: str = msgspec.field(name="dial", default="")
    zone: str = msgspec.field(name="site", default="")
    hardware_kind: str = msgspec.field(name="class", default="")
    cell: int = msgspec.field(name="block", default=0)
    health: str = "ready"
    weight: float = msgspec.field(name="share", default=1.0)
    started_at_ms: float = msgspec.field(name="born_ms", default=0)


class EndpointListMessage(msgspec.Struct):
    """A message from discovery: the complete endpoint list, or changes to it."""

    version: int = msgspec.field(name="seq")
    endpoints: list[EndpointEntry] = msgspec.field(name="hosts")
    is_complete: bool = msgspec.field(name="whole", default=False)


def parse_address(text: str) -> tuple[str, int] | None:
    """Return the host and port of ``host:port``, or None if the text has another form."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        return None
    return host, int(port)


class EndpointDirectory:
    """Stores the address and the drain time of each server on the endpoint list.

    Args:
        zones: Names of the zones; the balancer uses their indexes.
        hardware_kinds: Names of the hardware kinds; the balancer uses their indexes.
        max_remembered: Maximum number of servers that are remembered after they were listed; the
            oldest ones are forgotten first.

    Attributes:
        on_server_removed: Called with the id of each server that is removed from the list.
    """

    def __init__(
        self,
        zones: Sequence[str],
        hardware_kinds: Sequence[str],
        max_remembered: int = MAX_REMEMBERED_SERVERS,
    ) -> None:
        self._zone_indexes = {name: index for index, name in enumerate(zones)}
        self._hardware_kind_indexes = {name: index for index, name in enumerate(hardware_kinds)}
        self._max_remembered = max_remembered
        self._addresses: dict[str, tuple[str, int]] = {}
        self._drain_notified_at_us: dict[str, int] = {}
        # Servers that are or were listed, in the order of their latest entry.
        self._remembered: dict[str, None] = {}
        self._unix_offset_us = unix_offset_us()
        self.on_server_removed: Callable[[str], None] = lambda _: None

    def find_address(self, server_id: str) -> tuple[str, int] | None:
        """Return the host and port of a server, or None if it is not listed."""
        return self._addresses.get(server_id)

    def drain_notified_at_us(self, server_id: str) -> int | None:
        """Return when the list first named a server as draining or removed; None if ready."""
        return self._drain_notified_at_us.get(server_id)

    def count_listed(self) -> int:
        """Return the number of servers on the list."""
        return len(self._addresses)

    def count_remembered(self) -> int:
        """Return the number of servers that are remembered as listed, now or earlier."""
        return len(self._remembered)

    def was_listed(self, server_id: str) -> bool:
        """Return whether a server is or was on the list."""
        return server_id in self._remembered

    def apply_list(
        self, kind: EndpointListKind, message: EndpointListMessage, notified_at_us: int
    ) -> EndpointListUpdate:
        """Apply a complete list, or changes to the current one.

        Args:
            kind: Kind of the message; every kind except ``CHANGES`` replaces the list.
            message: The message from discovery.
            notified_at_us: When this process counts as notified of the message, in microseconds of
                the event loop's clock.

        Returns:
            The event for the balancer.
        """
        if kind is not EndpointListKind.CHANGES:
            self._forget_removed_servers(notified_at_us - REMOVED_SERVER_RETENTION_US)
            self._remove_unlisted(message, notified_at_us)
        endpoints = tuple(self._apply_entry(entry, notified_at_us) for entry in message.endpoints)
        return EndpointListUpdate(kind, message.version, endpoints)

    def _forget_removed_servers(self, before_us: int) -> None:
        expired = [
            server_id
            for server_id, notified_at_us in self._drain_notified_at_us.items()
            if server_id not in self._addresses and notified_at_us < before_us
        ]
        for server_id in expired:
            del self._drain_notified_at_us[server_id]

    def _remove_unlisted(self, message: EndpointListMessage, notified_at_us: int) -> None:
        named_ids = {entry.server_id for entry in message.endpoints}
        for server_id in [listed_id for listed_id in self._addresses if listed_id not in named_ids]:
            self._record_drain(server_id, notified_at_us)
            self._remove_server(server_id)

    def _apply_entry(self, entry: EndpointEntry, notified_at_us: int) -> Endpoint:
        # A server with an unknown health value receives no new requests.
        state = _STATES.get(entry.health, ServerState.DRAINING)
        self._remember_server(entry.server_id)
        address = parse_address(entry.address)
        if address is not None:
            self._addresses[entry.server_id] = address
        if state is ServerState.READY:
            self._drain_notified_at_us.pop(entry.server_id, None)
        else:
            self._record_drain(entry.server_id, notified_at_us)
        if state is ServerState.REMOVED:
            self._remove_server(entry.server_id)
        return Endpoint(
            entry.server_id,
            state,
            entry.weight,
            self._zone_indexes.get(entry.zone, len(self._zone_indexes)),
            entry.cell,
            self._hardware_kind_indexes.get(entry.hardware_kind, len(self._hardware_kind_indexes)),
            self._convert_start(entry.started_at_ms),
        )

    def _convert_start(self, unix_ms: float) -> int:
        """Convert a start time to the event loop's clock, at least 1; return 0 if it is not set."""
        unix_us = int(unix_ms * US_PER_MS)
        return max(unix_us - self._unix_offset_us, 1) if unix_us else 0

    def _remember_server(self, server_id: str) -> None:
        self._remembered.pop(server_id, None)
        self._remembered[server_id] = None
        if len(self._remembered) > self._max_remembered:
            del self._remembered[next(iter(self._remembered))]

    def _record_drain(self, server_id: str, notified_at_us: int) -> None:
        self._drain_notified_at_us.setdefault(server_id, notified_at_us)

    def _remove_server(self, server_id: str) -> None:
        self.on_server_removed(server_id)
        self._addresses.pop(server_id, None)
