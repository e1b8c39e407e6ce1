"""Memory of this process: its resident size, the size of its files, and the allocator."""

from __future__ import annotations

import os
from pathlib import Path

# Name prefix of the proxy's files in $TMPDIR.
FILE_PREFIX = "larchhaven-"
# Bounds the time spent on a directory with very many files.
MAX_FILES_MEASURED = 1_000

_STATM = Path("/proc/self/statm")
_STATM_RESIDENT_PAGES = 1
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_resident_bytes() -> int:
    """Return the resident size of this process, or 0 if the system does not report it."""
    try:
        return int(_STATM.read_bytes().split()[_STATM_RESIDENT_PAGES]) * _PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


def measure_files_bytes(directory: str) -> int:
    """Return the total size of the proxy's files in a directory."""
    size_bytes = 0
    try:
        with os.scandir(directory) as entries:
            for _, entry in zip(range(MAX_FILES_MEASURED), entries, strict=False):
                if entry.name.startswith(FILE_PREFIX):
                    size_bytes += entry.stat(follow_symlinks=False).st_size
    except OSError:
        return size_bytes  # a file or the directory was removed meanwhile
    return size_bytes


def trim_allocator() -> None:
    """Make glibc return freed memory to the system; does nothing with another C library."""
    import ctypes  # takes 0.5 MB, so it is loaded only when it is needed

    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError):
        return
