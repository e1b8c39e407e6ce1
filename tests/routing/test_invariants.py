"""Invariants of answers, retries and drains, over random events."""

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
    """What the outside world knows of an attempt."""

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
class OwedAnswer:
    """A request that has no final answer yet, and is not established for good."""

    request_class: RequestClass
    deadline_us: int


class InvariantChecker:
    """Plays the outside world at random and checks every action against the invariants."""

    def __init__(self, seed: int, **changes: object) -> None:
        self.rng = random.Random(seed)
        made = replace(
            BASIC_SETTINGS,
            classes=CLASSES,
            can_check_health=True,
            subscribes_to_endpoints=True,
            **changes,  # type: ignore[arg-type]
        )
        self.balancer = Balancer(made, seed)
        self.now_us = START_US
        self.timers: list[tuple[int, int]] = []  # time and id of each
        self.owed: dict[int, OwedAnswer] = {}  # by request
        self.attempts: dict[int, list[Attempt]] = {}  # by request
        self.closed: set[int] = set()
        self.established: set[int] = set()
        self.unready_since_us: dict[str, int] = {}  # by server
        self.cells = {f"s{i}": i // 2 for i in range(6)}
        self.last_request = 0

    def step(self) -> None:
        """Let some time pass, and let what is due and some more happen, one event at a time."""
        self.now_us += self.rng.choice((1_000, 5_000, 40_000, 200_000))
        due = [timer_id for at_us, timer_id in self.timers if at_us <= self.now_us]
        self.timers = [timer for timer in self.timers if timer[0] > self.now_us]
        for timer_id in due:
            self._feed(TimerFired(timer_id))
        for request in list(self.attempts):
            if self._is_in_flight(request) and self.rng.random() < 0.5:
                self._feed(self._end_attempt(request))
        self._time_out_attempts()
        if self.rng.random() < 0.5:
            self._arrive()
        if self.rng.random() < 0.1 and self.owed:
            request = self.rng.choice(list(self.owed))
            if request not in self.established:
                self._close(request)
                self._feed(ClientDisconnected(request))
        if self.rng.random() < 0.2:
            self._feed(self._change_endpoints())
        late = [r for r, owed in self.owed.items() if self.now_us > owed.deadline_us + 210_000]
        assert not [r for r in late if r not in self.established], (
            "a request was left without an answer"
        )

    def _arrive(self) -> None:
        self.last_request += 1
        class_index = self.rng.randrange(len(CLASSES))
        self.owed[self.last_request] = OwedAnswer(CLASSES[class_index], self.now_us + 1_200_000)
        self._feed(RequestArrived(self.last_request, class_index, 1_200_000, load=0.05))

    def _time_out_attempts(self) -> None:
        for request, owed in list(self.owed.items()):
            is_connecting = self._is_in_flight(request) and request not in self.established
            if self.now_us >= owed.deadline_us and is_connecting:
                self._feed(self._end_attempt(request, AttemptResult.TIMEOUT))

    def _is_in_flight(self, request: int) -> bool:
        attempts = self.attempts.get(request, [])
        return bool(attempts) and attempts[-1].outcome is Outcome.IN_FLIGHT

    def _feed(self, event: Event) -> None:
        for action in self.balancer.handle(self.now_us, [event]):
            self._check(action)

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
            may_establish = request not in self.established and request in self.owed
            if may_establish and self.rng.random() < 0.3:
                self.established.add(request)
                return ConnectionEstablished(request, number, attempt.server_id, 100)
            result = self.rng.choice([r for r in AttemptResult if r is not AttemptResult.OK])
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
        self.owed.pop(request, None)
        self.closed.add(request)

    def _check(self, action: Action) -> None:
        if isinstance(action, StartTimer):
            self.timers.append((self.now_us + action.delay_us, action.timer_id))
        elif isinstance(action, StartAttempt):
            self._check_attempt(action)
        elif isinstance(action, RejectRequest | FailRequest):
            self._check_answer(action)

    def _check_answer(self, answer: RejectRequest | FailRequest) -> None:
        request = answer.request_id
        assert request in self.owed, "a second answer"
        request_class = self.owed[request].request_class
        before = self.attempts.get(request, [])
        assert not self._is_in_flight(request), "answered while an attempt is in flight"
        may_have_run = any(each.outcome is Outcome.MAYBE_EXECUTED for each in before)
        if isinstance(answer, RejectRequest) and may_have_run:
            keyed_all = (
                request_class.idempotency is Idempotency.WITH_KEY
                and request_class.deduplication_scope is DeduplicationScope.ALL
            )
            assert request_class.idempotency is Idempotency.ALWAYS or keyed_all, (
                "a rejection promised too much"
            )
        self._close(request)

    def _check_attempt(self, start: StartAttempt) -> None:
        assert start.request_id in self.owed, "sent after the final answer"
        unready_us = self.unready_since_us.get(start.server_id)
        assert unready_us is None or self.now_us <= unready_us + BASIC_SETTINGS.drain_grace_us, (
            "sent to a draining or removed server"
        )
        owed = self.owed[start.request_id]
        assert self.now_us < owed.deadline_us
        assert 0 < start.timeout_us <= owed.deadline_us - self.now_us
        before = self.attempts.setdefault(start.request_id, [])
        assert not self._is_in_flight(start.request_id), "two attempts in flight"
        assert len(before) < BASIC_SETTINGS.max_attempts
        executed = [each for each in before if each.outcome is Outcome.MAYBE_EXECUTED]
        if executed and owed.request_class.idempotency is not Idempotency.ALWAYS:
            self._check_retry(owed.request_class, start, executed[0])
        before.append(Attempt(start.server_id, self.now_us))

    def _check_retry(
        self, request_class: RequestClass, start: StartAttempt, first: Attempt
    ) -> None:
        assert request_class.idempotency is Idempotency.WITH_KEY, "an unsafe request was repeated"
        window_end_us = first.started_at_us + request_class.deduplication_window_us
        assert self.now_us <= window_end_us, "repeated after the window"
        if request_class.deduplication_scope is DeduplicationScope.CELL:
            assert self.cells[start.server_id] == self.cells[first.server_id], (
                "repeated outside the cell"
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
