"""A bounded pool of buffers of one size."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.item_costs import BUFFER_BYTES, BUFFER_OVERHEAD_BYTES
from larchhaven.memory.purposes import MemoryPurpose

# Released buffers kept for reuse. Further ones are freed.
MAX_SPARE_BUFFERS = 32
_CHARGE_BYTES = BUFFER_BYTES + BUFFER_OVERHEAD_BYTES


class Buffer:
    """A block of fixed size that holds data between ``start`` and ``end``."""

    __slots__ = ("data", "end", "start", "view")

    def __init__(self) -> None:
        self.data = bytearray(BUFFER_BYTES)
        self.view = memoryview(self.data)
        self.start = 0
        self.end = 0

    def __len__(self) -> int:
        """Return the number of bytes held."""
        return self.end - self.start

    def readable(self) -> memoryview:
        """Return a view of the bytes held."""
        return self.view[self.start : self.end]

    def writable(self) -> memoryview:
        """Move the bytes held to the front, and return a view of the free space after them."""
        if self.start:
            held = bytes(self.readable())
            self.view[: len(held)] = held
            self.start = 0
            self.end = len(held)
        return self.view[self.end :]


class SheddableStream(Protocol):
    """The interface of a stream that load shedding uses."""

    def kernel_bytes(self) -> int:
        """Return the number of bytes that the kernel buffers for the stream in both directions."""

    def shed(self) -> None:
        """Reset a connection whose remote end does not read."""

    def close_without_reset(self) -> None:
        """Close without waiting for the remote end, and without a reset."""


class BufferPool:
    """A pool of reusable buffers, limited by a memory account.

    A stream that gets no buffer waits until one is released. The pool also holds the state that
    its streams share: their memory account, and which of them can be shed.

    Attributes:
        account: The memory account that buffers and streams are charged to.
        stream_purpose: The purpose that streams are charged under.
        socket_buffer_bytes: The value of SO_SNDBUF and SO_RCVBUF of streams; 0 keeps the system's
            default.
        on_exhausted: Called when no buffer is available. It may release the buffer of a client that
            makes no progress.
        lingering: Streams in lingering close, oldest first. They are the cheapest to shed.
        unread_since_us: Streams whose clients have not read pending data, each with the time since
            then on the event loop's clock in microseconds; earliest first.
    """

    def __init__(
        self,
        account: MemoryAccount | None = None,
        stream_purpose: MemoryPurpose = MemoryPurpose.CONNECTIONS,
        buffer_purpose: MemoryPurpose = MemoryPurpose.BUFFERS,
        socket_buffer_bytes: int = 0,
    ) -> None:
        self.account = account or MemoryAccount.unbounded()
        self.stream_purpose = stream_purpose
        self.socket_buffer_bytes = socket_buffer_bytes
        self.on_exhausted: Callable[[], None] | None = None
        self.lingering: dict[SheddableStream, None] = {}
        self.unread_since_us: dict[SheddableStream, int] = {}
        self._buffer_purpose = buffer_purpose
        self._spares: list[Buffer] = []
        self._waiting: list[Callable[[], None]] = []

    def acquire(self) -> Buffer | None:
        """Return an empty buffer, or None if all are in use."""
        if self._spares:
            return self._spares.pop()
        if self.account.try_charge(self._buffer_purpose, _CHARGE_BYTES):
            return Buffer()
        on_exhausted = self.on_exhausted
        if on_exhausted is not None:
            self.on_exhausted = None  # no recursion
            on_exhausted()
            self.on_exhausted = on_exhausted
        return self._spares.pop() if self._spares else None

    def release(self, buffer: Buffer) -> None:
        """Take back a buffer and call all waiting callbacks.

        Calling only the first is not enough, as its stream may have been closed meanwhile.
        """
        buffer.start = 0
        buffer.end = 0
        # After a reload has lowered the cap, buffers are freed until usage is within it.
        is_under_cap = self.account.available_bytes(self._buffer_purpose) >= 0
        if len(self._spares) < MAX_SPARE_BUFFERS and is_under_cap:
            self._spares.append(buffer)
        else:
            self.account.release(self._buffer_purpose, _CHARGE_BYTES)
        if self._waiting:
            waiting = self._waiting
            self._waiting = []
            for callback in waiting:
                callback()

    def release_spares(self) -> None:
        """Free the buffers kept for reuse."""
        self.account.release(self._buffer_purpose, _CHARGE_BYTES * len(self._spares))
        self._spares.clear()

    def call_when_available(self, callback: Callable[[], None]) -> None:
        """Call a function when a buffer is next released."""
        self._waiting.append(callback)
