"""What the parts of a proxy share: event loop, log, memory account, buffers and descriptors."""

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
    """What the parts of a proxy share.

    Attributes:
        loop: The event loop.
        log: The log of what outside parties bring about.
        account: The memory account.
        accounting: Samples the process and puts caps to use.
        pool: The buffers and streams of clients and their attempts.
        admin_pool: Those of operators' calls and of discovery.
        health_check_pool: Those of health checks.
        directory: Where files are kept; empty if they are not.
        program_bytes: The resident size of the program before anything was made.
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
    """Build what the parts of a proxy share.

    Args:
        loop: The event loop.
        limits: What the machine grants.
        settings: The operators' settings.

    Raises:
        MemoryPlanError: If the operators' caps do not fit the grant.
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
    """Return the resident size of the program, with all that these settings need loaded."""
    if settings.membership_enabled:
        # What is loaded for the membership is part of the program, not for clients to use.
        importlib.import_module("larchhaven.net.control.membership_transport")
    return read_resident_bytes()


def grant_bytes(limits: MachineLimits) -> int:
    """Return the memory that the machine grants, in bytes."""
    return int(limits.memory_mb * plan.BYTES_PER_MB)


def plan_memory(limits: MachineLimits, program_bytes: int, settings: Settings) -> MemoryPlan:
    """Divide the granted memory among its purposes.

    Raises:
        MemoryPlanError: If the operators' caps do not fit the grant.
    """
    caps = caps_by_purpose(settings.caps)
    return plan.make_plan(grant_bytes(limits), program_bytes, limits.sockets, caps)


def raise_descriptor_limit(wanted: int) -> int:
    """Raise the system's limit of descriptors as far as it lets us.

    Returns:
        How many of the wanted descriptors there may be.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY:
        wanted = min(wanted, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    return wanted
