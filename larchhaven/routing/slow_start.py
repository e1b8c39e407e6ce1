"""Slow start: a server that has just started is filled no faster than it warms up."""

from __future__ import annotations

import math

from larchhaven.routing.arrival_statistics import MIN_LOAD_CORES, ArrivalStatistics
from larchhaven.routing.live_peers import LivePeers
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import Server
from larchhaven.routing.settings import RoutingSettings

# All proxies together fill a cold server at this fraction of the multiple at which it collapses.
FILL_FRACTION = 0.8
MIN_GROWTH = 1e-9


class SlowStart:
    """Warm-up capacity: a token bucket without a store, which opens when it has paid its debt."""

    def __init__(
        self,
        settings: RoutingSettings,
        scheduler: Scheduler,
        live_peers: LivePeers,
        arrivals: ArrivalStatistics,
    ) -> None:
        self._settings = settings
        self._scheduler = scheduler
        self._live_peers = live_peers
        self._arrivals = arrivals

    def begin_warm_up(self, server: Server, jitter: float) -> None:
        """Begin the slow start of a server that started at ``server.started_at_us``.

        Args:
            server: The server; it is warm at once if its start is not known.
            jitter: Connections counted as placed, so that not all proxies send one together.
        """
        started_at_us = server.started_at_us
        server.warm_at_us = started_at_us + self._settings.slow_start_us if started_at_us else 0
        self.reserve_capacity(server, jitter)

    def reserve_load(self, server: Server, load: float) -> None:
        """Take a connection with a load, in cores, from the warm-up capacity of a server."""
        mean_load = max(self._arrivals.mean_load, MIN_LOAD_CORES)
        self.reserve_capacity(server, max(load / mean_load, 1.0))

    def reserve_capacity(self, server: Server, connections: float) -> None:
        """Close a cold server until this proxy's part of its growing capacity has paid for more.

        Args:
            server: The server; nothing happens if it is warm.
            connections: How many more are placed, of the mean load.
        """
        if server.warm_at_us <= self._scheduler.now_us:
            return
        initial = self._settings.slow_start_initial_fraction
        slow_start_us = self._settings.slow_start_us
        connections_per_us = (
            FILL_FRACTION
            * self._settings.collapse_multiple
            * server.weight
            / max(self._arrivals.mean_load, MIN_LOAD_CORES)
            / slow_start_us
            / self._live_peers.count
        )
        age_us = max(self._scheduler.now_us - server.started_at_us, 0)
        growth = max(1 - initial, MIN_GROWTH) / (2 * slow_start_us)
        # The integral of the capacity up to now, and what the connections add to it.
        due = initial * age_us + growth * age_us * age_us + connections / connections_per_us
        opens_after_us = (math.sqrt(initial * initial + 4 * growth * due) - initial) / (2 * growth)
        server.closed_until_us = min(server.started_at_us + int(opens_after_us), server.warm_at_us)
