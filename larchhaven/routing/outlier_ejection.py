"""Outlier ejection: a failing server gets no new requests for a while, longer each time."""

from __future__ import annotations

import random
from collections.abc import Sequence

from larchhaven.routing.events import AttemptResult
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import EJECTION_RESET_US, RankingEntry, Server

BASE_EJECTION_US = 2_000_000
MAX_EJECTION_US = 30_000_000
MAX_EJECTED_FRACTION = 0.5  # with more, a shared cause is assumed and ejections are not enforced

OUTLIER_RESULTS = (
    AttemptResult.ERROR,
    AttemptResult.TIMEOUT,
    AttemptResult.RESET,
    AttemptResult.UNREACHABLE,
)
# If such a failure is fast, the request may be at fault, and the server is only suspected.
SUSPECT_RESULTS = (AttemptResult.ERROR, AttemptResult.RESET)


class OutlierEjection:
    """Ejects servers for a jittered time, so that proxies do not all return to one at once."""

    def __init__(self, scheduler: Scheduler, rng: random.Random) -> None:
        self._scheduler = scheduler
        self._rng = rng

    def eject_server(self, server: Server) -> None:
        """Eject a server that is not ejected yet."""
        now_us = self._scheduler.now_us
        if server.ejected_until_us > now_us:
            return
        if now_us < server.ejected_until_us + EJECTION_RESET_US:
            server.ejection_us = min(2 * server.ejection_us, MAX_EJECTION_US)
        else:
            server.ejection_us = BASE_EJECTION_US
        jitter = 0.5 + self._rng.random()
        server.ejected_until_us = now_us + int(server.ejection_us * jitter)

    def reset(self, server: Server) -> None:
        """End the ejection of a server, and discard its ejection history."""
        server.ejected_until_us = self._scheduler.now_us - EJECTION_RESET_US

    def is_enforced(self, ranking: Sequence[RankingEntry]) -> bool:
        """Return whether ejections apply; not if too many of the ready servers are ejected."""
        now_us = self._scheduler.now_us
        ejected = sum([server.ejected_until_us > now_us for _, _, server in ranking])
        return ejected <= MAX_EJECTED_FRACTION * len(ranking)
