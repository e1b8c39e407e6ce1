"""Whether a server may still be sent something new, checked when the bytes are to go out."""

from __future__ import annotations

from larchhaven.net.control.interfaces import EndpointAddresses
from larchhaven.net.core.event_loop import EventLoop

# A draining server is left alone a little before its grace ends: bytes need time to get there.
DRAIN_GRACE_MARGIN_US = 150_000


class DrainGuard:
    """Since when servers are draining or administratively ejected.

    The decisions choose a server while it may be used; the endpoint list can change while the
    connection to it is being made.
    """

    def __init__(self, loop: EventLoop, drain_grace_us: int) -> None:
        self._loop = loop
        self._max_age_us = drain_grace_us - DRAIN_GRACE_MARGIN_US
        self._ejected_at_us: dict[str, int] = {}
        self._endpoints: EndpointAddresses

    def attach_endpoints(self, endpoints: EndpointAddresses) -> None:
        """Set where to find since when a server is draining."""
        self._endpoints = endpoints

    def set_ejection(self, server_id: str, is_ejected: bool) -> None:
        """Take notice that operators took a server out, or let it serve again."""
        if is_ejected:
            self._ejected_at_us.setdefault(server_id, self._loop.now_us)
        else:
            self._ejected_at_us.pop(server_id, None)

    def may_send_to(self, server_id: str) -> bool:
        """Return whether the server is in use, or its grace is not over yet."""
        drained_at_us = self._endpoints.drain_notified_at_us(server_id)
        if drained_at_us is not None and not self._is_within_grace(drained_at_us):
            return False
        ejected_at_us = self._ejected_at_us.get(server_id)
        return ejected_at_us is None or self._is_within_grace(ejected_at_us)

    def _is_within_grace(self, since_us: int) -> bool:
        return self._loop.now_us < since_us + self._max_age_us
