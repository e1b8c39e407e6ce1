"""Tests of the reader of the operators' file in the proxy."""

from __future__ import annotations

from pathlib import Path

import msgspec

from larchhaven.net.admin.operator_file import READER_BYTES, OperatorFileReader
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.operator.read import read_text
from larchhaven.operator.settings import Reading


def test_text_file_needs_free_memory_and_a_compiled_file_does_not(tmp_path: Path) -> None:
    """With a small grant, such as 32 MB, the reader process would exceed the memory granted."""
    readings: list[Reading] = []
    path = tmp_path / "operator.textproto"
    path.write_text("memory { }")
    OperatorFileReader(EventLoop(), str(path), readings.append).read(READER_BYTES - 1)
    assert "convert it to .json with 'larchhaven check --write'" in readings[0].complaints[0].text
    compiled = tmp_path / "operator.json"
    compiled.write_bytes(msgspec.json.encode(read_text("memory { log: 1 }")))
    OperatorFileReader(EventLoop(), str(compiled), readings.append).read(0)
    assert readings[1].settings.caps == {"log": 1 << 20}
    assert not readings[1].complaints
