"""Reads the operators' file for the proxy, in a separate process as parsing takes much memory.

A text file is parsed by ``python -m larchhaven.operator.read``, which prints the result as JSON and
exits; the event loop keeps running meanwhile. A file whose name ends in ``.json`` was parsed and
checked beforehand by ``larchhaven check --write`` and is only decoded. Such a file can be reloaded
even if the memory grant has no room for the reader process.
"""

from __future__ import annotations

import os
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from larchhaven.net.core.event_loop import READ, EventLoop, TimerHandle
from larchhaven.operator.settings import Complaint, Reading, Settings

# Peak memory of the reader process, without the pages that it shares with the proxy.
READER_BYTES = 12 << 20
READ_TIMEOUT_US = 10_000_000
MAX_OUTPUT_BYTES = 1 << 18
MAX_COMPILED_FILE_BYTES = 1 << 20

_COMPILED_SUFFIX = ".json"
_BLOCK_BYTES = 65_536
_STDOUT = 1


@dataclass(slots=True)
class _ReaderProcess:
    """A process that parses the file, and the socket that receives its output."""

    pid: int
    sock: socket.socket

    @classmethod
    def start(cls, path: str) -> _ReaderProcess:
        """Start a process that parses a file.

        Raises:
            OSError: The process or its socket pair cannot be created.
        """
        output_sock, child_sock = socket.socketpair()
        with child_sock:
            command = [sys.executable, "-m", "larchhaven.operator.read", path]
            actions = [(os.POSIX_SPAWN_DUP2, child_sock.fileno(), _STDOUT)]
            pid = os.posix_spawn(sys.executable, command, os.environ, file_actions=actions)
        return cls(pid, output_sock)

    def wait(self) -> None:
        """Wait for the process to exit and reap it."""
        os.waitpid(self.pid, 0)

    def kill(self) -> None:
        """Kill the process; does nothing if it has already exited."""
        os.kill(self.pid, signal.SIGKILL)


def _failed_reading(reason: str) -> Reading:
    return Reading(Settings(), [Complaint(0, 0, reason)])


def _decode(data: bytes) -> Reading:
    try:
        return msgspec.json.decode(data, type=Reading)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _failed_reading(f"could not be read: {error}")


def read_compiled(path: str) -> Reading:
    """Decode a ``.json`` file; if that fails, the returned reading has a complaint."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        return _failed_reading(f"cannot be read: {error.strerror}")
    if len(data) > MAX_COMPILED_FILE_BYTES:
        return _failed_reading(f"is too long: {len(data)} bytes, at most {MAX_COMPILED_FILE_BYTES}")
    return _decode(data)


def read_blocking(path: str) -> Reading:
    """Read the file and wait for the result; used at the start, before the proxy is imported."""
    if path.endswith(_COMPILED_SUFFIX):
        return read_compiled(path)
    try:
        reader = _ReaderProcess.start(path)
    except OSError as error:
        return _failed_reading(f"cannot be read: {error}")
    output = b""
    with reader.sock as sock:
        sock.settimeout(READ_TIMEOUT_US / 1e6)
        try:
            while (block := sock.recv(_BLOCK_BYTES)) and len(output) < MAX_OUTPUT_BYTES:
                output += block
        except TimeoutError:
            reader.kill()
    reader.wait()
    return _decode(output)


class OperatorFileReader:
    """Reads the file without blocking the event loop, one read at a time."""

    def __init__(self, loop: EventLoop, path: str, on_read: Callable[[Reading], None]) -> None:
        """Create the reader.

        Args:
            loop: The event loop.
            path: The path of the file.
            on_read: Called with the result of each read, including a failed one.
        """
        self._loop = loop
        self._path = path
        self._on_read = on_read
        self._reader: _ReaderProcess | None = None
        self._channel = 0
        self._output = b""
        self._timeout: TimerHandle | None = None

    def read(self, available_bytes: int) -> None:
        """Start to read, unless a read is already in progress.

        Args:
            available_bytes: The share of the memory grant that is free for the reader process.
        """
        if self._path.endswith(_COMPILED_SUFFIX):
            self._on_read(read_compiled(self._path))
            return
        if self._reader is not None:
            return
        if available_bytes < READER_BYTES:
            self._on_read(_failed_reading(_describe_memory_shortage(available_bytes)))
            return
        try:
            reader = _ReaderProcess.start(self._path)
        except OSError as error:
            self._on_read(_failed_reading(f"cannot be read: {error}"))
            return
        reader.sock.setblocking(False)
        self._reader = reader
        self._output = b""
        self._channel = self._loop.register(reader.sock, READ, lambda _: self._receive(reader))
        self._timeout = self._loop.call_later(READ_TIMEOUT_US, lambda: self._finish(reader))

    def _receive(self, reader: _ReaderProcess) -> None:
        try:
            block = reader.sock.recv(_BLOCK_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            block = b""
        self._output += block
        if not block or len(self._output) > MAX_OUTPUT_BYTES:
            self._finish(reader)

    def _finish(self, reader: _ReaderProcess) -> None:
        """Kill the reader process to keep the wait for it short, and report its output."""
        self._loop.cancel(self._timeout)
        self._loop.unregister(self._channel)
        reader.sock.close()
        self._reader = None
        reader.kill()
        reader.wait()
        self._on_read(_decode(self._output))


def _describe_memory_shortage(available_bytes: int) -> str:
    return (
        f"was not read: the reader process needs {READER_BYTES >> 20} MB, but the memory grant has"
        f" {max(available_bytes, 0) >> 20} MB free; to reload the file, convert it to .json with"
        " 'larchhaven check --write' and use that instead"
    )
