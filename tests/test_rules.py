"""The four rules, as properties over generated sequences of events."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchhaven.routing.actions import (
    Action,
    FailRequest,
    RejectRequest,
    StartAttempt,
    StartTimer,
    WatchEndpoints,
)
from larchhaven.routing.balancer import Balancer
from larchhaven.routing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HealthCheckCompleted,
    LoadReport,
    MessageDelayObserved,
    RequestArrived,
    ServerState,
    TimerFired,
)
from larchhaven.routing.gossip_messages import UnrecognizedMessage
from larchhaven.routing.settings import DeduplicationScope, Idempotency, RequestClass
from tests.world import PLAIN, SECOND, START, arrival, balancer, ended, fleet, of

EFFECTS = (
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
PROVEN = (AttemptResult.OVERLOADED, AttemptResult.UNREACHABLE, AttemptResult.NOT_SENT)


class Referee:
    """Plays the outside world at random and checks every action against the rules."""

    def __init__(self, seed: int, **changes: object) -> None:
        self.rng = random.Random(seed)
        made = replace(
            PLAIN,
            classes=EFFECTS,
            can_check_health=True,
            subscribes_to_endpoints=True,
            **changes,  # type: ignore[arg-type]
        )
        self.b = Balancer(made, seed)
        self.now = START
        self.timers: list[tuple[int, int]] = []
        self.owed: dict[int, tuple[int, int]] = {}  # request: class, deadline
        self.sends: dict[
            int, list[tuple[str, int, str]]
        ] = {}  # request: server, time, out/proven/ran
        self.over: set[int] = set()
        self.told: dict[str, int] = {}
        self.cells = {f"s{i}": i // 2 for i in range(6)}
        self.flowing: set[int] = set()
        self.last_id = 0

    def step(self) -> None:
        """Let some time pass, and let what is due and some more happen, one event at a time."""
        self.now += self.rng.choice((1_000, 5_000, 40_000, 200_000))
        due = [token for at, token in self.timers if at <= self.now]
        self.timers = [(at, token) for at, token in self.timers if at > self.now]
        for token in due:
            self._feed(TimerFired(token))
        for request, attempts in list(self.sends.items()):
            if attempts[-1][2] == "out" and self.rng.random() < 0.5:
                self._feed(self._end(request))
        for request, (_, deadline) in list(self.owed.items()):
            sends = self.sends.get(request)
            if (
                self.now >= deadline
                and sends
                and sends[-1][2] == "out"
                and request not in self.flowing
            ):
                self._feed(self._end(request, AttemptResult.TIMEOUT))
        if self.rng.random() < 0.5:
            self.last_id += 1
            cls = self.rng.randrange(len(EFFECTS))
            self.owed[self.last_id] = (cls, self.now + 1_200_000)
            self._feed(RequestArrived(self.last_id, cls, 1_200_000, load=0.05))
        if self.rng.random() < 0.1 and self.owed:
            request = self.rng.choice(list(self.owed))
            if request not in self.flowing:
                self._finish(request)
                self._feed(ClientDisconnected(request))
        if self.rng.random() < 0.2:
            self._feed(self._list())
        late = [r for r, (_, deadline) in self.owed.items() if self.now > deadline + 210_000]
        assert not [r for r in late if r not in self.flowing], (
            "a request was left without an answer"
        )

    def _feed(self, event: Event) -> None:
        for action in self.b.handle(self.now, [event]):
            self._check(action)

    def _list(self) -> EndpointListUpdate:
        found = []
        for server, cell in self.cells.items():
            state = self.rng.choice(
                (ServerState.READY, ServerState.READY, ServerState.DRAINING, ServerState.REMOVED)
            )
            if state is ServerState.READY:
                self.told.pop(server, None)
            else:
                self.told.setdefault(server, self.now)
            found.append(Endpoint(server, state, cell=cell))
        return EndpointListUpdate(EndpointListKind.CHANGES, 1, tuple(found))

    def _end(self, request: int, result: AttemptResult | None = None) -> Event:
        server, at, _ = self.sends[request][-1]
        attempt = len(self.sends[request]) - 1
        if result is None:
            if request not in self.flowing and request in self.owed and self.rng.random() < 0.3:
                self.flowing.add(request)
                return ConnectionEstablished(request, attempt, server, 100)
            result = self.rng.choice([r for r in AttemptResult if r is not AttemptResult.OK])
        if request in self.flowing:
            result = AttemptResult.RESET
        self.sends[request][-1] = (server, at, "proven" if result in PROVEN else "ran")
        finished = request in self.over or request in self.flowing
        if finished:
            self._finish(request)
        return AttemptEnded(request, attempt, server, result, self.now - at, finished)

    def _finish(self, request: int) -> None:
        self.owed.pop(request, None)
        self.over.add(request)

    def _check(self, action: Action) -> None:
        if isinstance(action, StartTimer):
            self.timers.append((self.now + action.delay_us, action.timer_id))
        elif isinstance(action, StartAttempt):
            self._check_send(action)
        elif isinstance(action, RejectRequest | FailRequest):
            request = action.request_id
            assert request in self.owed, "a second answer"
            cls, before = EFFECTS[self.owed[request][0]], self.sends.get(request, [])
            assert not before or before[-1][2] != "out", "answered while an attempt is out"
            may = any(state == "ran" for _, _, state in before)
            if isinstance(action, RejectRequest) and may:
                keyed_all = (
                    cls.idempotency is Idempotency.WITH_KEY
                    and cls.deduplication_scope is DeduplicationScope.ALL
                )
                assert cls.idempotency is Idempotency.ALWAYS or keyed_all, (
                    "a refusal promised too much"
                )
            self._finish(request)

    def _check_send(self, send: StartAttempt) -> None:
        assert send.request_id in self.owed, "sent after the final answer"
        told = self.told.get(send.server_id)
        assert told is None or self.now <= told + PLAIN.drain_grace_us, (
            "sent to a draining or gone server"
        )
        cls, deadline = EFFECTS[self.owed[send.request_id][0]], self.owed[send.request_id][1]
        assert self.now < deadline
        assert 0 < send.timeout_us <= deadline - self.now
        before = self.sends.setdefault(send.request_id, [])
        assert not before or before[-1][2] != "out", "two attempts out"
        assert len(before) < PLAIN.max_attempts
        ran = [(server, at) for server, at, state in before if state == "ran"]
        if ran and cls.idempotency is not Idempotency.ALWAYS:
            assert cls.idempotency is Idempotency.WITH_KEY, "an unsafe request was repeated"
            assert self.now <= ran[0][1] + cls.deduplication_window_us, "repeated after the window"
            if cls.deduplication_scope is DeduplicationScope.CELL:
                assert self.cells[send.server_id] == self.cells[ran[0][0]], (
                    "repeated outside the cell"
                )
        before.append((send.server_id, self.now, "out"))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 10**6))
def test_rules_of_answers_effects_and_drains(seed: int) -> None:
    referee = Referee(seed)
    for _ in range(80):
        referee.step()
    assert referee.last_id > 10


def test_same_events_same_actions() -> None:
    runs = []
    for _ in range(2):
        referee = Referee(5)
        for _ in range(60):
            referee.step()
        runs.append([(r, s) for r, s in referee.sends.items()])
    assert runs[0] == runs[1]


@pytest.mark.parametrize("instances", [1, 40, 250])
def test_cold_server_is_filled_slowly_by_all_instances_together(instances: int) -> None:
    """Guards slow start: many instances must not all send their first connection to a new server at once."""
    sent = []
    listed = (
        *(Endpoint(f"s{i}", weight=2.0) for i in range(4)),
        Endpoint("new", weight=2.0, started_at_us=START),
    )
    rate = 20 / instances  # arrivals a second at each
    for index in range(instances):
        b = Balancer(replace(PLAIN, proxy_count=instances, proxy_index=index), index)
        b.handle(START, [EndpointListUpdate(EndpointListKind.COMPLETE, 1, listed)])
        b.handle(
            START,
            [
                HealthCheckCompleted(f"s{i}", AttemptResult.OK, 1, LoadReport(load_ratio=0.3))
                for i in range(4)
            ],
        )
        rng, now, request = random.Random(index), START + 1, 0
        while (now := now + int(rng.expovariate(rate) * SECOND)) < START + PLAIN.slow_start_us:
            request += 1
            for send in of(StartAttempt, b.handle(now, [arrival(request, load=0.02)])):
                if send.server_id == "new":
                    sent.append(now)
    # It can hold 50 connections of the load assumed before any note, and warms up meanwhile.
    for begin in range(START, START + PLAIN.slow_start_us, SECOND):
        warmth = 0.3 + 0.7 * (begin - START) / PLAIN.slow_start_us
        inside = sum(begin <= at < begin + PLAIN.collapse_delay_us for at in sent)
        per_window = 50 * PLAIN.collapse_delay_us / PLAIN.slow_start_us
        assert inside <= PLAIN.collapse_multiple * warmth * per_window + 2
    assert len(sent) >= 3


def test_draining_server_gets_nothing_even_when_alone() -> None:
    b = balancer(1)
    b.handle(START, [fleet(1, state=ServerState.DRAINING)])
    assert of(StartAttempt, b.handle(START + 1, [arrival(1)])) == []


def test_subscription_is_asked_again_with_growing_spans() -> None:
    b = balancer(1, subscribes_to_endpoints=True)
    waits = []
    for _ in range(6):
        timers = of(StartTimer, b.handle(START, [EndpointListUpdate(EndpointListKind.FAILED)]))
        assert len(timers) == 1
        assert timers[0].delay_us <= PLAIN.poll_deadline_us
        waits.append(timers[0].delay_us)
        assert of(WatchEndpoints, b.handle(START, [TimerFired(timers[0].timer_id)])) == [
            WatchEndpoints()
        ]
    assert waits[-1] > 2 * waits[0]


@pytest.mark.parametrize("result", [r for r in AttemptResult if r is not AttemptResult.OK])
def test_every_ending_leads_to_one_answer_or_a_try(result: AttemptResult) -> None:
    b = balancer(3)
    server = of(StartAttempt, b.handle(START, [arrival(1)]))[0].server_id
    actions = b.handle(START + 2000, [ended(1, 0, server, result)])
    tries = of(StartAttempt, actions)
    assert len(tries) == 1
    assert tries[0].server_id != server


def test_odd_but_legal_events_do_no_harm() -> None:
    b = balancer(2)
    odd: list[Event] = [
        ClientDisconnected(99),
        ended(99, 0, "nowhere", AttemptResult.RESET),
        ConnectionEstablished(99, 0, "s0", 1),
        ConnectionLoadChanged(99, 0, "s0", 0.1),
        MessageDelayObserved(99, 0, "nowhere", 1e6),
        TimerFired(12345),
        HealthCheckCompleted("nowhere", AttemptResult.OK, 1, LoadReport(load_ratio=0.2)),
        GossipReceived(3, UnrecognizedMessage(b"?")),
        HealthCheckCompleted("s0", AttemptResult.OK, 1, LoadReport()),
        EndpointListUpdate(EndpointListKind.COMPLETE),
    ]
    assert of(StartAttempt, b.handle(START + 1, odd)) == []
    assert list(b.handle(START + 2, [])) == []


def test_settings_without_sense_are_refused() -> None:
    with pytest.raises(ValueError, match="cold_from"):
        replace(PLAIN, slow_start_initial_fraction=0.0)
    with pytest.raises(ValueError, match="index"):
        replace(PLAIN, proxy_index=1)
