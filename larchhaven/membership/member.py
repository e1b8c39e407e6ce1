"""What is known of one member, and which of two updates about it wins.

A *stamp* packs an incarnation number and a state into one integer: ``incarnation * 4 + state``.
Only the member itself raises its incarnation. Of two stamps the larger one wins, so updates may
arrive in any order and any number of times: views merge by taking maxima. At one incarnation
*left* overrides *dead*, *dead* overrides *suspect*, and *suspect* overrides *alive*; a member
that is suspected wrongly refutes the suspicion with its next incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, IntFlag

# A stamp has 32 bits in a datagram, two of which are the state.
MAX_INCARNATION = (1 << 30) - 1
# The stamp of a member that has not joined yet.
NO_STAMP = 0
# In UTF-8; a longer name is truncated, as a datagram has 256 bytes for everything.
MAX_NAME_BYTES = 24

_STATE_BITS = 2
_STATE_MASK = (1 << _STATE_BITS) - 1


class MemberState(IntEnum):
    """The state of a member; at one incarnation the larger one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


# Looked up for each update of each message, where a call of the enum costs more.
_STATES = tuple(MemberState)


class Capability(IntFlag):
    """What the program of a member supports."""

    NONE = 0
    LOAD_REPORTS = 1  # shares the results of its health checks
    REPLICAS = 2  # holds replicas for others
    LOAD_SHEDDING = 4  # takes part in coordinated load shedding


def make_stamp(incarnation: int, state: MemberState) -> int:
    """Pack an incarnation and a state into a stamp."""
    return incarnation << _STATE_BITS | state


def stamp_incarnation(stamp: int) -> int:
    """Return the incarnation of a stamp."""
    return stamp >> _STATE_BITS


def stamp_state(stamp: int) -> MemberState:
    """Return the state of a stamp."""
    return _STATES[stamp & _STATE_MASK]


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """What a member says of itself, once in each life of its process.

    Attributes:
        name: Its name; at most ``MAX_NAME_BYTES`` of it are sent.
        zone: The index of its zone in the settings.
        protocol_version: The version of the protocol that its program speaks.
        started_unix_s: When it started, by its own clock. For operators; no decision uses it.
        capabilities: What its program supports.
    """

    name: str = ""
    zone: int = 0
    protocol_version: int = 0
    started_unix_s: int = 0
    capabilities: Capability = Capability.NONE


def info_sort_key(info: MemberInfo | None) -> tuple[object, ...]:
    """Return a key that orders infos in the same way at every member; None sorts first."""
    if info is None:
        return ()
    return (
        info.started_unix_s,
        info.name,
        info.zone,
        info.protocol_version,
        int(info.capabilities),
    )


@dataclass(frozen=True, slots=True)
class Member:
    """What is known of one member.

    Attributes:
        number: Its index in the peer table.
        stamp: Its incarnation and state.
        learned_at_us: When this was learned here, by the local monotonic clock.
        accusers: Who suspects it or declared it dead; empty if the member spoke for itself.
        info: What it says of itself; None until that arrives.
        info_incarnation: The incarnation at which it said so.
    """

    number: int
    stamp: int
    learned_at_us: int
    accusers: tuple[int, ...] = ()
    info: MemberInfo | None = None
    info_incarnation: int = 0

    @property
    def state(self) -> MemberState:
        """The state of the member."""
        return stamp_state(self.stamp)

    @property
    def incarnation(self) -> int:
        """The incarnation of the member."""
        return stamp_incarnation(self.stamp)

    @property
    def is_present(self) -> bool:
        """Whether the member counts as present: a suspicion alone does not remove it."""
        return self.state <= MemberState.SUSPECT
