"""A stand-in for discovery: the list and its watches over HTTP, with outages."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from collections.abc import Mapping

from larchhaven.testbed.event_record import Recorder
from larchhaven.testbed.upstream_servers import ExamServer

_CALL = re.compile(r"GET /v1/endpoints(?:\?from=(\d+)&hold_ms=(\d+))? HTTP/1\.1")


class Discovery:
    """Tells any number of proxies of the exam servers."""

    def __init__(self, servers: Mapping[str, ExamServer], recorder: Recorder) -> None:
        self.servers = servers
        self.down = False
        self.seq = 1
        self.port = 0
        self.calls = 0
        self._recorder = recorder
        self._changed = asyncio.Event()
        self._changes: dict[str, int] = {}  # by server: the version in which it last changed
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def change(self, name: str, health: str) -> None:
        """Change what is told of a server."""
        self.servers[name].health = health
        self.seq += 1
        self._changes[name] = self.seq
        self._wake()

    def set_down(self, down: bool) -> None:
        """Fail all calls from now on, those that wait included; or answer again."""
        self.down = down
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                call = _CALL.match(head)
                self.calls += 1
                seen = int(call.group(1)) if call is not None and call.group(1) else None
                if seen is not None and call is not None and seen >= self.seq and not self.down:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), int(call.group(2)) / 1000)
                if self.down:
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                else:
                    self._tell(writer, seen)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            OSError,
            asyncio.CancelledError,
        ):
            pass  # cancelled: the loop that this task lived in ends
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    def _tell(self, writer: asyncio.StreamWriter, seen: int | None) -> None:
        whole = seen is None
        names = [
            name
            for name, server in self.servers.items()
            if (whole and server.health != "gone")
            or (not whole and self._changes.get(name, 1) > (seen or 0))
        ]
        body = json.dumps(
            {"seq": self.seq, "whole": whole, "hosts": [self.entry(name) for name in names]}
        )
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        for name in names:
            self._recorder.note("told", server=name, text=self.servers[name].health)

    def entry(self, name: str) -> dict[str, object]:
        """Describe one server as discovery does."""
        server = self.servers[name]
        return {
            "host": name,
            "dial": f"127.0.0.1:{server.port}",
            "site": "here",
            "class": "k",
            "block": 0,
            "health": server.health,
            "share": 1.0,
            "born_ms": server.born_ms,
        }
