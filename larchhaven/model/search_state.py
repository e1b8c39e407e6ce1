"""One state of the exhaustive search: members, messages in flight, time."""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from dataclasses import dataclass, field

from larchhaven.membership.membership import Membership
from larchhaven.membership.messages import Message

# Knuth's MMIX constants of a linear congruential generator; its upper bits are used.
_LCG_MULTIPLIER = 6364136223846793005
_LCG_INCREMENT = 1442695040888963407
_LCG_MODULUS = 1 << 64
_DISCARDED_BITS = 33
_RESULT_RANGE = 1 << 31


@dataclass(slots=True)
class ReproducibleRandom:
    """Random numbers that are copied with a state, so that a path always replays alike.

    Attributes:
        state: The state of the generator, at first the seed.
    """

    state: int

    def random(self) -> float:
        """Return a number in the half-open interval from 0 to 1."""
        self.state = (self.state * _LCG_MULTIPLIER + _LCG_INCREMENT) % _LCG_MODULUS
        return (self.state >> _DISCARDED_BITS) / _RESULT_RANGE


@dataclass(slots=True)
class SearchState:
    """One state of the search.

    Attributes:
        now_us: The time; all members share one clock.
        members: The protocol of each member, by number.
        running: Which members run, by number.
        in_flight: Messages that were sent and have not arrived yet.
        duplications_left: How many more messages may be duplicated.
        left_numbers: Members that have left as planned.
        earlier_incarnations: The highest incarnation of a member's earlier processes, which others
            may still know.
    """

    now_us: int
    members: list[Membership]
    running: list[bool]
    in_flight: list[Message] = field(default_factory=list)
    duplications_left: int = 1
    left_numbers: set[int] = field(default_factory=set)
    earlier_incarnations: dict[int, int] = field(default_factory=dict)

    def copy(self) -> SearchState:
        """Return an independent state with the same content."""
        copied: SearchState = pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))
        return copied

    def running_members(self) -> Iterator[Membership]:
        """Iterate over the members that run, by number."""
        return (member for member in self.members if self.running[member.own_number])

    def fingerprint(self) -> tuple[object, ...]:
        """Return what tells states apart; what does not influence the next steps is left out."""
        in_flight = tuple(sorted(repr(message) for message in self.in_flight))
        fingerprints = (member.fingerprint() for member in self.members)
        return (self.now_us, self.duplications_left, in_flight, *fingerprints)

    def knowledge_fingerprint(self) -> tuple[object, ...]:
        """Return what each member knows of the others, suspects, and has still to disseminate."""
        return tuple(
            (
                tuple(sorted((m.number, m.stamp) for m in member.view.members.values())),
                member.view.is_synchronized,
                tuple(member.suspected_numbers()),
                tuple(member.pending_update_numbers()),
            )
            for member in self.members
        )
