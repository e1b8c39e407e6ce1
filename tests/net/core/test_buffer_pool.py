"""The buffer pool."""

from __future__ import annotations

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.item_costs import BUFFER_BYTES, BUFFER_OVERHEAD_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.core.buffer_pool import Buffer, BufferPool


def test_release_of_a_buffer_calls_all_waiting_callbacks() -> None:
    """If only the first were called and its stream had been closed, the others would wait forever.

    The closed stream would not acquire the buffer, so no later release would call them.
    """
    pool = BufferPool(
        MemoryAccount(
            {
                **dict.fromkeys(MemoryPurpose, 0),
                MemoryPurpose.BUFFERS: BUFFER_BYTES + BUFFER_OVERHEAD_BYTES,
            }
        )
    )
    buffer = pool.acquire()
    assert isinstance(buffer, Buffer)
    assert pool.acquire() is None
    called: list[int] = []
    pool.call_when_available(lambda: called.append(1))
    pool.call_when_available(lambda: called.append(2))
    pool.release(buffer)
    assert called == [1, 2]
    assert pool.acquire() is buffer
