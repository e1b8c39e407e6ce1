"""Admission control: sheds load before servers are overloaded, lowest priority first."""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Mapping
from itertools import accumulate
from typing import NamedTuple

from larchhaven.routing.arrival_statistics import MIN_LOAD_CORES
from larchhaven.routing.live_peers import LivePeers
from larchhaven.routing.load_estimate import FULL_LOAD_RATIO, LoadEstimate
from larchhaven.routing.ranking import Ranking
from larchhaven.routing.request import Request
from larchhaven.routing.server import Server
from larchhaven.routing.settings import RoutingSettings

PRIORITY_WINDOW = 32  # recent arrivals that a new one is ranked against


class AdmissionThresholds(NamedTuple):
    """Pressure levels at which load is shed, as ratios of load over capacity.

    Attributes:
        shed_from_ratio: Above this pressure arrivals are rejected, lowest priority first.
        shed_all_ratio: Above this pressure every arrival is rejected.
        max_spread_ratio: Largest amount by which the pressure may exceed the lowest load ratio.
    """

    shed_from_ratio: float = 0.5
    shed_all_ratio: float = 0.75
    max_spread_ratio: float = 0.3


THRESHOLDS = AdmissionThresholds()


class Admission:
    """Decides whether to reject an arrival, by its priority and the load of the fleet."""

    def __init__(
        self,
        *,
        settings: RoutingSettings,
        live_peers: LivePeers,
        load_estimate: LoadEstimate,
        ranking: Ranking,
        connection_counts: Mapping[int, int],
    ) -> None:
        self._has_tenants = bool(settings.tenants)
        # The last quota applies to requests without a tenant.
        self._quotas = [*(tenant.connection_quota for tenant in settings.tenants), 0.0]
        self._over_quota_factor = settings.over_quota_priority_factor
        self._weighs_priority_by_load = settings.weighs_priority_by_load
        self._live_peers = live_peers
        self._load_estimate = load_estimate
        self._ranking = ranking
        self._connection_counts = connection_counts
        self._recent_densities: deque[float] = deque(maxlen=PRIORITY_WINDOW)

    def should_reject(self, request: Request) -> bool:
        """Return whether to reject an arrival at once.

        Every arrival is recorded, so that later ones are ranked against it.
        """
        density = self._priority_density(request)
        rank = self._rank(density)
        self._recent_densities.append(density)
        usable = [server for _, server in self._ranking.usable_servers(request)]
        # Without load reports, slow messages are the only sign of a full fleet. Servers that look
        # full are therefore left out only if there are reports.
        has_reports = self._load_estimate.has_reports()
        occupancy_ratio = self._load_estimate.occupancy_ratio
        open_servers = usable
        if has_reports:
            open_servers = [each for each in usable if occupancy_ratio(each) <= FULL_LOAD_RATIO]
        if not open_servers:
            return bool(usable)
        weights = list(accumulate(server.weight for server in open_servers))
        weighted_median = open_servers[bisect_left(weights, weights[-1] / 2)]
        pressure = occupancy_ratio(weighted_median)
        if has_reports:
            lowest_ratio = occupancy_ratio(open_servers[0])
            pressure = min(pressure, lowest_ratio + THRESHOLDS.max_spread_ratio)
        shed_range = THRESHOLDS.shed_all_ratio - THRESHOLDS.shed_from_ratio
        return rank < (pressure - THRESHOLDS.shed_from_ratio) / shed_range

    def would_overload(self, request: Request, server: Server) -> bool:
        """Return whether placing a request on the selected server would overload it.

        Mid-flow connections are always placed. A server counts as overloaded only if its load is
        known, from a report or from this proxy's own placements.
        """
        has_known_load = server.reported_ratio is not None or server.unreported_load > 0
        return (
            has_known_load
            and not request.is_mid_flow
            and not self._load_estimate.has_capacity(server)
        )

    def _priority_density(self, request: Request) -> float:
        """Return the priority weight of a request per unit of its load."""
        priority = request.request_class.priority_weight
        if self._has_tenants and self._is_over_quota(request.tenant_index):
            priority *= self._over_quota_factor
        if self._weighs_priority_by_load:
            return priority
        return priority / max(request.load, MIN_LOAD_CORES)

    def _is_over_quota(self, tenant_index: int) -> bool:
        quota = self._quotas[min(tenant_index, len(self._quotas) - 1)]
        return quota <= self._connection_counts[tenant_index] * self._live_peers.count

    def _rank(self, density: float) -> float:
        """Return the fraction of recent arrivals with a lower priority density; ties count half."""
        recent = self._recent_densities
        if not recent:
            return 1.0
        lower = sum([each < density for each in recent])
        ties = recent.count(density)
        return (lower + 0.5 * ties) / len(recent)
