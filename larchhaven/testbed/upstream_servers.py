"""Stand-in upstream servers: they speak the text protocol and can fail as real servers do."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass

from larchhaven.testbed.event_record import AttemptEnd, EventKind, EventRecorder

WARM_UP_US = 7_100_000
REJECTION_LOAD_RATIO = 4
MAX_LINE_BYTES = 1 << 16
LISTEN_BACKLOG = 1024
MAX_RECORDED_LINE_LENGTH = 200
REQUEST_LINE_WORDS = 4  # OPEN, identity, key, options
_FLOOD_COMMAND = b"flood "
_FLOOD_LINE = b"flood " + b"x" * 1_000 + b"\r\n"


@dataclass(slots=True, eq=False)
class _HeldConnection:
    """A connection that a server is setting up or has established."""

    writer: asyncio.StreamWriter
    request_id: str
    is_ended: bool = False


@dataclass(slots=True)
class ServerTraits:
    """Capacity and response times of an upstream server.

    Attributes:
        capacity: Number of connections at a load ratio of 1.
        setup_ms: Time to establish a connection while the server is idle.
        answer_ms: Time to answer a message on an established connection.
    """

    capacity: float = 50.0
    setup_ms: float = 5.0
    answer_ms: float = 0.0


class UpstreamServer:
    """One upstream server on a port of its own.

    Attributes:
        name: Name in the endpoint list.
        traits: Its capacity and response times.
        health: Health state that discovery publishes.
        started_ms: Wall-clock time of the last cold start; 0 if there was none.
        is_hanging: Whether it accepts connections and requests but never answers.
        flood_bytes: Number of bytes sent to clients that requested a flood.
        port: Port on which it listens; 0 until it has started.
    """

    def __init__(self, name: str, traits: ServerTraits, recorder: EventRecorder) -> None:
        self.name = name
        self.traits = traits
        self.health = "ready"
        self.started_ms = 0.0
        self.is_hanging = False
        self.flood_bytes = 0
        self.port = 0
        self._recorder = recorder
        self._connections: set[_HeldConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._established_count = 0
        self._server: asyncio.Server | None = None

    @property
    def load_ratio(self) -> float:
        """Number of connections divided by the capacity."""
        return len(self._connections) / self.traits.capacity

    async def start(self, *, cold: bool = False) -> None:
        """Start listening, on the previous port if there was one.

        Args:
            cold: Whether this is a cold start, after which the server has to warm up.
        """
        if self._server is None:
            self._server = await asyncio.start_server(
                self._serve,
                "127.0.0.1",
                self.port or None,
                limit=MAX_LINE_BYTES,
                backlog=LISTEN_BACKLOG,
            )
            self.port = int(self._server.sockets[0].getsockname()[1])
        self.is_hanging = False
        if cold:
            self.started_ms = time.time() * 1000
            self._recorder.record(
                EventKind.SERVER_STARTED_COLD,
                server_name=self.name,
                wait_us=WARM_UP_US,
                amount=self.traits.capacity,
            )

    async def stop(self, *, reset: bool) -> None:
        """Stop listening and end all connections.

        Args:
            reset: Whether connections are aborted instead of closed.
        """
        self._recorder.record(EventKind.SERVER_STOPPED, server_name=self.name)
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            self._end(connection, AttemptEnd.SERVER)
            if reset:
                connection.writer.transport.abort()
            else:
                connection.writer.close()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
        try:
            await self._serve_lines(reader, writer)
        except (ConnectionError, TimeoutError, asyncio.CancelledError):
            pass  # cancelled only when the event loop shuts down
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()
            if task is not None:
                self._tasks.discard(task)

    async def _serve_lines(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection: _HeldConnection | None = None
        try:
            while True:
                try:
                    line = await reader.readuntil(b"\r\n")
                except (asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                    return
                if self.is_hanging:
                    continue
                if connection is None:
                    connection = await self._handle_first_line(line, writer)
                else:
                    await self._handle_message(line, connection)
        finally:
            if connection is not None:
                self._end(connection, AttemptEnd.PROXY)

    async def _handle_first_line(
        self, raw_line: bytes, writer: asyncio.StreamWriter
    ) -> _HeldConnection | None:
        line = raw_line.decode("latin-1").strip()
        if line == "STATS":
            writer.write(self._load_report())
            return None
        if line == "PING":
            writer.write(b"PONG\r\n")
            return None
        words = line.split(" ")
        if len(words) != REQUEST_LINE_WORDS or words[0] != "OPEN":
            detail = line[:MAX_RECORDED_LINE_LENGTH]
            self._recorder.record(EventKind.INVALID_REQUEST, server_name=self.name, detail=detail)
            writer.write(b"SYNTAX\r\n")
            return None
        return await self._open(_HeldConnection(writer, words[1]))

    def _load_report(self) -> bytes:
        ratio = self.load_ratio
        load = f"x0={ratio:.4f},util={min(ratio, 1):.4f},inflight={len(self._connections)}"
        return f"PONG {load}\r\n".encode()

    async def _open(self, connection: _HeldConnection) -> _HeldConnection | None:
        self._connections.add(connection)
        self._record(EventKind.ATTEMPT_RECEIVED, connection)
        if self.health == "gone" or self.load_ratio > REJECTION_LOAD_RATIO:
            connection.writer.write(b"BUSY x0=%.4f\r\n" % self.load_ratio)
            self._connections.discard(connection)
            connection.is_ended = True
            self._record(EventKind.ATTEMPT_REJECTED, connection)
            return None
        # The setup time grows with the load ratio.
        await asyncio.sleep(self.traits.setup_ms / 1000 * (1 + self.load_ratio))
        if connection.is_ended or connection.writer.is_closing():
            return connection
        self._established_count += 1
        confirmation = f"UP {self.name}-{self._established_count}"
        self._record(EventKind.ESTABLISHED, connection, confirmation)
        load_line = f"LOAD {1e6 / self.traits.capacity:.0f}"
        connection.writer.write(f"{confirmation}\r\n{load_line}\r\n".encode())
        return connection

    async def _handle_message(self, line: bytes, connection: _HeldConnection) -> None:
        if self.traits.answer_ms:
            await asyncio.sleep(self.traits.answer_ms / 1000)
        if line.startswith(_FLOOD_COMMAND):
            await self._flood(connection, int(line.removeprefix(_FLOOD_COMMAND)))
        else:
            connection.writer.write(b"echo " + line)

    async def _flood(self, connection: _HeldConnection, size_bytes: int) -> None:
        remaining_bytes = size_bytes
        while remaining_bytes > 0 and not connection.is_ended:
            connection.writer.write(_FLOOD_LINE)
            remaining_bytes -= len(_FLOOD_LINE)
            self.flood_bytes += len(_FLOOD_LINE)
            await connection.writer.drain()

    def _end(self, connection: _HeldConnection, ended_by: AttemptEnd) -> None:
        if not connection.is_ended:
            connection.is_ended = True
            self._connections.discard(connection)
            self._record(EventKind.ATTEMPT_ENDED, connection, ended_by.value)

    def _record(self, kind: EventKind, connection: _HeldConnection, detail: str = "") -> None:
        self._recorder.record(
            kind, request_id=connection.request_id, server_name=self.name, detail=detail
        )
