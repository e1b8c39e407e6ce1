"""Messages between proxies, as typed values; ``larchhaven.gossip.codec`` writes and reads them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class StickyEntry(NamedTuple):
    """Which server holds a connection, both by their short hashes."""

    key_hash: bytes
    server_hash: bytes


@dataclass(frozen=True, slots=True)
class StickyEntries:
    """Where connections are established."""

    entries: tuple[StickyEntry, ...]


@dataclass(frozen=True, slots=True)
class StickyEntryQuery:
    """Asks who knows where a mid-flow connection is established."""

    key_hash: bytes


@dataclass(frozen=True, slots=True)
class ProxyStarted:
    """The sender has just started and knows no sticky entries."""


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What a process has learned, for the one that takes over from it at a hot restart.

    Attributes:
        arrival_count: Requests within the window of the arrival rate.
        mean_load: Mean load of a connection.
        migration_credit: Migrations that may still be spent.
        class_loads: Mean load of a connection, by class.
    """

    arrival_count: float
    mean_load: float
    migration_credit: float
    class_loads: tuple[float, ...]


class ServerLoad(NamedTuple):
    """One entry of a load report: a server's short hash and its load level."""

    server_hash: int
    level: int


@dataclass(frozen=True, slots=True)
class SharedLoadReports:
    """What one proxy's health checks have found, for the others.

    Attributes:
        entries: Load levels; ``larchhaven.gossip.shared_health_checks`` states their steps.
    """

    entries: tuple[ServerLoad, ...]


@dataclass(frozen=True, slots=True)
class UnrecognizedMessage:
    """Bytes that are in no form of ours."""

    data: bytes


GossipMessage = (
    StickyEntries
    | StickyEntryQuery
    | ProxyStarted
    | LearnedState
    | SharedLoadReports
    | UnrecognizedMessage
)


def is_peer_message(message: GossipMessage) -> bool:
    """Return whether another proxy may have sent this; a hot restart's state comes from no peer."""
    return not isinstance(message, LearnedState | UnrecognizedMessage)
