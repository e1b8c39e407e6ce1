"""Lingering close: input is discarded for a while, so that what was written last is delivered.

Closing a socket with unread input resets the connection, and the other side may then never read the
last bytes that were written.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

from larchhaven.net.core.event_loop import EventLoop

# How long input is discarded after the last of it came.
LINGER_US = 1_000_000
# The most for one that goes on sending.
MAX_LINGER_US = 5_000_000
_MAX_DISCARDS_ON_CLOSE = 16
# All sockets share the block, as nobody reads what is discarded.
_DISCARD_BLOCK = memoryview(bytearray(1 << 16))


def discard_block(sock: socket.socket) -> int:
    """Read once and discard what comes.

    Returns:
        The number of bytes; 0 at the end of the stream.

    Raises:
        OSError: Nothing has come, or the connection is lost.
    """
    return sock.recv_into(_DISCARD_BLOCK)


def discard_received(sock: socket.socket) -> None:
    """Discard what has been received, up to a limit."""
    with contextlib.suppress(OSError):
        for _ in range(_MAX_DISCARDS_ON_CLOSE):
            if not discard_block(sock):
                return


class LingerTimer:
    """Ends a lingering close some time after the last input."""

    __slots__ = ("_handle", "_last_input_us", "_loop", "_on_expired", "_started_us")

    def __init__(self, loop: EventLoop, on_expired: Callable[[], None]) -> None:
        self._loop = loop
        self._on_expired = on_expired
        self._started_us = loop.now_us
        self._last_input_us = loop.now_us
        self._handle = loop.call_later(LINGER_US, self._check)

    def note_input(self) -> None:
        """Count the time anew, within the limit."""
        self._last_input_us = self._loop.now_us

    def cancel(self) -> None:
        """Do not end it by time any more."""
        self._loop.cancel(self._handle)

    def _check(self) -> None:
        expires_us = min(self._last_input_us + LINGER_US, self._started_us + MAX_LINGER_US)
        if expires_us > self._loop.now_us:
            self._handle = self._loop.call_later(expires_us - self._loop.now_us, self._check)
        else:
            self._on_expired()
