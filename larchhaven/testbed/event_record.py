"""What the stand-ins saw, as plain records; the only thing that the rule checker reads."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import IO

import msgspec


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """One thing that one stand-in saw.

    ``kind``: of terminals ``ask`` (the first line is out), ``answer`` (the first line that came back),
    ``move``, ``end`` (the connection ended, ``text`` says how), ``leave`` (the terminal ended it itself); of
    exam servers ``sent`` (a first line came), ``up``, ``turned`` (it refused), ``over`` (the connection
    ended, for whatever cause) and ``born`` (a cold start); of discovery ``told`` (a state was written to a
    proxy, ``text`` is the state); of peers ``long`` (a datagram over 256 bytes).
    """

    at: int  # microseconds on the monotonic clock
    kind: str
    id: str = ""
    server: str = ""
    text: str = ""
    wait: int = 0  # of ``ask``: microseconds that the terminal waits; of ``born``: until it is warm
    amount: float = 0.0  # of ``born``: the connections it carries when warm; of ``long``: bytes


def now() -> int:
    """Read the clock, in microseconds."""
    return time.monotonic_ns() // 1000


class Recorder:
    """Hands records to whoever wants them, and writes them to a file of JSON lines if there is one."""

    def __init__(self, file: IO[bytes] | None = None) -> None:
        self._file = file
        self.takers: list[Callable[[Record], None]] = []
        self.counts: dict[str, int] = {}

    def note(self, kind: str, **fields: object) -> None:
        """Record what has happened just now."""
        record = msgspec.convert({"at": now(), "kind": kind, **fields}, Record)
        self.counts[kind] = self.counts.get(kind, 0) + 1
        for take in self.takers:
            take(record)
        if self._file is not None:
            self._file.write(msgspec.json.encode(record) + b"\n")
