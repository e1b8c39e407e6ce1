"""Gossip messages between proxies; ``larchhaven.gossip.codec`` encodes and decodes them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class StickyEntry(NamedTuple):
    """Maps a connection to its server, both by their short hashes."""

    key_hash: bytes
    server_hash: bytes


@dataclass(frozen=True, slots=True)
class StickyEntries:
    """Sticky entries of established connections."""

    entries: tuple[StickyEntry, ...]


@dataclass(frozen=True, slots=True)
class StickyEntryQuery:
    """Asks for the sticky entry of a mid-flow connection."""

    key_hash: bytes


@dataclass(frozen=True, slots=True)
class ProxyStarted:
    """The sender has just started and has no sticky entries."""


@dataclass(frozen=True, slots=True)
class LearnedState:
    """State that a process hands over to its successor at a hot restart.

    Attributes:
        arrival_count: Number of arrivals in the window that the arrival rate is taken from.
        mean_load: Average load of a connection, in cores.
        migration_credit: Number of migrations that rebalancing may still make.
        class_loads: Average load of a connection, by class, in cores.
    """

    arrival_count: float
    mean_load: float
    migration_credit: float
    class_loads: tuple[float, ...]


class ServerLoad(NamedTuple):
    """One entry of shared load reports: a server's short hash and its load level."""

    server_hash: int
    level: int


@dataclass(frozen=True, slots=True)
class SharedLoadReports:
    """Results of one proxy's health checks, shared with its peers.

    Attributes:
        entries: Load levels; ``larchhaven.gossip.shared_health_checks`` defines their steps.
    """

    entries: tuple[ServerLoad, ...]


@dataclass(frozen=True, slots=True)
class UnrecognizedMessage:
    """Data that is not a valid gossip message."""

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
    """Return whether a peer may send this message; only a hot restart sends ``LearnedState``."""
    return not isinstance(message, LearnedState | UnrecognizedMessage)
