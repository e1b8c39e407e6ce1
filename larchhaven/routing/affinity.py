"""Connection affinity: a sticky table that maps mid-flow connections to their servers.

In pass-through mode connections outlive their proxy. Each proxy therefore replicates its entries
to a few other proxies, the replica holders.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from itertools import islice

from larchhaven.routing.actions import SendGossip
from larchhaven.routing.events import ServerState
from larchhaven.routing.gossip_messages import (
    ProxyStarted,
    StickyEntries,
    StickyEntry,
    StickyEntryQuery,
)
from larchhaven.routing.live_peers import LivePeers
from larchhaven.routing.request import Request
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import Server
from larchhaven.routing.settings import RoutingSettings

MAX_ENTRIES_PER_MESSAGE = 42  # fits into a datagram of 256 bytes
MAX_ENTRIES_AT_START = 10 * MAX_ENTRIES_PER_MESSAGE  # sent to a proxy that has just started
MIN_PROXIES_FOR_REPLICAS = 8  # with fewer, each proxy replicates to the next one only
REPLICA_COUNT = 4


class StickyTable:
    """Maps the short hash of a connection's key to the short hash of its server's id.

    Attributes:
        is_replicated: Whether entries are exchanged with other proxies.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        scheduler: Scheduler,
        live_peers: LivePeers,
        servers: Mapping[str, Server],
        servers_by_hash: Mapping[bytes, Server],
    ) -> None:
        self.is_replicated = (
            settings.can_gossip and settings.pass_through and settings.proxy_count > 1
        )
        self._scheduler = scheduler
        self._live_peers = live_peers
        self._servers = servers
        self._servers_by_hash = servers_by_hash
        self._capacity = settings.sticky_table_capacity
        self._proxy_count = settings.proxy_count
        self._proxy_index = settings.proxy_index
        self._has_replica_ring = settings.proxy_count >= MIN_PROXIES_FOR_REPLICAS
        # How long a draining server may be used after the endpoint list marked it as draining.
        self._drain_usable_us = settings.drain_grace_us - settings.timer_resolution_us
        self._server_hashes: dict[bytes, bytes] = {}  # by key hash, oldest first

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._server_hashes)

    def __contains__(self, key_hash: bytes) -> bool:
        """Return whether there is an entry for a connection."""
        return key_hash in self._server_hashes

    def remember(self, key_hash: bytes, server_hash: bytes) -> None:
        """Add or renew the entry of a connection; evict the oldest entry beyond the capacity."""
        self._server_hashes.pop(key_hash, None)
        self._server_hashes[key_hash] = server_hash
        if len(self._server_hashes) > self._capacity:
            del self._server_hashes[next(iter(self._server_hashes))]

    def forget_oldest(self, count: int) -> None:
        """Evict the oldest entries."""
        for key_hash in list(islice(self._server_hashes, count)):
            del self._server_hashes[key_hash]

    def find_server(self, request: Request) -> Server | None:
        """Return the server that a request must go to, or None if there is none or it is unknown.

        A mid-flow connection may return to a draining server until the drain grace is over.
        """
        if request.pinned_server_id is not None:
            pinned = self._servers.get(request.pinned_server_id)
            return None if pinned is None or pinned.state is ServerState.REMOVED else pinned
        if not request.is_mid_flow or request.attempt_count:
            return None
        server = self._servers_by_hash.get(self._server_hashes.get(request.key_hash, b""))
        if server is None or server.state is ServerState.REMOVED:
            return None
        usable_until_us = server.unready_since_us + self._drain_usable_us
        is_usable = server.state is ServerState.READY or self._scheduler.now_us < usable_until_us
        return server if is_usable else None

    def remember_connection(self, key_hash: bytes, server: Server) -> None:
        """Add the entry of a connection established here, and send it to the replica holders."""
        self.remember(key_hash, server.hash)
        for peer_index in self.replica_holders(key_hash):
            self.send_entries(peer_index, [key_hash])

    def replica_holders(self, key_hash: bytes) -> list[int]:
        """Return the other proxies that hold a copy of a connection's entry."""
        first, count = self._proxy_index + 1, 1
        if self._has_replica_ring:
            first, count = int.from_bytes(key_hash, "big"), REPLICA_COUNT
        ring = ((first + step) % self._proxy_count for step in range(self._proxy_count))
        live = (index for index in ring if index in self._live_peers.indices)
        return [index for index in islice(live, count) if index != self._proxy_index]

    def send_entries(self, peer_index: int, key_hashes: Sequence[bytes]) -> None:
        """Send another proxy the entries of connections; those without an entry are left out."""
        if not self.is_replicated:
            return
        hashes = self._server_hashes
        entries = [StickyEntry(each, hashes[each]) for each in key_hashes if each in hashes]
        for first in range(0, len(entries), MAX_ENTRIES_PER_MESSAGE):
            batch = tuple(entries[first : first + MAX_ENTRIES_PER_MESSAGE])
            self._scheduler.emit(SendGossip(peer_index, StickyEntries(batch)))

    def query_entry(self, key_hash: bytes) -> None:
        """Ask the replica holders for a connection's entry, or all proxies if they are few."""
        query = StickyEntryQuery(key_hash)
        if not self._has_replica_ring:
            self._scheduler.emit(SendGossip(None, query))
            return
        for peer_index in self.replica_holders(key_hash):
            self._scheduler.emit(SendGossip(peer_index, query))

    def announce_start(self) -> None:
        """Ask neighboring proxies to resend the entries that this proxy held before its start."""
        if not self.is_replicated:
            return
        for step in (-1, 1) if self._has_replica_ring else (-1,):
            neighbor = (self._proxy_index + step) % self._proxy_count
            self._scheduler.emit(SendGossip(neighbor, ProxyStarted()))

    def answer_start(self, peer_index: int, established: Sequence[bytes]) -> None:
        """Send a proxy that has just started the entries that it should hold.

        Args:
            peer_index: Index of that proxy; this proxy's own index at a hot restart.
            established: Key hashes of the connections established here.
        """
        is_own = peer_index == self._proxy_index
        key_hashes = established
        if self._has_replica_ring and not is_own:
            key_hashes = list(self._server_hashes)[-MAX_ENTRIES_AT_START:]
        if not is_own:
            key_hashes = [each for each in key_hashes if peer_index in self.replica_holders(each)]
        self.send_entries(peer_index, key_hashes)
