"""Memory accounting of the running proxy."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest

from larchhaven.memory import plan
from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.admin import memory_accounting as accounting
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog


def test_sample_for_an_operators_call_acts_on_the_advice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A sample taken for ``GET /v1/memory`` logs the warning and trims as a periodic one does.

    The monitor does not repeat its advice, so a sample that ignored it would lose both.
    """
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


def test_documentation_lists_every_purpose_and_figure() -> None:
    page = (Path(__file__).parents[3] / "docs" / "memory.md").read_text(encoding="utf-8")
    rows = re.findall(r"^\| (`.*?) \|", page.partition("## Setting caps")[0], re.MULTILINE)
    documented = {name for row in rows for name in re.findall(r"`(\w+)`", row)}
    figures = {field.encode_name for field in msgspec.structs.fields(accounting.MemoryState)}
    assert documented == {purpose.key for purpose in MemoryPurpose} | (figures - {"purposes"})


def test_documentation_quotes_existing_log_events() -> None:
    root = Path(__file__).parents[3]
    page = (root / "docs" / "memory.md").read_text(encoding="utf-8")
    events = re.findall(r"log says `([^`]+)`", page)
    source = (root / "larchhaven" / "net" / "admin" / "memory_accounting.py").read_text()
    assert events
    assert not [event for event in events if f'"{event}"' not in source]
