"""Invariants of answers, retries and drains under random events."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum, auto

from hypothesis import given, settings
from hypothesis import strategies as st

from larchhaven.routing.actions import Action, FailRequest, RejectRequest, StartAttempt, StartTimer
from larchhaven.routing.balancer import Balancer
from larchhaven.routing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    RequestArrived,
    ServerState,
    TimerFired,
)
from larchhaven.routing.settings import DeduplicationScope, Idempotency, RequestClass
from tests.routing.builders import BASIC_SETTINGS, START_US

CLASSES = (
    RequestClass(300_000, 1_200_000),
    RequestClass(300_000, 1_200_000, idempotency=Idempotency.NEVER),
    RequestClass(
        300_000, 1_200_000, idempotency=Idempotency.WITH_KEY, deduplication_window_us=600_000
    ),
    RequestClass(
        300_000,
        1_200_000,
        idempotency=Idempotency.WITH_KEY,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_us=600_000,
        is_long_lived=False,
    ),
)

NOT_EXECUTED_RESULTS = (AttemptResult.OVERLOADED, AttemptResult.UNREACHABLE, AttemptResult.NOT_SENT)


class Outcome(Enum):
    """Whether an attempt was executed, as seen from outside the proxy."""

    IN_FLIGHT = auto()
    NOT_EXECUTED = auto()
    MAYBE_EXECUTED = auto()


@dataclass
class Attempt:
    """An attempt that the balancer started."""

    server_id: str
    started_at_us: int
    outcome: Outcome = Outcome.IN_FLIGHT


@dataclass(frozen=True)
class PendingRequest:
    """A request without a final answer; it may be established, but its connection has not ended."""

    request_class: RequestClass
    deadline_us: int


class InvariantChecker:
    """Feeds random events to a balancer and checks every action against the invariants."""

    def __init__(self, seed: int, **changes: object) -> None:
        self.rng = random.Random(seed)
        routing_settings = replace(
            BASIC_SETTINGS,
            classes=CLASSES,
            can_check_health=True,
            subscribes_to_endpoints=True,
            **changes,  # type: ignore[arg-type]
        )
        self.balancer = Balancer(routing_settings, seed)
        self.now_us = START_US
        self.timers: list[tuple[int, int]] = []  # expiry time and id of each timer
        self.pending: dict[int, PendingRequest] = {}  # by request id
        self.attempts: dict[int, list[Attempt]] = {}  # by request id
        self.closed: set[int] = set()
        self.established: set[int] = set()
        self.unready_since_us: dict[str, int] = {}  # by server id
        self.cells = {f"s{i}": i // 2 for i in range(6)}
        self.last_request = 0

    def step(self) -> None:
        """Advance the time, fire the due timers and add random events, one event at a time."""
        self.now_us += self.rng.choice((1_000, 5_000, 40_000, 200_000))
        due = [timer_id for at_us, timer_id in self.timers if at_us <= self.now_us]
        self.timers = [timer for timer in self.timers if timer[0] > self.now_us]
        for timer_id in due:
            self._handle_event(TimerFired(timer_id))
        for request in list(self.attempts):
            if self._is_in_flight(request) and self.rng.random() < 0.5:
                self._handle_event(self._end_attempt(request))
        self._time_out_attempts()
        if self.rng.random() < 0.5:
            self._add_request()
        if self.rng.random() < 0.1 and self.pending:
            request = self.rng.choice(list(self.pending))
            if request not in self.established:
                self._close(request)
                self._handle_event(ClientDisconnected(request))
        if self.rng.random() < 0.2:
            self._handle_event(self._change_endpoints())
        overdue = [
            r for r, each in self.pending.items() if self.now_us > each.deadline_us + 210_000
        ]
        assert not [r for r in overdue if r not in self.established], (
            "a request got no final answer within 210 ms after its deadline"
        )

    def _add_request(self) -> None:
        self.last_request += 1
        class_index = self.rng.randrange(len(CLASSES))
        self.pending[self.last_request] = PendingRequest(
            CLASSES[class_index], self.now_us + 1_200_000
        )
        self._handle_event(RequestArrived(self.last_request, class_index, 1_200_000, load=0.05))

    def _time_out_attempts(self) -> None:
        for request, pending in list(self.pending.items()):
            is_connecting = self._is_in_flight(request) and request not in self.established
            if self.now_us >= pending.deadline_us and is_connecting:
                self._handle_event(self._end_attempt(request, AttemptResult.TIMEOUT))

    def _is_in_flight(self, request: int) -> bool:
        attempts = self.attempts.get(request, [])
        return bool(attempts) and attempts[-1].outcome is Outcome.IN_FLIGHT

    def _handle_event(self, event: Event) -> None:
        for action in self.balancer.handle(self.now_us, [event]):
            self._check_action(action)

    def _change_endpoints(self) -> EndpointListUpdate:
        listed = []
        for server_id, cell in self.cells.items():
            state = self.rng.choice(
                (ServerState.READY, ServerState.READY, ServerState.DRAINING, ServerState.REMOVED)
            )
            if state is ServerState.READY:
                self.unready_since_us.pop(server_id, None)
            else:
                self.unready_since_us.setdefault(server_id, self.now_us)
            listed.append(Endpoint(server_id, state, cell=cell))
        return EndpointListUpdate(EndpointListKind.CHANGES, 1, tuple(listed))

    def _end_attempt(self, request: int, result: AttemptResult | None = None) -> Event:
        attempt = self.attempts[request][-1]
        number = len(self.attempts[request]) - 1
        if result is None:
            may_establish = request not in self.established and request in self.pending
            if may_establish and self.rng.random() < 0.3:
                self.established.add(request)
                return ConnectionEstablished(request, number, attempt.server_id, 100)
            result = self.rng.choice(list(AttemptResult))
        if request in self.established:
            result = AttemptResult.RESET
        not_executed = result in NOT_EXECUTED_RESULTS
        attempt.outcome = Outcome.NOT_EXECUTED if not_executed else Outcome.MAYBE_EXECUTED
        is_final = request in self.closed or request in self.established
        if is_final:
            self._close(request)
        latency_us = self.now_us - attempt.started_at_us
        return AttemptEnded(request, number, attempt.server_id, result, latency_us, is_final)

    def _close(self, request: int) -> None:
        self.pending.pop(request, None)
        self.closed.add(request)

    def _check_action(self, action: Action) -> None:
        if isinstance(action, StartTimer):
            self.timers.append((self.now_us + action.delay_us, action.timer_id))
        elif isinstance(action, StartAttempt):
            self._check_attempt(action)
        elif isinstance(action, RejectRequest | FailRequest):
            self._check_answer(action)

    def _check_answer(self, answer: RejectRequest | FailRequest) -> None:
        request = answer.request_id
        assert request in self.pending, "a request got a second final answer"
        request_class = self.pending[request].request_class
        attempts = self.attempts.get(request, [])
        assert not self._is_in_flight(request), "final answer while an attempt is in flight"
        may_have_run = any(each.outcome is Outcome.MAYBE_EXECUTED for each in attempts)
        if isinstance(answer, RejectRequest) and may_have_run:
            is_deduplicated_everywhere = (
                request_class.idempotency is Idempotency.WITH_KEY
                and request_class.deduplication_scope is DeduplicationScope.ALL
            )
            assert request_class.idempotency is Idempotency.ALWAYS or is_deduplicated_everywhere, (
                "a rejection invites a retry that may execute the request twice"
            )
        self._close(request)

    def _check_attempt(self, start: StartAttempt) -> None:
        assert start.request_id in self.pending, "attempt started after the final answer"
        unready_us = self.unready_since_us.get(start.server_id)
        assert unready_us is None or self.now_us <= unready_us + BASIC_SETTINGS.drain_grace_us, (
            "attempt at a server that was removed or was draining for longer than the drain grace"
        )
        pending = self.pending[start.request_id]
        assert self.now_us < pending.deadline_us
        assert 0 < start.timeout_us <= pending.deadline_us - self.now_us
        attempts = self.attempts.setdefault(start.request_id, [])
        assert not self._is_in_flight(start.request_id), "two attempts in flight"
        assert len(attempts) < BASIC_SETTINGS.max_attempts
        executed = [each for each in attempts if each.outcome is Outcome.MAYBE_EXECUTED]
        if executed and pending.request_class.idempotency is not Idempotency.ALWAYS:
            self._check_retry(pending.request_class, start, executed[0])
        attempts.append(Attempt(start.server_id, self.now_us))

    def _check_retry(
        self, request_class: RequestClass, start: StartAttempt, first: Attempt
    ) -> None:
        assert request_class.idempotency is Idempotency.WITH_KEY, (
            "a request that is not idempotent was retried"
        )
        window_end_us = first.started_at_us + request_class.deduplication_window_us
        assert self.now_us <= window_end_us, "a request was retried after its deduplication window"
        if request_class.deduplication_scope is DeduplicationScope.CELL:
            assert self.cells[start.server_id] == self.cells[first.server_id], (
                "a request was retried outside its deduplication cell"
            )


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 10**6))
def test_answers_retries_and_drains_keep_the_invariants(seed: int) -> None:
    checker = InvariantChecker(seed)
    for _ in range(80):
        checker.step()
    assert checker.last_request > 10


def test_same_events_lead_to_same_actions() -> None:
    runs = []
    for _ in range(2):
        checker = InvariantChecker(5)
        for _ in range(60):
            checker.step()
        runs.append(list(checker.attempts.items()))
    assert runs[0] == runs[1]
