"""What is known of a member, which news of it wins, and the numbered view that others look at.

A *stamp* is one number: the incarnation, which only the member itself raises, times four, plus the state. Of
two stamps the larger one is the truth, so the order in which news comes does not matter, nor how often: views
join as maxima do. At one incarnation *left* outweighs *dead*, *dead* outweighs *suspect*, and that *alive*;
a member that is accused wrongly answers with its next incarnation.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum, IntFlag

from rpds import HashTrieMap

# Stamps have 32 bits on the wire.
INCARNATION_MOST = (1 << 30) - 1
# No news names one: a member that has no incarnation yet has nothing to say of itself.
NO_STAMP = 0
# In bytes of UTF-8; a longer name is cut, as a message has 256 bytes for everything.
NAME_MOST = 24


class State(IntEnum):
    """How a member is; at one incarnation the larger one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Can(IntFlag):
    """What a member's program can do, told with its name."""

    NOTHING = 0
    REPORTS = 1  # shares its looks at the servers
    COPIES = 2  # holds copies for others
    SHEDDING = 4  # takes part in overload answered as one


def stamp(incarnation: int, state: State) -> int:
    """Join an incarnation and a state."""
    return incarnation << 2 | state


def incarnation_of(mark: int) -> int:
    """Return a stamp's incarnation."""
    return mark >> 2


def state_of(mark: int) -> State:
    """Return a stamp's state."""
    return State(mark & 3)


@dataclass(frozen=True, slots=True)
class About:
    """What a member tells of itself once a life."""

    name: str = ""
    zone: int = 0  # as the settings number zones
    version: int = 0  # of its program's talk: members of different versions may be in one tier
    started: int = 0  # Unix time in seconds by its own clock: for people, nothing is decided by it
    can: Can = Can.NOTHING


@dataclass(frozen=True, slots=True)
class Member:
    """What is known of one member."""

    number: int  # its place in the table of peers
    stamp: int
    since: int  # when this was learnt here, in our own microseconds
    by: tuple[int, ...] = ()  # who accused it or found it dead; empty where it spoke for itself
    about: About | None = None
    about_at: int = 0  # the incarnation at which it told so

    @property
    def state(self) -> State:
        """How it is."""
        return state_of(self.stamp)

    @property
    def incarnation(self) -> int:
        """Its incarnation."""
        return incarnation_of(self.stamp)

    @property
    def here(self) -> bool:
        """Tell whether it counts: suspicion alone takes nothing away."""
        return self.state <= State.SUSPECT


@dataclass(frozen=True, slots=True)
class Changed:
    """A change of the view: what the member was before (None: unheard of) and what it is now."""

    at: int
    was: State | None
    now: Member
    version: int  # of the view that has it


@dataclass(frozen=True, slots=True)
class View:
    """All that is known of the tier at one moment. Immutable: whoever holds one may keep it.

    ``sure`` is False from the start, and from a gap in one's own time, until another member has told its
    view.
    """

    me: int
    size: int  # places in the table of peers
    version: int = 0
    sure: bool = False
    members: HashTrieMap[int, Member] = field(default_factory=HashTrieMap)

    def get(self, number: int) -> Member | None:
        """Return what is known of a member, or None if it was never heard of."""
        return self.members.get(number)

    def state(self, number: int) -> State | None:
        """Return how a member is."""
        member = self.members.get(number)
        return None if member is None else member.state

    def here(self) -> Iterator[Member]:
        """Go through those that count as there, this member among them."""
        return (member for member in self.members.values() if member.here)

    def here_numbers(self) -> list[int]:
        """Return the numbers of those that count as there, in order."""
        return sorted(member.number for member in self.here())

    def same_as(self, other: View) -> bool:
        """Tell whether two members' views say the same, whenever and from whomever they learnt it."""
        return {m.number: (m.stamp, m.about) for m in self.members.values()} == {
            m.number: (m.stamp, m.about) for m in other.members.values()
        }
