"""A non-blocking socket in the event loop, with at most one pooled buffer per direction."""

from __future__ import annotations

import socket
from collections.abc import Callable

from larchhaven.memory.item_costs import BUFFER_BYTES, STREAM_BYTES
from larchhaven.net.core.buffer_pool import Buffer, BufferPool
from larchhaven.net.core.event_loop import READ, WRITE, EventLoop


class BufferedSocket:
    """A socket with its buffers.

    It is watched for input unless reading is paused, and for output while data is pending.

    Attributes:
        inbox: Received data that has not been consumed; None if there is none.
        at_eof: Whether the remote end has ended its stream.
        is_closed: Whether the socket is closed.
    """

    __slots__ = (
        "_channel",
        "_is_connecting",
        "_is_reading",
        "_loop",
        "_outbox",
        "_pool",
        "_sock",
        "at_eof",
        "inbox",
        "is_closed",
    )

    def __init__(
        self,
        loop: EventLoop,
        pool: BufferPool,
        sock: socket.socket,
        on_ready: Callable[[int], None],
    ) -> None:
        """Register a socket and charge it to the pool's account.

        Args:
            loop: The event loop.
            pool: The pool that provides the buffers.
            sock: The socket.
            on_ready: Called with the events that the socket is ready for.
        """
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if pool.socket_buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, pool.socket_buffer_bytes)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, pool.socket_buffer_bytes)
        self._loop = loop
        self._pool = pool
        self._sock = sock
        self._outbox: Buffer | None = None
        self._is_connecting = False
        self._is_reading = True
        self.inbox: Buffer | None = None
        self.at_eof = False
        self.is_closed = False
        self._channel = loop.register(sock, READ, on_ready)
        pool.account.charge(pool.stream_purpose, STREAM_BYTES)

    @property
    def file_descriptor(self) -> int:
        """The file descriptor of the socket."""
        return self._sock.fileno()

    def kernel_bytes(self) -> int:
        """Return the number of bytes that the kernel buffers for the socket in both directions."""
        return self._loop.kernel_bytes(self._channel)

    # Input

    def prefill(self, data: bytes) -> None:
        """Fill the inbox with data that another process has read from the socket."""
        if data and (buffer := self._pool.acquire()) is not None:
            buffer.writable()[: len(data)] = data
            buffer.end = len(data)
            self.inbox = buffer

    def pause_reading(self) -> None:
        """Stop reading until resumed, as backpressure on the remote end."""
        self._is_reading = False
        self._update_events()

    def resume_reading(self) -> None:
        """Resume reading."""
        self._is_reading = True
        self._update_events()

    def consume(self, count: int) -> None:
        """Drop bytes from the front of the inbox, and resume reading if it is paused.

        An empty inbox is returned to the pool.
        """
        if self.inbox is not None:
            self.inbox.start += count
            if not len(self.inbox):
                inbox, self.inbox = self.inbox, None
                self._pool.release(inbox)
            if not self._is_reading and not self.is_closed:
                self.resume_reading()

    # Output

    @property
    def pending_bytes(self) -> int:
        """The number of bytes written that the kernel has not accepted yet."""
        return len(self._outbox) if self._outbox is not None else 0

    def pending_data(self) -> bytes:
        """Return the data written that the kernel has not accepted yet."""
        return bytes(self._outbox.readable()) if self._outbox is not None else b""

    def can_buffer(self, count: int) -> bool:
        """Return whether ``count`` more bytes fit into the output buffer."""
        return self.pending_bytes + count <= BUFFER_BYTES

    def _buffer_output(self, data: bytes | memoryview, start: int) -> int:
        """Buffer as much of the data from ``start`` on as fits.

        Returns:
            The number of bytes buffered; 0 if the pool is exhausted.
        """
        if self._outbox is None:
            self._outbox = self._pool.acquire()
            if self._outbox is None:
                return 0
        space = self._outbox.writable()
        count = min(len(space), len(data) - start)
        space[:count] = data[start : start + count]
        self._outbox.end += count
        self._update_events()
        return count

    def _send_pending(self) -> int:
        """Send as much of the pending data as the kernel accepts.

        Returns:
            The number of bytes sent.

        Raises:
            BlockingIOError: The kernel accepts no data now.
            OSError: The connection is lost.
        """
        if self._outbox is None:
            return 0
        sent = self._sock.send(self._outbox.readable())
        self._outbox.start += sent
        if not len(self._outbox):
            outbox, self._outbox = self._outbox, None
            self._pool.release(outbox)
        return sent

    # Events

    def _update_events(self) -> None:
        if self.is_closed:
            return
        events = READ if self._is_reading and not self.at_eof and not self._is_connecting else 0
        if self._is_connecting or self._outbox is not None:
            events |= WRITE
        self._loop.set_events(self._channel, events)

    def _close_socket(self) -> None:
        self.is_closed = True
        self._pool.account.release(self._pool.stream_purpose, STREAM_BYTES)
        self._loop.unregister(self._channel)
        self._sock.close()
        for buffer in (self.inbox, self._outbox):
            if buffer is not None:
                self._pool.release(buffer)
        self.inbox = None
        self._outbox = None
