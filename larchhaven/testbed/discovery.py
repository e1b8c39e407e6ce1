"""A stand-in for discovery: serves the endpoint list and its watches over HTTP, with outages."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from collections.abc import Mapping

from larchhaven.testbed.event_record import EventKind, EventRecorder
from larchhaven.testbed.upstream_servers import UpstreamServer

FIRST_VERSION = 1
_REQUEST_LINE = re.compile(r"GET /v1/endpoints(?:\?from=(\d+)&hold_ms=(\d+))? HTTP/1\.1")
_UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class Discovery:
    """Publishes the upstream servers to any number of proxies.

    Attributes:
        servers: The upstream servers by name.
        is_down: Whether all calls fail with status 503.
        version: Version of the endpoint list; each change raises it by one.
        port: Port on which it listens; 0 until it has started.
        calls: Number of calls received so far.
    """

    def __init__(self, servers: Mapping[str, UpstreamServer], recorder: EventRecorder) -> None:
        self.servers = servers
        self.is_down = False
        self.version = FIRST_VERSION
        self.port = 0
        self.calls = 0
        self._recorder = recorder
        self._changed = asyncio.Event()
        self._changed_in_version: dict[str, int] = {}  # version of the last change, by server
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def publish_health(self, server_name: str, health: str) -> None:
        """Publish a new health state of a server."""
        self.servers[server_name].health = health
        self.version += 1
        self._changed_in_version[server_name] = self.version
        self._wake_watches()

    def set_down(self, is_down: bool) -> None:
        """Start or end an outage, during which all calls fail; pending watches fail at once."""
        self.is_down = is_down
        self._wake_watches()

    def describe_endpoint(self, server_name: str) -> dict[str, object]:
        """Return the JSON object of one server in the endpoint list."""
        server = self.servers[server_name]
        return {
            "host": server_name,
            "dial": f"127.0.0.1:{server.port}",
            "site": "here",
            "class": "k",
            "block": 0,
            "health": server.health,
            "share": 1.0,
            "born_ms": server.started_ms,
        }

    def describe_all_endpoints(self) -> dict[str, object]:
        """Return the initial endpoint list, in the form used by a proxy's configuration."""
        endpoints = [self.describe_endpoint(name) for name in self.servers]
        return {"seq": FIRST_VERSION, "whole": True, "hosts": endpoints}

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                await self._answer(head, writer)
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            OSError,
            asyncio.CancelledError,
        ):
            pass  # cancelled only when the event loop shuts down
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _answer(self, head: str, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        watched_version: int | None = None
        call = _REQUEST_LINE.match(head)
        if call is not None and call.group(1):
            watched_version = int(call.group(1))
            if watched_version >= self.version and not self.is_down:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), int(call.group(2)) / 1000)
        if self.is_down:
            writer.write(_UNAVAILABLE)
        else:
            self._write_endpoints(writer, watched_version)
        await writer.drain()

    def _write_endpoints(self, writer: asyncio.StreamWriter, watched_version: int | None) -> None:
        names = [name for name in self.servers if self._is_listed(name, watched_version)]
        body = json.dumps(
            {
                "seq": self.version,
                "whole": watched_version is None,
                "hosts": [self.describe_endpoint(name) for name in names],
            }
        )
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        for name in names:
            self._recorder.record(
                EventKind.HEALTH_PUBLISHED, server_name=name, detail=self.servers[name].health
            )

    def _is_listed(self, server_name: str, watched_version: int | None) -> bool:
        if watched_version is None:
            return self.servers[server_name].health != "gone"
        changed_in = self._changed_in_version.get(server_name, FIRST_VERSION)
        return changed_in > watched_version
