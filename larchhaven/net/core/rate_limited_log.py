"""Log lines for operators that no outside party can turn into a flood."""

from __future__ import annotations

import logging

from larchhaven.net.core.event_loop import EventLoop

# The same event is logged at most once in this time; the others are counted.
REPEAT_INTERVAL_US = 10_000_000
# Events that are remembered; beyond, the oldest is forgotten.
MAX_REMEMBERED_EVENTS = 200
# Details may quote what clients sent.
MAX_DETAIL_LENGTH = 200

_log = logging.getLogger("larchhaven")


class _EventRecord:
    """When an event may be logged again, and how often it was suppressed since it was."""

    __slots__ = ("quiet_until_us", "suppressed")

    def __init__(self, quiet_until_us: int) -> None:
        self.quiet_until_us = quiet_until_us
        self.suppressed = 0


class RateLimitedLog:
    """Logs each event at most once in an interval.

    Attributes:
        max_events: How many events are remembered.
        repeat_interval_us: The interval.
    """

    def __init__(self, loop: EventLoop, max_events: int = MAX_REMEMBERED_EVENTS) -> None:
        self._loop = loop
        self.max_events = max_events
        self.repeat_interval_us = REPEAT_INTERVAL_US
        self._records: dict[str, _EventRecord] = {}

    def event_count(self) -> int:
        """Count the events that are remembered."""
        return len(self._records)

    def warning(self, event: str, detail: str) -> None:
        """Log an event, unless it was logged a moment ago.

        Args:
            event: The fact, which the rate is limited by.
            detail: Its values; escaped and truncated, as they may come from outside.
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
        plain = detail[:MAX_DETAIL_LENGTH].encode("unicode_escape").decode()
        _log.warning(
            "%s: %s%s",
            event,
            plain,
            f" suppressed={suppressed}" if suppressed else "",
            extra={"event": event, "detail": plain, "held": suppressed},
        )
