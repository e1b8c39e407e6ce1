"""Slot tables."""

from __future__ import annotations

from larchhaven.net.core.slot_table import SlotTable


def test_stale_token_reaches_no_item() -> None:
    table: SlotTable[str] = SlotTable()
    first = table.add("first")
    assert table.remove(first) == "first"
    assert table.remove(first) is None
    second = table.add("second")
    assert second != first
    assert table.get(first) is None
    assert table.get(second) == "second"
    assert len(table) == 1
    assert table.get(1 << 60) is None
