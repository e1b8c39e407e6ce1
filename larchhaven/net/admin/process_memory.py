"""What the operating system says of this process: its resident size and the size of its files."""

from __future__ import annotations

import os
from pathlib import Path

# The proxy's files in $TMPDIR begin like this.
FILE_PREFIX = "larchhaven-"
# Of a folder with very many files only so many are measured.
MAX_FILES_MEASURED = 1_000

_STATM = Path("/proc/self/statm")
_STATM_RESIDENT_PAGES = 1
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_resident_bytes() -> int:
    """Return the resident size of this process; 0 on a system that does not report it."""
    try:
        return int(_STATM.read_bytes().split()[_STATM_RESIDENT_PAGES]) * _PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


def measure_files_bytes(folder: str) -> int:
    """Return the sum of the sizes of the proxy's files in a folder."""
    size_bytes = 0
    try:
        with os.scandir(folder) as entries:
            for _, entry in zip(range(MAX_FILES_MEASURED), entries, strict=False):
                if entry.name.startswith(FILE_PREFIX):
                    size_bytes += entry.stat(follow_symlinks=False).st_size
    except OSError:
        return size_bytes  # a file or the folder has gone meanwhile
    return size_bytes


def trim_allocator() -> None:
    """Have glibc return freed memory to the system; with another C library this does nothing."""
    import ctypes  # half a megabyte, which a proxy that never needs it saves

    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError):
        return
