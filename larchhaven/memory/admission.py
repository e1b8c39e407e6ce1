"""Who is let in when room gets short: newcomers by the worth of their class, and who gives way before that.

Room is whatever a connection needs that is counted: bytes of *connections* and *tables*, descriptors. Each
has a reserve, the last part of it, that only the class worth most may use.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

# The part of each kind of room that is kept for the class worth most.
RESERVE_SHARE = 0.08
# A client that has taken nothing of what was sent for so long may give way to others.
UNREAD_US = 5_000_000
# A client that has just connected speaks within this time, or gives way like the other silent ones.
SPEAK_US = 50_000
# While the system holds more for our sockets than this part of its cap, clients that have read nothing for
# the shorter time give way too: what they ask for comes faster than one can look.
KERNEL_SHARE = 0.6
KERNEL_UNREAD_US = 1_000_000


class ShedCandidate(Enum):
    """Who gives way, in this order."""

    SILENT = auto()  # connected and brought no first line
    PARTING = auto()  # has its answer and does not leave
    UNREAD = auto()  # stands, and does not read


@dataclass(frozen=True, slots=True)
class Capacity:
    """One kind of room: how much there is, what is used, what one more needs. Bytes, or descriptors."""

    total: int
    used: int
    needed: int

    def fits(self, reserve_share: float) -> bool:
        """Tell whether one more fits beside a reserve of this part of the whole."""
        return self.used + self.needed <= self.total - int(self.total * reserve_share)


class Admission:
    """Whether a newcomer of a class is let in."""

    def __init__(self, worths: Sequence[float]) -> None:
        self.reserve_ratio = RESERVE_SHARE
        self._best = max(worths, default=0.0)
        self._worths = list(worths)

    def find_exhausted(self, cls: int, rooms: Sequence[Capacity]) -> int | None:
        """Return None if a command of this class is let in, else the number of the room that is short."""
        worthy = 0 <= cls < len(self._worths) and self._worths[cls] >= self._best
        for number, room in enumerate(rooms):
            if not room.fits(0.0 if worthy else self.reserve_ratio):
                return number
        return None


def choose_shed_candidate(
    silent: int,
    silent_since: int,
    silent_most: int,
    parting: int,
    unread_since: int | None,
    now: int,
    short: bool,
    unread_us: int = UNREAD_US,
) -> ShedCandidate | None:
    """Tell who is to give way now, if anybody.

    ``silent`` and ``parting`` count such clients; ``silent_since`` and ``unread_since`` are since when the
    one that is so longest has been so. Too many silent ones give way even if nothing is short.
    One that has just come has a moment to speak first: in a surge all connect before any line comes, and
    among them are those worth most.
    """
    speechless = silent > 0 and now >= silent_since + SPEAK_US
    if silent > silent_most:
        return ShedCandidate.SILENT if speechless else None
    if not short:
        return None
    if parting:
        return ShedCandidate.PARTING
    if unread_since is not None and now >= unread_since + unread_us:
        return ShedCandidate.UNREAD
    return ShedCandidate.SILENT if speechless else None
