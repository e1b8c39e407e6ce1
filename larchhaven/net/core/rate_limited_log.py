"""A rate-limited log for operators, which clients and servers cannot flood."""

from __future__ import annotations

import logging

from larchhaven.net.core.event_loop import EventLoop

# The same event is logged at most once in this time. Repeats are counted.
REPEAT_INTERVAL_US = 10_000_000
# Number of events whose rate is tracked. A further event replaces the oldest.
MAX_REMEMBERED_EVENTS = 200
# Limit in characters, as details may quote data sent by clients.
MAX_DETAIL_LENGTH = 200

_log = logging.getLogger("larchhaven")


class _EventRecord:
    """The rate limit of one event.

    Attributes:
        quiet_until_us: The time until which repeats are suppressed, on the event loop's clock.
        suppressed: The number of repeats suppressed since the event was last logged.
    """

    __slots__ = ("quiet_until_us", "suppressed")

    def __init__(self, quiet_until_us: int) -> None:
        self.quiet_until_us = quiet_until_us
        self.suppressed = 0


class RateLimitedLog:
    """Logs each event at most once in an interval.

    Attributes:
        max_events: The maximum number of events whose rate is tracked.
        repeat_interval_us: The interval in microseconds.
    """

    def __init__(self, loop: EventLoop, max_events: int = MAX_REMEMBERED_EVENTS) -> None:
        self._loop = loop
        self.max_events = max_events
        self.repeat_interval_us = REPEAT_INTERVAL_US
        self._records: dict[str, _EventRecord] = {}

    def event_count(self) -> int:
        """Return the number of events whose rate is tracked."""
        return len(self._records)

    def warning(self, event: str, detail: str) -> None:
        """Log an event, unless it was logged within the interval.

        Args:
            event: The event. The rate is limited per event.
            detail: The details, escaped and truncated, as they may come from outside.
        """
        now_us = self._loop.now_us
        record = self._records.get(event)
        if record is not None and now_us < record.quiet_until_us:
            record.suppressed += 1
            return
        while len(self._records) >= max(self.max_events, 1):
            del self._records[next(iter(self._records))]
        self._records[event] = _EventRecord(now_us + self.repeat_interval_us)
        suppressed = 0 if record is None else record.suppressed
        escaped_detail = detail[:MAX_DETAIL_LENGTH].encode("unicode_escape").decode()
        _log.warning(
            "%s: %s%s",
            event,
            escaped_detail,
            f" suppressed={suppressed}" if suppressed else "",
            extra={"event": event, "detail": escaped_detail, "held": suppressed},
        )
