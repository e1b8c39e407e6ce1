"""Placement of a request: reject it, start an attempt on a server, or hold it."""

from __future__ import annotations

import random
from collections.abc import Set as AbstractSet
from functools import partial

from larchhaven.routing.actions import StartAttempt
from larchhaven.routing.admission import Admission
from larchhaven.routing.affinity import StickyTable
from larchhaven.routing.arrival_statistics import ArrivalStatistics
from larchhaven.routing.circuit_breaker import CircuitBreaker
from larchhaven.routing.events import RequestArrived
from larchhaven.routing.hashing import hash_group, hash_key
from larchhaven.routing.health_checks import HealthChecks
from larchhaven.routing.migration import Migration
from larchhaven.routing.ranking import Ranking
from larchhaven.routing.request import Request, RequestState
from larchhaven.routing.retries import RetryPolicy
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.server import Server
from larchhaven.routing.settings import RoutingSettings
from larchhaven.routing.slow_start import SlowStart

# The timeout of an attempt leaves the latency objective for the next attempt, or this fraction of
# the time left if that is shorter.
ATTEMPT_TIME_FRACTION = 0.5
HOLD_OBJECTIVES = 0.25  # retry interval of a request without a ready server, in latency objectives
MAX_STICKY_QUERY_US = 100_000  # longest wait of a mid-flow connection for a sticky entry


class Placement:
    """Places requests, and owns each until it is answered and no attempt is in flight."""

    def __init__(
        self,
        *,
        settings: RoutingSettings,
        scheduler: Scheduler,
        rng: random.Random,
        requests: dict[int, Request],
        arrivals: ArrivalStatistics,
        breaker: CircuitBreaker,
        slow_start: SlowStart,
        retry_policy: RetryPolicy,
        ranking: Ranking,
        health_checks: HealthChecks,
        admission: Admission,
        sticky_table: StickyTable,
        migration: Migration,
        ejected_server_ids: AbstractSet[str],
    ) -> None:
        self._classes = settings.classes
        self._min_time_us = 2 * settings.timer_resolution_us
        self._scheduler = scheduler
        self._rng = rng
        self._requests = requests
        self._arrivals = arrivals
        self._breaker = breaker
        self._slow_start = slow_start
        self._retry_policy = retry_policy
        self._ranking = ranking
        self._health_checks = health_checks
        self._admission = admission
        self._sticky_table = sticky_table
        self._migration = migration
        self._ejected_server_ids = ejected_server_ids

    def on_request_arrived(self, event: RequestArrived) -> None:
        """Reject a request, hold it for health checks or a sticky table query, or place it."""
        request = self.add_request(event)
        self._arrivals.record_arrival(request.load)
        self._health_checks.record_arrival()
        self._migration.record_arrival()
        is_pinned = request.pinned_server_id is not None
        if is_pinned or self._sticky_table.find_server(request) is not None:
            self.place(request)
        elif request.is_mid_flow and request.key_hash and self._sticky_table.is_replicated:
            self._sticky_table.query_entry(request.key_hash)
            self._hold(request, min(MAX_STICKY_QUERY_US, HOLD_OBJECTIVES * event.budget_us))
        elif self._admission.should_reject(request):
            self._answer(request)
            self._health_checks.refresh_oldest_report()
        elif self._breaker.is_open:
            self.place(request)
        else:
            self.check_or_place(request)
            self._health_checks.refresh_oldest_report()

    def add_request(self, event: RequestArrived) -> Request:
        """Register a request without placing it."""
        class_index = min(max(event.class_index, 0), len(self._classes) - 1)
        load = event.load
        if load is None:
            load = self._arrivals.class_loads[class_index]
        else:
            self._arrivals.record_observed_load(load)
        request = Request(
            event.request_id,
            class_index,
            self._classes[class_index],
            self._scheduler.now_us + event.budget_us,
            load,
            key_hash=b"" if event.affinity_key is None else hash_key(event.affinity_key),
            is_mid_flow=event.is_mid_flow,
            group_hash=None if event.affinity_group is None else hash_group(event.affinity_group),
            pinned_server_id=event.pinned_server_id,
            tenant_index=event.tenant_index,
        )
        self._requests[request.id] = request
        return request

    def place(self, request: Request) -> None:
        """Start an attempt, hold the request until a server is usable, or give the final answer."""
        if not self._retry_policy.may_attempt(request):
            self._answer(request)
            return
        server = self._sticky_table.find_server(request)
        if server is None and request.pinned_server_id is None and not self._breaker.is_open:
            server = self._draw_server(request)
            if server is not None and self._admission.would_overload(request, server):
                self._answer(request)
                return
        if server is not None:
            self._start_attempt(request, server)
        elif self._has_servers_left(request):
            self._hold_for_server(request)
        else:
            self._answer(request)

    def check_or_place(self, request: Request) -> None:
        """Hold a request for health checks of its candidate servers, or place it."""
        max_wait_us = self._health_checks.check_candidates(request)
        if max_wait_us is None:
            self.place(request)
        else:
            self._hold(request, max_wait_us)

    def resume_after_checks(self, request: Request) -> None:
        """Resume a request whose health checks have ended."""
        request.wait_count += 1
        if request.state is RequestState.WAITING:
            self.check_or_place(request)  # a group may need its next server checked

    def resume_mid_flow(self) -> None:
        """Place the waiting mid-flow connections whose server is in the sticky table now."""
        for request in list(self._requests.values()):
            is_waiting = request.is_mid_flow and not request.attempt_count
            if is_waiting and request.key_hash in self._sticky_table:
                self._resume(request)

    def close(self, request: Request) -> None:
        """Record that no answer is owed; drop the request unless an attempt is in flight."""
        request.close()
        if request.state is RequestState.CLOSED:
            self._requests.pop(request.id, None)

    def _answer(self, request: Request) -> None:
        self._scheduler.emit(self._retry_policy.final_answer(request))
        self.close(request)

    def _draw_server(self, request: Request) -> Server | None:
        servers, shares = self._ranking.near_ties(request)
        return self._rng.choices(servers, shares)[0] if servers else None

    def _has_servers_left(self, request: Request) -> bool:
        """Return whether any server may still become usable for a request."""
        if not request.tried_servers and not self._ejected_server_ids:
            return True
        tried = request.tried_servers
        return any(server not in tried for _, _, server in self._ranking.entries)

    def _start_attempt(self, request: Request, server: Server) -> None:
        self._breaker.begin_half_open_attempt()
        request.begin_attempt(server)
        timeout_us = self._attempt_timeout_us(request)
        self._slow_start.take_tokens(server, request.load)
        self._ranking.apply_load_change(server, request.load)
        self._scheduler.emit(StartAttempt(request.id, server.id, timeout_us))

    def _attempt_timeout_us(self, request: Request) -> int:
        """Return the timeout of an attempt, which leaves time for another one."""
        time_left_us = request.deadline_us - self._scheduler.now_us
        # While the breaker is tripped, a retry does not help: this attempt gets all the time left.
        if self._breaker.is_tripped or not self._retry_policy.has_attempts_left(request):
            return time_left_us
        objective_us = request.request_class.latency_objective_us
        return int(max(time_left_us - objective_us, ATTEMPT_TIME_FRACTION * time_left_us))

    def _hold_for_server(self, request: Request) -> None:
        objective_us = request.request_class.latency_objective_us
        jitter = 1 + self._rng.random() / 2
        wait_us = max(HOLD_OBJECTIVES * objective_us, self._breaker.open_for_us) * jitter
        time_left_us = request.deadline_us - self._scheduler.now_us
        self._hold(request, min(wait_us, time_left_us - self._min_time_us))

    def _hold(self, request: Request, wait_us: float) -> None:
        request.wait_count += 1
        end_wait = partial(self._end_wait, request, request.wait_count)
        self._scheduler.start_timer(wait_us, end_wait)

    def _end_wait(self, request: Request, wait_count: int) -> None:
        if request.wait_count == wait_count:
            self._resume(request)

    def _resume(self, request: Request) -> None:
        request.wait_count += 1
        if request.state is RequestState.WAITING:
            self.place(request)
