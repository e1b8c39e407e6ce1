"""Requests that arrive before the first endpoint list."""

from __future__ import annotations

import pytest

from larchhaven.net.control.arrival_gate import ArrivalGate
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.routing.events import Event, RequestArrived

DISCONNECTED_ID = 2  # the request whose client disconnects while it is held back


@pytest.fixture
def queued_events() -> list[Event]:
    return []


@pytest.fixture
def gate(queued_events: list[Event]) -> ArrivalGate:
    def find_remaining_budget_us(request_id: int) -> int | None:
        return None if request_id == DISCONNECTED_ID else 40

    return ArrivalGate(EventLoop(), 1_000, queued_events.append, find_remaining_budget_us)


def test_open_gate_passes_arrivals_on_unchanged(
    gate: ArrivalGate, queued_events: list[Event]
) -> None:
    gate.admit(RequestArrived(1, 0, 100))
    assert queued_events == [RequestArrived(1, 0, 100)]


def test_closed_gate_holds_arrivals_until_it_opens_and_drops_disconnected_clients(
    gate: ArrivalGate, queued_events: list[Event]
) -> None:
    gate.close()
    for request_id in (1, DISCONNECTED_ID, 3):
        gate.admit(RequestArrived(request_id, 0, 100))
    assert queued_events == []
    gate.open()
    assert queued_events == [RequestArrived(1, 0, 40), RequestArrived(3, 0, 40)]
    gate.open()
    assert len(queued_events) == 2


def test_gate_opens_after_the_time_limit_without_a_list(
    gate: ArrivalGate, queued_events: list[Event]
) -> None:
    gate.close()
    gate.admit(RequestArrived(1, 0, 100))
    loop = gate._loop
    for _ in range(50):
        loop.run_once()
        if queued_events:
            break
    assert queued_events == [RequestArrived(1, 0, 40)]
