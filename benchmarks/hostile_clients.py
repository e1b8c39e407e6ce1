"""Plays of hostile clients against a real proxy process: memory, and the answers of other clients.

    python -m benchmarks.hostile_clients [PLAY ...] [--memory-mb 192] [--sockets 1024] [--json]

Each play starts one proxy, two upstream servers and a discovery service on loopback. Hostile
clients act for some seconds; they and the stand-ins have processes of their own. Meanwhile a usual
client arrives every 50 ms, is answered, exchanges one line and leaves. A result has the peak of the
proxy's resident size, and how many of the usual clients were answered, and when.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import multiprocessing
import secrets
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from tests.proxy_harness import ProxyProcess

ACT_FOR_S = 6.0
USUAL_INTERVAL_S = 0.05
USUAL_TIMEOUT_S = 4.0
CROWD_CLIENTS = 600
RECONNECT_PAUSE_S = 0.5
SLOW_BYTE_INTERVAL_S = 0.05
HALF_LINE_BYTES = 2_048
SHORT_FIELD_COUNT = 1_000
FLOOD_BLOCK_BYTES = 64 << 10
LOAD_FLOOD_FIELD = "load=1"
DISCOVERY_HOLD_S = 30.0
BYTES_PER_MB = 1 << 20
KB = 1 << 10


@dataclass(frozen=True)
class Result:
    """What one play showed.

    Attributes:
        play: The name of the play.
        memory_limit_mb: The memory that the proxy was granted.
        peak_mb: The peak of its resident size.
        start_mb: Its resident size before the hostile clients came.
        is_alive: Whether it still ran at the end.
        usual_clients: How many usual clients came.
        established: How many of them were established and got their line back.
        rejected: How many were answered ``BUSY``.
        slowest_ms: The longest time from connect to either answer.
    """

    play: str
    memory_limit_mb: int
    peak_mb: float
    start_mb: float
    is_alive: bool
    usual_clients: int
    established: int
    rejected: int
    slowest_ms: float


class PlayedProxy(ProxyProcess):
    """A proxy process with a memory limit, whose files are in a folder of its own."""

    def __init__(self, folder: Path, memory_mb: int, max_sockets: int) -> None:
        self._memory_mb = memory_mb
        super().__init__(folder, max_sockets=max_sockets, discovery="subscribe")

    def make_configuration(self, **settings: Any) -> dict[str, Any]:  # noqa: ANN401
        """Return the configuration with the memory limit."""
        configuration = super().make_configuration(**settings)
        configuration["limits"]["memory_mb"] = self._memory_mb
        return configuration

    def read_memory_mb(self, key: str) -> float:
        """Return a size from the process's status, such as ``VmRSS``; 0 if it has ended."""
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
            for line in status.splitlines():
                if line.startswith(f"{key}:"):
                    return int(line.split()[1]) * KB / BYTES_PER_MB
        return 0.0


def make_request(fields: str = "c=chat,d=2000", request_id: str = "") -> bytes:
    """Return a request line with a new id."""
    identity = request_id or secrets.token_hex(8)
    return f"OPEN {identity} {secrets.token_hex(6)} {fields}\r\n".encode()


@contextlib.asynccontextmanager
async def connect(
    address: tuple[str, int],
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Open a connection, and close it at the end; errors of the connection end the block."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(*address)
        try:
            yield reader, writer
        finally:
            writer.close()


# Stand-ins


async def serve_upstream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Accept each request, and return what follows; to one with the field ``load`` send loads."""
    try:
        request = await reader.readline()
        writer.write(b"UP 1\r\n")
        while LOAD_FLOOD_FIELD.encode() in request:
            writer.write(1_000 * b"LOAD 1\r\n")
            await writer.drain()
            await asyncio.sleep(0)  # the other clients' turn: drain may return at once
        while data := await reader.read(FLOOD_BLOCK_BYTES):
            writer.write(data)
            await writer.drain()
    except (OSError, ValueError):
        pass  # the proxy has left, or sent a line that is too long
    finally:
        writer.close()


async def serve_discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Hold each request: the list does not change."""
    try:
        await reader.readline()
        await asyncio.sleep(DISCOVERY_HOLD_S)
    finally:
        writer.close()


async def _serve(upstreams: Sequence[socket.socket], discovery: socket.socket) -> None:
    for sock in upstreams:
        await asyncio.start_server(serve_upstream, sock=sock)
    server = await asyncio.start_server(serve_discovery, sock=discovery)
    await server.serve_forever()


def serve(upstreams: Sequence[socket.socket], discovery: socket.socket) -> None:
    """Run the stand-ins, in a process of their own, until it is ended."""
    asyncio.run(_serve(upstreams, discovery))


class UsualClients:
    """Clients that arrive one after the other, and their answers."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self.count = 0
        self.established = 0
        self.rejected = 0
        self.latencies_s: list[float] = []

    async def wait_until_served(self) -> None:
        """Let clients come one after the other until one is established; none of them counts."""
        while not self.established:
            await self._visit()
        self.established = self.rejected = 0
        self.latencies_s.clear()

    async def arrive(self, until_s: float) -> None:
        """Let clients arrive until a time, and wait for all of them."""
        visits = []
        while time.monotonic() < until_s:
            self.count += 1
            visits.append(asyncio.create_task(self._visit()))
            await asyncio.sleep(USUAL_INTERVAL_S)
        await asyncio.gather(*visits)

    async def _visit(self) -> None:
        started_s = time.monotonic()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(USUAL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self._address)
                writer.write(make_request())
                answer = await reader.readline()
                self.latencies_s.append(time.monotonic() - started_s)
                writer.write(b"line\r\n")
                self.rejected += answer.startswith(b"BUSY")
                if answer.startswith(b"UP"):
                    self.established += await reader.readline() == b"line\r\n"
                writer.close()


# Hostile clients


@dataclass(frozen=True)
class Stage:
    """What a play acts on: the addresses of the proxy, and when to stop."""

    clients: tuple[str, int]
    admin: tuple[str, int]
    until_s: float

    def is_over(self) -> bool:
        """Return whether the play has to stop."""
        return time.monotonic() >= self.until_s


async def send_slowly(address: tuple[str, int], text: bytes, until_s: float) -> None:
    """Send a text byte by byte, and connect anew when the proxy has ended the connection."""
    while time.monotonic() < until_s:
        async with connect(address) as (reader, writer):
            for value in text:
                if time.monotonic() >= until_s or reader.at_eof():
                    break
                writer.write(bytes([value]))
                await writer.drain()
                await asyncio.sleep(SLOW_BYTE_INTERVAL_S)
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def send_and_stay(address: tuple[str, int], text: bytes, until_s: float) -> None:
    """Send a text at once and stay, and connect anew when the proxy has ended the connection."""
    while time.monotonic() < until_s:
        async with connect(address) as (reader, writer):
            writer.write(text)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(until_s - time.monotonic(), 0)):
                    await _read_all(reader)
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def crowd(one: Callable[[], Awaitable[None]]) -> None:
    """Run many clients at the same time."""
    await asyncio.gather(*(one() for _ in range(CROWD_CLIENTS)))


async def flood(address: tuple[str, int], first: bytes, block: bytes, stage: Stage) -> None:
    """Send a block on one connection again and again, and read all answers."""
    while not stage.is_over():
        async with connect(address) as (reader, writer):
            reading = asyncio.create_task(_read_all(reader))
            writer.write(first)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(stage.until_s - time.monotonic(), 0)):
                    while not reading.done():
                        writer.write(block)
                        await writer.drain()
            reading.cancel()


async def _read_all(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(FLOOD_BLOCK_BYTES):
            pass


async def flood_unread(address: tuple[str, int], block: bytes, stage: Stage) -> None:
    """Send a block on one connection again and again, and read no answer."""
    while not stage.is_over():
        sock = socket.create_connection(address)
        sock.setblocking(False)
        with contextlib.suppress(OSError, TimeoutError):
            while not stage.is_over():
                async with asyncio.timeout(max(stage.until_s - time.monotonic(), 0.01)):
                    await asyncio.get_running_loop().sock_sendall(sock, block)
        sock.close()


async def call_with_new_names(stage: Stage) -> None:
    """Call the admin API for servers that were never listed, one call after the other."""
    while not stage.is_over():
        async with connect(stage.admin) as (reader, writer):
            name = secrets.token_hex(500)
            writer.write(f"POST /v1/exam-servers/{name}/suspend HTTP/1.1\r\n\r\n".encode())
            await reader.read()


async def open_with_new_names(stage: Stage) -> None:
    """Send unsound requests with new ids, classes and tenants, one connection after the other."""
    while not stage.is_over():
        async with connect(stage.clients) as (reader, writer):
            name = secrets.token_hex(100)
            writer.write(make_request(f"c={name},t={name},{name}=1"))
            await reader.read()


async def request_with_new_ids(stage: Stage) -> None:
    """Send sound requests with new ids, keys and groups, and leave when they are answered."""
    while not stage.is_over():
        async with connect(stage.clients) as (reader, writer):
            writer.write(make_request(f"c=exam,d=2000,g={secrets.token_hex(6)}"))
            await reader.readline()


SHORT_FIELDS = ",".join(f"{number:x}=" for number in range(SHORT_FIELD_COUNT))
SHORT_HEADERS = b"".join(b"%x:\r\n" % number for number in range(2_000))

Play = Callable[[Stage], Awaitable[None]]
PLAYS: dict[str, Play] = {
    "a-slow-writers": lambda stage: crowd(
        lambda: send_slowly(stage.clients, make_request("x=" + 3_000 * "a"), stage.until_s)
    ),
    "a-stopped-half-way": lambda stage: crowd(
        lambda: send_and_stay(
            stage.clients, make_request("x=" + 4_000 * "a")[:HALF_LINE_BYTES], stage.until_s
        )
    ),
    "a-many-short-fields": lambda stage: crowd(
        lambda: send_and_stay(stage.clients, make_request(f"c=chat,{SHORT_FIELDS}"), stage.until_s)
    ),
    "a-many-short-fields-stopped": lambda stage: crowd(
        lambda: send_and_stay(
            stage.clients, make_request(f"c=chat,{SHORT_FIELDS}")[:-2], stage.until_s
        )
    ),
    "a-admin-slow-writers": lambda stage: crowd(
        lambda: send_slowly(stage.admin, b"GET /v1/metrics HTTP/1.1\r\n", stage.until_s)
    ),
    "a-admin-stopped-half-way": lambda stage: crowd(
        lambda: send_and_stay(
            stage.admin,
            b"POST /v1/proxy/activate HTTP/1.1\r\nContent-Length: 16000\r\n\r\n" + 8_000 * b"a",
            stage.until_s,
        )
    ),
    "a-admin-many-short-headers": lambda stage: crowd(
        lambda: send_and_stay(
            stage.admin, b"GET /v1/readyz HTTP/1.1\r\n" + SHORT_HEADERS, stage.until_s
        )
    ),
    "b-ping-flood": lambda stage: flood(stage.clients, b"", 2_000 * b"PING\r\n", stage),
    "b-ping-flood-unread": lambda stage: flood_unread(stage.clients, 2_000 * b"PING\r\n", stage),
    "b-line-flood": lambda stage: flood(stage.clients, make_request(), 20_000 * b"x\r\n", stage),
    "b-empty-line-flood": lambda stage: flood(
        stage.clients, make_request(), 30_000 * b"\r\n", stage
    ),
    "b-load-flood": lambda stage: flood(
        stage.clients, make_request(f"c=chat,{LOAD_FLOOD_FIELD}"), b"x\r\n", stage
    ),
    "b-unsound-flood": lambda stage: flood(stage.clients, b"", 2_000 * b"what\r\n", stage),
    "b-request-flood": lambda stage: flood(
        stage.clients, b"", b"".join(make_request() for _ in range(500)), stage
    ),
    "b-admin-pipelined": lambda stage: flood(
        stage.admin, b"", 200 * b"GET /v1/metrics HTTP/1.1\r\n\r\n", stage
    ),
    "b-admin-new-names": call_with_new_names,
    "b-new-names": open_with_new_names,
    "b-new-ids": request_with_new_ids,
}


def act(name: str, stage: Stage) -> None:
    """Let the hostile clients of a play act, in a process of their own."""
    asyncio.run(PLAYS[name](stage))


async def run_play(name: str, memory_mb: int, max_sockets: int) -> Result:
    """Run one play with a proxy of its own."""
    with tempfile.TemporaryDirectory(prefix="play-") as folder:
        proxy = PlayedProxy(Path(folder), memory_mb, max_sockets)
        try:
            return await _run_against(proxy, name, memory_mb)
        finally:
            proxy.close()


async def _run_against(proxy: PlayedProxy, name: str, memory_mb: int) -> Result:
    context = multiprocessing.get_context("spawn")
    stand_ins = context.Process(target=serve, args=(proxy.servers, proxy.discovery))
    stand_ins.start()
    usual = UsualClients(proxy.address)
    await usual.wait_until_served()
    until_s = time.monotonic() + ACT_FOR_S
    start_mb = proxy.read_memory_mb("VmRSS")
    stage = Stage(proxy.address, proxy.admin_address, until_s)
    hostile = context.Process(target=act, args=(name, stage))
    hostile.start()
    await usual.arrive(until_s)
    await asyncio.to_thread(hostile.join)
    result = Result(
        play=name,
        memory_limit_mb=memory_mb,
        peak_mb=round(proxy.read_memory_mb("VmHWM"), 1),
        start_mb=round(start_mb, 1),
        is_alive=proxy.process.poll() is None,
        usual_clients=usual.count,
        established=usual.established,
        rejected=usual.rejected,
        slowest_ms=round(1e3 * max(usual.latencies_s, default=0.0), 1),
    )
    stand_ins.kill()
    stand_ins.join()
    return result


def main(arguments: list[str]) -> None:
    """Run plays, and print a line for each."""
    parser = argparse.ArgumentParser(description="Plays of hostile clients.")
    parser.add_argument("plays", nargs="*", choices=[*PLAYS, []], help="all by default")
    parser.add_argument("--memory-mb", type=int, default=192)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    for name in options.plays or PLAYS:
        result = asyncio.run(run_play(name, options.memory_mb, options.sockets))
        print(json.dumps(asdict(result)) if options.json else result, flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
