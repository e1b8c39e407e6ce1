"""Stand-ins for clients, servers, discovery and the platform, shared by the cases of the review.

They use the standard library only. Every address is a loopback address, every port is free, and all
files but ``record.txt`` lie in a temporary folder.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
FIRST_LINE_WORDS = 4  # OPEN, identity, key, fields
MAX_CASE_S = 110.0
# "a request's final answer up to half a second after its time only earns nothing; later, or never,
# it is lost"; every time limit on sockets is 50 ms longer.
ANSWER_SLACK_S = 0.55


class CouldNotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()
        self.line("case", f"TROUBLE={int(TROUBLE)}")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started

    def line(self, who: str, text: str) -> None:
        """Write one line with its time."""
        self._file.write(f"{self.now():9.3f} {who:<12} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Server:
    """An exam server: answers probes and first lines, and returns each later line.

    Attributes:
        opened: Time, request id and first line of every attempt received, in order.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        *,
        capacity: float = 40.0,
        setup_s: float = 0.005,
        probe_s: float = 0.0,
        idle_s: float = 5.0,
        first_answer: Callable[[Server, str], bytes] | None = None,
    ) -> None:
        self.record = record
        self.name = name
        self.capacity = capacity
        self.setup_s = setup_s
        self.probe_s = probe_s
        self.idle_s = idle_s
        self.first_answer = first_answer
        self.health = "ready"
        self.born_ms = 0
        self.opened: list[tuple[float, str, str]] = []
        self.held: set[asyncio.StreamWriter] = set()
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port, or on the port of an earlier start."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Leave: what is left on this server is cut off."""
        self.record.line(self.name, f"leaves with {len(self.held)} connections")
        if self._server is not None:
            self._server.close()
        for writer in list(self.held):
            writer.transport.abort()

    def entry(self) -> dict[str, Any]:
        """Return the entry of the endpoint list."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": "here",
            "class": "k",
            "block": 0,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            await self._serve_lines(reader, writer)
        self.held.discard(writer)
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()

    async def _serve_lines(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), self.idle_s)
            if not line.startswith((b"STATS", b"PING")):
                break
            if self.probe_s:
                await asyncio.sleep(self.probe_s)
            writer.write(b"PONG x0=%.3f\r\n" % (len(self.held) / self.capacity))
        first = line.decode().strip()
        words = first.split(" ")
        if len(words) != FIRST_LINE_WORDS or words[0] != "OPEN":
            writer.write(b"SYNTAX\r\n")
            return
        self.opened.append((self.record.now(), words[1], first))
        self.record.line(self.name, f"received {first}")
        if self.setup_s:
            await asyncio.sleep(self.setup_s)
        answer = f"UP {self.name}-{words[1]}\r\n".encode()
        if self.first_answer is not None:
            answer = self.first_answer(self, words[1])
        self.record.line(self.name, f"answers {words[1]} {answer!r}")
        writer.write(answer)
        if not answer.startswith(b"UP"):
            return
        self.held.add(writer)
        await self.talk(words[1], reader, writer)

    async def talk(
        self,
        identity: str,  # noqa: ARG002
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Return each line of a client, until its connection ends."""
        while True:
            writer.write(await reader.readuntil(b"\r\n"))


class Discovery:
    """Discovery: one list for all proxies, and an address for each of them.

    Attributes:
        is_down: Whether every call is answered with 503.
        told: For each proxy, each version with the time at which it was first written.
    """

    def __init__(self, record: Record, servers: list[Server], proxies: list[str]) -> None:
        self.record = record
        self.servers = servers
        self.is_down = False
        self.version = 1
        self.ports: dict[str, int] = {}
        self.told: dict[str, dict[int, float]] = {proxy: {} for proxy in proxies}
        self._changed_in: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port for each proxy."""
        for proxy in self.told:
            serve = self._make_handler(proxy)
            server = await asyncio.start_server(serve, HOST, 0)
            self.ports[proxy] = server.sockets[0].getsockname()[1]

    def publish(self, server: Server, health: str) -> None:
        """Change the health of a server."""
        server.health = health
        self.version += 1
        self._changed_in[server.name] = self.version
        self.record.line("discovery", f"version {self.version}: {server.name} is {health}")
        self._wake()

    def set_down(self, is_down: bool) -> None:
        """Go down, which ends the watches, or come back."""
        self.is_down = is_down
        self.record.line("discovery", "down" if is_down else "back")
        if is_down:
            for writer in list(self._open):
                writer.transport.abort()
        self._wake()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        hosts = [server.entry() for server in self.servers if server.health != "gone"]
        return {"seq": self.version, "whole": True, "hosts": hosts}

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _make_handler(
        self, proxy: str
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._open.add(writer)
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                    await self._answer(proxy, head, writer)
            self._open.discard(writer)
            writer.close()

        return serve

    async def _answer(self, proxy: str, head: str, writer: asyncio.StreamWriter) -> None:
        call = re.match(r"GET /v1/endpoints(?:\?from=(\d+)&hold_ms=(\d+))? ", head)
        since = int(call[1]) if call is not None and call[1] else None
        if call is not None and since is not None and since >= self.version and not self.is_down:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), int(call[2]) / 1000)
        if self.is_down:
            self.record.line("discovery", f"503 for {proxy}")
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return
        if since is None:
            message = self.whole()
        else:
            changed = [s for s in self.servers if self._changed_in.get(s.name, 1) > since]
            hosts = [server.entry() for server in changed]
            message = {"seq": self.version, "whole": False, "hosts": hosts}
        body = json.dumps(message).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.record.line("discovery", f"tells {proxy} version {self.version}")
        for version in range(1, self.version + 1):
            self.told[proxy].setdefault(version, self.record.now())


class Proxy:
    """One proxy process, started by the command of the deploy file as the platform does it.

    Args:
        record: Receives what happens.
        name: Its name.
        configuration: Its configuration file.
        files: The folder that ``$TMPDIR`` names.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        configuration: dict[str, Any],
        files: Path,
    ) -> None:
        self.record = record
        self.name = name
        self.configuration = configuration
        self.address = parse_address(configuration["listen"])
        self._files = files
        self._log_path = files.with_name(f"{files.name}-{name}.log")
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        self._files.mkdir(exist_ok=True)
        path = self._files.with_name(f"{self._files.name}-{self.name}.json")
        path.write_text(json.dumps(self.configuration))
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        inherited = {name: v for name, v in os.environ.items() if not name.startswith("EDGE_")}
        environment = {**inherited, "EDGE_CONFIG": str(path), "TMPDIR": str(self._files)}
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.line(self.name, f"started, process {self.process.pid}")

    async def wait_until_ready(self) -> None:
        """Wait until the proxy answers ``PING`` with ``PONG``, as the front does."""
        for _ in range(300):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 1)
                writer.close()
                if line == b"PONG\r\n":
                    self.record.line(self.name, "ready")
                    return
            self._check_runs()
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"{self.name} is not ready after 30 s")

    def _check_runs(self) -> None:
        if self.process is None or self.process.poll() is not None:
            raise CouldNotRunError(f"{self.name} ended at its start: {self.log()}")

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log(self) -> str:
        """Return the log of the process."""
        return self._log_path.read_text(errors="replace") if self._log_path.exists() else ""

    def close(self) -> None:
        """End the process, and copy its log to the record."""
        self.kill()
        for line in self.log().splitlines():
            self.record.line(self.name, f"log: {line}")


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of ``host:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Client:
    """One client connection: sends its first line and waits for the final answer.

    Attributes:
        answer: The final answer; empty if the connection ended without one; None while there is
            none.
    """

    def __init__(self, record: Record, identity: str, fields: str, budget_ms: int) -> None:
        self.record = record
        self.identity = identity
        self.budget_s = budget_ms / 1000
        self.first_line = f"OPEN {identity} {identity[::-1]} {fields},d={budget_ms}"
        self.answer: str | None = None
        self.sent_at: float | None = None
        self.answered_at: float | None = None
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, address: tuple[str, int]) -> str | None:
        """Connect, send the first line and wait for the answer until it counts as lost."""
        try:
            self.reader, self.writer = await asyncio.open_connection(*address)
            self.writer.write(self.first_line.encode() + b"\r\n")
        except OSError as error:
            self.record.line("client", f"{self.identity} not connected: {error}")
            return None
        self.sent_at = self.record.now()
        self.record.line("client", f"sends {self.first_line}")
        try:
            wait_s = self.budget_s + ANSWER_SLACK_S
            line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), wait_s)
            self.answer = line.decode().strip()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.answer = ""
        except TimeoutError:
            self.record.line("client", f"{self.identity} has no answer after {wait_s:.2f} s")
            return None
        self.answered_at = self.record.now()
        self.record.line("client", f"{self.identity} is answered {self.answer!r}")
        if not self.answer.startswith("UP"):
            self.close()
        return self.answer

    async def talk(self) -> bool:
        """Send a line every 2 s, as clients do, until the connection ends.

        Returns:
            Whether the client was told to move.
        """
        assert self.reader is not None
        beat = asyncio.create_task(self.beat())
        try:
            while await self.reader.readuntil(b"\r\n") != b"MOVE\r\n":
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            self.record.line("client", f"{self.identity} is cut off without MOVE")
            return False
        finally:
            beat.cancel()
        self.record.line("client", f"{self.identity} is told MOVE")
        return True

    async def beat(self) -> None:
        """Send a line every 2 s."""
        assert self.writer is not None
        while True:
            self.writer.write(b"line\r\n")
            await asyncio.sleep(2)

    def close(self) -> None:
        """Leave."""
        if self.writer is not None:
            self.writer.close()


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def make_settings(
    classes: list[tuple[str, int, int, str]],
    *,
    mode: str = "pass",
    drain_grace_ms: int = 3000,
    max_attempts: int = 3,
    proxies: int = 1,
    index: int = 0,
) -> dict[str, Any]:
    """Return the settings of a proxy, under the names of the wire page.

    Args:
        classes: Name, aim and deadline in milliseconds, and effect of each class.
        mode: ``pass`` or ``proxy``.
        drain_grace_ms: Time in which sends to a draining server must stop.
        max_attempts: Most attempts for a request.
        proxies: Number of proxies.
        index: Number of this proxy.
    """
    return {
        "family": "conn",
        "instances": proxies,
        "index": index,
        "tick": 5000,
        "tier": 0,
        "discovery": "subscribe",
        "zone": 0,
        "zones": ["here"],
        "kinds": ["k"],
        "stages": ["s"],
        "weights": "nominal",
        "worth_by": "request",
        "over_share_worth": 0.2,
        "parties": [],
        "clients": {"marks_retry": False},
        "services": [
            {
                "name": name,
                "aim": aim_ms * 1000,
                "deadline": deadline_ms * 1000,
                "credit": 2.0,
                "late_worth": 0.0,
                "repeat": effect,
                "group": "all",
                "window": 5_000_000,
                "stream": True,
            }
            for name, aim_ms, deadline_ms, effect in classes
        ],
        "family_info": {
            "mode": mode,
            "park": 6_000_000 if mode == "pass" else 0,
            "message_aim": [100_000.0] * len(classes),
            "tells_load": True,
            "tells_delay": True,
            "groups": True,
            "hint": "",
            "tenant_quota_connections": [],
        },
        "contract": {
            "answer_slack": 20_000,
            "ask_within": 10_000_000,
            "cold": 7_100_000,
            "cold_from": 0.33,
            "stop_sending_within": drain_grace_ms * 1000,
            "tip_after": 1_500_000,
            "tip_multiple": 2.5,
        },
        "policy_limits": {
            "cancel": True,
            "connect_timeout": 250_000,
            "idle_close": 5_000_000,
            "max_open": 1_000_000,
            "max_retry_after": 1_500_000,
            "most_tries": max_attempts,
            "parallel_tries": False,
            "probes": True,
            "retry_after": True,
            "may_tell": False,
            "streams_per_conn": 1_048_576,
        },
        "prices": {"moves": 0.022, "probe": 0.002, "waste": 0.2, "late_fail": 0.05},
        "report": {"how": "pull", "fields": ["x0"]},
    }


def make_configuration(
    name: str,
    settings: dict[str, Any],
    discovery: Discovery,
    *,
    sockets: int = 1024,
) -> dict[str, Any]:
    """Return the configuration file of a proxy."""
    return {
        "name": name,
        "listen": f"{HOST}:{free_port()}",
        "mgmt": f"{HOST}:{free_port()}",
        "discovery": f"{HOST}:{discovery.ports[name]}",
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "settings": settings,
        "known": discovery.whole(),
    }


def run_case(folder: str, play: Callable[[Record, Path], Awaitable[tuple[bool, str]]]) -> None:
    """Play a case and exit with its verdict.

    Args:
        folder: The folder of the case.
        play: Plays the case, given the record and a temporary folder; returns whether the rule was
            kept, and a sentence that says why.
    """
    record = Record(Path(folder))
    code = COULD_NOT_RUN

    async def play_within_limit() -> tuple[bool, str]:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.set_exception_handler(lambda _loop, _context: None)
        if task is not None:
            loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(play(record, Path(temporary)), MAX_CASE_S)

    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            is_kept, reason = asyncio.run(play_within_limit())
            code = HELD if is_kept else BROKEN
        except (CouldNotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
            reason = f"could not run: {error!r}"
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "no result"}
    record.line("case", f"{verdict[code]}: {reason}")
    record.close()
    print(f"{verdict[code]}: {reason}")
    sys.exit(code)
