"""The batch in hand: its time, the actions that it calls for, and the timers that it starts."""

from __future__ import annotations

from collections.abc import Callable

from larchhaven.routing.actions import Action, StartTimer
from larchhaven.routing.events import TimerFired


def _do_nothing() -> None:
    """Stand in for a timer that is not known."""


class Scheduler:
    """The clock, the outgoing actions and the timers that all parts of a balancer share.

    Attributes:
        now_us: The time of the batch in hand, in microseconds.
        actions: The actions of the batch so far, in order.
    """

    def __init__(self, timer_resolution_us: int) -> None:
        self.now_us = 0
        self.actions: list[Action] = []
        self._timer_resolution_us = timer_resolution_us
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._last_timer_id = 0

    def begin_batch(self, now_us: int) -> None:
        """Set the time, and start with no actions."""
        self.now_us = now_us
        self.actions = []

    def emit(self, action: Action) -> None:
        """Append an action to those of the batch."""
        self.actions.append(action)

    def start_timer(self, delay_us: float, callback: Callable[[], None]) -> None:
        """Have a callback run in a later batch.

        Args:
            delay_us: Time until then; at least the resolution of timers is waited.
            callback: What is to be done.
        """
        self._last_timer_id += 1
        self._callbacks[self._last_timer_id] = callback
        whole_delay_us = max(int(delay_us), self._timer_resolution_us)
        self.actions.append(StartTimer(self._last_timer_id, whole_delay_us))

    def fire_timer(self, event: TimerFired) -> None:
        """Run the callback of a timer; one that is not known is ignored."""
        self._callbacks.pop(event.timer_id, _do_nothing)()
