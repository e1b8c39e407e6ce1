"""Tests of the order of simulated events and of the simulated clock."""

from __future__ import annotations

from functools import partial

from larchhaven.model.event_queue import EventQueue


def test_events_run_in_order_of_time_and_then_of_scheduling() -> None:
    queue = EventQueue()
    ran: list[tuple[int, str]] = []

    def record(name: str) -> None:
        ran.append((queue.now_us, name))

    for at_us, name in ((20, "third"), (10, "first"), (10, "second"), (31, "too late")):
        queue.schedule(at_us, partial(record, name))
    queue.run_until(30)
    assert ran == [(10, "first"), (10, "second"), (20, "third")]
    assert (queue.now_us, queue.events_run) == (30, 3)


def test_event_scheduled_in_the_past_runs_at_the_current_time() -> None:
    queue = EventQueue()
    queue.run_until(50)
    ran: list[int] = []
    queue.schedule(10, lambda: ran.append(queue.now_us))
    queue.schedule_after(5, lambda: ran.append(queue.now_us))
    queue.run_until(60)
    assert ran == [50, 55]
