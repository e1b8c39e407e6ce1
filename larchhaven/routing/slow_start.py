"""Slow start: a server that has just started is filled no faster than it warms up.

All proxies together may send a cold server a limited number of connections within its collapse
delay, but no proxy sees what the others send. So each connection needs a token. The tokens of one
proxy are issued at a rate that grows with the server's capacity; different proxies issue theirs in
turn. Unused tokens expire: if each proxy kept one, clients that reconnect through all proxies at
once, as after an outage, would use them all together.
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

# All proxies together fill a cold server at this fraction of the collapse multiple.
FILL_FRACTION = 0.8
MIN_COLLAPSE_DELAY_US = 1  # avoids divisions by zero if the settings give 0


class TokenPace(NamedTuple):
    """Pace at which this proxy issues tokens for a cold server.

    Attributes:
        interval_us: Warm time between two tokens.
        valid_fraction: Fraction of this interval for which a token is valid.
    """

    interval_us: float
    valid_fraction: float


class SlowStart:
    """Warm-up capacity of cold servers, handed out as tokens that expire.

    Warm time is the time since a server's start, weighted by its fraction of capacity at the time.
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
        """Begin the slow start of a server, as of ``server.started_at_us``.

        Args:
            server: The server; it is warm at once if it has no start time.
            jitter: Position of this proxy's first token within its turn, from 0 to 1.
        """
        slow_start_us = self._settings.slow_start_us
        warms_up = server.started_at_us and slow_start_us
        server.warm_at_us = server.started_at_us + slow_start_us if warms_up else 0
        if server.warm_at_us <= self._scheduler.now_us:
            return
        turn = (self._settings.proxy_index + jitter) / self._settings.proxy_count
        # The first turn differs between servers, so that no proxy is the first at all of them.
        turn = (turn + crc32(server.hash) / 2**32) % 1.0
        server.token_until_us = 0.0
        server.token_interval_us = self._token_pace(server).interval_us
        server.next_token_at_us = turn * server.token_interval_us

    def is_closed(self, server: Server) -> bool:
        """Return whether a server is cold and this proxy has no valid token for it."""
        if server.warm_at_us <= self._scheduler.now_us:
            return False
        warm_time_us = self._warm_time_us(server)
        if warm_time_us >= server.next_token_at_us:
            self._issue_token(server, warm_time_us)
        return warm_time_us > server.token_until_us

    def take_tokens(self, server: Server, load: float) -> None:
        """Deduct a connection with a load, in cores, from the warm-up capacity of a server."""
        if server.warm_at_us <= self._scheduler.now_us:
            return
        connections = max(load / self._connection_load(), 1.0)
        if not self.is_closed(server):
            connections -= 1
            server.token_until_us = 0.0
        pace = self._token_pace(server)
        if pace.valid_fraction >= 1:
            # Tokens never expire between turns, so the turns need not be kept, and a token that was
            # used late does not bring the next one sooner.
            server.next_token_at_us = self._warm_time_us(server) + pace.interval_us
        server.next_token_at_us += connections * pace.interval_us

    def _issue_token(self, server: Server, warm_time_us: float) -> None:
        """Make the latest token that is due by a warm time the valid one."""
        pace = self._token_pace(server)
        interval_us = server.token_interval_us
        expired = (warm_time_us - server.next_token_at_us) // pace.interval_us
        if expired:
            interval_us = pace.interval_us
        token_at_us = server.next_token_at_us + expired * interval_us
        # Tokens issued at a faster pace are valid for a shorter time.
        valid_us = pace.valid_fraction * min(interval_us, pace.interval_us)
        server.token_until_us = token_at_us + valid_us
        server.token_interval_us = pace.interval_us
        server.next_token_at_us = token_at_us + pace.interval_us

    def _connection_load(self) -> float:
        """Return a conservatively high estimate of a connection's load, in cores."""
        arrivals = self._arrivals
        return max(arrivals.mean_load, arrivals.observed_load, MIN_LOAD_CORES)

    def _warm_time_us(self, server: Server) -> float:
        """Return the time since a server's start, weighted by its capacity at the time."""
        initial = self._settings.slow_start_initial_fraction
        age_us = max(self._scheduler.now_us - server.started_at_us, 0)
        growth_per_us = (1 - initial) / self._settings.slow_start_us
        return initial * age_us + growth_per_us * age_us * age_us / 2

    def _token_pace(self, server: Server) -> TokenPace:
        """Return the pace of tokens that lets most requests through.

        Within the collapse delay, all tokens that are issued may be used, and so may those that are
        already valid. The fewer are issued, the longer each may be valid, which helps if arrivals
        are rare: the number that a proxy uses is largest if it issues about ``optimum``.
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
        # A server collapses only at two square roots above the limit, to allow for random arrivals;
        # one of them is used here.
        share = (FILL_FRACTION * limit + math.sqrt(limit) + 1) / proxies
        arrivals = self._arrivals.arrivals_per_us() * collapse_delay_us
        optimum = share / (1 + math.sqrt(2 / arrivals))
        issued = min(max(optimum, share - 1), FILL_FRACTION * limit / proxies)
        return TokenPace(warm_window_us / issued, min(share - issued, 1.0))
