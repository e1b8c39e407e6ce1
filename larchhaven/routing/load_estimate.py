"""The load of a server: its last report, aged, and own placements since."""

from __future__ import annotations

from collections import deque

from larchhaven.routing.events import LoadReport, ServerState
from larchhaven.routing.live_peers import LivePeers
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import MAX_UNREPORTED_CHANGES, Server

REPORT_LAG_US = 800_000  # a report shows a server as it was this long before: a refresh, transport
REPORT_HALF_LIFE_US = 10_000_000
SATURATED_RATIO = 2.0  # reports above show an overload and count as this: they run beyond the load
FULL_PENALTY_RATIO = 1.0  # added to the ratio of a server that is full or slow
FULL_LOAD_RATIO = 0.85  # a server above this gets nothing new
MIN_TOTAL_WEIGHT = 1e-6  # below, no server reports
MAX_UNSEEN_PROXIES = 4  # own placements stand for those of so many proxies at most


class LoadEstimate:
    """Estimated load over capacity of each server, and the mean of the fleet."""

    def __init__(self, scheduler: Scheduler, live_peers: LivePeers) -> None:
        self._scheduler = scheduler
        self._live_peers = live_peers
        self._ratio_sum = 0.0
        self._weight_sum = 0.0

    def has_reports(self) -> bool:
        """Return whether any server reports its load."""
        return self._weight_sum > MIN_TOTAL_WEIGHT

    def mean_ratio(self) -> float:
        """Return the mean of the reported ratios, by weight."""
        return self._ratio_sum / self._weight_sum if self._weight_sum > MIN_TOTAL_WEIGHT else 0.0

    def load_ratio(self, server: Server) -> float:
        """Return the estimated load over capacity of a server."""
        reported = self._weight_sum > MIN_TOTAL_WEIGHT
        mean = self._ratio_sum / self._weight_sum if reported else 0.0
        # Where nobody reports, the placements of the other proxies are guessed from the own ones.
        proxies = 1 if reported else min(self._live_peers.count, MAX_UNSEEN_PROXIES)
        own_ratio = proxies * server.unreported_load / server.weight
        now_us = self._scheduler.now_us
        if server.reported_ratio is None:
            # A server without a report is like the mean, not idle; one seen to start is empty.
            return own_ratio + (mean if server.warm_at_us <= now_us else 0.0)
        # Others fill what was low and connections leave what was high: a report ages to the mean.
        age = 1 + (now_us - server.reported_at_us) / REPORT_HALF_LIFE_US
        return own_ratio + (mean + (server.reported_ratio - mean) / age)

    def occupancy_ratio(self, server: Server) -> float:
        """Return the load of a server as admission sees it: more while it rejects requests.

        Slow messages, which some servers show at any load, count only without a report.
        """
        now_us = self._scheduler.now_us
        is_slow = server.reported_ratio is None and server.slow_until_us > now_us
        is_full = is_slow or server.full_until_us > now_us
        return self.load_ratio(server) + FULL_PENALTY_RATIO * is_full

    def has_capacity(self, server: Server) -> bool:
        """Return whether a server can take another connection without an overload."""
        return self.occupancy_ratio(server) <= FULL_LOAD_RATIO

    def record_report(self, server: Server, report: LoadReport | None, latency_us: int) -> bool:
        """Learn from a load report.

        Args:
            server: The server that sent it.
            report: The report, if there was one.
            latency_us: How long the answer that held it took.

        Returns:
            Whether it held the load.
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
        seen_us = self._scheduler.now_us - REPORT_LAG_US - latency_us
        unseen = [change for change in server.unreported_changes if change[0] > seen_us]
        server.unreported_changes = deque(unseen, MAX_UNREPORTED_CHANGES)
        server.unreported_load = sum([load for _, load in unseen])
        return True

    def record_change(self, server: Server, load: float) -> None:
        """Add load that this proxy placed on a server, or took off it if negative, in cores."""
        if server.state is not ServerState.REMOVED:  # otherwise no report will ever contain it
            server.unreported_changes.append((self._scheduler.now_us, load))
            server.unreported_load += load

    def forget_report(self, server: Server) -> None:
        """Discard the last report of a server."""
        if server.reported_ratio is not None:
            self._ratio_sum -= server.reported_ratio * server.weight
            self._weight_sum -= server.weight
            server.reported_ratio = None

    def forget_server(self, server: Server) -> None:
        """Discard the report and the own placements of a server that starts anew or is gone."""
        self.forget_report(server)
        server.unreported_load = 0.0
        server.unreported_changes.clear()
