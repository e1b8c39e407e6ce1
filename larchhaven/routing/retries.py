"""Retry policy: whether, when and where a retry is safe, and the final answer."""

from __future__ import annotations

from larchhaven.routing.actions import FailRequest, RejectRequest
from larchhaven.routing.events import AttemptResult
from larchhaven.routing.request import Request
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import Server
from larchhaven.routing.settings import DeduplicationScope, Idempotency, RoutingSettings

# Results that prove that the server has not executed the request. After any other it may have.
NOT_EXECUTED_RESULTS = (
    AttemptResult.OVERLOADED,
    AttemptResult.UNREACHABLE,
    AttemptResult.NOT_SENT,
)


class RetryPolicy:
    """Applies idempotency, deduplication scopes and deduplication windows to retries."""

    def __init__(self, settings: RoutingSettings, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._max_attempts = settings.max_attempts
        self._min_time_us = 2 * settings.timer_resolution_us
        self._retry_after_us = settings.max_retry_after_us

    def may_attempt(self, request: Request) -> bool:
        """Return whether another attempt is safe, with time and attempts left for it."""
        return (
            request.deadline_us - self._scheduler.now_us > self._min_time_us
            and request.attempt_count < self._max_attempts
            and self.is_harmless(request)
        )

    def has_attempts_left(self, request: Request) -> bool:
        """Return whether a request has attempts left."""
        return request.attempt_count < self._max_attempts

    def is_harmless(self, request: Request) -> bool:
        """Return whether another attempt has no effect beyond that of the first."""
        request_class = request.request_class
        if request.first_executed_on is None or request_class.idempotency is Idempotency.ALWAYS:
            return True
        window_end_us = request.first_executed_at_us + request_class.deduplication_window_us
        return (
            request_class.idempotency is Idempotency.WITH_KEY
            and self._scheduler.now_us < window_end_us
        )

    def is_in_scope(self, request: Request, server: Server | None) -> bool:
        """Return whether the deduplication scope of a request allows an attempt on a server."""
        request_class = request.request_class
        first = request.first_executed_on
        if first is None or server is None:
            return True
        if request_class.idempotency is not Idempotency.WITH_KEY:
            return True
        if request_class.deduplication_scope is DeduplicationScope.ALL:
            return True
        if request_class.deduplication_scope is DeduplicationScope.ZONE:
            return server.zone == first.zone
        return server.cell == first.cell

    def final_answer(self, request: Request) -> RejectRequest | FailRequest:
        """Return the final answer: a rejection if the client may retry safely, else a failure."""
        request_class = request.request_class
        client_may_retry = request_class.idempotency is Idempotency.ALWAYS or (
            request_class.idempotency is Idempotency.WITH_KEY
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )
        if request.first_executed_on is None or client_may_retry:
            return RejectRequest(request.id, self._retry_after_us)
        return FailRequest(request.id)

    def record_end(
        self, request: Request, server: Server, result: AttemptResult, latency_us: int
    ) -> None:
        """Record the end of an attempt, and whether the server may have executed the request."""
        if result not in NOT_EXECUTED_RESULTS and request.first_executed_on is None:
            request.first_executed_on = server
            request.first_executed_at_us = self._scheduler.now_us - latency_us
        request.tried_servers.append(server)
