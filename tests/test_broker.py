"""The broker between a decision module and an outside made of plain objects."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest

from larchhaven.net.admin.metrics import Metrics
from larchhaven.net.control.dispatcher import (
    GRACE_MARGIN_US,
    Broker,
    Execution,
    Outside,
    Session,
    Wants,
)
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.routing.events import AttemptResult, Endpoint, EndpointListKind, EndpointListUpdate
from tests.routing.builders import BASIC_SETTINGS as PLAIN


@dataclass
class World:
    """Plays instances, executions and one client."""

    told: int | None = None
    begun: list[tuple[int, str]] = field(default_factory=list)
    answers: list[str] = field(default_factory=list)

    def address(self, host: str) -> tuple[str, int] | None:
        return ("127.0.0.1", 1)

    def told_at(self, host: str) -> int | None:
        return self.told

    def begin(
        self, token: int, payload: bytes, address: tuple[str, int], wait_us: int
    ) -> Execution:
        self.begun.append((token, payload.decode()))
        return self

    def cancel(self) -> None:
        self.answers.append("cancelled")

    def look(self) -> None:
        """Nothing: the client stays."""

    def refuse(self, retry_after_us: int) -> None:
        self.answers.append(f"refused {retry_after_us}")

    def fail(self) -> None:
        self.answers.append("failed")

    def serve(self, execution: Execution, token: int) -> Session:
        self.answers.append("served")
        return self

    def release(self) -> None:
        self.answers.append("released")

    def move(self) -> None:
        self.answers.append("moved")


@pytest.fixture
def world() -> World:
    return World()


@pytest.fixture
def broker(world: World) -> Broker:
    loop = EventLoop()
    made = Broker(loop, RateLimitedLog(loop), PLAIN, 1, Metrics.for_classes(["chat"]))
    nothing: Any = lambda *_: None  # noqa: E731
    made.outside = Outside(world, world.begin, *[nothing] * 7)
    made.queue(EndpointListUpdate(EndpointListKind.COMPLETE, 1, (Endpoint("s0"),)))
    loop.on_iteration_end = made.turn
    return made


def test_list_is_looked_at_again_when_a_slow_connect_completes(
    broker: Broker, world: World
) -> None:
    """Guards the drain rule: a send counts from its first byte, which a slow connect puts off."""
    token = broker.take_command(world, Wants(b"x", 0, None))
    broker.turn()
    assert world.begun == [(token, "x")]
    assert broker.may_begin(token)
    world.told = broker._loop.now_us
    assert broker.may_begin(token)
    world.told = broker._loop.now_us - PLAIN.drain_grace_us + GRACE_MARGIN_US
    assert not broker.may_begin(token)
    assert not broker.may_begin(token + 1)


@pytest.mark.parametrize("last", ["up", "left", "overdue"])
def test_command_gets_one_answer_whatever_comes_after(
    broker: Broker, world: World, last: str
) -> None:
    """Guards the one final answer: events of a command that is over must find nobody."""
    token = broker.take_command(world, Wants(b"x", 0, 100_000))
    broker.turn()
    if last == "up":
        broker.execution_up(token)
    elif last == "left":
        broker.client_left(token)
    else:
        broker._overdue(token)
    first = list(world.answers)
    assert (
        first == {"up": ["served"], "left": ["cancelled"], "overdue": ["cancelled", "failed"]}[last]
    )
    broker.turn()
    broker.execution_up(token)
    broker.execution_over(token, AttemptResult.RESET, None)
    broker._overdue(token)
    broker.client_left(token)
    broker.turn()
    assert world.answers == first
    broker.session_over(token, AttemptResult.OK, None)
    assert broker.held() == 0


def test_slow_answers_are_told_once_a_second_and_once_when_over(
    broker: Broker, world: World
) -> None:
    token = broker.take_command(world, Wants(b"x", 0, None))
    broker.turn()
    broker.execution_up(token)
    broker.turn()
    notes: list[float] = []
    broker.queue = lambda event: notes.append(event.delay_us)  # type: ignore
    for delay in (1_000, 90_000, 80_000, 2_000, 3_000):
        broker.session_delay(token, delay)
    assert notes == [90_000, 2_000]
