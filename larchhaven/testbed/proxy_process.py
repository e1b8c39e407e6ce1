"""The real program as a process of the lab: its configuration, its log, its figures."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
from collections import deque
from pathlib import Path
from typing import Any

_SAYS = re.compile(r"(listens|management) at (.*?):(\d+)")
START_S = 30.0
LOG_KEPT = 2_000
PORTS = 12_000
_random = random.SystemRandom()
_given: set[int] = set()


class NotStartedError(Exception):
    """The program ended before it listened; the text is its log."""


def _own_ports() -> range:
    """Return ports below those that the system deals out by itself: none of them is taken by chance."""
    try:
        first = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    except (OSError, ValueError, IndexError):
        first = 32_768
    return range(max(first - PORTS, 1_024), max(first, 1_024 + PORTS))


def free_port() -> int:
    """Return a port that was free a moment ago, for datagrams and connections."""
    while True:
        port = _random.choice(_own_ports())
        if port in _given:
            continue  # whoever asked for it may not have opened it yet
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock, socket.socket() as other:
            try:
                sock.bind(("127.0.0.1", port))
                other.bind(("127.0.0.1", port))
            except OSError:
                continue
            _given.add(port)
            return port


class Proxy:
    """One proxy, started from a configuration in a folder of its own."""

    def __init__(self, name: str, folder: Path, configuration: dict[str, Any]) -> None:
        self.name = name
        self.folder = folder
        self.configuration = configuration
        self.log: deque[str] = deque(maxlen=LOG_KEPT)
        self.lines = 0
        self.address = ("", 0)
        self.management = ("", 0)
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def pid(self) -> int:
        """The number of the process."""
        return self._process.pid if self._process is not None else 0

    @property
    def running(self) -> bool:
        """Tell whether the process lives."""
        return self._process is not None and self._process.returncode is None

    @property
    def operator_file(self) -> Path:
        """Where the operators' file of this proxy is, if it has one."""
        return self.folder / "operator.textproto"

    async def start(self) -> None:
        """Start the program and wait until it listens."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.configuration))
        environment = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        environment |= {"EDGE_CONFIG": str(path), "TMPDIR": str(self.folder)}
        if self.operator_file.exists():
            environment["EDGE_OPERATOR"] = str(self.operator_file)
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "larchhaven", stderr=asyncio.subprocess.PIPE, env=environment
        )
        try:
            async with asyncio.timeout(START_S):
                while not self.address[1]:
                    if not await self._take_line():
                        raise NotStartedError("".join(self.log))
        except TimeoutError:
            raise NotStartedError("".join(self.log)) from None
        self._reading = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        while await self._take_line():
            pass

    async def _take_line(self) -> bool:
        assert self._process is not None
        assert self._process.stderr is not None
        line = (await self._process.stderr.readline()).decode("utf-8", "replace")
        self.log.append(line)
        self.lines += bool(line)
        if match := _SAYS.search(line):
            address = match.group(2), int(match.group(3))
            if match.group(1) == "listens":
                self.address = address
            else:
                self.management = address
        return bool(line)

    async def call(self, path: str, method: str = "GET") -> Any:
        """Call as an operator does; return the answer's JSON."""
        reader, writer = await asyncio.open_connection(*self.management)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: lab\r\n\r\n".encode())
            head, _, body = (await asyncio.wait_for(reader.read(), 10)).partition(b"\r\n\r\n")
            return json.loads(body) if head.startswith(b"HTTP/1.1 2") else None
        finally:
            writer.close()

    def resident(self) -> int:
        """Read the process's resident size, in bytes; 0 once it has ended."""
        try:
            return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * os.sysconf(
                "SC_PAGE_SIZE"
            )
        except (OSError, IndexError):
            return 0

    def descriptors(self) -> int:
        """Count the descriptors that the process holds."""
        try:
            return len(list(Path(f"/proc/{self.pid}/fd").iterdir()))
        except OSError:
            return 0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self._process is not None and self.running:
            # Not by the process object: it would look for the end that the loop waits for, and take it away.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    async def end(self, patience: float = 10.0) -> int | None:
        """Stop the program in an orderly way, else at once; return its exit code."""
        if self._process is None:
            return None
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), patience)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()
        if self._reading is not None:
            await self._reading
        return self._process.returncode
