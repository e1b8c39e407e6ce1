"""Holds back arrivals until the first endpoint list of this process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from larchhaven.net.core.event_loop import EventLoop
from larchhaven.routing.events import Event, RequestArrived
from larchhaven.routing.settings import RoutingSettings

# Of the shortest latency objective.
FIRST_LIST_WAIT_RATIO = 0.25


def find_max_wait_us(settings: RoutingSettings) -> int:
    """Return how long arrivals may wait for the first endpoint list."""
    objective_us = min(each.latency_objective_us for each in settings.classes)
    return int(FIRST_LIST_WAIT_RATIO * objective_us)


class ArrivalGate:
    """Passes arrivals on, or holds them back while it is closed.

    Where lists are pushed, a list counts as notified from the first moment of this process, and the
    one that it was started with may be old: a server on it may have drained since.

    Args:
        loop: The event loop.
        max_wait_us: How long arrivals are held back.
        queue_event: Takes arrivals that are passed on.
        find_remaining_budget_us: Returns the time that a request has left; None if its client
            has left or is answered.
    """

    def __init__(
        self,
        loop: EventLoop,
        max_wait_us: int,
        queue_event: Callable[[Event], None],
        find_remaining_budget_us: Callable[[int], int | None],
    ) -> None:
        self._loop = loop
        self._max_wait_us = max_wait_us
        self._queue_event = queue_event
        self._find_remaining_budget_us = find_remaining_budget_us
        self._is_open = True
        self._held: list[RequestArrived] = []

    def close(self) -> None:
        """Hold arrivals back from now on; the time limit runs from the first iteration."""
        self._is_open = False
        self._loop.call_later(0, self._start_time_limit)

    def open(self) -> None:
        """Pass on what was held back, and all that comes from now on."""
        self._is_open = True
        held, self._held = self._held, []
        for arrival in held:
            budget_us = self._find_remaining_budget_us(arrival.request_id)
            if budget_us is not None:
                self._queue_event(replace(arrival, budget_us=budget_us))

    def admit(self, arrival: RequestArrived) -> None:
        """Pass an arrival on, or hold it back."""
        if self._is_open:
            self._queue_event(arrival)
        else:
            self._held.append(arrival)

    def _start_time_limit(self) -> None:
        self._loop.call_later(self._max_wait_us, self.open)
