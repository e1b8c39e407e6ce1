"""How many are we, how sure is that, and which part of a cut is this.

Nobody can tell a cut from deaths by messages alone. What can be told is what share of those who last agreed
is still there: a majority of them may act for the tier, as no other part can be one too. The set that last
agreed moves on only where a majority of it is there (dynamic voting, Jajodia and Mutchler 1990): the smaller
part of a long cut waits for ever, as it should, and so do the survivors when over half die within
``SETTLED_US`` of each other. Whoever leaves as planned is taken out of the count.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from larchhaven.membership.member import State, View

# A view that has not changed for so long, with nobody accused, is one that all agree upon.
SETTLED_US = 10_000_000


class Part(Enum):
    """What part of the tier is here."""

    WHOLE = "whole"
    MAJORITY = "majority"
    MINORITY = "minority"
    UNKNOWN = "unknown"  # nothing was agreed yet


@dataclass(frozen=True, slots=True)
class Standing:
    """How many are here, and what may be thought of it."""

    here: int
    agreed: int  # how many were there when all last agreed, less those that left
    table: int  # places in the table of peers
    confidence: float  # 0 to 1: nothing heard yet, or since a gap, to nobody accused
    part: Part
    zones_lost: tuple[int, ...]  # of which nobody is here who was


def present_in(view: View, standing: Standing) -> frozenset[int]:
    """Return who is not known to be gone: what each does for all is dealt out among these.

    Only a majority may say that others are gone, while its view is sure: a smaller part may be cut off
    from proxies that go on. Who was never heard of may be about to start, and counts.
    """
    everybody = frozenset(range(view.size))
    if not view.sure or standing.part not in (Part.WHOLE, Part.MAJORITY):
        return everybody
    gone = (State.DEAD, State.LEFT)
    return frozenset(n for n in everybody if n == view.me or view.state(n) not in gone)


class Parts:
    """Keeps who was there when all last agreed."""

    def __init__(self) -> None:
        self.agreed: frozenset[int] = frozenset()
        self._seen: tuple[object, ...] = ()
        self._settled_at = 0

    def look(self, now: int, view: View) -> Standing:
        """Say how many are here; call it at each new view and now and then between."""
        here = frozenset(view.here_numbers())
        suspects = sum(1 for member in view.here() if member.state is State.SUSPECT)
        seen = (here, suspects, view.sure)
        if seen != self._seen:
            self._seen, self._settled_at = seen, now + SETTLED_US
        self.agreed = frozenset(n for n in self.agreed if view.state(n) is not State.LEFT)
        part = self._part(here)
        settled = view.sure and not suspects and now >= self._settled_at
        if settled and part is not Part.MINORITY:
            self.agreed = here
            part = Part.WHOLE
        return Standing(
            here=len(here),
            agreed=len(self.agreed),
            table=view.size,
            confidence=(len(here) - suspects) / len(here) if here and view.sure else 0.0,
            part=part,
            zones_lost=self._zones_lost(view, here),
        )

    def _part(self, here: frozenset[int]) -> Part:
        if not self.agreed:
            return Part.UNKNOWN
        still = len(here & self.agreed)
        if still == len(self.agreed):
            return Part.WHOLE
        if 2 * still == len(self.agreed):  # of two halves the one with the lowest number
            return Part.MAJORITY if min(self.agreed) in here else Part.MINORITY
        return Part.MAJORITY if 2 * still > len(self.agreed) else Part.MINORITY

    def _zones_lost(self, view: View, here: frozenset[int]) -> tuple[int, ...]:
        def zones(numbers: frozenset[int]) -> set[int]:
            members = (view.get(number) for number in numbers)
            return {m.about.zone for m in members if m is not None and m.about is not None}

        return tuple(sorted(zones(self.agreed) - zones(here)))
