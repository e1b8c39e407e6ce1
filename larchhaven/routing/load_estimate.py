"""Estimated load of a server: its last report, decayed with age, and placements since then."""

from __future__ import annotations

from collections import deque

from larchhaven.routing.events import LoadReport, ServerState
from larchhaven.routing.live_peers import LivePeers
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import MAX_UNREPORTED_CHANGES, Server

REPORT_LAG_US = 800_000  # age of the load in a received report: refresh interval plus transport
REPORT_HALF_LIFE_US = 10_000_000
SATURATED_RATIO = 2.0  # cap on reported ratios, which overstate the load under overload
FULL_PENALTY_RATIO = 1.0  # added to the load ratio of a full or slow server
FULL_LOAD_RATIO = 0.85  # a server above this gets no new connections
MIN_TOTAL_WEIGHT = 1e-6  # below this total weight, no server counts as reporting
MAX_EXTRAPOLATED_PROXIES = 4  # own placements are scaled up by at most this many proxies


class LoadEstimate:
    """Estimated load over capacity of each server, and the fleet mean."""

    def __init__(self, scheduler: Scheduler, live_peers: LivePeers) -> None:
        self._scheduler = scheduler
        self._live_peers = live_peers
        self._ratio_sum = 0.0
        self._weight_sum = 0.0

    def has_reports(self) -> bool:
        """Return whether any server reports its load."""
        return self._weight_sum > MIN_TOTAL_WEIGHT

    def mean_ratio(self) -> float:
        """Return the mean of the reported load ratios, weighted by capacity; 0 without reports."""
        return self._ratio_sum / self._weight_sum if self._weight_sum > MIN_TOTAL_WEIGHT else 0.0

    def load_ratio(self, server: Server) -> float:
        """Return the estimated load over capacity of a server."""
        reported = self._weight_sum > MIN_TOTAL_WEIGHT
        mean = self._ratio_sum / self._weight_sum if reported else 0.0
        # Without reports, assume that the other proxies place as much load as this one.
        proxies = 1 if reported else min(self._live_peers.count, MAX_EXTRAPOLATED_PROXIES)
        own_ratio = proxies * server.unreported_load / server.weight
        now_us = self._scheduler.now_us
        if server.reported_ratio is None:
            # Without a report, assume the mean load; a server that is warming up is empty.
            return own_ratio + (mean if server.warm_at_us <= now_us else 0.0)
        # A report decays towards the mean: proxies fill lightly loaded servers, and connections
        # leave heavily loaded ones.
        age = 1 + (now_us - server.reported_at_us) / REPORT_HALF_LIFE_US
        return own_ratio + (mean + (server.reported_ratio - mean) / age)

    def occupancy_ratio(self, server: Server) -> float:
        """Return the load ratio of a server for admission: raised while it rejects requests.

        Slow messages raise it only for a server without a report, as some servers are slow at any
        load.
        """
        now_us = self._scheduler.now_us
        is_slow = server.reported_ratio is None and server.slow_until_us > now_us
        is_full = is_slow or server.full_until_us > now_us
        return self.load_ratio(server) + FULL_PENALTY_RATIO * is_full

    def has_capacity(self, server: Server) -> bool:
        """Return whether a server can take another connection without being overloaded."""
        return self.occupancy_ratio(server) <= FULL_LOAD_RATIO

    def record_report(self, server: Server, report: LoadReport | None, latency_us: int) -> bool:
        """Update the estimate from a load report.

        Args:
            server: The server that sent it.
            report: The report, or None if there was none.
            latency_us: Duration of the answer that carried it, in microseconds.

        Returns:
            Whether the report states a load.
        """
        if report is None:
            return False
        ratio = report.utilization if report.load_ratio is None else report.load_ratio
        if ratio is None:
            return False
        ratio = min(ratio, SATURATED_RATIO)
        self.forget_report(server)
        self._ratio_sum += ratio * server.weight
        self._weight_sum += server.weight
        server.reported_ratio = ratio
        server.reported_at_us = self._scheduler.now_us
        sampled_at_us = self._scheduler.now_us - REPORT_LAG_US - latency_us
        unreported = [change for change in server.unreported_changes if change[0] > sampled_at_us]
        server.unreported_changes = deque(unreported, MAX_UNREPORTED_CHANGES)
        server.unreported_load = sum([load for _, load in unreported])
        return True

    def record_change(self, server: Server, load: float) -> None:
        """Record a change of load by this proxy, in cores; negative if load was removed."""
        if server.state is not ServerState.REMOVED:  # a removed server sends no more reports
            server.unreported_changes.append((self._scheduler.now_us, load))
            server.unreported_load += load

    def forget_report(self, server: Server) -> None:
        """Discard the last report of a server."""
        if server.reported_ratio is not None:
            self._ratio_sum -= server.reported_ratio * server.weight
            self._weight_sum -= server.weight
            server.reported_ratio = None

    def forget_server(self, server: Server) -> None:
        """Discard the report and the own placements of a server that restarted or was removed."""
        self.forget_report(server)
        server.unreported_load = 0.0
        server.unreported_changes.clear()
