"""The instances that operators have taken out, in a file that outlives the process and that two share."""

from __future__ import annotations

import errno
import fcntl
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

VERSION = 1
# A larger file is not ours; a list of instances is far shorter.
FILE_MOST = 1 << 20


class _File(msgspec.Struct):
    """The file as it is written."""

    v: int
    hosts: list[str]


class Suspensions:
    """The hosts taken out: the file is the truth, and ``changed`` hears of each change, whoever made it.

    A file that is absent, of another version or broken changes nothing. Without a folder nothing is kept.
    """

    def __init__(
        self,
        folder: str,
        changed: Callable[[str, bool], None],
        fits: Callable[[Path, int], bool] = lambda path, size: True,
    ) -> None:
        self._fits = fits
        self._path = Path(folder) / "larchhaven-suspended.json" if folder else None
        self._changed = changed
        self._hosts: set[str] = set()
        self._seen: tuple[int, int] | None = None  # what tells this state of the file from the next

    def __contains__(self, host: str) -> bool:
        """Tell whether the host is taken out."""
        return host in self._hosts

    def change(self, host: str, on: bool) -> None:
        """Save a change, then heed it; raise OSError, with nothing changed, if it cannot be saved."""
        hosts = {host}
        if self._path is None:
            self._take(self._hosts | hosts if on else self._hosts - hosts)
            return
        with self._locked(self._path):
            self.refresh()
            hosts = self._hosts | hosts if on else self._hosts - hosts
            beside = self._path.with_suffix(".new")
            data = msgspec.json.encode(_File(VERSION, sorted(hosts)))
            # A shorter list may always be written: it makes room.
            if host in hosts and on and not self._fits(self._path, len(data)):
                raise OSError(errno.ENOSPC, "the memory for files is used up")
            beside.write_bytes(data)
            beside.rename(self._path)
            self.refresh()

    def refresh(self) -> None:
        """Heed what the file says, if it is another than last time."""
        try:
            if self._path is None:
                return
            state = self._path.stat()
            seen = state.st_ino, state.st_mtime_ns
            if seen == self._seen or state.st_size > FILE_MOST:
                return
            file = msgspec.json.decode(self._path.read_bytes(), type=_File)
        except (OSError, msgspec.DecodeError, UnicodeDecodeError):
            return
        if file.v == VERSION:
            self._seen = seen
            self._take(set(file.hosts))

    def _take(self, hosts: set[str]) -> None:
        changes = hosts ^ self._hosts
        self._hosts = hosts
        for host in sorted(changes):
            self._changed(host, host in hosts)

    @contextmanager
    def _locked(self, path: Path) -> Iterator[None]:
        """Keep the other process of an upgrade from writing between our reading and our writing."""
        lock = os.open(path.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield
        finally:
            os.close(lock)
