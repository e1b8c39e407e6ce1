"""Memory accounting of the running proxy: periodic samples, caps, and the report to operators."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.admission import DEFAULT_THRESHOLDS
from larchhaven.memory.plan import MemoryPlan
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.memory.resident_monitor import ResidentMemoryMonitor
from larchhaven.net.admin.process_memory import (
    measure_files_bytes,
    read_resident_bytes,
    trim_allocator,
)
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog

SAMPLE_INTERVAL_US = 1_000_000
# Kernel buffers are sampled more often while there are clients that do not read.
UNREAD_CHECK_INTERVAL_US = 250_000

_KERNEL_SOURCE = "sockets"
_FILES_SOURCE = "files"


class PurposeState(
    msgspec.Struct,
    rename={"cap_bytes": "cap", "used_bytes": "used", "peak_bytes": "high", "rejected": "refused"},
):
    """The memory usage of one purpose, as reported to operators."""

    cap_bytes: int
    used_bytes: int
    peak_bytes: int
    rejected: int

    @property
    def is_over_cap(self) -> bool:
        """Whether the purpose uses more than its cap."""
        return self.used_bytes > self.cap_bytes


class DescriptorState(msgspec.Struct, rename={"rejected": "refused"}):
    """The descriptors that clients and their attempts share.

    Attributes:
        cap: The maximum number of open descriptors.
        used: The number of open descriptors.
        rejected: The number of requests rejected because no descriptor was free.
    """

    cap: int
    used: int
    rejected: int


class MemoryState(
    msgspec.Struct,
    rename={
        "grant_bytes": "grant",
        "start_bytes": "start",
        "unplanned_bytes": "margin",
        "planned_bytes": "planned",
        "resident_bytes": "resident",
        "resident_peak_bytes": "resident_peak",
        "growth_bytes": "growth",
        "accounted_bytes": "accounted",
        "unaccounted_bytes": "unaccounted",
        "trim_count": "trims",
        "excess_releases": "errors",
    },
):
    """The response to ``GET /v1/memory``; ``docs/memory.md`` explains the keys."""

    grant_bytes: int
    start_bytes: int
    unplanned_bytes: int
    planned_bytes: int
    resident_bytes: int
    resident_peak_bytes: int
    growth_bytes: int
    accounted_bytes: int
    unaccounted_bytes: int
    trim_count: int
    excess_releases: int
    purposes: dict[str, PurposeState]
    descriptors: DescriptorState


class MemoryAccounting:
    """Samples the memory of the process once per second and updates the account.

    Attributes:
        account: The memory account.
        plan: The memory plan in effect.
        resident_monitor: Compares the account with the resident size.
        sampled_sources: Functions called at each sample, which return the bytes in use, by purpose
            and name of the source.
    """

    def __init__(
        self,
        loop: EventLoop,
        log: RateLimitedLog,
        account: MemoryAccount,
        plan: MemoryPlan,
        pool: BufferPool,
        directory: str,
    ) -> None:
        """Create the accounting; sampling begins with ``start``.

        Args:
            loop: The event loop.
            log: The log for operators.
            account: The account to update.
            plan: The plan that the account's caps come from.
            pool: The buffers and streams of clients.
            directory: The directory of the proxy's files; empty if there is none.
        """
        self._loop = loop
        self._log = log
        self._pool = pool
        self._directory = directory
        self.account = account
        self.plan = plan
        self.resident_monitor = ResidentMemoryMonitor(plan.grant_bytes)
        self.sampled_sources: dict[tuple[MemoryPurpose, str], Callable[[], int]] = {}

    def start(self) -> None:
        """Record the resident size at the start and begin to sample."""
        self._sample_sources()
        self.resident_monitor.start(read_resident_bytes(), self.account.resident_bytes())
        if self.plan.is_below_minimum:
            self._log.warning(
                "memory grant below minimum",
                f"grant_mb={self.plan.grant_bytes >> 20}"
                f" planned_kb={self.plan.planned_bytes >> 10}",
            )
        self._loop.call_later(SAMPLE_INTERVAL_US, self._sample_periodically)
        self._loop.call_later(UNREAD_CHECK_INTERVAL_US, self._check_unread_periodically)

    def apply_plan(self, plan: MemoryPlan) -> None:
        """Apply the caps of a new plan.

        Usage above a new cap falls as connections and requests end; only spare buffers are freed.
        """
        self.plan = plan
        self._pool.socket_buffer_bytes = plan.socket_buffer_bytes
        self.account.set_caps(plan.caps)
        if self.account.available_bytes(MemoryPurpose.BUFFERS) < 0:
            self._pool.release_spares()

    def can_write_file(self, path: Path, size_bytes: int) -> bool:
        """Return whether the cap for files leaves room to replace a file; count a rejection if not.

        The new file is written before the old one is removed, so it needs its whole size.
        """
        self._sample_files(self._directory or str(path.parent))
        if self.account.available_bytes(MemoryPurpose.FILES) >= size_bytes:
            return True
        self.account.count_rejection(MemoryPurpose.FILES)
        return False

    def state(self, descriptors: DescriptorState) -> MemoryState:
        """Take a sample and return the state of the account.

        Args:
            descriptors: The state of the descriptors, which the account does not track.
        """
        self._sample()
        monitor = self.resident_monitor
        sample = monitor.last_sample
        return MemoryState(
            grant_bytes=self.plan.grant_bytes,
            start_bytes=monitor.start_bytes,
            unplanned_bytes=self.plan.unplanned_bytes,
            planned_bytes=self.plan.planned_bytes,
            resident_bytes=sample.resident_bytes,
            resident_peak_bytes=monitor.peak_bytes,
            growth_bytes=sample.growth_bytes,
            accounted_bytes=sample.growth_bytes - sample.unaccounted_bytes,
            unaccounted_bytes=sample.unaccounted_bytes,
            trim_count=monitor.trim_count,
            excess_releases=self.account.excess_releases,
            purposes={purpose.key: self._purpose_state(purpose) for purpose in MemoryPurpose},
            descriptors=descriptors,
        )

    def _purpose_state(self, purpose: MemoryPurpose) -> PurposeState:
        usage = self.account.usage(purpose)
        return PurposeState(
            cap_bytes=usage.cap_bytes,
            used_bytes=usage.used_bytes,
            peak_bytes=usage.peak_bytes,
            rejected=usage.rejected,
        )

    # Samples

    def _sample_periodically(self) -> None:
        self._loop.call_later(SAMPLE_INTERVAL_US, self._sample_periodically)
        self._sample()

    def _sample(self) -> None:
        """Sample all sources, compare the account with the resident size and act on the advice.

        Samples taken for the admin API must act on it too: the monitor does not repeat its advice.
        """
        self._sample_sources()
        resident_bytes = read_resident_bytes()
        if not resident_bytes:
            return
        advice = self.resident_monitor.sample(
            self._loop.now_us, resident_bytes, self.account.resident_bytes()
        )
        if advice.should_trim:
            self._pool.release_spares()
            trim_allocator()
        if advice.should_warn:
            sample = self.resident_monitor.last_sample
            self._log.warning(
                "memory unaccounted",
                f"unaccounted_kb={sample.unaccounted_bytes >> 10}"
                f" resident_kb={sample.resident_bytes >> 10}",
            )

    def _sample_sources(self) -> None:
        for (purpose, source), count_bytes in self.sampled_sources.items():
            self.account.set_sampled_bytes(purpose, source, count_bytes())
        self._sample_kernel_buffers()
        if self._directory:
            self._sample_files(self._directory)

    def _sample_kernel_buffers(self) -> None:
        self.account.set_sampled_bytes(
            MemoryPurpose.KERNEL, _KERNEL_SOURCE, self._loop.kernel_bytes()
        )

    def _sample_files(self, directory: str) -> None:
        self.account.set_sampled_bytes(
            MemoryPurpose.FILES, _FILES_SOURCE, measure_files_bytes(directory)
        )

    # Clients that do not read

    def _check_unread_periodically(self) -> None:
        self._loop.call_later(UNREAD_CHECK_INTERVAL_US, self._check_unread_periodically)
        if self._pool.unread_since_us:
            self._shed_unread_streams()

    def _shed_unread_streams(self) -> None:
        """Shed clients that do not read, longest unread first, if kernel buffers are too full."""
        self._sample_kernel_buffers()
        kernel_bytes = self.account.used_bytes(MemoryPurpose.KERNEL)
        cap_bytes = self.account.cap_bytes(MemoryPurpose.KERNEL)
        limit_bytes = DEFAULT_THRESHOLDS.kernel_buffers_ratio * cap_bytes
        unread_before_us = self._loop.now_us - DEFAULT_THRESHOLDS.kernel_unread_us
        for stream, unread_since_us in list(self._pool.unread_since_us.items()):
            if kernel_bytes <= limit_bytes or unread_since_us > unread_before_us:
                return
            kernel_bytes -= stream.kernel_bytes()
            self.account.count_rejection(MemoryPurpose.KERNEL)
            stream.shed()
