"""The buffer pool."""

from __future__ import annotations

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.item_costs import BUFFER_BYTES, BUFFER_OVERHEAD_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.core.buffer_pool import Buffer, BufferPool


def test_released_buffer_calls_all_that_wait() -> None:
    """Guards against a stream that waits for ever behind one that was closed while it waited."""
    pool = BufferPool(
        MemoryAccount(
            {
                **dict.fromkeys(MemoryPurpose, 0),
                MemoryPurpose.BUFFERS: BUFFER_BYTES + BUFFER_OVERHEAD_BYTES,
            }
        )
    )
    only = pool.acquire()
    assert isinstance(only, Buffer)
    assert pool.acquire() is None
    called: list[int] = []
    pool.call_when_available(lambda: called.append(1))
    pool.call_when_available(lambda: called.append(2))
    pool.release(only)
    assert called == [1, 2]
    assert pool.acquire() is only
