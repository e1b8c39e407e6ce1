"""Non-blocking TCP streams that read and write through pooled buffers."""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
from collections.abc import Callable

from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.buffered_socket import BufferedSocket
from larchhaven.net.core.event_loop import READ, WRITE, EventLoop
from larchhaven.net.core.lingering_close import LingerTimer, discard_block, discard_received
from larchhaven.net.core.stream_protocol import NULL_PROTOCOL, StreamProtocol

# Errors of the process rather than of the connection: no descriptors or no memory left.
RESOURCE_EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

# Limits the time that a remote end which sends without a pause can occupy the event loop.
_MAX_READS_PER_CALL = 16
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_NO_SPACE = memoryview(b"")


class Stream(BufferedSocket):
    """A TCP connection that reports its events to a protocol.

    The two directions end independently: ``at_eof`` is set when the remote end has ended its
    stream, and ``write_eof`` ends this side once all data is sent. ``start_lingering_close`` and
    ``close`` end both directions, the latter immediately.

    Attributes:
        protocol: Receives the events.
        on_shed: Called when the connection is shed because its remote end does not read; None if
            it must not be shed.
        on_inbox_full: Called when input arrives and there is no space for it; None to pause reading
            until there is.
        on_closed: Called once when the stream is closed.
    """

    __slots__ = (
        "__weakref__",
        "_is_ending",
        "_linger_timer",
        "on_closed",
        "on_inbox_full",
        "on_shed",
        "protocol",
    )

    protocol: StreamProtocol

    def __init__(
        self,
        loop: EventLoop,
        pool: BufferPool,
        sock: socket.socket,
        protocol: StreamProtocol | None = None,
    ) -> None:
        """Take over a connected socket.

        Args:
            loop: The event loop.
            pool: The pool that provides the buffers, and whose account the stream is charged to.
            sock: The socket.
            protocol: Receives the events; if None, the caller must set it before the next iteration
                of the loop.
        """
        super().__init__(loop, pool, sock, self._on_ready)
        if protocol is not None:
            self.protocol = protocol
        self._is_ending = False  # whether this side ends once no data is pending
        self._linger_timer: LingerTimer | None = None
        self.on_shed: Callable[[], None] | None = None
        self.on_inbox_full: Callable[[], None] | None = None
        self.on_closed: Callable[[], None] | None = None

    @classmethod
    def connect(
        cls, loop: EventLoop, pool: BufferPool, address: tuple[str, int], protocol: StreamProtocol
    ) -> Stream:
        """Start to connect.

        Raises:
            OSError: The connect failed at once.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(code, errno.errorcode.get(code, "connect failed"))
        stream = cls(loop, pool, sock, protocol)
        stream._is_connecting = True
        stream._update_events()
        return stream

    # Reading

    def read_available(self) -> None:
        """Read data, or the end of the stream, that may have arrived since the iteration began."""
        for _ in range(_MAX_READS_PER_CALL):
            if not self._is_reading or self.is_closed or self.at_eof or not self._read():
                return

    def _read(self) -> bool:
        """Read once; return False if no data was available."""
        if self._linger_timer is not None:
            return self._discard(self._linger_timer)
        if self.inbox is None:
            self.inbox = self._pool.acquire()
        space = self.inbox.writable() if self.inbox is not None else _NO_SPACE
        if not len(space) and self.on_inbox_full is None:
            self.pause_reading()
            if self.inbox is None:
                self._pool.call_when_available(self.resume_reading)
            return False
        try:
            # Without space, peek at one byte to tell the end of the stream from more input.
            count = (
                self._sock.recv_into(space)
                if len(space)
                else len(self._sock.recv(1, socket.MSG_PEEK))
            )
        except (BlockingIOError, InterruptedError):
            self.consume(0)
            return False
        except OSError as error:
            self._close_on_error(error.errno or errno.ECONNRESET)
            return True
        if not count:
            self.consume(0)
            self.at_eof = True
            self._update_events()
            self.protocol.eof_received()
        elif self.inbox is not None and len(space):
            self.inbox.end += count
            self.protocol.data_received()
        elif self.on_inbox_full is not None:
            self.on_inbox_full()
        return True

    def _discard(self, linger_timer: LingerTimer) -> bool:
        """Read once in a lingering close; return False if no data was available."""
        try:
            count = discard_block(self._sock)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self._close_on_error(error.errno or errno.ECONNRESET)
            return True
        if count:
            linger_timer.note_input()
            return True
        self.at_eof = True
        if self.pending_bytes:
            self._update_events()
        else:
            self.close()
        return True

    # Writing

    def write(self, data: bytes | memoryview) -> int:
        """Send as much as the kernel accepts at once, and buffer as much of the rest as fits.

        Returns:
            The number of bytes sent or buffered.
        """
        if self.is_closed or self._is_ending:
            return 0
        accepted = 0
        if not self.pending_bytes and not self._is_connecting:
            try:
                accepted = self._sock.send(data)
            except (BlockingIOError, InterruptedError):
                accepted = 0
            except OSError as error:
                # Reported by a timer, as the protocol may be the caller.
                code = error.errno or errno.EPIPE
                self._loop.call_later(0, lambda: self._close_on_error(code))
                return 0
        if accepted < len(data):
            accepted += self._buffer_output(data, accepted)
            if not self.pending_bytes:
                self._pool.call_when_available(self._report_drained)
            elif self.on_shed is not None:
                self._pool.unread_since_us.setdefault(self, self._loop.now_us)
        return accepted

    def _report_drained(self) -> None:
        if not self.is_closed:
            self.protocol.write_buffer_drained()

    def _on_writable(self) -> None:
        try:
            sent = self._send_pending()
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._close_on_error(error.errno or errno.EPIPE)
            return
        was_unread = self._pool.unread_since_us.pop(self, None) is not None
        if self.pending_bytes:
            if was_unread and sent:
                self._pool.unread_since_us[self] = self._loop.now_us  # slow, but still reading
            return
        self._update_events()
        if self._is_ending:
            self._shut_down_writing()
        else:
            self.protocol.write_buffer_drained()

    # Closing

    def write_eof(self) -> None:
        """End this side once all written data is sent; the remote end may continue to send."""
        if not self._is_ending and not self.is_closed:
            self._is_ending = True
            if not self.pending_bytes and not self._is_connecting:
                self._shut_down_writing()

    def start_lingering_close(self) -> None:
        """End this side, discard input, and close when the remote end has ended or on timeout."""
        if self.is_closed:
            return
        self._pool.unread_since_us.pop(self, None)
        self.on_shed = None
        self.on_inbox_full = None
        self.write_eof()
        if self.at_eof and not self.pending_bytes:
            self.close()
            return
        if self._linger_timer is None:
            self._linger_timer = LingerTimer(self._loop, self.close_without_reset)
            self._pool.lingering[self] = None
        if self.inbox is not None:
            self.consume(len(self.inbox))
        self.resume_reading()

    def close(self, reset: bool = False) -> None:
        """Close immediately.

        Args:
            reset: Whether to reset the connection.
        """
        if self.is_closed:
            return
        if self._linger_timer is not None:
            self._linger_timer.cancel()
            self._linger_timer = None
        self._pool.lingering.pop(self, None)
        self._pool.unread_since_us.pop(self, None)
        if reset:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._close_socket()
        self.protocol = NULL_PROTOCOL
        self.on_shed = None
        self.on_inbox_full = None
        on_closed, self.on_closed = self.on_closed, None
        if on_closed is not None:
            on_closed()

    def close_without_reset(self) -> None:
        """Close without waiting for the remote end.

        Received data is discarded first, as a close with unread data would reset the connection.
        """
        if not self.is_closed and not self.at_eof:
            discard_received(self._sock)
        self.close()

    def shed(self) -> None:
        """Reset a connection whose remote end does not read, to free its capacity."""
        on_shed, self.on_shed = self.on_shed, None
        if on_shed is not None:
            on_shed()
        self.close(reset=True)

    def _shut_down_writing(self) -> None:
        with contextlib.suppress(OSError):  # already lost; the next read reports it
            self._sock.shutdown(socket.SHUT_WR)
        if self._linger_timer is not None and self.at_eof:
            self.close()

    def _close_on_error(self, code: int) -> None:
        """Close after an error, and report it unless the stream was in lingering close."""
        if self.is_closed:
            return
        protocol = NULL_PROTOCOL if self._linger_timer is not None else self.protocol
        self.close()
        protocol.connection_lost(code)

    # Events

    def _on_ready(self, events: int) -> None:
        if self._is_connecting:
            self._finish_connecting()
            return
        if events & WRITE:
            self._on_writable()
        if events & READ and not self.is_closed:
            self._read()

    def _finish_connecting(self) -> None:
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._close_on_error(code)
            return
        self._is_connecting = False
        self._update_events()
        self.protocol.connection_made()
