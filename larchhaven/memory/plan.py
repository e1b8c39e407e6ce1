"""The memory plan: the grant, less what the program itself needs, divided into caps by purpose."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from larchhaven.errors import LarchhavenError
from larchhaven.memory.item_costs import BUFFER_BYTES, BUFFER_OVERHEAD_BYTES, STREAM_BYTES
from larchhaven.memory.purposes import MemoryPurpose

BYTES_PER_MB = 1 << 20
# Stays unplanned: what the allocator wastes, and what no purpose covers.
UNPLANNED_RATIO = 0.12
# Shares of what is planned, where operators set no cap.
CAP_RATIOS: dict[MemoryPurpose, float] = {
    MemoryPurpose.CONNECTIONS: 0.26,
    MemoryPurpose.TABLES: 0.21,
    MemoryPurpose.BUFFERS: 0.18,
    MemoryPurpose.PROBES: 0.04,
    MemoryPurpose.PEERS: 0.04,
    MemoryPurpose.MANAGEMENT: 0.09,
    MemoryPurpose.LOG: 0.01,
    MemoryPurpose.FILES: 0.03,
    MemoryPurpose.KERNEL: 0.14,
}
# With less a purpose cannot do its work at all: 64 connections, one endpoint list, one hot restart.
MIN_CAP_BYTES: dict[MemoryPurpose, int] = {
    MemoryPurpose.CONNECTIONS: 64 * STREAM_BYTES,
    MemoryPurpose.TABLES: 512 << 10,
    MemoryPurpose.BUFFERS: 64 * (BUFFER_BYTES + BUFFER_OVERHEAD_BYTES),
    MemoryPurpose.PROBES: 96 << 10,
    MemoryPurpose.PEERS: 64 << 10,
    MemoryPurpose.MANAGEMENT: 600 << 10,
    MemoryPurpose.LOG: 16 << 10,
    MemoryPurpose.FILES: 32 << 10,
    MemoryPurpose.KERNEL: 256 << 10,
}
# Beyond this a purpose has no use for more; the other purposes get it.
MAX_CAP_BYTES: dict[MemoryPurpose, int] = {
    MemoryPurpose.LOG: 64 << 10,
    MemoryPurpose.FILES: 4 * BYTES_PER_MB,
    MemoryPurpose.PEERS: 8 * BYTES_PER_MB,
    MemoryPurpose.PROBES: 16 * BYTES_PER_MB,
    MemoryPurpose.MANAGEMENT: 12 * BYTES_PER_MB,
}
# Bounds of what the kernel may buffer for one socket one way.
MIN_SOCKET_BUFFER_BYTES = 8 << 10
MAX_SOCKET_BUFFER_BYTES = 256 << 10
# All sockets together could buffer so many times the cap: most are empty, and full ones are shed.
KERNEL_OVERCOMMIT_RATIO = 4


class MemoryPlanError(LarchhavenError):
    """Base class of errors in the caps that operators ask for; the text is one plain sentence."""


class CapTooSmallError(MemoryPlanError):
    """A cap is below the least that its purpose needs.

    Attributes:
        purpose: The purpose of the cap.
        cap_bytes: The cap that was asked for.
        min_bytes: The least that the purpose needs.
    """

    def __init__(self, purpose: MemoryPurpose, cap_bytes: int, min_bytes: int) -> None:
        self.purpose = purpose
        self.cap_bytes = cap_bytes
        self.min_bytes = min_bytes
        super().__init__(
            f"{purpose.key} has {_format_mb(cap_bytes)} MB,"
            f" and needs at least {_format_mb(min_bytes)} MB to work"
        )


class CapsExceedGrantError(MemoryPlanError):
    """The caps, with the least that the other purposes need, do not fit into the grant.

    Attributes:
        required_bytes: The sum of the caps and of the least that the others need.
        grant_bytes: The memory that the platform grants.
        program_bytes: The part of it that the program itself takes.
        unplanned_bytes: The part of it that stays unplanned.
    """

    def __init__(
        self, required_bytes: int, grant_bytes: int, program_bytes: int, unplanned_bytes: int
    ) -> None:
        self.required_bytes = required_bytes
        self.grant_bytes = grant_bytes
        self.program_bytes = program_bytes
        self.unplanned_bytes = unplanned_bytes
        available_bytes = max(grant_bytes - program_bytes - unplanned_bytes, 0)
        super().__init__(
            f"the caps need {_format_mb(required_bytes)} MB; of the {_format_mb(grant_bytes)} MB"
            f" granted {_format_mb(program_bytes)} MB go to the program itself and"
            f" {_format_mb(unplanned_bytes)} MB stay unplanned, which leaves"
            f" {_format_mb(available_bytes)} MB"
        )


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """The caps for a grant.

    Attributes:
        grant_bytes: The memory that the platform grants.
        program_bytes: The part of it that the program itself takes.
        unplanned_bytes: The part of it that stays unplanned.
        caps: The cap of each purpose, in bytes.
        socket_buffer_bytes: The size for SO_SNDBUF and SO_RCVBUF.
        is_below_minimum: Whether the grant is too small for the least that each purpose needs; the
            caps exceed it then.
    """

    grant_bytes: int
    program_bytes: int
    unplanned_bytes: int
    caps: Mapping[MemoryPurpose, int]
    socket_buffer_bytes: int
    is_below_minimum: bool

    @property
    def planned_bytes(self) -> int:
        """The sum of the caps."""
        return sum(self.caps.values())


def make_plan(
    grant_bytes: int,
    program_bytes: int,
    max_sockets: int,
    operator_caps: Mapping[MemoryPurpose, int] | None = None,
) -> MemoryPlan:
    """Divide a grant into caps.

    Without operators' caps a grant that is too small gives the least caps: a proxy that serves few
    is better than none.

    Args:
        grant_bytes: The memory that the platform grants.
        program_bytes: The resident size of the program before it serves.
        max_sockets: The sockets that the platform grants.
        operator_caps: Caps that operators ask for, in bytes; the other purposes share the rest.

    Raises:
        CapTooSmallError: A cap of the operators is below the least that its purpose needs.
        CapsExceedGrantError: Their caps and the least that the others need exceed the grant.
    """
    requested = dict(operator_caps or {})
    _check_minimums(requested)
    headroom_bytes = grant_bytes - program_bytes
    unplanned_bytes = int(max(headroom_bytes, 0) * UNPLANNED_RATIO)
    available_bytes = headroom_bytes - unplanned_bytes
    required_bytes = sum(requested.get(p, MIN_CAP_BYTES[p]) for p in MemoryPurpose)
    if required_bytes > available_bytes and requested:
        raise CapsExceedGrantError(required_bytes, grant_bytes, program_bytes, unplanned_bytes)
    caps = _divide(available_bytes, requested)
    return MemoryPlan(
        grant_bytes=grant_bytes,
        program_bytes=program_bytes,
        unplanned_bytes=unplanned_bytes,
        caps=caps,
        socket_buffer_bytes=_choose_socket_buffer_bytes(caps[MemoryPurpose.KERNEL], max_sockets),
        is_below_minimum=sum(caps.values()) > max(available_bytes, 0),
    )


def _check_minimums(requested: Mapping[MemoryPurpose, int]) -> None:
    """Raise CapTooSmallError for a cap below the least that its purpose needs."""
    for purpose, cap_bytes in requested.items():
        if cap_bytes < MIN_CAP_BYTES[purpose]:
            raise CapTooSmallError(purpose, cap_bytes, MIN_CAP_BYTES[purpose])


def _divide(
    available_bytes: int, requested: Mapping[MemoryPurpose, int]
) -> dict[MemoryPurpose, int]:
    """Return the caps: those requested, and for each other purpose its share of the rest.

    Purposes whose share is below their least or above their most are settled first, so that the
    others share what is then left.
    """
    caps = dict(requested)
    open_purposes = [purpose for purpose in MemoryPurpose if purpose not in requested]
    left_bytes = available_bytes - sum(requested.values())
    while open_purposes:
        shares = _share_out(left_bytes, open_purposes)
        settled = {p: MIN_CAP_BYTES[p] for p in open_purposes if shares[p] < MIN_CAP_BYTES[p]}
        if not settled:
            settled = {
                p: MAX_CAP_BYTES[p]
                for p in open_purposes
                if p in MAX_CAP_BYTES and shares[p] > MAX_CAP_BYTES[p]
            }
        if not settled:
            caps |= shares
            break
        caps |= settled
        left_bytes -= sum(settled.values())
        open_purposes = [purpose for purpose in open_purposes if purpose not in settled]
    return {purpose: caps[purpose] for purpose in MemoryPurpose}


def _share_out(left_bytes: int, purposes: list[MemoryPurpose]) -> dict[MemoryPurpose, int]:
    """Divide bytes among purposes in proportion to ``CAP_RATIOS``."""
    total_ratio = sum(CAP_RATIOS[purpose] for purpose in purposes)
    return {
        purpose: int(max(left_bytes, 0) * CAP_RATIOS[purpose] / total_ratio) for purpose in purposes
    }


def _choose_socket_buffer_bytes(kernel_cap_bytes: int, max_sockets: int) -> int:
    """Return the size for SO_SNDBUF and SO_RCVBUF under a cap of kernel buffers."""
    share_bytes = kernel_cap_bytes * KERNEL_OVERCOMMIT_RATIO // max(max_sockets, 1)
    return min(max(share_bytes, MIN_SOCKET_BUFFER_BYTES), MAX_SOCKET_BUFFER_BYTES)


def _format_mb(size_bytes: int) -> str:
    return f"{size_bytes / BYTES_PER_MB:.2f}".rstrip("0").rstrip(".")
