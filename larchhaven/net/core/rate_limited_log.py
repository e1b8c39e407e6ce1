"""Log lines for the operators that no outside party can turn into a flood."""

from __future__ import annotations

import logging

from larchhaven.net.core.event_loop import Loop

# The same notice is written at most once in this time; those held back are counted.
QUIET_US = 10_000_000
# Kinds of notices that are remembered; beyond, the oldest is forgotten.
KINDS_MOST = 200

_log = logging.getLogger("larchhaven")


class Notices:
    """Writes each kind of notice now and then."""

    def __init__(self, loop: Loop, kinds_most: int = KINDS_MOST) -> None:
        self._loop = loop
        self.kinds_most = kinds_most
        self.quiet_us = QUIET_US
        # By kind: when it may be written next, and how many were held back.
        self._kinds: dict[str, tuple[int, int]] = {}

    def kinds(self) -> int:
        """Count the kinds that are remembered."""
        return len(self._kinds)

    def tell(self, kind: str, detail: str) -> None:
        """Write a notice, unless one of its kind was written a moment ago."""
        until, held = self._kinds.get(kind, (0, 0))
        if self._loop.now < until:
            self._kinds[kind] = (until, held + 1)
            return
        while len(self._kinds) >= max(self.kinds_most, 1):
            del self._kinds[next(iter(self._kinds))]
        self._kinds[kind] = (self._loop.now + self.quiet_us, 0)
        more = f" ({held} more like it)" if held else ""
        plain = detail[:200].encode("unicode_escape").decode()
        _log.warning(
            "%s: %s%s", kind, plain, more, extra={"event": kind, "detail": plain, "held": held}
        )
