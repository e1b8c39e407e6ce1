"""Checks, right before bytes are sent, whether a server may still receive requests."""

from __future__ import annotations

from larchhaven.net.control.interfaces import EndpointAddresses
from larchhaven.net.core.event_loop import EventLoop

# Sending ends this long before the drain grace does, as bytes need time to reach the server.
DRAIN_GRACE_MARGIN_US = 150_000


class DrainGuard:
    """Applies the drain grace to draining and administratively ejected servers.

    The balancer chooses a server that is in use at that time. This can change while the connection
    to the server is being established.
    """

    def __init__(self, loop: EventLoop, drain_grace_us: int) -> None:
        self._loop = loop
        self._send_window_us = drain_grace_us - DRAIN_GRACE_MARGIN_US
        self._ejected_at_us: dict[str, int] = {}
        self._endpoints: EndpointAddresses

    def attach_endpoints(self, endpoints: EndpointAddresses) -> None:
        """Set the directory that provides the drain times of servers."""
        self._endpoints = endpoints

    def set_ejection(self, server_id: str, is_ejected: bool) -> None:
        """Record that operators ejected a server, or revoked its ejection."""
        if is_ejected:
            self._ejected_at_us.setdefault(server_id, self._loop.now_us)
        else:
            self._ejected_at_us.pop(server_id, None)

    def may_send_to(self, server_id: str) -> bool:
        """Return whether the server is in use, or enough of its drain grace is left."""
        drained_at_us = self._endpoints.drain_notified_at_us(server_id)
        if drained_at_us is not None and not self._is_within_grace(drained_at_us):
            return False
        ejected_at_us = self._ejected_at_us.get(server_id)
        return ejected_at_us is None or self._is_within_grace(ejected_at_us)

    def _is_within_grace(self, since_us: int) -> bool:
        return self._loop.now_us < since_us + self._send_window_us
