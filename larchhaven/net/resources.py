"""Shared resources of a proxy: event loop, log, memory account, buffers and descriptors."""

from __future__ import annotations

import importlib
import os
import resource
from dataclasses import dataclass

from larchhaven.memory import item_costs, plan
from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.plan import MemoryPlan
from larchhaven.memory.purposes import MemoryPurpose, caps_by_purpose
from larchhaven.net.admin.memory_accounting import MemoryAccounting
from larchhaven.net.admin.process_memory import read_resident_bytes
from larchhaven.net.configuration import MachineLimits
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import MAX_REMEMBERED_EVENTS, RateLimitedLog
from larchhaven.operator.settings import Settings


@dataclass(frozen=True, slots=True)
class ProxyResources:
    """The resources that the components of a proxy share.

    Attributes:
        loop: The event loop.
        log: The rate-limited log for events that clients, servers and peers can cause.
        account: The memory account.
        accounting: Samples the memory of the process and applies memory plans.
        pool: The buffers and streams of clients and their attempts.
        admin_pool: The buffers and streams of admin API calls and of discovery.
        health_check_pool: The buffers and streams of health checks.
        directory: The directory of the proxy's files; empty if there is none.
        program_bytes: The resident size of the process after imports, before resources are built.
    """

    loop: EventLoop
    log: RateLimitedLog
    account: MemoryAccount
    accounting: MemoryAccounting
    pool: BufferPool
    admin_pool: BufferPool
    health_check_pool: BufferPool
    directory: str
    program_bytes: int


def build_resources(loop: EventLoop, limits: MachineLimits, settings: Settings) -> ProxyResources:
    """Build the shared resources of a proxy.

    Args:
        loop: The event loop.
        limits: The resources that the machine grants.
        settings: The operators' settings.

    Raises:
        MemoryPlanError: The operators' caps do not fit the memory grant.
    """
    program_bytes = measure_program_bytes(settings)
    memory_plan = plan_memory(limits, program_bytes, settings)
    account = MemoryAccount(memory_plan.caps)
    max_events = account.cap_bytes(MemoryPurpose.LOG) // item_costs.LOG_EVENT_BYTES
    log = RateLimitedLog(loop, min(MAX_REMEMBERED_EVENTS, max_events))
    pool = BufferPool(account, socket_buffer_bytes=memory_plan.socket_buffer_bytes)
    directory = os.environ.get("TMPDIR", "")
    return ProxyResources(
        loop=loop,
        log=log,
        account=account,
        accounting=MemoryAccounting(loop, log, account, memory_plan, pool, directory),
        pool=pool,
        admin_pool=BufferPool(account, MemoryPurpose.MANAGEMENT, MemoryPurpose.MANAGEMENT),
        health_check_pool=BufferPool(account, MemoryPurpose.PROBES, MemoryPurpose.PROBES),
        directory=directory,
        program_bytes=program_bytes,
    )


def measure_program_bytes(settings: Settings) -> int:
    """Return the resident size after importing all modules that the settings need."""
    if settings.membership_enabled:
        # The membership's modules count as program memory, so it is not planned for clients.
        importlib.import_module("larchhaven.net.control.membership_transport")
    return read_resident_bytes()


def grant_bytes(limits: MachineLimits) -> int:
    """Return the memory grant of the machine in bytes."""
    return int(limits.memory_mb * plan.BYTES_PER_MB)


def plan_memory(limits: MachineLimits, program_bytes: int, settings: Settings) -> MemoryPlan:
    """Divide the granted memory among its purposes.

    Raises:
        MemoryPlanError: The operators' caps do not fit the memory grant.
    """
    caps = caps_by_purpose(settings.caps)
    return plan.make_plan(grant_bytes(limits), program_bytes, limits.sockets, caps)


def raise_descriptor_limit(wanted: int) -> int:
    """Raise the process's soft limit on open descriptors, up to the hard limit.

    Args:
        wanted: The number of descriptors to allow.

    Returns:
        The number of descriptors that the process may use, at most ``wanted``.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY:
        wanted = min(wanted, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    return wanted
