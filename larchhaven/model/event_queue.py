"""The simulated clock and the event queue that advances it."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

Callback = Callable[[], None]


class _Event(NamedTuple):
    """An event. The unique sequence number orders events with equal times."""

    at_us: int
    sequence: int
    callback: Callback


class EventQueue:
    """Runs callbacks at simulated times; callbacks with equal times run in scheduling order.

    Attributes:
        now_us: The simulated time in microseconds.
        events_run: The number of events that have run.
    """

    def __init__(self) -> None:
        self.now_us = 0
        self.events_run = 0
        self._heap: list[_Event] = []
        self._last_sequence = 0

    def schedule(self, at_us: int, callback: Callback) -> None:
        """Schedule a callback at a time, or at the current time if that time has passed."""
        self._last_sequence += 1
        heapq.heappush(self._heap, _Event(max(at_us, self.now_us), self._last_sequence, callback))

    def schedule_after(self, delay_us: int, callback: Callback) -> None:
        """Schedule a callback after a delay in microseconds."""
        self.schedule(self.now_us + delay_us, callback)

    def run_until(self, end_us: int) -> None:
        """Run all events up to and including ``end_us``, then set the clock to it."""
        while self._heap and self._heap[0].at_us <= end_us:
            event = heapq.heappop(self._heap)
            self.now_us = event.at_us
            self.events_run += 1
            event.callback()
        self.now_us = end_us
