"""A real proxy as a child process of the test bed: configuration, log and resource usage."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
from collections import deque
from pathlib import Path
from typing import Any

from larchhaven.errors import LarchhavenError

START_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 10.0
MAX_LOG_LINES = 2_000
OPERATOR_FILE_NAME = "operator.textproto"
NOT_LISTENING = ("", 0)

_LISTENING = re.compile(r"(listens|management) at (.*?):(\d+)")


class ProxyNotStartedError(LarchhavenError):
    """A proxy ended or timed out before it listened.

    Attributes:
        name: Name of the proxy.
        log: The last lines of its log.
    """

    def __init__(self, name: str, log: str) -> None:
        super().__init__(f"proxy {name} did not start listening; its log:\n{log}")
        self.name = name
        self.log = log


class ProxyProcess:
    """One proxy process with a directory of its own.

    Attributes:
        name: Name of the proxy.
        folder: Directory of its configuration and its other files.
        configuration: Its configuration, written to a file at each start.
        log: The last lines of its log.
        log_lines: Number of lines that it has logged so far.
        address: Address for clients; ``NOT_LISTENING`` until it listens.
        admin_address: Address of the admin API; ``NOT_LISTENING`` until it listens.
    """

    def __init__(self, name: str, folder: Path, configuration: dict[str, Any]) -> None:
        self.name = name
        self.folder = folder
        self.configuration = configuration
        self.log: deque[str] = deque(maxlen=MAX_LOG_LINES)
        self.log_lines = 0
        self.address = NOT_LISTENING
        self.admin_address = NOT_LISTENING
        self._process: asyncio.subprocess.Process | None = None
        self._log_reader: asyncio.Task[None] | None = None
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def process_id(self) -> int:
        """The process id; 0 if the process was never started."""
        return self._process.pid if self._process is not None else 0

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def operator_file(self) -> Path:
        """Path of the operators' file of this proxy; the file may not exist."""
        return self.folder / OPERATOR_FILE_NAME

    @property
    def has_logged_traceback(self) -> bool:
        """Whether the kept log lines show a traceback, and so an unexpected error."""
        return any("Traceback" in line for line in self.log)

    async def start(self) -> None:
        """Start the proxy and wait until it accepts clients.

        Raises:
            ProxyNotStartedError: It ended, or did not listen within ``START_TIMEOUT_S``.
        """
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.configuration))
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "larchhaven",
            stderr=asyncio.subprocess.PIPE,
            env=self._environment(path),
        )
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not self.address[1]:
                    if not await self._read_log_line():
                        raise ProxyNotStartedError(self.name, "".join(self.log))
        except TimeoutError:
            raise ProxyNotStartedError(self.name, "".join(self.log)) from None
        self._log_reader = asyncio.get_running_loop().create_task(self._read_log())

    def _environment(self, configuration_path: Path) -> dict[str, str]:
        environment = {
            name: value for name, value in os.environ.items() if not name.startswith("EDGE_")
        }
        environment["EDGE_CONFIG"] = str(configuration_path)
        environment["TMPDIR"] = str(self.folder)
        if self.operator_file.exists():
            environment["EDGE_OPERATOR"] = str(self.operator_file)
        return environment

    async def _read_log(self) -> None:
        while await self._read_log_line():
            pass

    async def _read_log_line(self) -> bool:
        assert self._process is not None
        assert self._process.stderr is not None
        line = (await self._process.stderr.readline()).decode("utf-8", "replace")
        self.log.append(line)
        if not line:
            return False
        self.log_lines += 1
        if match := _LISTENING.search(line):
            address = match.group(2), int(match.group(3))
            if match.group(1) == "listens":
                self.address = address
            else:
                self.admin_address = address
        return True

    async def call(self, path: str, method: str = "GET") -> Any:
        """Call the admin API.

        Args:
            path: Path of the call.
            method: HTTP method.

        Returns:
            The JSON of the answer, or None if its status is not 2xx.

        Raises:
            OSError: The connection failed.
            TimeoutError: No answer came within ``CALL_TIMEOUT_S``.
            ValueError: The answer is not JSON.
        """
        reader, writer = await asyncio.open_connection(*self.admin_address)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: lab\r\n\r\n".encode())
            answer = await asyncio.wait_for(reader.read(), CALL_TIMEOUT_S)
        finally:
            writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        return json.loads(body) if head.startswith(b"HTTP/1.1 2") else None

    def resident_bytes(self) -> int:
        """Return the resident set size of the process in bytes; 0 once it has ended."""
        try:
            pages = int(Path(f"/proc/{self.process_id}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE")

    def count_descriptors(self) -> int:
        """Return the number of open file descriptors of the process; 0 once it has ended."""
        try:
            return len(list(Path(f"/proc/{self.process_id}/fd").iterdir()))
        except OSError:
            return 0

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self.is_running:
            # ``Process.send_signal`` polls, which would reap the child the event loop waits for.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process_id, number)

    def replace_operator_file(self, text: str) -> None:
        """Replace the operators' file and make the process reload it."""
        self.operator_file.write_text(text)
        self.send_signal(signal.SIGHUP)

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Shut the proxy down gracefully, and kill it if that exceeds the timeout.

        Args:
            timeout_s: How long a graceful shutdown may take.

        Returns:
            The exit code; None if the proxy was never started.
        """
        if self._process is None:
            return None
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()
        if self._log_reader is not None:
            await self._log_reader
        return self._process.returncode
