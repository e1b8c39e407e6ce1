"""Servers: they take connections, answer each line at once, and tell their load when asked."""

from __future__ import annotations

import asyncio
import contextlib

from stand_ins_2.record import Record


class Server:
    """One sound server, which can be made to drain or to hang.

    Attributes:
        name: Its name in the list.
        is_draining: Whether new connections are turned away.
        is_hanging: Whether it takes what it is sent and answers nothing.
        halves_answers: Whether it hangs in the middle of its next line on each connection.
        opened: The ids of the requests that it was sent, with the time of each.
        connections: The number of established connections.
    """

    def __init__(self, record: Record, name: str, capacity: float = 40.0) -> None:
        self._record = record
        self._capacity = capacity
        self.name = name
        self.is_draining = False
        self.is_hanging = False
        self.halves_answers = False
        self.opened: list[tuple[float, str]] = []
        self.connections = 0
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        is_up = is_stuck = False
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                line = await reader.readuntil(b"\r\n")
                if line.startswith(b"OPEN "):
                    identity = line.split()[1].decode()
                    self.opened.append((self._record.now(), identity))
                    self._record.add(self.name, f"sent {line.decode().strip()}")
                answer = self._answer(line, is_up)
                if is_stuck or self.is_hanging:
                    continue
                if self.halves_answers:
                    is_stuck = True
                    answer = answer[: len(answer) // 2] if is_up else b""
                    self._record.add(self.name, f"hangs after {answer!r}")
                writer.write(answer)
                await writer.drain()
                if answer.startswith(b"BUSY"):
                    break
                if answer.startswith(b"UP"):
                    is_up = True
                    self.connections += 1
        if is_up:
            self.connections -= 1
        writer.close()

    def _answer(self, line: bytes, is_up: bool) -> bytes:
        if is_up:
            return b"answer " + line
        if line.startswith(b"OPEN "):
            if self.is_draining:
                return b"BUSY\r\n"
            return b"UP receipt-%s-%s\r\n" % (self.name.encode(), line.split()[1])
        if line.startswith(b"STATS"):
            return b"PONG x0=%.3f,util=0.2\r\n" % (self.connections / self._capacity)
        if line.startswith(b"PING"):
            return b"PONG\r\n"
        return b"SYNTAX\r\n"
