"""Exam servers drain while they stream lines: connections are cut off in a line, without MOVE."""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Iterator
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

SERVERS = 9
DRAINED = 2  # not more than "a quarter of the exam servers begin to drain"
CLIENTS = 64
CLIENTS_PER_S = 10.0
LINES_PER_S = 10.0
MAX_PIECE_BYTES = 150
WATCHED_S = 10.0
CLASSES = [("soru-getir", 500, 2000, "idempotent"), ("cevap-kaydet", 500, 3000, "idempotent")]


class StreamingServer(rig.Server):
    """An exam server that streams questions, and returns each line of the client at once.

    What it sends is cut at any byte, and the next piece follows soon.

    Attributes:
        cut_off: The ids of the connections that the proxy ended.
    """

    def __init__(self, record: rig.Record, name: str) -> None:
        super().__init__(record, name)
        self.cut_off: list[str] = []

    async def talk(
        self, identity: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send pieces of lines until the proxy ends the connection."""
        unsent = bytearray()
        sender = asyncio.create_task(self._send(identity, writer, unsent))
        try:
            while True:
                unsent += await reader.readuntil(b"\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            self.cut_off.append(identity)
            self.record.line(self.name, f"{identity} is ended by the proxy")
        finally:
            sender.cancel()

    async def _send(self, identity: str, writer: asyncio.StreamWriter, unsent: bytearray) -> None:
        rng = random.Random(identity)
        questions = self._make_questions(identity)
        while True:
            while len(unsent) < MAX_PIECE_BYTES:
                unsent += next(questions)
            size = rng.randint(1, MAX_PIECE_BYTES)
            writer.write(bytes(unsent[:size]))
            del unsent[:size]
            await asyncio.sleep(size / 100 / LINES_PER_S)

    def _make_questions(self, identity: str) -> Iterator[bytes]:
        number = 0
        while True:
            number += 1
            yield f"QUESTION {number:06} of {identity}".encode().ljust(98, b".") + b"\r\n"


class Watcher:
    """A client that reads its lines until its connection ends."""

    def __init__(self, client: rig.Client) -> None:
        self.client = client
        self.is_moved = False
        self.has_ended = False
        self.rest = b""
        self.lines = 0

    async def watch(self, address: tuple[str, int]) -> None:
        """Open the connection, and read it to its end."""
        client = self.client
        if not (await client.open(address) or "").startswith("UP"):
            return
        assert client.reader is not None
        beat = asyncio.create_task(client.beat())
        try:
            while not self.is_moved:
                self.is_moved = await client.reader.readuntil(b"\r\n") == b"MOVE\r\n"
                self.lines += 1
            client.record.line("client", f"{client.identity} is told MOVE")
        except asyncio.IncompleteReadError as error:
            self.rest = error.partial
            text = f"{client.identity} ends after {self.lines} lines and {error.partial!r}"
            client.record.line("client", text)
        except ConnectionError as error:
            client.record.line("client", f"{client.identity} is reset: {error}")
        finally:
            beat.cancel()
            client.close()
        self.has_ended = True


async def play(record: rig.Record, folder: Path) -> tuple[bool, str]:
    """Play the case."""
    servers = [StreamingServer(record, f"s{number}") for number in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = rig.Discovery(record, list(servers), ["n0"])
    await discovery.start()
    configuration = rig.make_configuration("n0", rig.make_settings(CLASSES), discovery)
    proxy = rig.Proxy(record, "n0", configuration, folder / "files")
    watchers: list[Watcher] = []
    tasks = []
    try:
        proxy.start()
        await proxy.wait_until_ready()
        for number in range(CLIENTS):
            name, _, budget_ms, _ = CLASSES[number % len(CLASSES)]
            fields = f"c={name},g={number * 2654435761 % 2**32:x}"
            client = rig.Client(record, f"{number + 1:016x}", fields, budget_ms)
            watchers.append(Watcher(client))
            tasks.append(asyncio.create_task(watchers[-1].watch(proxy.address)))
            await asyncio.sleep(1 / CLIENTS_PER_S)
        await asyncio.sleep(1)
        if rig.TROUBLE:
            for server in servers[:DRAINED]:
                discovery.publish(server, "draining")
        await asyncio.sleep(WATCHED_S)
        ended_by_proxy = {identity for server in servers for identity in server.cut_off}
    finally:
        for task in tasks:
            task.cancel()
        proxy.close()
    ended = [watcher for watcher in watchers if watcher.has_ended]
    lost = [w for w in ended if not w.is_moved and w.client.identity in ended_by_proxy]
    for watcher in lost:
        record.line("case", f"lost: {watcher.client.identity}, cut off in {watcher.rest!r}")
    reason = (
        f"of {len(watchers)} connections {len(ended)} ended,"
        f" {len(lost)} of them cut off without MOVE while the exam server still answered"
    )
    return not lost, reason


if __name__ == "__main__":
    rig.run_case(str(Path(__file__).resolve().parent), play)
