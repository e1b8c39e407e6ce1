"""The plan of caps: what is granted, less what the program needs to start, divided by purpose."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from larchhaven.memory.item_costs import BUFFER_OVERHEAD_BYTES, STREAM_BYTES
from larchhaven.memory.purposes import MemoryPurpose

BYTES_PER_MB = 1 << 20
# What the allocator wastes, and what no purpose covers: this part of the room stays unplanned.
UNPLANNED_RATIO = 0.12
# The room by purpose, where operators set nothing.
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
# With less than this a purpose cannot do its work at all: 24 callers, one list, one upgrade, and so on.
MIN_CAP_BYTES: dict[MemoryPurpose, int] = {
    MemoryPurpose.CONNECTIONS: 64 * STREAM_BYTES,
    MemoryPurpose.TABLES: 512 << 10,
    MemoryPurpose.BUFFERS: 64 * (8192 + BUFFER_OVERHEAD_BYTES),
    MemoryPurpose.PROBES: 96 << 10,
    MemoryPurpose.PEERS: 64 << 10,
    MemoryPurpose.MANAGEMENT: 600 << 10,
    MemoryPurpose.LOG: 16 << 10,
    MemoryPurpose.FILES: 32 << 10,
    MemoryPurpose.KERNEL: 256 << 10,
}
# Beyond this a purpose has no use for more, and others get it.
MAX_CAP_BYTES: dict[MemoryPurpose, int] = {
    MemoryPurpose.LOG: 64 << 10,
    MemoryPurpose.FILES: 4 * BYTES_PER_MB,
    MemoryPurpose.PEERS: 8 * BYTES_PER_MB,
    MemoryPurpose.PROBES: 16 * BYTES_PER_MB,
    MemoryPurpose.MANAGEMENT: 12 * BYTES_PER_MB,
}
# The bounds of what the system may hold for one socket one way; and how many times the cap all could hold
# together: most sockets are empty, and those that fill up give way.
MIN_SOCKET_BUFFER_BYTES, MAX_SOCKET_BUFFER_BYTES, KERNEL_OVERCOMMIT_RATIO = 8 << 10, 256 << 10, 4


class MemoryPlanError(Exception):
    """Caps that cannot be, in one plain sentence."""


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """Caps for a grant. All sizes in bytes."""

    grant_bytes: int
    program_bytes: int
    unplanned_bytes: int
    caps: Mapping[MemoryPurpose, int]
    socket_buffer_bytes: int  # for SO_SNDBUF and SO_RCVBUF
    is_below_minimum: bool  # the grant is too small for the least of each purpose: the caps pass it

    @property
    def planned_bytes(self) -> int:
        """The sum of the caps."""
        return sum(self.caps.values())


def make_plan(
    grant: int,
    start: int,
    sockets: int,
    wanted: Mapping[MemoryPurpose, int] | None = None,
) -> MemoryPlan:
    """Divide a grant; ``wanted`` are the operators' caps, and the other purposes share what is left.

    Raise PlanError if the operators' caps and the least that the others need do not fit into the grant.
    Without caps of the operators a grant that is too small gives the least caps, marked as ``short``: a proxy
    that serves few is better than none.
    """
    wanted = dict(wanted or {})
    spare = grant - start
    margin = int(max(spare, 0) * UNPLANNED_RATIO)
    room = spare - margin
    for purpose, cap in wanted.items():
        if cap < MIN_CAP_BYTES[purpose]:
            raise MemoryPlanError(
                f"{purpose.key} has {_mb(cap)} MB, and needs at least {_mb(MIN_CAP_BYTES[purpose])} MB to work"
            )
    least = sum(wanted.get(p, MIN_CAP_BYTES[p]) for p in MemoryPurpose)
    if least > room and wanted:
        raise MemoryPlanError(
            f"the caps need {_mb(least)} MB; of the {_mb(grant)} MB granted {_mb(start)} MB go to the program"
            f" itself and {_mb(margin)} MB stay unplanned, which leaves {_mb(max(room, 0))} MB"
        )
    caps = dict(wanted)
    free = [p for p in MemoryPurpose if p not in wanted]
    left = room - sum(wanted.values())
    # Those whose share is under their least or over their most are settled first, the others by their shares.
    while free:
        total = sum(CAP_RATIOS[p] for p in free)
        shares = {p: int(max(left, 0) * CAP_RATIOS[p] / total) for p in free}
        settled = {p: MIN_CAP_BYTES[p] for p in free if shares[p] < MIN_CAP_BYTES[p]}
        if not settled:
            settled = {
                p: most for p in free if shares[p] > (most := MAX_CAP_BYTES.get(p, shares[p]))
            }
        if not settled:
            caps |= shares
            break
        caps |= settled
        left -= sum(settled.values())
        free = [p for p in free if p not in settled]
    bound = caps[MemoryPurpose.KERNEL] * KERNEL_OVERCOMMIT_RATIO // max(sockets, 1)
    return MemoryPlan(
        grant,
        start,
        margin,
        {p: caps[p] for p in MemoryPurpose},
        min(max(bound, MIN_SOCKET_BUFFER_BYTES), MAX_SOCKET_BUFFER_BYTES),
        sum(caps.values()) > max(room, 0),
    )


def _mb(size: int) -> str:
    return f"{size / BYTES_PER_MB:.2f}".rstrip("0").rstrip(".")
