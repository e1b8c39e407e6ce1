"""Lingering close: discards input for a while before the close, so that all output is delivered.

Closing a socket with unread input resets the connection, and the remote end may then never read the
last bytes that were sent.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

from larchhaven.net.core.event_loop import EventLoop

# A lingering close ends after this time without input.
LINGER_US = 1_000_000
# A lingering close ends after this time even if input keeps arriving.
MAX_LINGER_US = 5_000_000
_MAX_DISCARDS_ON_CLOSE = 16
# Shared by all sockets, as the discarded data is never used.
_DISCARD_BLOCK = memoryview(bytearray(1 << 16))


def discard_block(sock: socket.socket) -> int:
    """Read once and discard the data.

    Returns:
        The number of bytes read; 0 at the end of the stream.

    Raises:
        OSError: No data is available, or the connection is lost.
    """
    return sock.recv_into(_DISCARD_BLOCK)


def discard_received(sock: socket.socket) -> None:
    """Discard the data received so far, up to a limit."""
    with contextlib.suppress(OSError):
        for _ in range(_MAX_DISCARDS_ON_CLOSE):
            if not discard_block(sock):
                return


class LingerTimer:
    """Ends a lingering close after a time without input, or after a maximum time."""

    __slots__ = ("_handle", "_last_input_us", "_loop", "_on_expired", "_started_us")

    def __init__(self, loop: EventLoop, on_expired: Callable[[], None]) -> None:
        self._loop = loop
        self._on_expired = on_expired
        self._started_us = loop.now_us
        self._last_input_us = loop.now_us
        self._handle = loop.call_later(LINGER_US, self._check)

    def note_input(self) -> None:
        """Restart the timeout, within the maximum time."""
        self._last_input_us = self._loop.now_us

    def cancel(self) -> None:
        """Stop the timer."""
        self._loop.cancel(self._handle)

    def _check(self) -> None:
        expires_us = min(self._last_input_us + LINGER_US, self._started_us + MAX_LINGER_US)
        if expires_us > self._loop.now_us:
            self._handle = self._loop.call_later(expires_us - self._loop.now_us, self._check)
        else:
            self._on_expired()
