"""Least ratio routing: ranks the ready servers by load over capacity, and finds near ties.

Follows Alanyali and Hajek: a connection goes to the server with the lowest ratio, and stays there.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Iterator, Mapping
from typing import NamedTuple
from zlib import crc32

from larchhaven.routing.arrival_statistics import ArrivalStatistics
from larchhaven.routing.events import LoadReport, ServerState
from larchhaven.routing.live_peers import LivePeers
from larchhaven.routing.load_estimate import (
    FULL_LOAD_RATIO,
    FULL_PENALTY_RATIO,
    REPORT_LAG_US,
    LoadEstimate,
)
from larchhaven.routing.outlier_ejection import OutlierEjection
from larchhaven.routing.request import Request
from larchhaven.routing.retries import RetryPolicy
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import RankingEntry, Server
from larchhaven.routing.settings import RoutingSettings
from larchhaven.routing.slow_start import SlowStart

RANKING_INTERVAL_US = 1_000_000  # all servers are ranked again at this interval, as reports age
SLOW_OR_FULL_US = 2_000_000  # a server counts as slow or full for this long
HEAVY_MULTIPLE = 2.0  # a load above this multiple of the mean is added to the compared ratios
GROUP_BAND_RATIO = 0.4  # maximum width of a group's near-tie band above the lowest ratio
MIN_SHARE = 1e-9  # a weighted draw needs a positive total
_RENDEZVOUS_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio


class Candidates(NamedTuple):
    """Servers in the near-tie band, and the share of requests for each."""

    servers: list[Server]
    shares: list[float]


class Ranking:
    """The ready servers, ordered by load ratio, lowest first.

    Attributes:
        entries: Load ratio, tie-break and server of each ready server, in order.
    """

    def __init__(
        self,
        *,
        settings: RoutingSettings,
        scheduler: Scheduler,
        servers: Mapping[str, Server],
        live_peers: LivePeers,
        arrivals: ArrivalStatistics,
        load_estimate: LoadEstimate,
        slow_start: SlowStart,
        ejection: OutlierEjection,
        retry_policy: RetryPolicy,
    ) -> None:
        self.entries: list[RankingEntry] = []
        self._zone = settings.zone
        self._cross_zone_cost = settings.costs.cross_zone
        self._scheduler = scheduler
        self._servers = servers
        self._live_peers = live_peers
        self._arrivals = arrivals
        self._load_estimate = load_estimate
        self._load_ratio = load_estimate.load_ratio  # bound once: called on every load change
        self._slow_start = slow_start
        self._ejection = ejection
        self._retry_policy = retry_policy
        self._ranked_at_us = 0

    def reorder_server(self, server: Server) -> None:
        """Move a server to its new place, or remove it from the ranking if it is not ready."""
        if server.ranking_entry is not None:
            del self.entries[bisect_left(self.entries, server.ranking_entry)]
            server.ranking_entry = None
        if server.state is ServerState.READY:
            server.ranking_entry = (self._ranked_ratio(server), server.tie_break, server)
            insort(self.entries, server.ranking_entry)

    def apply_report(self, server: Server, report: LoadReport | None, latency_us: int) -> None:
        """Update the rank of a server from a report, if there is one that states its load."""
        if self._load_estimate.record_report(server, report, latency_us):
            self.reorder_server(server)

    def apply_load_change(self, server: Server, load: float) -> None:
        """Update the rank of a server after an unreported change of its load, in cores."""
        self._load_estimate.record_change(server, load)
        if server.state is ServerState.READY:
            self.reorder_server(server)

    def mark_full(self, server: Server) -> None:
        """Rank a server lower for a while after it rejected a request."""
        server.full_until_us = self._scheduler.now_us + SLOW_OR_FULL_US
        self.reorder_server(server)

    def mark_slow(self, server: Server, is_slow: bool) -> None:
        """Rank a server lower for a while if its messages are slow, else lift that penalty.

        Message delays cost nothing to observe, and reveal a full server sooner than a report.
        """
        server.slow_until_us = self._scheduler.now_us + SLOW_OR_FULL_US if is_slow else 0
        self.reorder_server(server)

    def clear_penalties(self, server: Server) -> None:
        """Clear the slow and full marks of a server, without reordering it."""
        server.slow_until_us = 0
        server.full_until_us = 0

    def near_ties(self, request: Request, *, for_health_check: bool = False) -> Candidates:
        """Return the servers that a request may be placed on, with their shares.

        Args:
            request: The request to be placed.
            for_health_check: Whether the servers are to be checked before the placement.
        """
        if self._scheduler.now_us - self._ranked_at_us > RANKING_INTERVAL_US:
            self._rank_all()
        if request.group_hash is not None:
            server = self._draw_for_group(request, request.group_hash, for_health_check)
            return Candidates([], []) if server is None else Candidates([server], [1.0])
        return self._near_ties_by_water_filling(request)

    def usable_servers(self, request: Request) -> Iterator[tuple[float, Server]]:
        """Yield ratio and server for each server that a request may go to now, lowest first."""
        now_us = self._scheduler.now_us
        ejections_enforced = self._ejection.is_enforced(self.entries)
        entries = self.entries
        tried_servers = request.tried_servers
        is_unexecuted = request.first_executed_on is None
        if request.load > HEAVY_MULTIPLE * self._arrivals.mean_load:
            load = request.load
            entries = sorted((r + load / server.weight, t, server) for r, t, server in entries)
        for ratio, _, server in entries:
            if (
                (server.ejected_until_us > now_us and ejections_enforced)
                or (server.warm_at_us > now_us and self._slow_start.is_closed(server))
                or server in tried_servers
            ):
                continue
            if is_unexecuted or self._retry_policy.is_in_scope(request, server):
                yield ratio, server

    def count_unavailable_servers(self) -> int:
        """Count the listed servers that are draining or under an enforced ejection."""
        until_us = math.inf
        if self._ejection.is_enforced(self.entries):
            until_us = self._scheduler.now_us
        return sum(
            server.state is ServerState.DRAINING or server.ejected_until_us > until_us
            for server in self._servers.values()
            if server.state is not ServerState.REMOVED
        )

    def _ranked_ratio(self, server: Server) -> float:
        """Return the load ratio, plus the cross-zone cost and the slow-or-full penalty."""
        cross_zone = self._cross_zone_cost if server.zone != self._zone else 0.0
        penalized = max(server.slow_until_us, server.full_until_us) > self._scheduler.now_us
        return self._load_ratio(server) + cross_zone + FULL_PENALTY_RATIO * penalized

    def _rank_all(self) -> None:
        self._ranked_at_us = self._scheduler.now_us
        entries = []
        for server in self._servers.values():
            if server.state is ServerState.READY:
                entry = (self._ranked_ratio(server), server.tie_break, server)
                server.ranking_entry = entry
                entries.append(entry)
            else:
                server.ranking_entry = None
        entries.sort()
        self.entries = entries

    def _near_ties_by_water_filling(self, request: Request) -> Candidates:
        """Return the lowest servers that the expected load would raise to a common level.

        All proxies read the same delayed reports, and together would overload the lowest server.
        So the load that they place within the report lag is spread over the lowest ratios.
        """
        peer_load = self._arrivals.expected_load(REPORT_LAG_US)
        expected = request.load + (self._live_peers.count - 1) * peer_load
        level, capacity, filled = 0.0, 0.0, 0.0
        near: list[tuple[float, Server]] = []
        for ratio, server in self.usable_servers(request):
            needed = (ratio - level) * capacity
            if filled + needed > expected:
                break
            filled += needed
            level = ratio
            capacity += server.weight
            near.append((ratio, server))
        level += (expected - filled) / capacity if near else 0.0
        shares = [max(level - ratio, MIN_SHARE) * server.weight for ratio, server in near]
        return Candidates([server for _, server in near], shares)

    def _draw_for_group(
        self, request: Request, group_hash: int, for_health_check: bool
    ) -> Server | None:
        """Return the near tie that all proxies draw for a group.

        Each server that holds a client of a group bears the cost of the whole group.
        """
        usable = list(self.usable_servers(request))

        def score(server: Server) -> float:
            # Weighted rendezvous hashing; CRCs alone would map most groups to a few servers.
            mixed = (crc32(server.hash, group_hash) * _RENDEZVOUS_MULTIPLIER >> 32) % 2**32
            return math.log((mixed + 0.5) / 2**32) / server.weight

        highest = 0.0
        if usable:
            lowest = usable[0][0]
            highest = max(lowest, min(lowest + GROUP_BAND_RATIO, FULL_LOAD_RATIO))
        near = (server for ratio, server in usable if ratio <= highest)
        drawn = max(near, key=score, default=None)
        if for_health_check or drawn is None or drawn.reported_ratio is not None:
            return drawn
        # Without further checks, the lowest checked server is better than one of unknown load.
        for _, server in usable:
            if server in request.checked_servers and self._load_estimate.has_capacity(server):
                return server
        return drawn
