"""Health checks: which servers to check, within a budget that requests earn."""

from __future__ import annotations

import random
from collections.abc import Sequence

from larchhaven.routing.actions import CheckHealth
from larchhaven.routing.ranking import Ranking
from larchhaven.routing.request import Request
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import Server
from larchhaven.routing.settings import RoutingSettings

BUDGET_PER_REQUEST = 0.006  # fraction of a request's value that may be spent on health checks
MIN_CHECKS_PER_REQUEST = 1
MAX_CHECKS_PER_REQUEST = 8
MAX_WAIT_OBJECTIVES = 0.2  # longest wait of a request for its checks, in latency objectives
MIN_TIME_LEFT_WAITS = 4  # a request with less time left than this many waits gets no checks
MAX_GROUP_CHECKS = 3  # servers checked one by one for a request of an affinity group


class HealthChecks:
    """Starts health checks within a credit that each arriving request adds to.

    Most checks precede a placement or refresh the oldest report; the others follow a rebalancing or
    the end of an administrative ejection. A periodic check of all servers would be expensive, or
    leave reports stale.
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
        # The requests that wait for each check in flight, by server id.
        self._waiting: dict[str, list[Request]] = {}

    @staticmethod
    def _affordable_checks(settings: RoutingSettings) -> float:
        if not settings.can_check_health:
            return 0
        cost = settings.costs.health_check
        affordable = BUDGET_PER_REQUEST / cost if cost > 0 else MAX_CHECKS_PER_REQUEST
        return min(max(affordable, MIN_CHECKS_PER_REQUEST), MAX_CHECKS_PER_REQUEST)

    def record_arrival(self) -> None:
        """Add the credit that one request earns."""
        self._credit += self._credit_per_request

    def check_candidates(self, request: Request) -> int | None:
        """Check the servers that a request is likely to be placed on, just before its placement.

        Args:
            request: The request, which waits for the checks.

        Returns:
            The longest wait for the checks in microseconds, or None if none is pending.
        """
        max_wait_us = int(MAX_WAIT_OBJECTIVES * request.request_class.latency_objective_us)
        servers, shares = self._ranking.near_ties(request, for_health_check=True)
        count = 0
        if self._may_wait(request, max_wait_us):
            # The credit may be negative, as spend_check() does not require any.
            count = max(min(int(self._credit), len(servers)), 0)
        # Twice as many draws as checks, since some draws are duplicates.
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
        candidates = [
            server
            for _, _, server in self._ranking.entries
            if server.id not in self._waiting and server.ejected_until_us <= now_us
        ]
        reserve = max(min(self._credit_per_request, MAX_GROUP_CHECKS), 1)
        if candidates and self._credit >= reserve:
            self.spend_check(min(candidates, key=lambda server: server.reported_at_us))

    def spend_check(self, server: Server) -> None:
        """Charge the credit for a check, and start it unless one is in flight for the server."""
        self._credit -= 1
        if server.id not in self._waiting:
            self._start_check(server)

    def check_returning_server(self, server: Server) -> None:
        """Check a server whose administrative ejection has ended, charging the credit."""
        if self._is_allowed:
            self.spend_check(server)

    def check_for_free(self, server: Server) -> bool:
        """Check a server without charging the credit.

        Returns:
            Whether a check was started; False if checks are disabled or one is already in flight.
        """
        if not self._is_allowed or server.id in self._waiting:
            return False
        self._start_check(server)
        return True

    def finish_check(self, server_id: str) -> Sequence[Request]:
        """Record the end of a check; return the requests that wait for no other check."""
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
        # wait_count grows by two per wait: at its start and at its end.
        may_check_again = request.wait_count < 2 * max_checks
        time_left_us = request.deadline_us - self._scheduler.now_us
        return may_check_again and time_left_us > MIN_TIME_LEFT_WAITS * max_wait_us
