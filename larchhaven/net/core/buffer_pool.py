"""Buffers of one size from a bounded pool."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.item_costs import BUFFER_BYTES, BUFFER_OVERHEAD_BYTES
from larchhaven.memory.purposes import MemoryPurpose

# Released buffers that are kept for reuse; the others go back to the allocator.
MAX_SPARE_BUFFERS = 32
_CHARGE_BYTES = BUFFER_BYTES + BUFFER_OVERHEAD_BYTES


class Buffer:
    """The bytes between ``start`` and ``end`` of a block of fixed size."""

    __slots__ = ("data", "end", "start", "view")

    def __init__(self) -> None:
        self.data = bytearray(BUFFER_BYTES)
        self.view = memoryview(self.data)
        self.start = 0
        self.end = 0

    def __len__(self) -> int:
        """Count the bytes held."""
        return self.end - self.start

    def readable(self) -> memoryview:
        """Return the bytes held."""
        return self.view[self.start : self.end]

    def writable(self) -> memoryview:
        """Return the free bytes, after moving what is held to the front."""
        if self.start:
            held = bytes(self.readable())
            self.view[: len(held)] = held
            self.start = 0
            self.end = len(held)
        return self.view[self.end :]


class SheddableStream(Protocol):
    """A stream, as seen by those who shed load."""

    def kernel_bytes(self) -> int:
        """Return the bytes that the kernel buffers for the stream, both ways."""

    def shed(self) -> None:
        """Reset a connection whose other side does not read."""

    def close_without_reset(self) -> None:
        """Close before the other side has ended."""


class BufferPool:
    """Buffers that are reused; when the account grants no more, those who want one wait.

    A pool also has what its streams share: their account, and which of them can be shed.

    Attributes:
        account: The account that buffers and streams are charged to.
        stream_purpose: What streams are charged as.
        socket_buffer_bytes: The size for SO_SNDBUF and SO_RCVBUF of streams; 0 leaves it to the
            system.
        on_exhausted: Called when no buffer is granted: whoever holds one and makes no progress may
            release it.
        lingering: Streams in lingering close, the oldest first: the cheapest to lose.
        unread_since_us: Streams of clients that have not read what was sent, and since when, the
            longest first.
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
            self.on_exhausted = None  # not again from within
            on_exhausted()
            self.on_exhausted = on_exhausted
        return self._spares.pop() if self._spares else None

    def release(self, buffer: Buffer) -> None:
        """Take a buffer back and call all that wait: one of them may have been closed since."""
        buffer.start = 0
        buffer.end = 0
        # After a reload that lowered the cap, buffers go until the others are under it.
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
        """Return the buffers kept for reuse to the allocator."""
        self.account.release(self._buffer_purpose, _CHARGE_BYTES * len(self._spares))
        self._spares.clear()

    def call_when_available(self, callback: Callable[[], None]) -> None:
        """Call a function once a buffer has been released."""
        self._waiting.append(callback)
