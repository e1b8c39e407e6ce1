"""The operators' file as the proxy reads it: in a separate process, as that takes much memory.

A text file is read by ``python -m larchhaven.operator.read``, which answers in JSON and ends; the
event loop goes on meanwhile. A file whose name ends in ``.json`` was read and checked beforehand
(``larchhaven check --write``) and is taken as it is: the way to reload where the grant has no room
for the reader process.
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

# The memory of the reader process at its peak, without the pages it shares with this one. Measured.
READER_BYTES = 12 << 20
READ_TIMEOUT_US = 10_000_000
MAX_ANSWER_BYTES = 1 << 18
MAX_COMPILED_FILE_BYTES = 1 << 20

_COMPILED_SUFFIX = ".json"
_BLOCK_BYTES = 65_536
_STDOUT = 1


@dataclass(slots=True)
class _ReaderProcess:
    """A process that reads the file, and the socket that its answer comes from."""

    pid: int
    sock: socket.socket

    @classmethod
    def start(cls, path: str) -> _ReaderProcess:
        """Start to read a file.

        Raises:
            OSError: No process or no socket is to be had.
        """
        ours, theirs = socket.socketpair()
        with theirs:
            command = [sys.executable, "-m", "larchhaven.operator.read", path]
            actions = [(os.POSIX_SPAWN_DUP2, theirs.fileno(), _STDOUT)]
            pid = os.posix_spawn(sys.executable, command, os.environ, file_actions=actions)
        return cls(pid, ours)

    def wait(self) -> None:
        """Wait for its end."""
        os.waitpid(self.pid, 0)

    def kill(self) -> None:
        """End it, if it has not ended by itself."""
        os.kill(self.pid, signal.SIGKILL)


def _failed_reading(reason: str) -> Reading:
    return Reading(Settings(), [Complaint(0, 0, reason)])


def _decode(answer: bytes) -> Reading:
    try:
        return msgspec.json.decode(answer, type=Reading)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _failed_reading(f"was not read: {error}")


def read_compiled(path: str) -> Reading:
    """Return what was read and checked beforehand; a file that cannot be used is a complaint."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        return _failed_reading(f"cannot be read: {error.strerror}")
    if len(data) > MAX_COMPILED_FILE_BYTES:
        return _failed_reading("is too long")
    return _decode(data)


def read_blocking(path: str) -> Reading:
    """Read the file and wait for it: for the start, before the proxy itself is loaded."""
    if path.endswith(_COMPILED_SUFFIX):
        return read_compiled(path)
    try:
        reader = _ReaderProcess.start(path)
    except OSError as error:
        return _failed_reading(f"cannot be read: {error}")
    answer = b""
    with reader.sock as sock:
        sock.settimeout(READ_TIMEOUT_US / 1e6)
        try:
            while (block := sock.recv(_BLOCK_BYTES)) and len(answer) < MAX_ANSWER_BYTES:
                answer += block
        except TimeoutError:
            reader.kill()
    reader.wait()
    return _decode(answer)


class OperatorFileReader:
    """Reads the file while the event loop goes on, one reading at a time."""

    def __init__(self, loop: EventLoop, path: str, on_read: Callable[[Reading], None]) -> None:
        """Create the reader.

        Args:
            loop: The event loop.
            path: The file.
            on_read: Called with each reading, complaints included.
        """
        self._loop = loop
        self._path = path
        self._on_read = on_read
        self._reader: _ReaderProcess | None = None
        self._channel = 0
        self._answer = b""
        self._timeout: TimerHandle | None = None

    def read(self, available_bytes: int) -> None:
        """Begin to read, unless a reading is in flight.

        Args:
            available_bytes: What the grant leaves for the reader process.
        """
        if self._path.endswith(_COMPILED_SUFFIX):
            self._on_read(read_compiled(self._path))
            return
        if self._reader is not None:
            return
        if available_bytes < READER_BYTES:
            self._on_read(_failed_reading(_explain_lack_of_memory(available_bytes)))
            return
        try:
            reader = _ReaderProcess.start(self._path)
        except OSError as error:
            self._on_read(_failed_reading(f"cannot be read: {error}"))
            return
        reader.sock.setblocking(False)
        self._reader = reader
        self._answer = b""
        self._channel = self._loop.register(reader.sock, READ, lambda _: self._receive(reader))
        self._timeout = self._loop.call_later(READ_TIMEOUT_US, lambda: self._finish(reader))

    def _receive(self, reader: _ReaderProcess) -> None:
        try:
            block = reader.sock.recv(_BLOCK_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            block = b""
        self._answer += block
        if not block or len(self._answer) > MAX_ANSWER_BYTES:
            self._finish(reader)

    def _finish(self, reader: _ReaderProcess) -> None:
        """Decode the answer; a reader that has not ended is killed, so that the wait is short."""
        self._loop.cancel(self._timeout)
        self._loop.unregister(self._channel)
        reader.sock.close()
        self._reader = None
        reader.kill()
        reader.wait()
        self._on_read(_decode(self._answer))


def _explain_lack_of_memory(available_bytes: int) -> str:
    return (
        f"was not read: reading takes {READER_BYTES >> 20} MB and"
        f" {max(available_bytes, 0) >> 20} MB are free; write it as .json with"
        " 'larchhaven check --write' and name that"
    )
