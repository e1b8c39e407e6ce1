"""Arrivals before the first endpoint list."""

from __future__ import annotations

import pytest

from larchhaven.net.control.arrival_gate import ArrivalGate
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.routing.events import Event, RequestArrived

LEFT = 2  # the request whose client has left meanwhile


@pytest.fixture
def passed() -> list[Event]:
    return []


@pytest.fixture
def gate(passed: list[Event]) -> ArrivalGate:
    def find_remaining_budget_us(request_id: int) -> int | None:
        return None if request_id == LEFT else 40

    return ArrivalGate(EventLoop(), 1_000, passed.append, find_remaining_budget_us)


def test_open_gate_passes_arrivals_on_as_they_are(gate: ArrivalGate, passed: list[Event]) -> None:
    gate.admit(RequestArrived(1, 0, 100))
    assert passed == [RequestArrived(1, 0, 100)]


def test_closed_gate_holds_arrivals_until_it_opens_and_drops_those_who_left(
    gate: ArrivalGate, passed: list[Event]
) -> None:
    gate.close()
    for request_id in (1, LEFT, 3):
        gate.admit(RequestArrived(request_id, 0, 100))
    assert passed == []
    gate.open()
    assert passed == [RequestArrived(1, 0, 40), RequestArrived(3, 0, 40)]
    gate.open()
    assert len(passed) == 2


def test_gate_opens_by_itself_when_no_list_comes(gate: ArrivalGate, passed: list[Event]) -> None:
    gate.close()
    gate.admit(RequestArrived(1, 0, 100))
    loop = gate._loop
    for _ in range(50):
        loop.run_once()
        if passed:
            break
    assert passed == [RequestArrived(1, 0, 40)]
