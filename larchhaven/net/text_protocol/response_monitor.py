"""Watches how long a server takes to answer the lines of a client."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from larchhaven.net.control.interfaces import ConnectionObserver
from larchhaven.net.core.event_loop import EventLoop, TimerHandle

# Interval between checks for unanswered lines, whose age is reported as a delay.
CHECK_INTERVAL_US = 1_000_000
# If a line is unanswered for this long, the server is reported as unresponsive, and the connection
# may be migrated.
UNRESPONSIVE_US = 4_000_000
# If a line is unanswered for this long, the connection is aborted. This must happen within 7 s, and
# checks are 1 s apart.
MAX_UNANSWERED_US = 5_500_000
# Unanswered lines tracked per connection. If there are more, only the oldest are tracked.
MAX_UNANSWERED_LINES = 64


class ResponseMonitor:
    """Reports how long the lines of one connection wait for an answer.

    Args:
        loop: The event loop.
        observer: Receives the delays of answers, and the ages of lines that wait for one.
        request_id: The id of the connection's request.
        on_timeout: Called when a line has been unanswered for too long.
    """

    __slots__ = ("_check", "_forwarded_at_us", "_loop", "_observer", "_on_timeout", "_request_id")

    def __init__(
        self,
        loop: EventLoop,
        observer: ConnectionObserver,
        request_id: int,
        on_timeout: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._observer = observer
        self._request_id = request_id
        self._on_timeout = on_timeout
        self._forwarded_at_us: deque[int] = deque()
        self._check: TimerHandle | None = None

    def add_lines(self, count: int) -> None:
        """Add lines that were forwarded to the server now; the oldest are kept if too many wait."""
        space = MAX_UNANSWERED_LINES - len(self._forwarded_at_us)
        self._forwarded_at_us.extend([self._loop.now_us] * min(count, space))
        if self._check is None:
            self._check = self._loop.call_later(CHECK_INTERVAL_US, self._check_oldest_line)

    def note_answer(self) -> None:
        """Report the delay of the oldest line, which the server has answered, if there is one.

        A hung server may never answer lines that it has read. If these were kept, each later answer
        would be matched with an earlier line and seem late.
        """
        if not self._forwarded_at_us:
            return
        now_us = self._loop.now_us
        delay_us = now_us - self._forwarded_at_us.popleft()
        self._observer.on_message_answered(self._request_id, delay_us)
        while self._forwarded_at_us and now_us - self._forwarded_at_us[0] >= UNRESPONSIVE_US:
            self._forwarded_at_us.popleft()

    def stop(self) -> None:
        """Forget all lines, and report nothing more."""
        self._forwarded_at_us.clear()
        self._loop.cancel(self._check)
        self._on_timeout = _ignore  # breaks the reference cycle with the caller

    def export_state(self) -> list[int]:
        """Return when the unanswered lines were forwarded, oldest first."""
        return list(self._forwarded_at_us)

    def restore(self, forwarded_at_us: list[int]) -> None:
        """Continue with the unanswered lines that another process has forwarded."""
        if forwarded_at_us:
            self._forwarded_at_us.extend(forwarded_at_us)
            self._check = self._loop.call_later(CHECK_INTERVAL_US, self._check_oldest_line)

    def _check_oldest_line(self) -> None:
        """Report an unanswered line, as a hung server does not close its connections."""
        self._check = None
        if not self._forwarded_at_us:
            return
        age_us = self._loop.now_us - self._forwarded_at_us[0]
        if age_us >= MAX_UNANSWERED_US:
            self._on_timeout()
            return
        if age_us >= UNRESPONSIVE_US:
            self._observer.on_server_unresponsive(self._request_id, age_us)
        elif age_us >= CHECK_INTERVAL_US:
            self._observer.on_message_waiting(self._request_id, age_us)
        delay_us = max(CHECK_INTERVAL_US - age_us, CHECK_INTERVAL_US // 2)
        self._check = self._loop.call_later(delay_us, self._check_oldest_line)


def _ignore() -> None:
    """Do nothing."""
