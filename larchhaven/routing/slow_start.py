"""Slow start: a server that has just started is filled no faster than it warms up.

All proxies together may send a cold server so many connections within the time in which it would
collapse, and none of them sees what the others send. So the connections are dealt out as tokens,
one for each. The tokens of one proxy come at a pace that grows with the capacity; those of
different proxies come in turn. A token that is not used expires: if each proxy kept one, clients
that come to all proxies at once, as after an outage, would use them together.
"""

from __future__ import annotations

import math
from typing import NamedTuple
from zlib import crc32

from larchhaven.routing.arrival_statistics import MIN_LOAD_CORES, ArrivalStatistics
from larchhaven.routing.live_peers import LivePeers
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import Server
from larchhaven.routing.settings import RoutingSettings

# All proxies together fill a cold server at this fraction of the multiple at which it collapses.
FILL_FRACTION = 0.8
MIN_COLLAPSE_DELAY_US = 1  # settings may say that a server collapses at once


class TokenPace(NamedTuple):
    """How the tokens of this proxy come at a cold server.

    Attributes:
        interval_us: Warm time between two of them.
        valid_fraction: The part of that time for which the first one is valid.
    """

    interval_us: float
    valid_fraction: float


class SlowStart:
    """Warm-up capacity of cold servers, as tokens that expire.

    Warm time is the time since a server started, each moment counted by the capacity it had then.
    """

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
            jitter: Where in its turn this proxy's first token comes, from 0 to 1.
        """
        slow_start_us = self._settings.slow_start_us
        is_known = server.started_at_us and slow_start_us
        server.warm_at_us = server.started_at_us + slow_start_us if is_known else 0
        if server.warm_at_us <= self._scheduler.now_us:
            return
        turn = (self._settings.proxy_index + jitter) / self._settings.proxy_count
        # Each server has the turns begin elsewhere: no proxy is the first at all of them.
        turn = (turn + crc32(server.hash) / 2**32) % 1.0
        server.token_until_us = 0.0
        server.token_interval_us = self._token_pace(server).interval_us
        server.next_token_at_us = turn * server.token_interval_us

    def is_closed(self, server: Server) -> bool:
        """Return whether this proxy has no valid token for a server that is cold."""
        if server.warm_at_us <= self._scheduler.now_us:
            return False
        warm_time_us = self._warm_time_us(server)
        if warm_time_us >= server.next_token_at_us:
            self._issue_token(server, warm_time_us)
        return warm_time_us > server.token_until_us

    def take_tokens(self, server: Server, load: float) -> None:
        """Take a connection with a load, in cores, from the warm-up capacity of a server."""
        if server.warm_at_us <= self._scheduler.now_us:
            return
        connections = max(load / self._connection_load(), 1.0)
        if not self.is_closed(server):
            connections -= 1
            server.token_until_us = 0.0
        pace = self._token_pace(server)
        if pace.valid_fraction >= 1:
            # There are no turns to keep, and a token that was used late is no reason to hurry.
            server.next_token_at_us = self._warm_time_us(server) + pace.interval_us
        server.next_token_at_us += connections * pace.interval_us

    def _issue_token(self, server: Server, warm_time_us: float) -> None:
        """Have the last token that has come by a warm time be the valid one."""
        pace = self._token_pace(server)
        interval_us = server.token_interval_us
        expired = (warm_time_us - server.next_token_at_us) // pace.interval_us
        if expired:
            interval_us = pace.interval_us
        token_at_us = server.next_token_at_us + expired * interval_us
        # Tokens that came at a faster pace are valid for a shorter time.
        valid_us = pace.valid_fraction * min(interval_us, pace.interval_us)
        server.token_until_us = token_at_us + valid_us
        server.token_interval_us = pace.interval_us
        server.next_token_at_us = token_at_us + pace.interval_us

    def _connection_load(self) -> float:
        """Return the load of a connection, rather too high than too low."""
        arrivals = self._arrivals
        return max(arrivals.mean_load, arrivals.observed_load, MIN_LOAD_CORES)

    def _warm_time_us(self, server: Server) -> float:
        """Return the time since the start, each moment counted by the capacity then."""
        initial = self._settings.slow_start_initial_fraction
        age_us = max(self._scheduler.now_us - server.started_at_us, 0)
        growth_per_us = (1 - initial) / self._settings.slow_start_us
        return initial * age_us + growth_per_us * age_us * age_us / 2

    def _token_pace(self, server: Server) -> TokenPace:
        """Return the pace of tokens that lets most requests through.

        Within the time of a collapse the tokens that come may all be used, and so may those that
        are valid already. The fewer come, the longer each of them may be valid, which helps where
        arrivals are few: what a proxy uses is largest near ``most_used``.
        """
        settings = self._settings
        initial = settings.slow_start_initial_fraction
        age_us = max(self._scheduler.now_us - server.started_at_us, 0)
        warmth = initial + (1 - initial) * age_us / settings.slow_start_us
        collapse_delay_us = max(settings.collapse_delay_us, MIN_COLLAPSE_DELAY_US)
        warm_window_us = collapse_delay_us * warmth
        capacity = server.weight / self._connection_load()
        limit = settings.collapse_multiple * capacity * warm_window_us / settings.slow_start_us
        proxies = self._live_peers.count
        # A collapse takes two of the limit's roots more, as chance may bring them; one is kept.
        share = (FILL_FRACTION * limit + math.sqrt(limit) + 1) / proxies
        arrivals = self._arrivals.arrivals_per_us() * collapse_delay_us
        most_used = share / (1 + math.sqrt(2 / arrivals))
        coming = min(max(most_used, share - 1), FILL_FRACTION * limit / proxies)
        return TokenPace(warm_window_us / coming, min(share - coming, 1.0))
