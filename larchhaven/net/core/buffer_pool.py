"""Buffers of one size from a bounded pool, and non-blocking streams that read and write through them."""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
from collections.abc import Callable
from typing import Protocol

from larchhaven.memory.account import Account
from larchhaven.memory.purposes import BUFFER_EXTRA, STREAM, Purpose
from larchhaven.net.core.event_loop import READ, WRITE, Deadline, Loop

# Room for a line of the greatest length and the beginning of the next.
SIZE = 8192
# A stream that was ended here reads on while input comes, so that what it wrote last is not lost to a reset:
# so long after the last of it, and never longer than the second, which covers one that sends very much.
LINGER_US = 1_000_000
LINGER_MOST_US = 5_000_000
# Input that is thrown away goes to one block that all streams share.
DROP_SIZE = 1 << 16
# Of a stream that is closed before its other side has ended, so many blocks are read at most.
DROPS_MOST = 16
# One look reads so many times at most: whoever sends without a pause does not keep the loop.
LOOKS_MOST = 16
# So many buffers that came back are kept for the next; the others go back to the allocator.
SPARE_MOST = 32
_EACH = SIZE + BUFFER_EXTRA
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Conditions of the whole process, not of the connection: no descriptors or no memory left for one more.
SHORT_OF = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Buffer:
    """Bytes between ``start`` and ``end`` of a block of fixed size."""

    __slots__ = ("data", "end", "start", "view")

    def __init__(self) -> None:
        self.data = bytearray(SIZE)
        self.view = memoryview(self.data)
        self.start = self.end = 0

    def __len__(self) -> int:
        """Count the bytes held."""
        return self.end - self.start

    def held(self) -> memoryview:
        """Show the bytes held."""
        return self.view[self.start : self.end]

    def room(self) -> memoryview:
        """Show the free room, after moving what is held to the front."""
        if self.start:
            held = bytes(self.held())
            self.view[: len(held)] = held
            self.start, self.end = 0, len(held)
        return self.view[self.end :]


class Pool:
    """Buffers that are used again; when the account grants no more, those in want of one wait.

    A pool also charges the streams that work with it; ``bound`` is for SO_SNDBUF and SO_RCVBUF of their
    sockets, in bytes, and 0 leaves them to the system.
    """

    def __init__(
        self,
        account: Account | None = None,
        streams: Purpose = Purpose.CONNECTIONS,
        buffers: Purpose = Purpose.BUFFERS,
        bound: int = 0,
    ) -> None:
        self.account = account or Account.unbounded()
        self.streams = streams
        self.bound = bound
        self._buffers = buffers
        self._free: list[Buffer] = []
        self._waiting: list[Callable[[], None]] = []
        # Called when no buffer is granted: whoever holds one and brings nothing may let go of it.
        self.relieve: Callable[[], None] | None = None
        # Streams that have said their last and only wait for the other side, the oldest first: when
        # descriptors are short these can be spared best.
        self.parting: dict[Stream, None] = {}
        # Streams of clients that have not read what was sent, and since when, the longest first.
        self.unread: dict[Stream, int] = {}

    def take(self) -> Buffer | None:
        """Return an empty buffer, or None when all are out."""
        if self._free:
            return self._free.pop()
        if self.account.take(self._buffers, _EACH):
            return Buffer()
        relieve, self.relieve = self.relieve, None  # not again from within
        if relieve is not None:
            relieve()
            self.relieve = relieve
        return self._free.pop() if self._free else None

    def give(self, buffer: Buffer) -> None:
        """Take a buffer back and wake all that wait: one of them may have been closed since."""
        buffer.start = buffer.end = 0
        # After a reload that lowered the cap, buffers go until the rest is under it.
        if len(self._free) < SPARE_MOST and self.account.room(self._buffers) >= 0:
            self._free.append(buffer)
        else:
            self.account.give(self._buffers, _EACH)
        if self._waiting:
            waiting, self._waiting = self._waiting, []
            for then in waiting:
                then()

    def shrink(self) -> None:
        """Let go of the buffers kept for the next."""
        self.account.give(self._buffers, _EACH * len(self._free))
        self._free.clear()

    def wait(self, then: Callable[[], None]) -> None:
        """Call ``then`` when a buffer has come back."""
        self._waiting.append(then)


class Owner(Protocol):
    """Whoever a stream works for."""

    def on_open(self) -> None:
        """Note that the connection stands (only for streams that connect)."""

    def on_input(self) -> None:
        """Note that the inbox holds more."""

    def on_room(self) -> None:
        """Note that all that was written is out."""

    def on_end(self) -> None:
        """Note that the other side sends no more."""

    def on_broken(self, code: int) -> None:
        """Note that the connection is lost, or never came up; the stream is closed already."""


class _Nobody:
    """The owner of a closed stream.

    A stream and its owner hold each other. Left to the garbage collector, the connections of a busy minute
    were megabytes that no purpose explained; so the stream lets go, and both are freed at once.
    """

    def on_open(self) -> None:
        """Nothing."""

    def on_input(self) -> None:
        """Nothing."""

    def on_room(self) -> None:
        """Nothing."""

    def on_end(self) -> None:
        """Nothing."""

    def on_broken(self, code: int) -> None:
        """Nothing."""


_NOBODY = _Nobody()
# Streams throw their input away here; what is written is never read.
_DRAIN = memoryview(bytearray(DROP_SIZE))


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
        "closed",
        "ended",
        "gone",
        "inbox",
        "overflow",
        "owner",
        "yielding",
    )

    owner: Owner  # set by whoever takes the stream over, if not at once

    def __init__(
        self, loop: Loop, pool: Pool, sock: socket.socket, owner: Owner | None = None
    ) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if pool.bound:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, pool.bound)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, pool.bound)
        self._loop = loop
        self._pool = pool
        self._sock = sock
        if owner is not None:
            self.owner = owner
        self.inbox: Buffer | None = None
        self._outbox: Buffer | None = None
        self._reading = True
        self._connecting = False
        self._ending = False  # end our side once the outbox is empty
        self._deaf = False  # input is thrown away
        self.ended = False  # the other side sends no more
        self.closed = False
        self._linger: Deadline | None = None
        # What ends the connection for others' sake while its other side does not read; None: not spared.
        self.yielding: Callable[[], None] | None = None
        # What is done when there is no room for what comes, in place of reading no more; None: it waits.
        self.overflow: Callable[[], None] | None = None
        self.gone: Callable[[], None] | None = None  # called once when the stream is closed
        self._finished_at = self._heard_at = 0
        self._channel = loop.add(sock, READ, self._on_ready)
        pool.account.must(pool.streams, STREAM)

    @classmethod
    def connect(cls, loop: Loop, pool: Pool, address: tuple[str, int], owner: Owner) -> Stream:
        """Begin to connect; raise OSError if that fails at once."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(code, errno.errorcode.get(code, "connect failed"))
        stream = cls(loop, pool, sock, owner)
        stream._connecting = True
        stream._watch()
        return stream

    @property
    def descriptor(self) -> int:
        """The system's number of the connection."""
        return self._sock.fileno()

    def kernel_bytes(self) -> int:
        """Count the bytes that the system holds for this connection, both ways."""
        return self._loop.kernel_bytes(self._channel)

    def outbox(self) -> bytes:
        """Return what was written and is not sent yet."""
        return bytes(self._outbox.held()) if self._outbox is not None else b""

    # Reading

    def put_back(self, data: bytes) -> None:
        """Hold input that was read elsewhere, before any of our own."""
        if data and (buffer := self._pool.take()) is not None:
            buffer.room()[: len(data)] = data
            buffer.end = len(data)
            self.inbox = buffer

    def pause(self) -> None:
        """Read no more until resumed: the backpressure on the other side."""
        self._reading = False
        self._watch()

    def resume(self) -> None:
        """Read again."""
        self._reading = True
        self._watch()

    def consume(self, count: int) -> None:
        """Drop bytes from the front of the inbox; an empty one goes back to the pool."""
        if self.inbox is not None:
            self.inbox.start += count
            if not len(self.inbox):
                inbox, self.inbox = self.inbox, None
                self._pool.give(inbox)
            if not self._reading and not self.closed:
                self.resume()

    def look(self) -> None:
        """Read all that may have come since the turn began, up to the other side's end."""
        for _ in range(LOOKS_MOST):
            if not self._reading or self.closed or self.ended or not self._read():
                return

    def _read(self) -> bool:
        """Read once; False if nothing has come."""
        if self._deaf:
            return self._drop()
        if self.inbox is None:
            self.inbox = self._pool.take()
        room = self.inbox.room() if self.inbox is not None else memoryview(b"")
        if not len(room) and self.overflow is None:
            self.pause()
            if self.inbox is None:
                self._pool.wait(self.resume)
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
            self.ended = True
            self._watch()
            self.owner.on_end()
        elif self.inbox is None or not len(room):
            assert self.overflow is not None  # else it waits for room
            self.overflow()
        else:
            self.inbox.end += count
            self.owner.on_input()
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
            self._heard_at = self._loop.now
            return True
        self.ended = True
        if self.pending:
            self._watch()
        else:
            self.close()
        return True

    # Writing

    @property
    def pending(self) -> int:
        """The bytes written that the system has not taken yet."""
        return len(self._outbox) if self._outbox is not None else 0

    def fits(self, count: int) -> bool:
        """Tell whether so many bytes more would be taken whole."""
        return self.pending + count <= SIZE

    def write(self, data: bytes | memoryview) -> int:
        """Send what goes at once, keep what fits in the outbox, and return how much was taken in all."""
        if self.closed or self._ending:
            return 0
        taken = 0
        if not self.pending and not self._connecting:
            try:
                taken = self._sock.send(data)
            except (BlockingIOError, InterruptedError):
                taken = 0
            except OSError as error:
                # The owner hears of it in a turn of its own: it may be in the midst of something.
                code = error.errno or errno.EPIPE
                self._loop.after(0, lambda: self._break(code))
                return 0
        if taken < len(data):
            if self._outbox is None:
                self._outbox = self._pool.take()
            if self._outbox is not None:
                room = self._outbox.room()
                more = min(len(room), len(data) - taken)
                room[:more] = data[taken : taken + more]
                self._outbox.end += more
                taken += more
                if self.yielding is not None:
                    self._pool.unread.setdefault(self, self._loop.now)
                self._watch()
            else:
                self._pool.wait(self._tell_room)
        return taken

    def _tell_room(self) -> None:
        if not self.closed:
            self.owner.on_room()

    def _flush(self) -> None:
        if self._outbox is not None:
            try:
                sent = self._sock.send(self._outbox.held())
                self._outbox.start += sent
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._break(error.errno or errno.EPIPE)
                return
            if self._pool.unread.pop(self, None) is not None and sent and len(self._outbox):
                self._pool.unread[self] = self._loop.now  # slow, but it reads
            if len(self._outbox):
                return
            outbox, self._outbox = self._outbox, None
            self._pool.give(outbox)
        self._watch()
        if self._ending:
            self._shut()
        else:
            self.owner.on_room()

    # Ending

    def end(self) -> None:
        """End our side once all that was written is out; the other side may go on."""
        if not self._ending and not self.closed:
            self._ending = True
            if not self.pending and not self._connecting:
                self._shut()

    def finish(self) -> None:
        """End our side, drop whatever still comes, and close when the other side has ended or time is up.

        Closing at once with input unread resets the connection, and the last line written may then never
        be read at the other side.
        """
        if self.closed:
            return
        self._pool.unread.pop(self, None)
        self.yielding = self.overflow = None
        self.end()
        if self.ended and not self.pending:
            self.close()
            return
        self._deaf = True
        if self.inbox is not None:
            self.consume(len(self.inbox))
        self.resume()
        if self._linger is None:
            self._finished_at = self._heard_at = self._loop.now
            self._linger = self._loop.after(LINGER_US, self._on_linger)
            self._pool.parting[self] = None

    def _on_linger(self) -> None:
        until = min(self._heard_at + LINGER_US, self._finished_at + LINGER_MOST_US)
        if until > self._loop.now:
            self._linger = self._loop.after(until - self._loop.now, self._on_linger)
        else:
            self.let_go()

    def close(self, reset: bool = False) -> None:
        """Close now; with ``reset`` the other side sees the connection break."""
        if self.closed:
            return
        self.closed = True
        self._loop.cancel(self._linger)
        self._pool.parting.pop(self, None)
        self._pool.unread.pop(self, None)
        self._pool.account.give(self._pool.streams, STREAM)
        self._loop.remove(self._channel)
        if reset:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._sock.close()
        for buffer in (self.inbox, self._outbox):
            if buffer is not None:
                self._pool.give(buffer)
        self.inbox = self._outbox = None
        self.owner, self.yielding, self.overflow = _NOBODY, None, None
        gone, self.gone = self.gone, None
        if gone is not None:
            gone()

    def let_go(self) -> None:
        """Close before the other side has ended; what it has sent is read first, as unread bytes reset.

        A reset would take along what was written last and not read yet at the other side.
        """
        if not self.closed and not self.ended:
            with contextlib.suppress(OSError):
                for _ in range(DROPS_MOST):
                    if not self._sock.recv_into(_DRAIN):
                        break
        self.close()

    def close_unread(self) -> None:
        """End a connection whose other side does not read, so that others have its room."""
        yielding, self.yielding = self.yielding, None
        if yielding is not None:
            yielding()
        self.close(reset=True)

    def _shut(self) -> None:
        with contextlib.suppress(OSError):  # broken already: the next read tells
            self._sock.shutdown(socket.SHUT_WR)
        if self._deaf and self.ended:
            self.close()

    def _break(self, code: int) -> None:
        if not self.closed:
            owner = self.owner
            self.close()
            if not self._deaf:
                owner.on_broken(code)

    # Readiness

    def _watch(self) -> None:
        if self.closed:
            return
        events = READ if self._reading and not self.ended and not self._connecting else 0
        if self._connecting or self.pending:
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
            self.owner.on_open()
            return
        if events & WRITE:
            self._flush()
        if events & READ and not self.closed:
            self._read()
