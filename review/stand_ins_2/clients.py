"""Clients: each opens one connection, waits for its answer, and sends a line every two seconds."""

from __future__ import annotations

import asyncio
import contextlib
import secrets

from stand_ins_2.record import Record

LINE_EVERY_S = 2.0


class Client:
    """One connection of a client.

    Attributes:
        identity: The id of the request.
        sent_s: When the last byte of the request was written; None before.
        answer: The answer; None until it has come.
        answered_s: When it came.
        ended_s: When the proxy ended the connection.
        was_moved: Whether ``MOVE`` has come.
        received: The lines that came after the answer.
    """

    def __init__(self, record: Record, request_class: str, deadline_ms: int) -> None:
        self._record = record
        self._request_class = request_class
        self._deadline_ms = deadline_ms
        self.identity = secrets.token_hex(8)
        self.sent_s: float | None = None
        self.answer: str | None = None
        self.answered_s: float | None = None
        self.ended_s: float | None = None
        self.was_moved = False
        self.received: list[str] = []
        self._writer: asyncio.StreamWriter | None = None

    async def run(self, address: tuple[str, int], stay_s: float) -> None:
        """Open the connection and use it for some time."""
        name = f"c-{self.identity[:6]}"
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError as error:
            self._record.add(name, f"not connected: {error}")
            return
        self._writer = writer
        fields = f"c={self._request_class},d={self._deadline_ms},g={secrets.token_hex(6)}"
        line = f"OPEN {self.identity} {secrets.token_hex(6)} {fields}"
        writer.write(line.encode() + b"\r\n")
        self.sent_s = self._record.add(name, f"sends {line}")
        try:
            first = await reader.readline()
            if first:
                self.answer = first.decode().strip()
                self.answered_s = self._record.add(name, f"answered {self.answer}")
            if first.startswith(b"UP"):
                await self._use(name, reader, writer, stay_s)
            elif not first:
                self.ended_s = self._record.add(name, "ended without an answer")
        except OSError as error:
            self.ended_s = self._record.add(name, f"connection lost: {error}")
        finally:
            writer.close()

    async def _use(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, stay_s: float
    ) -> None:
        talk = asyncio.create_task(self._talk(writer))
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(stay_s):
                    while line := await reader.readline():
                        self.received.append(line.decode().strip())
                        if line == b"MOVE\r\n":
                            self.was_moved = True
                            self._record.add(name, "told MOVE")
                    self.ended_s = self._record.add(name, "connection ended")
        finally:
            talk.cancel()

    async def _talk(self, writer: asyncio.StreamWriter) -> None:
        number = 0
        with contextlib.suppress(OSError):
            while True:
                number += 1
                writer.write(b"line %d\r\n" % number)
                await writer.drain()
                await asyncio.sleep(LINE_EVERY_S)
