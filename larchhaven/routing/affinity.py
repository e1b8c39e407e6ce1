"""Connection affinity: the sticky table, by which a mid-flow connection finds its server.

Where packets pass through, connections outlive their proxy. Each proxy notifies some others, the
replica holders, where its connections are established.
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

MAX_ENTRIES_PER_MESSAGE = 42
MAX_ENTRIES_AT_START = 10 * MAX_ENTRIES_PER_MESSAGE  # sent to a proxy that has just started
MIN_PROXIES_FOR_REPLICAS = 8  # with fewer each proxy notifies only the next one
REPLICA_COUNT = 4


class StickyTable:
    """Which server holds a connection, by short hashes of its key and of the server's id."""

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
        # A draining server may be used for so long after the list said that it drains.
        self._drain_usable_us = settings.drain_grace_us - settings.timer_resolution_us
        self._server_hashes: dict[bytes, bytes] = {}  # by key hash, the oldest first

    def __len__(self) -> int:
        """Return how many connections are remembered."""
        return len(self._server_hashes)

    def __contains__(self, key_hash: bytes) -> bool:
        """Return whether the server of a connection is remembered."""
        return key_hash in self._server_hashes

    def remember(self, key_hash: bytes, server_hash: bytes) -> None:
        """Remember the server of a connection, and forget the oldest one past the capacity."""
        self._server_hashes.pop(key_hash, None)
        self._server_hashes[key_hash] = server_hash
        if len(self._server_hashes) > self._capacity:
            del self._server_hashes[next(iter(self._server_hashes))]

    def forget_oldest(self, count: int) -> None:
        """Forget the connections that were remembered longest ago."""
        for key_hash in list(islice(self._server_hashes, count)):
            del self._server_hashes[key_hash]

    def find_server(self, request: Request) -> Server | None:
        """Return the server that a request has to go to, if there is one and it is known.

        A mid-flow connection goes back to its server while that drains, within the grace.
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
        """Remember a connection that is established here, and notify the replica holders."""
        self.remember(key_hash, server.hash)
        for peer_index in self.replica_holders(key_hash):
            self.send_entries(peer_index, [key_hash])

    def replica_holders(self, key_hash: bytes) -> list[int]:
        """Return the other proxies that remember a connection which is established here."""
        first, count = self._proxy_index + 1, 1
        if self._has_replica_ring:
            first, count = int.from_bytes(key_hash, "big"), REPLICA_COUNT
        ring = ((first + step) % self._proxy_count for step in range(self._proxy_count))
        live = (index for index in ring if index in self._live_peers.indices)
        return [index for index in islice(live, count) if index != self._proxy_index]

    def send_entries(self, peer_index: int, key_hashes: Sequence[bytes]) -> None:
        """Notify another proxy where connections are established, as far as that is known."""
        if not self.is_replicated:
            return
        known = self._server_hashes
        entries = [StickyEntry(each, known[each]) for each in key_hashes if each in known]
        for first in range(0, len(entries), MAX_ENTRIES_PER_MESSAGE):
            part = tuple(entries[first : first + MAX_ENTRIES_PER_MESSAGE])
            self._scheduler.emit(SendGossip(peer_index, StickyEntries(part)))

    def query_entry(self, key_hash: bytes) -> None:
        """Ask who knows where a connection is established: the replica holders, or all proxies."""
        query = StickyEntryQuery(key_hash)
        if not self._has_replica_ring:
            self._scheduler.emit(SendGossip(None, query))
            return
        for peer_index in self.replica_holders(key_hash):
            self._scheduler.emit(SendGossip(peer_index, query))

    def announce_start(self) -> None:
        """Ask the neighbours for what this proxy held for others before it started."""
        if not self.is_replicated:
            return
        for step in (-1, 1) if self._has_replica_ring else (-1,):
            neighbour = (self._proxy_index + step) % self._proxy_count
            self._scheduler.emit(SendGossip(neighbour, ProxyStarted()))

    def answer_start(self, peer_index: int, established: Sequence[bytes]) -> None:
        """Notify a proxy that has just started of the connections that it is to know.

        Args:
            peer_index: That proxy; this one's own index at a hot restart.
            established: Key hashes of the connections that are established here.
        """
        is_own = peer_index == self._proxy_index
        key_hashes = established
        if self._has_replica_ring and not is_own:
            key_hashes = list(self._server_hashes)[-MAX_ENTRIES_AT_START:]
        if not is_own:
            key_hashes = [each for each in key_hashes if peer_index in self.replica_holders(each)]
        self.send_entries(peer_index, key_hashes)
