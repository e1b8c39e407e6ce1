"""Least ratio routing: the ready servers by load over capacity, and the near ties at the top.

The rule is that of Alanyali and Hajek: a connection goes to the lowest ratio, and stays there.
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

RANKING_INTERVAL_US = 1_000_000  # all servers are ranked anew this often, as reports age
SLOW_OR_FULL_US = 2_000_000  # a server counts as slow or full for this long
HEAVY_MULTIPLE = 2.0  # of the mean load; from there a connection's own load counts in the ratios
GROUP_BAND_RATIO = 0.4  # a group's near ties lie so far above the lowest at most
MIN_SHARE = 1e-9
_RENDEZVOUS_MULTIPLIER = 0x9E3779B97F4A7C15


class Candidates(NamedTuple):
    """Servers in the near-tie band, and the share of requests that each is to get."""

    servers: list[Server]
    shares: list[float]


class Ranking:
    """The ready servers, lowest ratio first.

    Attributes:
        entries: Ratio, tie-break and server of each, in order.
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
        self._load_ratio = load_estimate.load_ratio  # called for every change of load
        self._slow_start = slow_start
        self._ejection = ejection
        self._retry_policy = retry_policy
        self._ranked_at_us = 0

    def reorder_server(self, server: Server) -> None:
        """Give one server its new place, or none if it is not ready."""
        if server.ranking_entry is not None:
            del self.entries[bisect_left(self.entries, server.ranking_entry)]
            server.ranking_entry = None
        if server.state is ServerState.READY:
            server.ranking_entry = (self._ranked_ratio(server), server.tie_break, server)
            insort(self.entries, server.ranking_entry)

    def apply_report(self, server: Server, report: LoadReport | None, latency_us: int) -> None:
        """Rank a server by a load report, if there is one that tells its load."""
        if self._load_estimate.record_report(server, report, latency_us):
            self.reorder_server(server)

    def apply_load_change(self, server: Server, load: float) -> None:
        """Rank a server by a change of load that is not reported yet, in cores."""
        self._load_estimate.record_change(server, load)
        if server.state is ServerState.READY:
            self.reorder_server(server)

    def mark_full(self, server: Server) -> None:
        """Rank a server lower for a while, as it rejected a request."""
        server.full_until_us = self._scheduler.now_us + SLOW_OR_FULL_US
        self.reorder_server(server)

    def mark_slow(self, server: Server, is_slow: bool) -> None:
        """Rank a server lower for a while if its messages are slow.

        These cost nothing, and show sooner than a report that a server is full.
        """
        server.slow_until_us = self._scheduler.now_us + SLOW_OR_FULL_US if is_slow else 0
        self.reorder_server(server)

    def clear_penalties(self, server: Server) -> None:
        """Have a server count as neither slow nor full; its place stays until it is reordered."""
        server.slow_until_us = 0
        server.full_until_us = 0

    def near_ties(self, request: Request, *, for_health_check: bool = False) -> Candidates:
        """Return the servers that a request may be placed on, and the share of each.

        Args:
            request: The request to be placed.
            for_health_check: Whether they are to be checked first.
        """
        if self._scheduler.now_us - self._ranked_at_us > RANKING_INTERVAL_US:
            self._rank_all()
        if request.group_hash is not None:
            server = self._draw_for_group(request, request.group_hash, for_health_check)
            return Candidates([], []) if server is None else Candidates([server], [1.0])
        return self._near_ties_by_water_filling(request)

    def usable_servers(self, request: Request) -> Iterator[tuple[float, Server]]:
        """Yield the servers that a request may go to now, lowest first, each behind its ratio."""
        now_us = self._scheduler.now_us
        ejections_enforced = self._ejection.is_enforced(self.entries)
        entries = self.entries
        tried_servers = request.tried_servers
        is_first = request.first_executed_on is None
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
            if is_first or self._retry_policy.is_in_scope(request, server):
                yield ratio, server

    def count_unavailable_servers(self) -> int:
        """Count the listed servers that get nothing new: draining, or with an enforced ejection."""
        until_us = math.inf
        if self._ejection.is_enforced(self.entries):
            until_us = self._scheduler.now_us
        return sum(
            server.state is ServerState.DRAINING or server.ejected_until_us > until_us
            for server in self._servers.values()
            if server.state is not ServerState.REMOVED
        )

    def _ranked_ratio(self, server: Server) -> float:
        """Return its load, the cost of crossing zones, and a penalty while it is slow or full."""
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
        """Return the servers that the load expected meanwhile would raise to a common level.

        All proxies read the same late reports, and would overload the lowest server together. So
        the load that they place within the lag of reports is spread over the lowest ratios.
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
        """Return the one near tie that all proxies draw for a group: each that holds any costs."""
        usable = list(self.usable_servers(request))

        def score(server: Server) -> float:
            # Weighted rendezvous hashing; CRCs alone would favour a few servers over all groups.
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
        # No more checks: the lowest that was checked is better than one whose load is unknown.
        for _, server in usable:
            if server in request.checked_servers and self._load_estimate.has_capacity(server):
                return server
        return drawn
