"""The operators' file as the proxy reads it: in a process of its own, as the library needs much memory.

A text file is read by ``python -m larchhaven.operator.read``, which answers in JSON and ends; the loop goes
on meanwhile. A file whose name ends in ``.json`` was read beforehand (``larchhaven check --write``) and is
taken as it is: where the grant has no room for the reading process, that is the way to reload.
"""

from __future__ import annotations

import os
import signal
import socket
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec

from larchhaven.net.core.event_loop import READ, EventLoop, TimerHandle
from larchhaven.operator.settings import Complaint, Reading, Settings

# The reading process needs so much beside ours at its peak, pages that both share not counted. Measured.
READER_BYTES = 12 << 20
READ_US = 10_000_000
ANSWER_MOST = 1 << 18
FILE_MOST = 1 << 20


def _failed(why: str) -> Reading:
    return Reading(Settings(), [Complaint(0, 0, why)])


def _decode(data: bytes) -> Reading:
    try:
        return msgspec.json.decode(data, type=Reading)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _failed(f"was not read: {error}")


def _spawn(path: str) -> tuple[int, socket.socket]:
    ours, theirs = socket.socketpair()
    with theirs:
        command = [sys.executable, "-m", "larchhaven.operator.read", path]
        actions = [(os.POSIX_SPAWN_DUP2, theirs.fileno(), 1)]
        pid = os.posix_spawn(sys.executable, command, os.environ, file_actions=actions)
    return pid, ours


def read_compiled(path: str) -> Reading:
    """Read a file that was read and checked beforehand."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        return _failed(f"cannot be read: {error.strerror}")
    return _decode(data) if len(data) <= FILE_MOST else _failed("is too long")


def read_blocking(path: str) -> Reading:
    """Read the file and wait for it; for the start, before the proxy itself is loaded."""
    if path.endswith(".json"):
        return read_compiled(path)
    try:
        pid, sock = _spawn(path)
    except OSError as error:
        return _failed(f"cannot be read: {error}")
    data = b""
    with sock:
        sock.settimeout(READ_US / 1e6)
        try:
            while (part := sock.recv(65_536)) and len(data) < ANSWER_MOST:
                data += part
        except TimeoutError:
            os.kill(pid, signal.SIGKILL)
    os.waitpid(pid, 0)
    return _decode(data)


class OperatorFileReader:
    """Reads the file while the loop goes on, one reading at a time."""

    def __init__(self, loop: EventLoop, path: str, done: Callable[[Reading], None]) -> None:
        self._loop = loop
        self._path = path
        self._done = done
        self._sock: socket.socket | None = None
        self._pid = 0
        self._channel = 0
        self._data = b""
        self._limit: TimerHandle | None = None

    def read(self, room: int) -> None:
        """Begin to read; ``room`` is what the grant leaves, in bytes. A reading under way is enough."""
        if self._path.endswith(".json"):
            self._done(read_compiled(self._path))
            return
        if self._sock is not None:
            return
        if room < READER_BYTES:
            self._done(
                _failed(
                    f"was not read: reading takes {READER_BYTES >> 20} MB and {max(room, 0) >> 20} MB are"
                    " free; write it as .json with 'larchhaven check --write' and name that"
                )
            )
            return
        try:
            self._pid, self._sock = _spawn(self._path)
        except OSError as error:
            self._done(_failed(f"cannot be read: {error}"))
            return
        self._data = b""
        self._sock.setblocking(False)
        self._channel = self._loop.register(self._sock, READ, self._on_ready)
        self._limit = self._loop.call_later(READ_US, self._end)

    def _on_ready(self, _: int) -> None:
        assert self._sock is not None
        try:
            part = self._sock.recv(65_536)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            part = b""
        self._data += part
        if not part or len(self._data) > ANSWER_MOST:
            self._end()

    def _end(self) -> None:
        """Take what was read; a reader that has not ended yet is ended, so that waiting for it is short."""
        if self._sock is None:
            return
        self._loop.cancel(self._limit)
        self._loop.unregister(self._channel)
        self._sock.close()
        self._sock = None
        os.kill(self._pid, signal.SIGKILL)
        os.waitpid(self._pid, 0)
        self._done(_decode(self._data))
