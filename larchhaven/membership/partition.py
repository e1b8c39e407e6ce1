"""How many members are present, how sure that is, and which side of a network partition this is.

By messages alone nobody can tell a partition from deaths. What can be told is which share of the
members that last agreed is still present: a majority of them may act for the fleet, as no other
side can be a majority too. The set that last agreed moves on only where a majority of it is
present (dynamic voting, Jajodia and Mutchler 1990). So the smaller side of a long partition waits
for ever, as it should, and so do the survivors when over half die within ``AGREEMENT_DELAY_US``
of each other. Whoever leaves as planned is taken out of the set.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from larchhaven.membership.member import MemberState
from larchhaven.membership.view import MembershipView

# A view without suspects that has not changed for so long counts as agreed upon by all.
AGREEMENT_DELAY_US = 10_000_000


class PartitionSide(Enum):
    """Which side of a network partition the local member is on; operators read the values."""

    WHOLE = "whole"
    MAJORITY = "majority"
    MINORITY = "minority"
    UNKNOWN = "unknown"  # nothing was agreed yet


@dataclass(frozen=True, slots=True)
class PartitionStatus:
    """How many members are present, and what follows from it.

    Attributes:
        present_count: How many are present.
        agreed_count: How many were present when all last agreed, without those that left since.
        table_size: How many entries the peer table has.
        confidence_ratio: The share of the present members that are not suspected; 0 while the view
            is not synchronized.
        side: Which side of a partition this is.
        lost_zones: Zones that had members when all last agreed, and have none present.
    """

    present_count: int
    agreed_count: int
    table_size: int
    confidence_ratio: float
    side: PartitionSide
    lost_zones: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class _Observation:
    """What has to stay the same until the members count as agreed."""

    present: frozenset[int]
    suspect_count: int
    is_synchronized: bool


def presumed_present(view: MembershipView, status: PartitionStatus) -> frozenset[int]:
    """Return the members among whom work for the whole fleet is divided.

    Only a majority may take others out, while its view is synchronized: a smaller side may be cut
    off from proxies that go on working. A member that was never heard of may be about to start, and
    is included.
    """
    everybody = frozenset(range(view.table_size))
    if not view.is_synchronized:
        return everybody
    if status.side not in (PartitionSide.WHOLE, PartitionSide.MAJORITY):
        return everybody
    gone_states = (MemberState.DEAD, MemberState.LEFT)
    return frozenset(
        number
        for number in everybody
        if number == view.own_number or view.state_of(number) not in gone_states
    )


class PartitionTracker:
    """Owns the set of members that were present when all last agreed.

    Attributes:
        agreed: That set, without those that have left since.
    """

    def __init__(self) -> None:
        self.agreed: frozenset[int] = frozenset()
        self._last_observation: _Observation | None = None
        self._agreement_due_us = 0

    def update(self, now_us: int, view: MembershipView) -> PartitionStatus:
        """Return the status of a view; call it with each new view and now and then between."""
        present = frozenset(view.present_numbers())
        suspect_count = sum(
            1 for member in view.present_members() if member.state is MemberState.SUSPECT
        )
        self._observe(now_us, _Observation(present, suspect_count, view.is_synchronized))
        self.agreed = frozenset(
            number for number in self.agreed if view.state_of(number) is not MemberState.LEFT
        )
        side = self._find_side(present)
        has_settled = view.is_synchronized and not suspect_count
        if has_settled and now_us >= self._agreement_due_us and side is not PartitionSide.MINORITY:
            self.agreed = present
            side = PartitionSide.WHOLE
        confidence_ratio = 0.0
        if present and view.is_synchronized:
            confidence_ratio = (len(present) - suspect_count) / len(present)
        return PartitionStatus(
            present_count=len(present),
            agreed_count=len(self.agreed),
            table_size=view.table_size,
            confidence_ratio=confidence_ratio,
            side=side,
            lost_zones=tuple(sorted(_zones(view, self.agreed) - _zones(view, present))),
        )

    def _observe(self, now_us: int, observation: _Observation) -> None:
        if observation != self._last_observation:
            self._last_observation = observation
            self._agreement_due_us = now_us + AGREEMENT_DELAY_US

    def _find_side(self, present: frozenset[int]) -> PartitionSide:
        if not self.agreed:
            return PartitionSide.UNKNOWN
        remaining = len(present & self.agreed)
        if remaining == len(self.agreed):
            return PartitionSide.WHOLE
        if 2 * remaining == len(self.agreed):
            # Of two halves the one with the smallest number counts as the majority.
            has_majority = min(self.agreed) in present
        else:
            has_majority = 2 * remaining > len(self.agreed)
        return PartitionSide.MAJORITY if has_majority else PartitionSide.MINORITY


def _zones(view: MembershipView, numbers: Iterable[int]) -> set[int]:
    members = (view.get(number) for number in numbers)
    return {
        member.info.zone for member in members if member is not None and member.info is not None
    }
