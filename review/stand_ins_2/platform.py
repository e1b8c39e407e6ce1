"""The platform: starts proxies with the command of the deploy file, and signals them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from stand_ins_2.record import Record

ROOT = Path(__file__).resolve().parents[2]
SOCKET_FD = 3
READY_WITHIN_S = 20.0
POLL_S = 0.05


class CannotRunError(Exception):
    """The case cannot run here."""


def free_port() -> int:
    """Return a TCP port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def listening_socket() -> socket.socket:
    """Return the clients' listening socket that the platform holds for an upgrade."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    sock.listen(1024)
    return sock


class Proxy:
    """One process of the program."""

    def __init__(self, record: Record, name: str, process: subprocess.Popen[bytes]) -> None:
        self._record = record
        self._name = name
        self._process = process

    def signal(self, number: int) -> None:
        """Send a signal to the program."""
        self._record.add(self._name, f"signal {number}")
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    def exit_code(self) -> int | None:
        """Return the exit code; None while the program runs."""
        return self._process.poll()

    async def wait(self, within_s: float) -> bool:
        """Wait for the end of the program; return whether it came in time."""
        for _ in range(int(within_s / POLL_S)):
            if self._process.poll() is not None:
                self._record.add(self._name, f"ended with {self._process.returncode}")
                return True
            await asyncio.sleep(POLL_S)
        return False


class Platform:
    """Starts proxies, and ends all that it started."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._folder = tempfile.TemporaryDirectory(prefix="case-")
        self._processes: list[subprocess.Popen[bytes]] = []
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        self._run = str(deploy["run"])

    @property
    def folder(self) -> Path:
        """The temporary folder of the run."""
        return Path(self._folder.name)

    def write_configuration(self, name: str, configuration: dict[str, Any]) -> Path:
        """Write a configuration file, or replace it at once."""
        path = self.folder / f"{name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(configuration), encoding="utf-8")
        new.replace(path)
        return path

    def start(
        self,
        name: str,
        configuration: Path,
        *,
        tmpdir: str = "",
        admin: str = "",
        clients: socket.socket | None = None,
    ) -> Proxy:
        """Start the program with the command of the deploy file.

        Args:
            name: The name in the record and in the names of files.
            configuration: The configuration file.
            tmpdir: The name of the folder in ``$TMPDIR``; by default one of its own.
            admin: The address for operators' calls; empty for none.
            clients: The clients' listening socket, if the platform holds it.
        """
        temporary = self.folder / (tmpdir or f"tmp-{name}")
        temporary.mkdir(exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if key[:5] != "EDGE_"}
        environment |= {"EDGE_CONFIG": str(configuration), "TMPDIR": str(temporary)}
        if admin:
            environment["EDGE_MGMT"] = admin
        descriptors: tuple[int, ...] = ()
        if clients is not None:
            descriptors = (clients.fileno(),)
            environment["EDGE_SOCKET_FD"] = str(clients.fileno())
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self._run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=descriptors,
            )
        self._processes.append(process)
        self._record.add(name, "started")
        return Proxy(self._record, name, process)

    def log_of(self, name: str) -> str:
        """Return what a proxy has logged."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    def close(self) -> None:
        """End all processes that were started and remove the temporary folder."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self._folder.cleanup()


async def wait_for_pong(address: tuple[str, int]) -> None:
    """Wait until a proxy answers the front's question.

    Raises:
        CannotRunError: It does not within 20 s.
    """
    for _ in range(int(READY_WITHIN_S / POLL_S)):
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(POLL_S)
            continue
        writer.write(b"PING\r\n")
        answer = await reader.readline()
        writer.close()
        if answer == b"PONG\r\n":
            return
        await asyncio.sleep(POLL_S)
    raise CannotRunError("the proxy is not ready")


async def call_operator(address: str, method: str, path: str) -> int:
    """Make an operator's call; return its HTTP status, or 0 if there is no answer."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 2.0)
        writer.close()
    except (OSError, TimeoutError):
        return 0
    words = line.split()
    return int(words[1]) if len(words) > 1 else 0


async def wait_for_yes(address: str, within_s: float) -> None:
    """Wait until ``GET /v1/readyz`` is answered yes.

    Raises:
        CannotRunError: It is not in time.
    """
    for _ in range(int(within_s / POLL_S)):
        if await call_operator(address, "GET", "/v1/readyz") // 100 == 2:
            return
        await asyncio.sleep(POLL_S)
    raise CannotRunError("the process does not say yes")
