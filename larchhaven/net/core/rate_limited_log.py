"""Log lines for the operators that no outside party can turn into a flood."""

from __future__ import annotations

import logging

from larchhaven.net.core.event_loop import EventLoop

# The same notice is written at most once in this time; those held back are counted.
REPEAT_INTERVAL_US = 10_000_000
# Kinds of notices that are remembered; beyond, the oldest is forgotten.
MAX_REMEMBERED_EVENTS = 200

_log = logging.getLogger("larchhaven")


class RateLimitedLog:
    """Writes each kind of notice now and then."""

    def __init__(self, loop: EventLoop, kinds_most: int = MAX_REMEMBERED_EVENTS) -> None:
        self._loop = loop
        self.max_events = kinds_most
        self.repeat_interval_us = REPEAT_INTERVAL_US
        # By kind: when it may be written next, and how many were held back.
        self._kinds: dict[str, tuple[int, int]] = {}

    def event_count(self) -> int:
        """Count the kinds that are remembered."""
        return len(self._kinds)

    def warning(self, kind: str, detail: str) -> None:
        """Write a notice, unless one of its kind was written a moment ago."""
        until, held = self._kinds.get(kind, (0, 0))
        if self._loop.now_us < until:
            self._kinds[kind] = (until, held + 1)
            return
        while len(self._kinds) >= max(self.max_events, 1):
            del self._kinds[next(iter(self._kinds))]
        self._kinds[kind] = (self._loop.now_us + self.repeat_interval_us, 0)
        more = f" ({held} more like it)" if held else ""
        plain = detail[:200].encode("unicode_escape").decode()
        _log.warning(
            "%s: %s%s", kind, plain, more, extra={"event": kind, "detail": plain, "held": held}
        )
