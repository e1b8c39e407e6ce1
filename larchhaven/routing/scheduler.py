"""The current batch of events: its time, its actions, and the timers that it starts."""

from __future__ import annotations

from collections.abc import Callable

from larchhaven.routing.actions import Action, StartTimer
from larchhaven.routing.events import TimerFired


def _do_nothing() -> None:
    """Stand in for the callback of an unknown timer."""


class Scheduler:
    """The clock, the pending actions and the timers that all components of a balancer share.

    Attributes:
        now_us: Time of the current batch, in microseconds.
        actions: Actions of the current batch so far, in order.
    """

    def __init__(self, timer_resolution_us: int) -> None:
        self.now_us = 0
        self.actions: list[Action] = []
        self._timer_resolution_us = timer_resolution_us
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._last_timer_id = 0

    def begin_batch(self, now_us: int) -> None:
        """Start a batch: set the time, and discard earlier actions."""
        self.now_us = now_us
        self.actions = []

    def emit(self, action: Action) -> None:
        """Append an action to the current batch."""
        self.actions.append(action)

    def start_timer(self, delay_us: float, callback: Callable[[], None]) -> None:
        """Run a callback in a later batch.

        Args:
            delay_us: Delay in microseconds, raised to the timer resolution if shorter.
            callback: Function to call when the timer fires.
        """
        self._last_timer_id += 1
        self._callbacks[self._last_timer_id] = callback
        whole_delay_us = max(int(delay_us), self._timer_resolution_us)
        self.actions.append(StartTimer(self._last_timer_id, whole_delay_us))

    def fire_timer(self, event: TimerFired) -> None:
        """Run the callback of a timer; ignore an unknown timer."""
        self._callbacks.pop(event.timer_id, _do_nothing)()
