"""Where the memory account meets the system: samples once a second, caps put to use, the account as JSON."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import msgspec

from larchhaven.memory.account import Account
from larchhaven.memory.admission import KERNEL_SHARE, KERNEL_UNREAD_US
from larchhaven.memory.plan import Plan
from larchhaven.memory.purposes import Purpose
from larchhaven.memory.reality import Reality
from larchhaven.net.core.buffer_pool import Pool
from larchhaven.net.core.event_loop import Loop
from larchhaven.net.core.rate_limited_log import Notices

SAMPLE_US = 1_000_000
# While clients do not read, the system's buffers are looked at more often.
UNREAD_LOOK_US = 250_000
_PAGE = os.sysconf("SC_PAGE_SIZE")
# Files of ours in $TMPDIR begin like this; of a folder with very many files so many are looked at.
FILES_BEGIN = "larchhaven-"
FILES_MOST = 1_000


def resident() -> int:
    """Read the resident size of this process in bytes; 0 on a system that does not tell."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * _PAGE
    except (OSError, IndexError, ValueError):
        return 0


def files_size(folder: str) -> int:
    """Sum the sizes of our files in a folder, in bytes."""
    size = 0
    try:
        with os.scandir(folder) as entries:
            for _, entry in zip(range(FILES_MOST), entries, strict=False):
                if entry.name.startswith(FILES_BEGIN):
                    size += entry.stat(follow_symlinks=False).st_size
    except OSError:
        return size  # gone meanwhile, or no such folder
    return size


def return_freed() -> None:
    """Have the C library return what was freed to the system; elsewhere than on glibc this does nothing."""
    import ctypes  # half a megabyte, which a proxy without need of it saves

    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError):
        return


class PurposeState(msgspec.Struct):
    """One purpose as operators read it, in bytes and times refused."""

    cap: int
    used: int
    high: int
    refused: int


class Descriptors(msgspec.Struct):
    """The descriptors that clients and their executions share; refusals are commands turned away for them."""

    cap: int
    used: int
    refused: int


class MemoryState(msgspec.Struct):
    """The answer to ``GET /v1/memory``, all sizes in bytes."""

    grant: int
    start: int
    margin: int
    planned: int
    resident: int
    resident_peak: int
    growth: int
    accounted: int
    unaccounted: int
    trims: int
    errors: int  # give-backs that exceeded what was taken
    purposes: dict[str, PurposeState]
    descriptors: Descriptors


class Accounting:
    """Samples the process once a second and keeps the account near the truth."""

    def __init__(
        self, loop: Loop, notices: Notices, account: Account, plan: Plan, pool: Pool, folder: str
    ) -> None:
        self._loop = loop
        self._notices = notices
        self._pool = pool
        self._folder = folder
        self.account = account
        self.plan = plan
        self.reality = Reality(plan.grant)
        # Counted whole at each sample, by purpose and name.
        self.parts: dict[tuple[Purpose, str], Callable[[], int]] = {}

    def begin(self) -> None:
        """Take the start size and sample from here on."""
        self._count()
        self.reality.begin(resident(), self.account.resident())
        if self.plan.short:
            self._notices.tell(
                "memory",
                f"{self.plan.grant >> 20} MB are too few: the least caps pass what is granted",
            )
        self._loop.after(SAMPLE_US, self._sample)
        self._loop.after(UNREAD_LOOK_US, self._look_at_unread)

    def set_plan(self, plan: Plan) -> None:
        """Put new caps to use; what is in use beyond them stays until it ends."""
        self.plan = plan
        self._pool.bound = plan.socket_bound
        self.account.set_caps(plan.caps)
        if self.account.room(Purpose.BUFFERS) < 0:
            self._pool.shrink()

    def _count(self) -> None:
        for (purpose, name), count in self.parts.items():
            self.account.set_part(purpose, name, count())
        self.account.set_part(Purpose.KERNEL, "sockets", self._loop.kernel_bytes())
        if self._folder:
            self.account.set_part(Purpose.FILES, "files", files_size(self._folder))

    def _sample(self) -> None:
        self._loop.after(SAMPLE_US, self._sample)
        self._look()

    def _look(self) -> None:
        """Count, compare with the resident size, and do what that calls for, whoever asked for the look."""
        self._count()
        size = resident()
        if not size:
            return
        advice = self.reality.look(self._loop.now, size, self.account.resident())
        if advice.trim:
            self._pool.shrink()
            return_freed()
        if advice.tell:
            last = self.reality.last
            self._notices.tell(
                "memory unaccounted",
                f"{last.unaccounted >> 10} KB of {last.resident >> 10} KB have no purpose in the account",
            )

    def _look_at_unread(self) -> None:
        """Have clients that do not read give way, the longest unread first, before too much is held."""
        self._loop.after(UNREAD_LOOK_US, self._look_at_unread)
        if not self._pool.unread:
            return
        account = self.account
        account.set_part(Purpose.KERNEL, "sockets", self._loop.kernel_bytes())
        used = account.used(Purpose.KERNEL)
        for stream, since in list(self._pool.unread.items()):
            enough = used <= KERNEL_SHARE * account.cap(Purpose.KERNEL)
            if enough or self._loop.now < since + KERNEL_UNREAD_US:
                return
            used -= stream.kernel_bytes()
            account.refuse(Purpose.KERNEL)
            stream.close_unread()

    def files_fit(self, path: Path, size: int) -> bool:
        """Tell whether a file may be written anew at this size; the old one stays beside it for a moment."""
        account = self.account
        account.set_part(Purpose.FILES, "files", files_size(self._folder or str(path.parent)))
        if account.room(Purpose.FILES) >= size:
            return True
        account.refuse(Purpose.FILES)
        return False

    def state(self, descriptors: Descriptors) -> MemoryState:
        """Return the account as it stands, counted just now; the resident size is read just now too."""
        self._look()
        last = self.reality.last
        return MemoryState(
            grant=self.plan.grant,
            start=self.reality.start,
            margin=self.plan.margin,
            planned=self.plan.planned,
            resident=last.resident,
            resident_peak=self.reality.peak,
            growth=last.growth,
            accounted=last.growth - last.unaccounted,
            unaccounted=last.unaccounted,
            trims=self.reality.trims,
            errors=self.account.over,
            purposes=self._purposes(),
            descriptors=descriptors,
        )

    def _purposes(self) -> dict[str, PurposeState]:
        lines = {purpose.key: self.account.line(purpose) for purpose in Purpose}
        return {key: PurposeState(x.cap, x.used, x.high, x.refused) for key, x in lines.items()}
