"""A state of the bounded search: members, messages in flight and time."""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from dataclasses import dataclass, field

from larchhaven.membership.membership import Membership
from larchhaven.membership.messages import Message

# Constants of Knuth's MMIX linear congruential generator. Only its upper bits are used.
_LCG_MULTIPLIER = 6364136223846793005
_LCG_INCREMENT = 1442695040888963407
_LCG_MODULUS = 1 << 64
_DISCARDED_BITS = 33
_RESULT_RANGE = 1 << 31


@dataclass(slots=True)
class ReproducibleRandom:
    """A random number generator that is copied with a state, so that paths are reproducible.

    Attributes:
        state: The state of the generator; its first value is the seed.
    """

    state: int

    def random(self) -> float:
        """Return a number in the half-open interval [0, 1)."""
        self.state = (self.state * _LCG_MULTIPLIER + _LCG_INCREMENT) % _LCG_MODULUS
        return (self.state >> _DISCARDED_BITS) / _RESULT_RANGE


@dataclass(slots=True)
class SearchState:
    """A state of the search.

    Attributes:
        now_us: The time in microseconds; all members share one clock.
        members: The protocol instance of each member, by number.
        running: Whether each member is running, by number.
        in_flight: Messages that were sent and are neither delivered nor lost yet.
        duplications_left: The number of messages that may still be duplicated.
        left_numbers: Numbers of the members that have left gracefully.
        earlier_incarnations: The highest incarnation of a member's earlier processes, by number. It
            may still be in the views of others.
    """

    now_us: int
    members: list[Membership]
    running: list[bool]
    in_flight: list[Message] = field(default_factory=list)
    duplications_left: int = 1
    left_numbers: set[int] = field(default_factory=set)
    earlier_incarnations: dict[int, int] = field(default_factory=dict)

    def copy(self) -> SearchState:
        """Return an independent copy."""
        copied: SearchState = pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))
        return copied

    def running_members(self) -> Iterator[Membership]:
        """Iterate over the running members in the order of their numbers."""
        return (member for member in self.members if self.running[member.own_number])

    def fingerprint(self) -> tuple[object, ...]:
        """Return a value that distinguishes states; it omits what cannot affect later steps."""
        in_flight = tuple(sorted(repr(message) for message in self.in_flight))
        fingerprints = (member.fingerprint() for member in self.members)
        return (self.now_us, self.duplications_left, in_flight, *fingerprints)

    def view_fingerprint(self) -> tuple[object, ...]:
        """Return each member's view, suspicions and pending updates in hashable form."""
        return tuple(
            (
                tuple(sorted((m.number, m.stamp) for m in member.view.members.values())),
                member.view.is_synchronized,
                tuple(member.suspected_numbers()),
                tuple(member.pending_update_numbers()),
            )
            for member in self.members
        )
