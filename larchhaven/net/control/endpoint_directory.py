"""The servers that the endpoint list names: their addresses, and since when they are draining."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from larchhaven.net.core.event_loop import unix_offset_us
from larchhaven.routing.events import Endpoint, EndpointListKind, EndpointListUpdate, ServerState

# By then nothing that was sent to a removed server can be under way.
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
    """One server in a message of the endpoint service; its JSON keys are those of the protocol."""

    server_id: str = msgspec.field(name="host")
    address: str = msgspec.field(name="dial", default="")
    zone: str = msgspec.field(name="site", default="")
    hardware_kind: str = msgspec.field(name="class", default="")
    cell: int = msgspec.field(name="block", default=0)
    health: str = "ready"
    weight: float = msgspec.field(name="share", default=1.0)
    started_at_ms: float = msgspec.field(name="born_ms", default=0)


class EndpointListMessage(msgspec.Struct):
    """A message of the endpoint service: the complete list, or changes of it."""

    version: int = msgspec.field(name="seq")
    endpoints: list[EndpointEntry] = msgspec.field(name="hosts")
    is_complete: bool = msgspec.field(name="whole", default=False)


def parse_address(text: str) -> tuple[str, int] | None:
    """Return the host and the port of ``host:port``, or None for any other text."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        return None
    return host, int(port)


class EndpointDirectory:
    """What the endpoint list says of each server.

    Args:
        zones: Names of the zones, whose indexes the decisions use.
        hardware_kinds: Names of the kinds of machines, by index too.
        max_remembered: Servers that are remembered as once listed; the oldest are forgotten.

    Attributes:
        on_server_removed: Is called with each server that leaves the list.
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
        # Every server that was ever listed, the latest last.
        self._remembered: dict[str, None] = {}
        self._unix_offset_us = unix_offset_us()
        self.on_server_removed: Callable[[str], None] = lambda _: None

    def find_address(self, server_id: str) -> tuple[str, int] | None:
        """Return host and port of a server; None if it is not listed."""
        return self._addresses.get(server_id)

    def drain_notified_at_us(self, server_id: str) -> int | None:
        """Return when the list first named it as draining or removed; None while it is ready."""
        return self._drain_notified_at_us.get(server_id)

    def count_listed(self) -> int:
        """Return the number of servers on the list."""
        return len(self._addresses)

    def count_remembered(self) -> int:
        """Return the number of servers that are remembered as once listed."""
        return len(self._remembered)

    def was_listed(self, server_id: str) -> bool:
        """Return whether a server is or was on the list."""
        return server_id in self._remembered

    def apply_list(
        self, kind: EndpointListKind, message: EndpointListMessage, notified_at_us: int
    ) -> EndpointListUpdate:
        """Apply a list, or changes of it.

        Args:
            kind: What the message is; anything but changes replaces the list.
            message: The message of the endpoint service.
            notified_at_us: When this process counts as notified of it.

        Returns:
            The event for the decisions.
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
        named = {entry.server_id for entry in message.endpoints}
        for server_id in [known for known in self._addresses if known not in named]:
            self._note_drain(server_id, notified_at_us)
            self._remove_server(server_id)

    def _apply_entry(self, entry: EndpointEntry, notified_at_us: int) -> Endpoint:
        # Nothing new is sent to a server in a state that is not known yet.
        state = _STATES.get(entry.health, ServerState.DRAINING)
        self._remember_server(entry.server_id)
        address = parse_address(entry.address)
        if address is not None:
            self._addresses[entry.server_id] = address
        if state is ServerState.READY:
            self._drain_notified_at_us.pop(entry.server_id, None)
        else:
            self._note_drain(entry.server_id, notified_at_us)
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
        """Return a start by the clock of the event loop, and at least 1; 0 if there is none."""
        unix_us = int(unix_ms * US_PER_MS)
        return max(unix_us - self._unix_offset_us, 1) if unix_us else 0

    def _remember_server(self, server_id: str) -> None:
        self._remembered.pop(server_id, None)
        self._remembered[server_id] = None
        if len(self._remembered) > self._max_remembered:
            del self._remembered[next(iter(self._remembered))]

    def _note_drain(self, server_id: str, notified_at_us: int) -> None:
        self._drain_notified_at_us.setdefault(server_id, notified_at_us)

    def _remove_server(self, server_id: str) -> None:
        self.on_server_removed(server_id)
        self._addresses.pop(server_id, None)
