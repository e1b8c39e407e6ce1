"""Health checks: which server next, within what requests may spend on them."""

from __future__ import annotations

import random
from collections.abc import Sequence

from larchhaven.routing.actions import CheckHealth
from larchhaven.routing.ranking import Ranking
from larchhaven.routing.request import Request
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import Server
from larchhaven.routing.settings import RoutingSettings

BUDGET_PER_REQUEST = 0.006  # what a request may spend on checks, of its value
MIN_CHECKS_PER_REQUEST = 1
MAX_CHECKS_PER_REQUEST = 8
MAX_WAIT_OBJECTIVES = 0.2  # how long a request waits for its checks, in latency objectives
MIN_TIME_LEFT_WAITS = 4  # with less time left, in such waits, a request is placed without checks
MAX_GROUP_CHECKS = 3  # servers checked in turn for a request of an affinity group


class HealthChecks:
    """Spends a credit that arrivals earn: just before a placement, and on the oldest report.

    A steady sweep would be stale or expensive.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        scheduler: Scheduler,
        rng: random.Random,
        ranking: Ranking,
    ) -> None:
        self._scheduler = scheduler
        self._rng = rng
        self._ranking = ranking
        self._is_allowed = settings.can_check_health
        self._credit = 0.0
        self._credit_per_request = self._affordable_checks(settings)
        # The servers with a check in flight, and the requests that wait for it.
        self._waiting: dict[str, list[Request]] = {}

    @staticmethod
    def _affordable_checks(settings: RoutingSettings) -> float:
        if not settings.can_check_health:
            return 0
        cost = settings.costs.health_check
        affordable = BUDGET_PER_REQUEST / cost if cost > 0 else MAX_CHECKS_PER_REQUEST
        return min(max(affordable, MIN_CHECKS_PER_REQUEST), MAX_CHECKS_PER_REQUEST)

    def record_arrival(self) -> None:
        """Add what a request may spend to the credit."""
        self._credit += self._credit_per_request

    def check_candidates(self, request: Request) -> int | None:
        """Check the apparently lowest servers just before a request is placed.

        Args:
            request: The request that is to wait for them.

        Returns:
            How long it waits for them at most, in microseconds; None if it waits for none.
        """
        max_wait_us = int(MAX_WAIT_OBJECTIVES * request.request_class.latency_objective_us)
        servers, shares = self._ranking.near_ties(request, for_health_check=True)
        count = 0
        if self._may_wait(request, max_wait_us):
            # The credit is below zero after checks that were begun whatever it was.
            count = max(min(int(self._credit), len(servers)), 0)
        # Twice as many draws as checks, less those drawn twice.
        drawn = self._rng.choices(servers, shares, k=2 * count) if count else []
        now_us = self._scheduler.now_us
        for server in list(dict.fromkeys(drawn))[:count]:
            is_due = not request.wait_count or server.reported_at_us + max_wait_us <= now_us
            if is_due and server not in request.checked_servers:
                self.spend_check(server)
                self._waiting[server.id].append(request)
                request.pending_checks += 1
                request.checked_servers.append(server)
        return max_wait_us if request.pending_checks else None

    def refresh_oldest_report(self) -> None:
        """Check the server with the oldest report if credit is left: its load may have changed."""
        now_us = self._scheduler.now_us
        idle = [
            server
            for _, _, server in self._ranking.entries
            if server.id not in self._waiting and server.ejected_until_us <= now_us
        ]
        reserve = max(min(self._credit_per_request, MAX_GROUP_CHECKS), 1)
        if idle and self._credit >= reserve:
            self.spend_check(min(idle, key=lambda server: server.reported_at_us))

    def spend_check(self, server: Server) -> None:
        """Check a server at the cost of the credit."""
        self._credit -= 1
        if server.id not in self._waiting:
            self._start_check(server)

    def check_returning_server(self, server: Server) -> None:
        """Check a server that operators let serve again, at the cost of the credit."""
        if self._is_allowed:
            self.spend_check(server)

    def check_for_free(self, server: Server) -> bool:
        """Check a server outside the credit.

        Returns:
            Whether a check was begun: not where checks are not allowed, nor while one is in flight.
        """
        if not self._is_allowed or server.id in self._waiting:
            return False
        self._start_check(server)
        return True

    def finish_check(self, server_id: str) -> Sequence[Request]:
        """Note that a check has ended; return the requests that wait for no other."""
        requests = self._waiting.pop(server_id, None)
        if not requests:
            return ()
        for request in requests:
            request.pending_checks -= 1
        return [request for request in requests if request.pending_checks == 0]

    def _start_check(self, server: Server) -> None:
        self._waiting[server.id] = []
        self._scheduler.emit(CheckHealth(server.id))

    def _may_wait(self, request: Request, max_wait_us: int) -> bool:
        max_checks = 1 if request.group_hash is None else MAX_GROUP_CHECKS
        # Each wait counts twice: as it begins and as it ends.
        may_check_again = request.wait_count < 2 * max_checks
        time_left_us = request.deadline_us - self._scheduler.now_us
        return may_check_again and time_left_us > MIN_TIME_LEFT_WAITS * max_wait_us
