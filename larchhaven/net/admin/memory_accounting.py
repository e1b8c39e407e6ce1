"""Where the memory account meets the system: samples once a second, caps put to use, the account as JSON."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import msgspec

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.admission import KERNEL_SHARE, KERNEL_UNREAD_US
from larchhaven.memory.plan import MemoryPlan
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.memory.resident_monitor import ResidentMemoryMonitor
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog

SAMPLE_US = 1_000_000
# While clients do not read, the system's buffers are looked at more often.
UNREAD_LOOK_US = 250_000
_PAGE = os.sysconf("SC_PAGE_SIZE")
# Files of ours in $TMPDIR begin like this; of a folder with very many files so many are looked at.
FILES_BEGIN = "larchhaven-"
FILES_MOST = 1_000


def read_resident_bytes() -> int:
    """Read the resident size of this process in bytes; 0 on a system that does not tell."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * _PAGE
    except (OSError, IndexError, ValueError):
        return 0


def measure_files_bytes(folder: str) -> int:
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


def trim_allocator() -> None:
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


class DescriptorState(msgspec.Struct):
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
    descriptors: DescriptorState


class MemoryAccounting:
    """Samples the process once a second and keeps the account near the truth."""

    def __init__(
        self,
        loop: EventLoop,
        notices: RateLimitedLog,
        account: MemoryAccount,
        plan: MemoryPlan,
        pool: BufferPool,
        folder: str,
    ) -> None:
        self._loop = loop
        self._notices = notices
        self._pool = pool
        self._folder = folder
        self.account = account
        self.plan = plan
        self.resident_monitor = ResidentMemoryMonitor(plan.grant_bytes)
        # Counted whole at each sample, by purpose and name.
        self.sampled_sources: dict[tuple[MemoryPurpose, str], Callable[[], int]] = {}

    def start(self) -> None:
        """Take the start size and sample from here on."""
        self._count()
        self.resident_monitor.start(read_resident_bytes(), self.account.resident_bytes())
        if self.plan.is_below_minimum:
            self._notices.warning(
                "memory",
                f"{self.plan.grant_bytes >> 20} MB are too few: the least caps pass what is granted",
            )
        self._loop.call_later(SAMPLE_US, self._sample)
        self._loop.call_later(UNREAD_LOOK_US, self._look_at_unread)

    def apply_plan(self, plan: MemoryPlan) -> None:
        """Put new caps to use; what is in use beyond them stays until it ends."""
        self.plan = plan
        self._pool.socket_buffer_bytes = plan.socket_buffer_bytes
        self.account.set_caps(plan.caps)
        if self.account.available_bytes(MemoryPurpose.BUFFERS) < 0:
            self._pool.release_spares()

    def _count(self) -> None:
        for (purpose, name), count in self.sampled_sources.items():
            self.account.set_sampled_bytes(purpose, name, count())
        self.account.set_sampled_bytes(MemoryPurpose.KERNEL, "sockets", self._loop.kernel_bytes())
        if self._folder:
            self.account.set_sampled_bytes(
                MemoryPurpose.FILES, "files", measure_files_bytes(self._folder)
            )

    def _sample(self) -> None:
        self._loop.call_later(SAMPLE_US, self._sample)
        self._look()

    def _look(self) -> None:
        """Count, compare with the resident size, and do what that calls for, whoever asked for the look."""
        self._count()
        size = read_resident_bytes()
        if not size:
            return
        advice = self.resident_monitor.sample(
            self._loop.now_us, size, self.account.resident_bytes()
        )
        if advice.should_trim:
            self._pool.release_spares()
            trim_allocator()
        if advice.should_warn:
            last = self.resident_monitor.last_sample
            self._notices.warning(
                "memory unaccounted",
                f"{last.unaccounted_bytes >> 10} KB of {last.resident_bytes >> 10} KB"
                " have no purpose in the account",
            )

    def _look_at_unread(self) -> None:
        """Have clients that do not read give way, the longest unread first, before too much is held."""
        self._loop.call_later(UNREAD_LOOK_US, self._look_at_unread)
        if not self._pool.unread_since_us:
            return
        account = self.account
        account.set_sampled_bytes(MemoryPurpose.KERNEL, "sockets", self._loop.kernel_bytes())
        used = account.used_bytes(MemoryPurpose.KERNEL)
        for stream, since in list(self._pool.unread_since_us.items()):
            enough = used <= KERNEL_SHARE * account.cap_bytes(MemoryPurpose.KERNEL)
            if enough or self._loop.now_us < since + KERNEL_UNREAD_US:
                return
            used -= stream.kernel_bytes()
            account.count_rejection(MemoryPurpose.KERNEL)
            stream.shed()

    def can_write_file(self, path: Path, size: int) -> bool:
        """Tell whether a file may be written anew at this size; the old one stays beside it for a moment."""
        account = self.account
        account.set_sampled_bytes(
            MemoryPurpose.FILES, "files", measure_files_bytes(self._folder or str(path.parent))
        )
        if account.available_bytes(MemoryPurpose.FILES) >= size:
            return True
        account.count_rejection(MemoryPurpose.FILES)
        return False

    def state(self, descriptors: DescriptorState) -> MemoryState:
        """Return the account as it stands, counted just now; the resident size is read just now too."""
        self._look()
        last = self.resident_monitor.last_sample
        return MemoryState(
            grant=self.plan.grant_bytes,
            start=self.resident_monitor.start_bytes,
            margin=self.plan.unplanned_bytes,
            planned=self.plan.planned_bytes,
            resident=last.resident_bytes,
            resident_peak=self.resident_monitor.peak_bytes,
            growth=last.growth_bytes,
            accounted=last.growth_bytes - last.unaccounted_bytes,
            unaccounted=last.unaccounted_bytes,
            trims=self.resident_monitor.trim_count,
            errors=self.account.excess_releases,
            purposes=self._purposes(),
            descriptors=descriptors,
        )

    def _purposes(self) -> dict[str, PurposeState]:
        lines = {purpose.key: self.account.usage(purpose) for purpose in MemoryPurpose}
        return {
            key: PurposeState(x.cap_bytes, x.used_bytes, x.peak_bytes, x.rejected)
            for key, x in lines.items()
        }
