"""Partition status: how many members are present, and which side of a partition this is.

Messages alone cannot distinguish a network partition from deaths. They do show which share of the
last agreed set of members is still present. A majority of that set may act for the fleet, because
no other side can have a majority too. A side replaces the agreed set only if it has a majority of
it (dynamic voting, Jajodia and Mutchler 1990). The smaller side of a long partition therefore
waits indefinitely, as intended. So do the survivors if more than half of the members die within
``AGREEMENT_DELAY_US`` of each other. Members that leave as planned are removed from the set.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from larchhaven.membership.member import MemberState
from larchhaven.membership.view import MembershipView

# A view without suspects that is unchanged for this long counts as agreed by all members.
AGREEMENT_DELAY_US = 10_000_000


class PartitionSide(Enum):
    """The local member's side of a network partition; operators read the values."""

    WHOLE = "whole"
    MAJORITY = "majority"
    MINORITY = "minority"
    UNKNOWN = "unknown"  # no set of members has been agreed yet


@dataclass(frozen=True, slots=True)
class PartitionStatus:
    """Number of present members, and the partition status derived from it.

    Attributes:
        present_count: Number of present members.
        agreed_count: Size of the last agreed set, without members that have left since.
        table_size: Number of entries in the peer table.
        confidence_ratio: Share of the present members that are not suspected; 0 while the view is
            not synchronized.
        side: The local member's side of a partition.
        lost_zones: Zones with members in the last agreed set, but no present member.
    """

    present_count: int
    agreed_count: int
    table_size: int
    confidence_ratio: float
    side: PartitionSide
    lost_zones: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class _Observation:
    """Properties of a view that must not change until its members count as agreed."""

    present: frozenset[int]
    suspect_count: int
    is_synchronized: bool


def presumed_present(view: MembershipView, status: PartitionStatus) -> frozenset[int]:
    """Return the members among which work for the whole fleet is divided.

    Only a majority with a synchronized view may exclude members: a smaller side may be cut off from
    proxies that continue to work. A member without a record is included, because it may be about to
    start.
    """
    all_numbers = frozenset(range(view.table_size))
    if not view.is_synchronized:
        return all_numbers
    if status.side not in (PartitionSide.WHOLE, PartitionSide.MAJORITY):
        return all_numbers
    absent_states = (MemberState.DEAD, MemberState.LEFT)
    return frozenset(
        number
        for number in all_numbers
        if number == view.own_number or view.state_of(number) not in absent_states
    )


class PartitionTracker:
    """Owns the last agreed set: the members that were present when all views last agreed.

    Attributes:
        agreed: The last agreed set, without members that have left since.
    """

    def __init__(self) -> None:
        self.agreed: frozenset[int] = frozenset()
        self._last_observation: _Observation | None = None
        self._agreement_due_us = 0

    def update(self, now_us: int, view: MembershipView) -> PartitionStatus:
        """Return the status of a view.

        Must be called with each new view, and periodically in between.
        """
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
            # Of two equal halves, the one with the smallest number counts as the majority.
            has_majority = min(self.agreed) in present
        else:
            has_majority = 2 * remaining > len(self.agreed)
        return PartitionSide.MAJORITY if has_majority else PartitionSide.MINORITY


def _zones(view: MembershipView, numbers: Iterable[int]) -> set[int]:
    members = (view.get(number) for number in numbers)
    return {
        member.info.zone for member in members if member is not None and member.info is not None
    }
