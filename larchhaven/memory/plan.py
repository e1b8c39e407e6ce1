"""The memory plan: divides the grant, minus the program's own size, into caps by purpose."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from larchhaven.errors import LarchhavenError
from larchhaven.memory.item_costs import BUFFER_BYTES, BUFFER_OVERHEAD_BYTES, STREAM_BYTES
from larchhaven.memory.purposes import MemoryPurpose

BYTES_PER_MB = 1 << 20
# Fraction of the headroom left unplanned for allocator overhead and for usage without a purpose.
UNPLANNED_RATIO = 0.12
# Fractions of the planned memory for purposes whose cap operators do not set.
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
# The minimum that a purpose needs to work: 64 connections, one endpoint list, one hot restart.
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
# A purpose cannot use more than this; the surplus goes to the other purposes.
MAX_CAP_BYTES: dict[MemoryPurpose, int] = {
    MemoryPurpose.LOG: 64 << 10,
    MemoryPurpose.FILES: 4 * BYTES_PER_MB,
    MemoryPurpose.PEERS: 8 * BYTES_PER_MB,
    MemoryPurpose.PROBES: 16 * BYTES_PER_MB,
    MemoryPurpose.MANAGEMENT: 12 * BYTES_PER_MB,
}
# Bounds of the kernel buffer of one socket in one direction.
MIN_SOCKET_BUFFER_BYTES = 8 << 10
MAX_SOCKET_BUFFER_BYTES = 256 << 10
# The kernel buffers of all sockets may together exceed the cap by this factor: most are empty, and
# clients whose buffers stay full are shed.
KERNEL_OVERCOMMIT_RATIO = 4


class MemoryPlanError(LarchhavenError):
    """Base class of errors in the operators' caps; the message is one sentence for operators."""


class CapTooSmallError(MemoryPlanError):
    """A cap is below the minimum of its purpose.

    Attributes:
        purpose: The purpose of the cap.
        cap_bytes: The requested cap.
        min_bytes: The minimum cap of the purpose.
    """

    def __init__(self, purpose: MemoryPurpose, cap_bytes: int, min_bytes: int) -> None:
        self.purpose = purpose
        self.cap_bytes = cap_bytes
        self.min_bytes = min_bytes
        super().__init__(
            f"the cap of {purpose.key} is {_format_mb(cap_bytes)} MB,"
            f" but {purpose.key} needs at least {_format_mb(min_bytes)} MB"
        )


class CapsExceedGrantError(MemoryPlanError):
    """The requested caps and the minimums of the other purposes together exceed the grant.

    Attributes:
        required_bytes: The sum of the requested caps and of the minimums of the other purposes.
        grant_bytes: The memory that the platform grants.
        program_bytes: The share of the grant that the program itself uses.
        unplanned_bytes: The share of the grant that stays unplanned.
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
            f" granted, the program itself uses {_format_mb(program_bytes)} MB and"
            f" {_format_mb(unplanned_bytes)} MB stay unplanned, which leaves"
            f" {_format_mb(available_bytes)} MB for the caps"
        )


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """The division of a grant into caps.

    Attributes:
        grant_bytes: The memory that the platform grants.
        program_bytes: The share of the grant that the program itself uses.
        unplanned_bytes: The share of the grant that stays unplanned.
        caps: The cap of each purpose, in bytes.
        socket_buffer_bytes: The size for SO_SNDBUF and SO_RCVBUF.
        is_below_minimum: Whether the grant is too small for the minimums of all purposes. The caps
            then exceed the grant.
    """

    grant_bytes: int
    program_bytes: int
    unplanned_bytes: int
    caps: Mapping[MemoryPurpose, int]
    socket_buffer_bytes: int
    is_below_minimum: bool

    @property
    def planned_bytes(self) -> int:
        """The sum of the caps, in bytes."""
        return sum(self.caps.values())


def make_plan(
    grant_bytes: int,
    program_bytes: int,
    max_sockets: int,
    operator_caps: Mapping[MemoryPurpose, int] | None = None,
) -> MemoryPlan:
    """Divide a grant into caps.

    A grant that is too small results in the minimum caps if operators set no caps: a proxy that
    serves few connections is better than none.

    Args:
        grant_bytes: The memory that the platform grants.
        program_bytes: The resident size of the program before it serves.
        max_sockets: The number of sockets that the platform grants.
        operator_caps: The caps set by operators, in bytes; the other purposes share the rest.

    Raises:
        CapTooSmallError: An operator's cap is below the minimum of its purpose.
        CapsExceedGrantError: The operators' caps and the minimums of the other purposes together
            exceed the grant.
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
    """Raise ``CapTooSmallError`` if a cap is below the minimum of its purpose."""
    for purpose, cap_bytes in requested.items():
        if cap_bytes < MIN_CAP_BYTES[purpose]:
            raise CapTooSmallError(purpose, cap_bytes, MIN_CAP_BYTES[purpose])


def _divide(
    available_bytes: int, requested: Mapping[MemoryPurpose, int]
) -> dict[MemoryPurpose, int]:
    """Return the requested caps, and for each other purpose a cap from the rest.

    A purpose whose proportional share is outside its bounds first gets its minimum or maximum. The
    purposes without a cap then share the remaining bytes.
    """
    caps = dict(requested)
    uncapped = [purpose for purpose in MemoryPurpose if purpose not in requested]
    remaining_bytes = available_bytes - sum(requested.values())
    while uncapped:
        shares = _divide_proportionally(remaining_bytes, uncapped)
        bounded = {p: MIN_CAP_BYTES[p] for p in uncapped if shares[p] < MIN_CAP_BYTES[p]}
        if not bounded:
            bounded = {
                p: MAX_CAP_BYTES[p]
                for p in uncapped
                if p in MAX_CAP_BYTES and shares[p] > MAX_CAP_BYTES[p]
            }
        if not bounded:
            caps |= shares
            break
        caps |= bounded
        remaining_bytes -= sum(bounded.values())
        uncapped = [purpose for purpose in uncapped if purpose not in bounded]
    return {purpose: caps[purpose] for purpose in MemoryPurpose}


def _divide_proportionally(
    available_bytes: int, purposes: list[MemoryPurpose]
) -> dict[MemoryPurpose, int]:
    """Divide bytes among purposes in proportion to ``CAP_RATIOS``."""
    total_ratio = sum(CAP_RATIOS[purpose] for purpose in purposes)
    return {
        purpose: int(max(available_bytes, 0) * CAP_RATIOS[purpose] / total_ratio)
        for purpose in purposes
    }


def _choose_socket_buffer_bytes(kernel_cap_bytes: int, max_sockets: int) -> int:
    """Return the size for SO_SNDBUF and SO_RCVBUF, given the cap of kernel buffers."""
    share_bytes = kernel_cap_bytes * KERNEL_OVERCOMMIT_RATIO // max(max_sockets, 1)
    return min(max(share_bytes, MIN_SOCKET_BUFFER_BYTES), MAX_SOCKET_BUFFER_BYTES)


def _format_mb(size_bytes: int) -> str:
    return f"{size_bytes / BYTES_PER_MB:.2f}".rstrip("0").rstrip(".")
