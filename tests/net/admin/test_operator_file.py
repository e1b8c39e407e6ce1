"""The operators' file as the proxy reads it."""

from __future__ import annotations

from pathlib import Path

import msgspec

from larchhaven.net.admin.operator_file import READER_BYTES, OperatorFileReader
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.operator.read import read_text
from larchhaven.operator.settings import Reading


def test_reading_needs_memory_and_a_compiled_file_does_not(tmp_path: Path) -> None:
    """Guards a grant of 32 MB: the process that reads the file would pass it."""
    readings: list[Reading] = []
    path = tmp_path / "operator.textproto"
    path.write_text("memory { }")
    OperatorFileReader(EventLoop(), str(path), readings.append).read(READER_BYTES - 1)
    assert "write it as .json with 'larchhaven check --write'" in readings[0].complaints[0].text
    compiled = tmp_path / "operator.json"
    compiled.write_bytes(msgspec.json.encode(read_text("memory { log: 1 }")))
    OperatorFileReader(EventLoop(), str(compiled), readings.append).read(0)
    assert readings[1].settings.caps == {"log": 1 << 20}
    assert not readings[1].complaints
