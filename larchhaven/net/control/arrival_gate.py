"""Holds back arriving requests until this process has received its first endpoint list."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from larchhaven.net.core.event_loop import EventLoop
from larchhaven.routing.events import Event, RequestArrived
from larchhaven.routing.settings import RoutingSettings

# Maximum wait for the first endpoint list, as a fraction of the shortest latency objective.
FIRST_LIST_WAIT_RATIO = 0.25


def find_max_wait_us(settings: RoutingSettings) -> int:
    """Return how long arrivals may wait for the first endpoint list, in microseconds."""
    objective_us = min(request_class.latency_objective_us for request_class in settings.classes)
    return int(FIRST_LIST_WAIT_RATIO * objective_us)


class ArrivalGate:
    """Passes arrivals on to the balancer, or holds them back while it is closed.

    If endpoint lists are pushed, this process counts as notified of the current list from the
    moment it starts. The list that it was started with may be outdated: a server on it may have
    started to drain since then.

    Args:
        loop: The event loop.
        max_wait_us: Maximum time for which arrivals are held back, in microseconds.
        queue_event: Called with each arrival that is passed on.
        find_remaining_budget_us: Returns the time until the deadline of a request, in
            microseconds; None if its client has disconnected or was answered.
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
        """Hold back arrivals from now on; the time limit starts with the first loop iteration."""
        self._is_open = False
        self._loop.call_later(0, self._start_time_limit)

    def open(self) -> None:
        """Pass on the arrivals that were held back, and all later ones."""
        self._is_open = True
        held, self._held = self._held, []
        for arrival in held:
            budget_us = self._find_remaining_budget_us(arrival.request_id)
            if budget_us is not None:
                self._queue_event(replace(arrival, budget_us=budget_us))

    def admit(self, arrival: RequestArrived) -> None:
        """Pass an arrival on, or hold it back while the gate is closed."""
        if self._is_open:
            self._queue_event(arrival)
        else:
            self._held.append(arrival)

    def _start_time_limit(self) -> None:
        self._loop.call_later(self._max_wait_us, self.open)
