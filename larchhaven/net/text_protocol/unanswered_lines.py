"""Tracks the lines of a client that its server has not answered yet."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

# If a line is unanswered for this long, the server is reported as unresponsive, and the connection
# may be migrated.
UNRESPONSIVE_US = 4_000_000
# Unanswered lines tracked per connection. If there are more, only the oldest are tracked.
MAX_UNANSWERED_LINES = 64


class UnansweredLines:
    """The times at which a client's unanswered lines were forwarded, in microseconds."""

    __slots__ = ("_forwarded_at_us",)

    def __init__(self) -> None:
        self._forwarded_at_us: deque[int] = deque()

    def __bool__(self) -> bool:
        """Return whether a line is unanswered."""
        return bool(self._forwarded_at_us)

    def add_lines(self, count: int, now_us: int) -> None:
        """Add forwarded lines; the oldest are kept if there are too many."""
        space = MAX_UNANSWERED_LINES - len(self._forwarded_at_us)
        self._forwarded_at_us.extend([now_us] * min(count, space))

    def take_answered(self, now_us: int) -> int:
        """Remove the oldest line, which has been answered, and return its age in microseconds.

        A hung server may never answer lines that it has read. If these were kept, each later answer
        would be matched with an earlier line and seem late.
        """
        age_us = now_us - self._forwarded_at_us.popleft()
        while self._forwarded_at_us and self.oldest_age_us(now_us) >= UNRESPONSIVE_US:
            self._forwarded_at_us.popleft()
        return age_us

    def oldest_age_us(self, now_us: int) -> int:
        """Return the age of the oldest line in microseconds; there must be one."""
        return now_us - self._forwarded_at_us[0]

    def clear(self) -> None:
        """Forget all lines."""
        self._forwarded_at_us.clear()

    def export_state(self) -> list[int]:
        """Return when the lines were forwarded, oldest first."""
        return list(self._forwarded_at_us)

    def restore(self, forwarded_at_us: Iterable[int]) -> None:
        """Add the lines that another process has forwarded."""
        self._forwarded_at_us.extend(forwarded_at_us)
