"""Buffers of one size from a bounded pool."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.item_costs import BUFFER_BYTES, BUFFER_OVERHEAD_BYTES
from larchhaven.memory.purposes import MemoryPurpose

# Returned buffers that are kept for reuse; the others go back to the allocator.
MAX_SPARE_BUFFERS = 32
_CHARGE_BYTES = BUFFER_BYTES + BUFFER_OVERHEAD_BYTES


class SheddableStream(Protocol):
    """What a pool's owner may do with a stream that others need the capacity of."""

    def kernel_bytes(self) -> int:
        """Return the bytes that the kernel buffers for the stream, both ways."""

    def shed(self) -> None:
        """Reset a connection whose other side does not read."""

    def close_without_reset(self) -> None:
        """Close a stream in its lingering close."""


class Buffer:
    """Bytes between ``start`` and ``end`` of a block of fixed size."""

    __slots__ = ("data", "end", "start", "view")

    def __init__(self) -> None:
        self.data = bytearray(BUFFER_BYTES)
        self.view = memoryview(self.data)
        self.start = self.end = 0

    def __len__(self) -> int:
        """Count the bytes held."""
        return self.end - self.start

    def readable(self) -> memoryview:
        """Show the bytes held."""
        return self.view[self.start : self.end]

    def writable(self) -> memoryview:
        """Show the free room, after moving what is held to the front."""
        if self.start:
            held = bytes(self.readable())
            self.view[: len(held)] = held
            self.start, self.end = 0, len(held)
        return self.view[self.end :]


class BufferPool:
    """Buffers that are used again; when the account grants no more, those in want of one wait.

    A pool also charges the streams that work with it; ``bound`` is for SO_SNDBUF and SO_RCVBUF of their
    sockets, in bytes, and 0 leaves them to the system.
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
        self._buffers = buffer_purpose
        self._free: list[Buffer] = []
        self._waiting: list[Callable[[], None]] = []
        # Called when no buffer is granted: whoever holds one and brings nothing may let go of it.
        self.on_exhausted: Callable[[], None] | None = None
        # Streams that have said their last and only wait for the other side, the oldest first: when
        # descriptors are short these can be spared best.
        self.lingering: dict[SheddableStream, None] = {}
        # Streams of clients that have not read what was sent, and since when, the longest first.
        self.unread_since_us: dict[SheddableStream, int] = {}

    def acquire(self) -> Buffer | None:
        """Return an empty buffer, or None when all are out."""
        if self._free:
            return self._free.pop()
        if self.account.try_charge(self._buffers, _CHARGE_BYTES):
            return Buffer()
        relieve, self.on_exhausted = self.on_exhausted, None  # not again from within
        if relieve is not None:
            relieve()
            self.on_exhausted = relieve
        return self._free.pop() if self._free else None

    def release(self, buffer: Buffer) -> None:
        """Take a buffer back and wake all that wait: one of them may have been closed since."""
        buffer.start = buffer.end = 0
        # After a reload that lowered the cap, buffers go until the rest is under it.
        if len(self._free) < MAX_SPARE_BUFFERS and self.account.available_bytes(self._buffers) >= 0:
            self._free.append(buffer)
        else:
            self.account.release(self._buffers, _CHARGE_BYTES)
        if self._waiting:
            waiting, self._waiting = self._waiting, []
            for then in waiting:
                then()

    def release_spares(self) -> None:
        """Let go of the buffers kept for the next."""
        self.account.release(self._buffers, _CHARGE_BYTES * len(self._free))
        self._free.clear()

    def call_when_available(self, then: Callable[[], None]) -> None:
        """Call ``then`` when a buffer has come back."""
        self._waiting.append(then)
