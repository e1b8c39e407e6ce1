"""The set of servers ejected by operators, saved in a file that outlives the process.

Both processes of a hot restart use the same file, so an ejection applies to both.
"""

from __future__ import annotations

import fcntl
import logging
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

from larchhaven.errors import LarchhavenError
from larchhaven.net.core.event_loop import EventLoop

FILE_NAME = "larchhaven-suspended.json"
FILE_VERSION = 1
# A larger file is ignored: a list of servers is far shorter, so the proxy did not write it.
MAX_FILE_BYTES = 1 << 20
LOCK_FILE_MODE = 0o600
# A change made by the other process of a hot restart is applied within this time.
POLL_INTERVAL_US = 100_000

_log = logging.getLogger("larchhaven")


class EjectionNotSavedError(LarchhavenError):
    """An ejection or its removal could not be saved and was not applied.

    Attributes:
        server_id: The server to eject or reinstate.
        reason: Why the change could not be saved.
    """

    def __init__(self, server_id: str, reason: str) -> None:
        super().__init__(reason)
        self.server_id = server_id
        self.reason = reason


class _EjectionFile(msgspec.Struct):
    """The content of the file."""

    version: int = msgspec.field(name="v")
    server_ids: list[str] = msgspec.field(name="hosts")


class AdministrativeEjections:
    """The set of ejected servers, kept up to date with the file.

    A file that is missing, malformed or of another version leaves the set unchanged.

    Args:
        directory: The directory of the file; empty to keep the set in memory only.
        on_changed: Called for each server that was ejected or reinstated, by either process of a
            hot restart, with the server's id and whether it is now ejected.
        can_write_file: Returns whether a file with this path and size in bytes may be written.
    """

    def __init__(
        self,
        directory: str,
        on_changed: Callable[[str, bool], None],
        can_write_file: Callable[[Path, int], bool] = lambda _path, _size: True,
    ) -> None:
        self._can_write_file = can_write_file
        self._path = Path(directory) / FILE_NAME if directory else None
        self._on_changed = on_changed
        self._server_ids: set[str] = set()
        self._last_read: tuple[int, int] | None = None  # inode and modification time

    def __contains__(self, server_id: str) -> bool:
        """Return whether the server is ejected."""
        return server_id in self._server_ids

    def set_ejected(self, server_id: str, is_ejected: bool) -> None:
        """Eject or reinstate a server: save the change, then apply it.

        Raises:
            EjectionNotSavedError: The change cannot be saved and is not applied.
        """
        if self._path is None:
            self._apply(self._with_change(server_id, is_ejected))
            return
        try:
            with self._locked(self._path):
                self.refresh()
                self._save(self._path, server_id, is_ejected)
                self.refresh()
        except OSError as error:
            raise EjectionNotSavedError(server_id, str(error)) from error

    def start_polling(self, loop: EventLoop) -> None:
        """Refresh immediately, and then periodically."""
        self.refresh()
        loop.call_later(POLL_INTERVAL_US, lambda: self.start_polling(loop))

    def refresh(self) -> None:
        """Apply the content of the file if it has changed since it was last read."""
        try:
            if self._path is None:
                return
            state = self._path.stat()
            version = state.st_ino, state.st_mtime_ns
            if version == self._last_read or state.st_size > MAX_FILE_BYTES:
                return
            file = msgspec.json.decode(self._path.read_bytes(), type=_EjectionFile)
        except (OSError, msgspec.DecodeError, UnicodeDecodeError):
            return
        if file.version == FILE_VERSION:
            self._last_read = version
            self._apply(set(file.server_ids))

    def _with_change(self, server_id: str, is_ejected: bool) -> set[str]:
        if is_ejected:
            return self._server_ids | {server_id}
        return self._server_ids - {server_id}

    def _save(self, path: Path, server_id: str, is_ejected: bool) -> None:
        server_ids = sorted(self._with_change(server_id, is_ejected))
        data = msgspec.json.encode(_EjectionFile(FILE_VERSION, server_ids))
        # Removing an ejection is always allowed, as it makes the file smaller.
        if is_ejected and not self._can_write_file(path, len(data)):
            raise EjectionNotSavedError(
                server_id, f"the memory cap for files is used up: {len(data)} bytes do not fit"
            )
        temporary_path = path.with_suffix(".new")
        temporary_path.write_bytes(data)
        temporary_path.rename(path)

    def _apply(self, server_ids: set[str]) -> None:
        changed = server_ids ^ self._server_ids
        self._server_ids = server_ids
        for server_id in sorted(changed):
            is_ejected = server_id in server_ids
            event = "server ejected by operator" if is_ejected else "server ejection removed"
            _log.info("%s: server=%r", event, server_id)
            self._on_changed(server_id, is_ejected)

    @contextmanager
    def _locked(self, path: Path) -> Iterator[None]:
        """Hold the file lock that both processes of a hot restart take to change the file.

        Without it, a change that one process makes between the other's read and write is lost.
        """
        lock = os.open(
            path.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, LOCK_FILE_MODE
        )
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield
        finally:
            os.close(lock)
