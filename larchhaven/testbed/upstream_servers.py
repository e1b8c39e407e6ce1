"""Stand-in exam servers: the text protocol's far end, with the ways in which real ones fail."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass

from larchhaven.testbed.event_record import Recorder

COLD_US = 7_100_000
OPEN_WORDS = 4  # OPEN, identity, key, options
_FLOOD_LINE = b"flood " + b"x" * 1_000 + b"\r\n"


@dataclass(slots=True, eq=False)
class _Held:
    """A connection that a server holds."""

    writer: asyncio.StreamWriter
    id: str
    up: bool = False
    over: bool = False


@dataclass(slots=True)
class Traits:
    """What an exam server can do."""

    capacity: float = 50.0
    setup_ms: float = 5.0
    answer_ms: float = 0.0


class ExamServer:
    """One exam server at a port of its own."""

    def __init__(self, name: str, traits: Traits, recorder: Recorder) -> None:
        self.name = name
        self.traits = traits
        self.health = "ready"
        self.born_ms = 0.0
        self.hangs = False
        self.floods = 0  # bytes sent to clients that asked for a flood
        self._recorder = recorder
        self._held: set[_Held] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._receipts = 0
        self._server: asyncio.Server | None = None
        self.port = 0

    @property
    def held(self) -> int:
        """Count the connections that stand or come up here."""
        return len(self._held)

    async def start(self, cold: bool = False) -> None:
        """Listen, at the same port as before if there was one."""
        if self._server is None:
            self._server = await asyncio.start_server(
                self._serve, "127.0.0.1", self.port or None, limit=1 << 16, backlog=1024
            )
            self.port = int(self._server.sockets[0].getsockname()[1])
        self.hangs = False
        if cold:
            self.born_ms = time.time() * 1000
            self._recorder.note("born", server=self.name, wait=COLD_US, amount=self.traits.capacity)

    async def stop(self, reset: bool) -> None:
        """Stop listening and end, or break, all that is held."""
        self._recorder.note("left", server=self.name)
        if self._server is not None:
            self._server.close()
            self._server = None
        for held in list(self._held):
            self._over(held, "self")
            if reset:
                held.writer.transport.abort()
            else:
                held.writer.close()
        await asyncio.sleep(0)

    def ratio(self) -> float:
        """Return the load over the capacity."""
        return len(self._held) / self.traits.capacity

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
        held: _Held | None = None
        try:
            while True:
                try:
                    line = await reader.readuntil(b"\r\n")
                except (asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                    break
                if self.hangs:
                    continue
                if held is None:
                    held = await self._first(line.decode("latin-1").strip(), writer)
                else:
                    await self._message(line, held)
        except (ConnectionError, TimeoutError, asyncio.CancelledError):
            pass  # cancelled: the loop that this task lived in ends
        finally:
            if held is not None:
                self._over(held, "proxy")
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()
            if task is not None:
                self._tasks.discard(task)

    async def _first(self, line: str, writer: asyncio.StreamWriter) -> _Held | None:
        if line == "STATS":
            load = (
                f"x0={self.ratio():.4f},util={min(self.ratio(), 1):.4f},inflight={len(self._held)}"
            )
            writer.write(f"PONG {load}\r\n".encode())
            return None
        if line == "PING":
            writer.write(b"PONG\r\n")
            return None
        words = line.split(" ")
        if len(words) != OPEN_WORDS or words[0] != "OPEN":
            self._recorder.note("strange", server=self.name, text=line[:200])
            writer.write(b"SYNTAX\r\n")
            return None
        held = _Held(writer, words[1])
        self._held.add(held)
        self._recorder.note("sent", id=held.id, server=self.name)
        if self.health == "gone" or len(self._held) > self.traits.capacity * 4:
            writer.write(b"BUSY x0=%.4f\r\n" % self.ratio())
            self._held.discard(held)
            held.over = True
            self._recorder.note("turned", id=held.id, server=self.name)
            return None
        # A setup takes longer the nearer the server is to its capacity.
        await asyncio.sleep(self.traits.setup_ms / 1000 * (1 + self.ratio()))
        if held.over or writer.is_closing():
            return held
        self._receipts += 1
        receipt = f"UP {self.name}-{self._receipts}"
        held.up = True
        self._recorder.note("up", id=held.id, server=self.name, text=receipt)
        writer.write(f"{receipt}\r\nLOAD {1e6 / self.traits.capacity:.0f}\r\n".encode())
        return held

    async def _message(self, line: bytes, held: _Held) -> None:
        if self.traits.answer_ms:
            await asyncio.sleep(self.traits.answer_ms / 1000)
        if line.startswith(b"flood "):
            left = int(line[6:])
            while left > 0 and not held.over:
                held.writer.write(_FLOOD_LINE)
                left -= len(_FLOOD_LINE)
                self.floods += len(_FLOOD_LINE)
                await held.writer.drain()
            return
        held.writer.write(b"echo " + line)

    def _over(self, held: _Held, why: str) -> None:
        if not held.over:
            held.over = True
            self._held.discard(held)
            self._recorder.note("over", id=held.id, server=self.name, text=why)
