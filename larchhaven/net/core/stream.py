"""Non-blocking TCP streams that read and write through pooled buffers."""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
from collections.abc import Callable
from typing import Protocol

from larchhaven.memory.item_costs import BUFFER_BYTES, STREAM_BYTES
from larchhaven.net.core.buffer_pool import Buffer, BufferPool
from larchhaven.net.core.event_loop import READ, WRITE, EventLoop, TimerHandle

# A stream that was ended here reads on while input comes, so that what it wrote last is not lost to a reset:
# so long after the last of it, and never longer than the second, which covers one that sends very much.
LINGER_US = 1_000_000
MAX_LINGER_US = 5_000_000
# Input that is thrown away goes to one block that all streams share.
_DISCARD_BYTES = 1 << 16
# Of a stream that is closed before its other side has ended, so many blocks are read at most.
_MAX_DISCARDS_ON_CLOSE = 16
# One look reads so many times at most: whoever sends without a pause does not keep the loop.
_MAX_READS_PER_CALL = 16
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Conditions of the whole process, not of the connection: no descriptors or no memory left for one more.
RESOURCE_EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class StreamProtocol(Protocol):
    """Whoever a stream works for."""

    def connection_made(self) -> None:
        """Note that the connection stands (only for streams that connect)."""

    def data_received(self) -> None:
        """Note that the inbox holds more."""

    def write_buffer_drained(self) -> None:
        """Note that all that was written is out."""

    def eof_received(self) -> None:
        """Note that the other side sends no more."""

    def connection_lost(self, code: int) -> None:
        """Note that the connection is lost, or never came up; the stream is closed already."""


class _Nobody:
    """The owner of a closed stream.

    A stream and its owner hold each other. Left to the garbage collector, the connections of a busy minute
    were megabytes that no purpose explained; so the stream lets go, and both are freed at once.
    """

    def connection_made(self) -> None:
        """Nothing."""

    def data_received(self) -> None:
        """Nothing."""

    def write_buffer_drained(self) -> None:
        """Nothing."""

    def eof_received(self) -> None:
        """Nothing."""

    def connection_lost(self, code: int) -> None:
        """Nothing."""


_NOBODY = _Nobody()
# Streams throw their input away here; what is written is never read.
_DRAIN = memoryview(bytearray(_DISCARD_BYTES))


class Stream:
    """A TCP connection with at most one buffer each way."""

    __slots__ = (
        "__weakref__",
        "_channel",
        "_connecting",
        "_deaf",
        "_ending",
        "_finished_at",
        "_heard_at",
        "_linger",
        "_loop",
        "_outbox",
        "_pool",
        "_reading",
        "_sock",
        "at_eof",
        "closed",
        "inbox",
        "on_closed",
        "on_inbox_full",
        "on_shed",
        "protocol",
    )

    protocol: StreamProtocol  # set by whoever takes the stream over, if not at once

    def __init__(
        self,
        loop: EventLoop,
        pool: BufferPool,
        sock: socket.socket,
        protocol: StreamProtocol | None = None,
    ) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if pool.socket_buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, pool.socket_buffer_bytes)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, pool.socket_buffer_bytes)
        self._loop = loop
        self._pool = pool
        self._sock = sock
        if protocol is not None:
            self.protocol = protocol
        self.inbox: Buffer | None = None
        self._outbox: Buffer | None = None
        self._reading = True
        self._connecting = False
        self._ending = False  # end our side once the outbox is empty
        self._deaf = False  # input is thrown away
        self.at_eof = False  # the other side sends no more
        self.closed = False
        self._linger: TimerHandle | None = None
        # What ends the connection for others' sake while its other side does not read; None: not spared.
        self.on_shed: Callable[[], None] | None = None
        # What is done when there is no room for what comes, in place of reading no more; None: it waits.
        self.on_inbox_full: Callable[[], None] | None = None
        self.on_closed: Callable[[], None] | None = None  # called once when the stream is closed
        self._finished_at = self._heard_at = 0
        self._channel = loop.register(sock, READ, self._on_ready)
        pool.account.charge(pool.stream_purpose, STREAM_BYTES)

    @classmethod
    def connect(
        cls, loop: EventLoop, pool: BufferPool, address: tuple[str, int], protocol: StreamProtocol
    ) -> Stream:
        """Begin to connect; raise OSError if that fails at once."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(code, errno.errorcode.get(code, "connect failed"))
        stream = cls(loop, pool, sock, protocol)
        stream._connecting = True
        stream._watch()
        return stream

    @property
    def file_descriptor(self) -> int:
        """The system's number of the connection."""
        return self._sock.fileno()

    def kernel_bytes(self) -> int:
        """Count the bytes that the system holds for this connection, both ways."""
        return self._loop.kernel_bytes(self._channel)

    def outbox(self) -> bytes:
        """Return what was written and is not sent yet."""
        return bytes(self._outbox.readable()) if self._outbox is not None else b""

    # Reading

    def prefill(self, data: bytes) -> None:
        """Hold input that was read elsewhere, before any of our own."""
        if data and (buffer := self._pool.acquire()) is not None:
            buffer.writable()[: len(data)] = data
            buffer.end = len(data)
            self.inbox = buffer

    def pause_reading(self) -> None:
        """Read no more until resumed: the backpressure on the other side."""
        self._reading = False
        self._watch()

    def resume_reading(self) -> None:
        """Read again."""
        self._reading = True
        self._watch()

    def consume(self, count: int) -> None:
        """Drop bytes from the front of the inbox; an empty one goes back to the pool."""
        if self.inbox is not None:
            self.inbox.start += count
            if not len(self.inbox):
                inbox, self.inbox = self.inbox, None
                self._pool.release(inbox)
            if not self._reading and not self.closed:
                self.resume_reading()

    def read_available(self) -> None:
        """Read all that may have come since the turn began, up to the other side's end."""
        for _ in range(_MAX_READS_PER_CALL):
            if not self._reading or self.closed or self.at_eof or not self._read():
                return

    def _read(self) -> bool:
        """Read once; False if nothing has come."""
        if self._deaf:
            return self._drop()
        if self.inbox is None:
            self.inbox = self._pool.acquire()
        room = self.inbox.writable() if self.inbox is not None else memoryview(b"")
        if not len(room) and self.on_inbox_full is None:
            self.pause_reading()
            if self.inbox is None:
                self._pool.call_when_available(self.resume_reading)
            return False
        try:
            # Without room one byte is looked at, to tell an end from more input.
            count = (
                self._sock.recv_into(room)
                if len(room)
                else len(self._sock.recv(1, socket.MSG_PEEK))
            )
        except (BlockingIOError, InterruptedError):
            self.consume(0)
            return False
        except OSError as error:
            self._break(error.errno or errno.ECONNRESET)
            return True
        if not count:
            self.consume(0)
            self.at_eof = True
            self._watch()
            self.protocol.eof_received()
        elif self.inbox is None or not len(room):
            assert self.on_inbox_full is not None  # else it waits for room
            self.on_inbox_full()
        else:
            self.inbox.end += count
            self.protocol.data_received()
        return True

    def _drop(self) -> bool:
        """Throw away what comes; a client may send many megabytes before it reads its answer."""
        try:
            count = self._sock.recv_into(_DRAIN)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self._break(error.errno or errno.ECONNRESET)
            return True
        if count:
            self._heard_at = self._loop.now_us
            return True
        self.at_eof = True
        if self.pending_bytes:
            self._watch()
        else:
            self.close()
        return True

    # Writing

    @property
    def pending_bytes(self) -> int:
        """The bytes written that the system has not taken yet."""
        return len(self._outbox) if self._outbox is not None else 0

    def can_buffer(self, count: int) -> bool:
        """Tell whether so many bytes more would be taken whole."""
        return self.pending_bytes + count <= BUFFER_BYTES

    def write(self, data: bytes | memoryview) -> int:
        """Send what goes at once, keep what fits in the outbox, and return how much was taken in all."""
        if self.closed or self._ending:
            return 0
        taken = 0
        if not self.pending_bytes and not self._connecting:
            try:
                taken = self._sock.send(data)
            except (BlockingIOError, InterruptedError):
                taken = 0
            except OSError as error:
                # The owner hears of it in a turn of its own: it may be in the midst of something.
                code = error.errno or errno.EPIPE
                self._loop.call_later(0, lambda: self._break(code))
                return 0
        if taken < len(data):
            if self._outbox is None:
                self._outbox = self._pool.acquire()
            if self._outbox is not None:
                room = self._outbox.writable()
                more = min(len(room), len(data) - taken)
                room[:more] = data[taken : taken + more]
                self._outbox.end += more
                taken += more
                if self.on_shed is not None:
                    self._pool.unread_since_us.setdefault(self, self._loop.now_us)
                self._watch()
            else:
                self._pool.call_when_available(self._tell_room)
        return taken

    def _tell_room(self) -> None:
        if not self.closed:
            self.protocol.write_buffer_drained()

    def _flush(self) -> None:
        if self._outbox is not None:
            try:
                sent = self._sock.send(self._outbox.readable())
                self._outbox.start += sent
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._break(error.errno or errno.EPIPE)
                return
            if (
                self._pool.unread_since_us.pop(self, None) is not None
                and sent
                and len(self._outbox)
            ):
                self._pool.unread_since_us[self] = self._loop.now_us  # slow, but it reads
            if len(self._outbox):
                return
            outbox, self._outbox = self._outbox, None
            self._pool.release(outbox)
        self._watch()
        if self._ending:
            self._shut()
        else:
            self.protocol.write_buffer_drained()

    # Ending

    def write_eof(self) -> None:
        """End our side once all that was written is out; the other side may go on."""
        if not self._ending and not self.closed:
            self._ending = True
            if not self.pending_bytes and not self._connecting:
                self._shut()

    def start_lingering_close(self) -> None:
        """End our side, drop whatever still comes, and close when the other side has ended or time is up.

        Closing at once with input unread resets the connection, and the last line written may then never
        be read at the other side.
        """
        if self.closed:
            return
        self._pool.unread_since_us.pop(self, None)
        self.on_shed = self.on_inbox_full = None
        self.write_eof()
        if self.at_eof and not self.pending_bytes:
            self.close()
            return
        self._deaf = True
        if self.inbox is not None:
            self.consume(len(self.inbox))
        self.resume_reading()
        if self._linger is None:
            self._finished_at = self._heard_at = self._loop.now_us
            self._linger = self._loop.call_later(LINGER_US, self._on_linger)
            self._pool.lingering[self] = None

    def _on_linger(self) -> None:
        until = min(self._heard_at + LINGER_US, self._finished_at + MAX_LINGER_US)
        if until > self._loop.now_us:
            self._linger = self._loop.call_later(until - self._loop.now_us, self._on_linger)
        else:
            self.close_without_reset()

    def close(self, reset: bool = False) -> None:
        """Close now; with ``reset`` the other side sees the connection break."""
        if self.closed:
            return
        self.closed = True
        self._loop.cancel(self._linger)
        self._pool.lingering.pop(self, None)
        self._pool.unread_since_us.pop(self, None)
        self._pool.account.release(self._pool.stream_purpose, STREAM_BYTES)
        self._loop.unregister(self._channel)
        if reset:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._sock.close()
        for buffer in (self.inbox, self._outbox):
            if buffer is not None:
                self._pool.release(buffer)
        self.inbox = self._outbox = None
        self.protocol, self.on_shed, self.on_inbox_full = _NOBODY, None, None
        gone, self.on_closed = self.on_closed, None
        if gone is not None:
            gone()

    def close_without_reset(self) -> None:
        """Close before the other side has ended; what it has sent is read first, as unread bytes reset.

        A reset would take along what was written last and not read yet at the other side.
        """
        if not self.closed and not self.at_eof:
            with contextlib.suppress(OSError):
                for _ in range(_MAX_DISCARDS_ON_CLOSE):
                    if not self._sock.recv_into(_DRAIN):
                        break
        self.close()

    def shed(self) -> None:
        """End a connection whose other side does not read, so that others have its room."""
        yielding, self.on_shed = self.on_shed, None
        if yielding is not None:
            yielding()
        self.close(reset=True)

    def _shut(self) -> None:
        with contextlib.suppress(OSError):  # broken already: the next read tells
            self._sock.shutdown(socket.SHUT_WR)
        if self._deaf and self.at_eof:
            self.close()

    def _break(self, code: int) -> None:
        if not self.closed:
            protocol = self.protocol
            self.close()
            if not self._deaf:
                protocol.connection_lost(code)

    # Readiness

    def _watch(self) -> None:
        if self.closed:
            return
        events = READ if self._reading and not self.at_eof and not self._connecting else 0
        if self._connecting or self.pending_bytes:
            events |= WRITE
        self._loop.set_events(self._channel, events)

    def _on_ready(self, events: int) -> None:
        if self._connecting:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._break(code)
                return
            self._connecting = False
            self._watch()
            self.protocol.connection_made()
            return
        if events & WRITE:
            self._flush()
        if events & READ and not self.closed:
            self._read()
