"""Memory accounting of the running proxy."""

from __future__ import annotations

import pytest

from larchhaven.memory import plan
from larchhaven.memory.account import MemoryAccount
from larchhaven.net.admin import memory_accounting as accounting
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog


def test_sample_for_an_operators_call_acts_on_its_advice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards a warning and a trim that a call to /v1/memory used up and nobody carried out."""
    loop, account, trims = EventLoop(), MemoryAccount.unbounded(), []
    memory_plan = plan.make_plan(32 << 20, 20 << 20, 1024)
    sizes = iter([20 << 20, 28 << 20])
    monkeypatch.setattr(accounting, "read_resident_bytes", lambda: next(sizes))
    monkeypatch.setattr(accounting, "trim_allocator", lambda: trims.append(1))
    log = RateLimitedLog(loop)
    memory_accounting = accounting.MemoryAccounting(
        loop, log, account, memory_plan, BufferPool(account), ""
    )
    memory_accounting.start()
    state = memory_accounting.state(accounting.DescriptorState(1, 0, 0))
    assert state.trim_count == len(trims) == 1
    assert log.event_count() == 1
    assert state.unaccounted_bytes == 8 << 20
