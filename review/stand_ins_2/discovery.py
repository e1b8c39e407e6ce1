"""Discovery: the list of servers, whole or as a watch on changes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from dataclasses import dataclass

from stand_ins_2.record import Record

_REQUEST = re.compile(rb"GET /v1/endpoints(?:\?from=(\d+)&hold_ms=(\d+))? HTTP/1\.1\r\n")

FOREVER_S = 3600.0


@dataclass
class Entry:
    """One server on the list."""

    host: str
    dial: str
    health: str = "ready"
    born_ms: int = 0
    site: str = ""
    kind: str = ""
    changed_at: int = 1

    def as_json(self) -> dict[str, object]:
        """Return the entry in discovery's form."""
        return {
            "host": self.host,
            "dial": self.dial,
            "site": self.site,
            "class": self.kind,
            "block": 0,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }


class Watch:
    """A call that waits for a change."""

    def __init__(self, opened_s: float, hold_s: float) -> None:
        self.opened_s = opened_s
        self.hold_s = hold_s
        self.is_silent = False


class Discovery:
    """One discovery service.

    Attributes:
        delay_s: The time that each call takes before it is answered.
        watches: The calls that wait for a change now.
        is_silent: Whether it takes calls, and answers none of them, then or later.
    """

    def __init__(self, record: Record, entries: list[Entry], name: str = "discovery") -> None:
        self._record = record
        self._name = name
        self._entries = {entry.host: entry for entry in entries}
        self._version = 1
        self._changed = asyncio.Condition()
        self.delay_s = 0.0
        self.is_silent = False
        self.watches: list[Watch] = []
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def whole_list(self) -> dict[str, object]:
        """Return the whole list in discovery's form."""
        listed = [each.as_json() for each in self._entries.values() if each.health != "gone"]
        return {"seq": self._version, "whole": True, "hosts": listed}

    async def set_health(self, host: str, health: str) -> float:
        """Change the health of a server; return the time of the change."""
        entry = self._entries[host]
        self._version += 1
        entry.health = health
        entry.changed_at = self._version
        async with self._changed:
            self._changed.notify_all()
        return self._record.add(self._name, f"{host} is {health}, version {self._version}")

    def silence_watches(self) -> None:
        """Let all open watches fall silent: they stay open and are never answered."""
        for watch in self.watches:
            watch.is_silent = True
        self._record.add(self._name, f"{len(self.watches)} open watches fall silent")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await self._answer(head)
                text = json.dumps(body).encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                writer.write(head + b"Content-Length: %d\r\n\r\n" % len(text) + text)
                await writer.drain()
                count = len(body["hosts"]) if isinstance(body["hosts"], list) else 0
                self._record.add(self._name, f"wrote version {body['seq']}, {count} entries")
        writer.close()

    async def _answer(self, head: bytes) -> dict[str, object]:
        request = _REQUEST.match(head)
        if self.is_silent:
            self._record.add(self._name, "takes a call and stays silent")
            await asyncio.sleep(FOREVER_S)
        if request is None or request.group(1) is None:
            self._record.add(self._name, "call for the whole list")
            await asyncio.sleep(self.delay_s)
            return self.whole_list()
        known, hold_s = int(request.group(1)), int(request.group(2)) / 1000
        watch = Watch(self._record.add(self._name, f"watch from {known} for {hold_s} s"), hold_s)
        self.watches.append(watch)
        try:
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(hold_s):
                        await self._changed.wait_for(lambda: self._version > known)
            if watch.is_silent:
                await asyncio.sleep(FOREVER_S)
        finally:
            self.watches.remove(watch)
        await asyncio.sleep(self.delay_s)
        changed = [each.as_json() for each in self._entries.values() if each.changed_at > known]
        return {"seq": self._version, "whole": False, "hosts": changed}
