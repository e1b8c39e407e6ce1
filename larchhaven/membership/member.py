"""The record of one member, and the precedence of updates about it.

A *stamp* packs an incarnation number and a state into one integer: ``incarnation * 4 + state``.
Only the member itself raises its incarnation. Of two stamps the larger one wins, so updates may
arrive in any order and any number of times: views merge by taking maxima. At the same incarnation
*left* overrides *dead*, *dead* overrides *suspect*, and *suspect* overrides *alive*. A member that
is suspected wrongly refutes the suspicion with its next incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, IntFlag

# A stamp has 32 bits in a datagram, two of which are the state.
MAX_INCARNATION = (1 << 30) - 1
# The stamp of a member that has not joined yet.
NO_STAMP = 0
# Longer names are truncated, in UTF-8, because a datagram has at most 256 bytes.
MAX_NAME_BYTES = 24

_STATE_BITS = 2
_STATE_MASK = (1 << _STATE_BITS) - 1


class MemberState(IntEnum):
    """The state of a member; at the same incarnation the larger value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


# Indexed for each update of each message; calling the enum would be slower.
_STATES = tuple(MemberState)


class Capability(IntFlag):
    """A feature that the program of a member supports."""

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
    """Information that a member announces about itself; constant while its process runs.

    Attributes:
        name: Its name; at most ``MAX_NAME_BYTES`` are sent.
        zone: The index of its zone in the settings.
        protocol_version: The protocol version of its program.
        started_unix_s: When it started, in seconds of Unix time by its own clock. It is meant for
            operators; the protocol only uses it to order infos of the same incarnation.
        capabilities: The features that its program supports.
    """

    name: str = ""
    zone: int = 0
    protocol_version: int = 0
    started_unix_s: int = 0
    capabilities: Capability = Capability.NONE


def info_sort_key(info: MemberInfo | None) -> tuple[object, ...]:
    """Return a key that orders infos identically at every member; None sorts first."""
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
    """The local record of one member.

    Attributes:
        number: Its index in the peer table.
        stamp: Its incarnation and state.
        learned_at_us: When the local member learned this state, by the local monotonic clock.
        suspectors: Members that suspect it or declared it dead; empty if it announced its state.
        info: The info that it announced; None until it is received.
        info_incarnation: The incarnation at which it announced the info.
    """

    number: int
    stamp: int
    learned_at_us: int
    suspectors: tuple[int, ...] = ()
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
        """Whether the member counts as present; a suspected member does."""
        return self.state <= MemberState.SUSPECT
