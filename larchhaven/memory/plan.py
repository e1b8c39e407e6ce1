"""The plan of caps: what is granted, less what the program needs to start, divided by purpose."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from larchhaven.memory.purposes import BUFFER_EXTRA, STREAM, Purpose

MB = 1 << 20
# What the allocator wastes, and what no purpose covers: this part of the room stays unplanned.
MARGIN_SHARE = 0.12
# The room by purpose, where operators set nothing.
SHARES: dict[Purpose, float] = {
    Purpose.CONNECTIONS: 0.26,
    Purpose.TABLES: 0.21,
    Purpose.BUFFERS: 0.18,
    Purpose.PROBES: 0.04,
    Purpose.PEERS: 0.04,
    Purpose.MANAGEMENT: 0.09,
    Purpose.LOG: 0.01,
    Purpose.FILES: 0.03,
    Purpose.KERNEL: 0.14,
}
# With less than this a purpose cannot do its work at all: 24 callers, one list, one upgrade, and so on.
LEAST: dict[Purpose, int] = {
    Purpose.CONNECTIONS: 64 * STREAM,
    Purpose.TABLES: 512 << 10,
    Purpose.BUFFERS: 64 * (8192 + BUFFER_EXTRA),
    Purpose.PROBES: 96 << 10,
    Purpose.PEERS: 64 << 10,
    Purpose.MANAGEMENT: 600 << 10,
    Purpose.LOG: 16 << 10,
    Purpose.FILES: 32 << 10,
    Purpose.KERNEL: 256 << 10,
}
# Beyond this a purpose has no use for more, and others get it.
MOST: dict[Purpose, int] = {
    Purpose.LOG: 64 << 10,
    Purpose.FILES: 4 * MB,
    Purpose.PEERS: 8 * MB,
    Purpose.PROBES: 16 * MB,
    Purpose.MANAGEMENT: 12 * MB,
}
# The bounds of what the system may hold for one socket one way; and how many times the cap all could hold
# together: most sockets are empty, and those that fill up give way.
SOCKET_LEAST, SOCKET_MOST, OVERCOMMIT = 8 << 10, 256 << 10, 4


class PlanError(Exception):
    """Caps that cannot be, in one plain sentence."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Caps for a grant. All sizes in bytes."""

    grant: int
    start: int
    margin: int
    caps: Mapping[Purpose, int]
    socket_bound: int  # for SO_SNDBUF and SO_RCVBUF
    short: bool  # the grant is too small for the least of each purpose: the caps pass it

    @property
    def planned(self) -> int:
        """The sum of the caps."""
        return sum(self.caps.values())


def make(
    grant: int,
    start: int,
    sockets: int,
    wanted: Mapping[Purpose, int] | None = None,
) -> Plan:
    """Divide a grant; ``wanted`` are the operators' caps, and the other purposes share what is left.

    Raise PlanError if the operators' caps and the least that the others need do not fit into the grant.
    Without caps of the operators a grant that is too small gives the least caps, marked as ``short``: a proxy
    that serves few is better than none.
    """
    wanted = dict(wanted or {})
    spare = grant - start
    margin = int(max(spare, 0) * MARGIN_SHARE)
    room = spare - margin
    for purpose, cap in wanted.items():
        if cap < LEAST[purpose]:
            raise PlanError(
                f"{purpose.key} has {_mb(cap)} MB, and needs at least {_mb(LEAST[purpose])} MB to work"
            )
    least = sum(wanted.get(p, LEAST[p]) for p in Purpose)
    if least > room and wanted:
        raise PlanError(
            f"the caps need {_mb(least)} MB; of the {_mb(grant)} MB granted {_mb(start)} MB go to the program"
            f" itself and {_mb(margin)} MB stay unplanned, which leaves {_mb(max(room, 0))} MB"
        )
    caps = dict(wanted)
    free = [p for p in Purpose if p not in wanted]
    left = room - sum(wanted.values())
    # Those whose share is under their least or over their most are settled first, the others by their shares.
    while free:
        total = sum(SHARES[p] for p in free)
        shares = {p: int(max(left, 0) * SHARES[p] / total) for p in free}
        settled = {p: LEAST[p] for p in free if shares[p] < LEAST[p]}
        if not settled:
            settled = {p: most for p in free if shares[p] > (most := MOST.get(p, shares[p]))}
        if not settled:
            caps |= shares
            break
        caps |= settled
        left -= sum(settled.values())
        free = [p for p in free if p not in settled]
    bound = caps[Purpose.KERNEL] * OVERCOMMIT // max(sockets, 1)
    return Plan(
        grant,
        start,
        margin,
        {p: caps[p] for p in Purpose},
        min(max(bound, SOCKET_LEAST), SOCKET_MOST),
        sum(caps.values()) > max(room, 0),
    )


def _mb(size: int) -> str:
    return f"{size / MB:.2f}".rstrip("0").rstrip(".")
