"""The immutable, versioned view of the fleet that other packages read, and its changes."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from rpds import HashTrieMap

from larchhaven.membership.member import Member, MemberState


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A change of one member in the view.

    Attributes:
        at_us: The time of the change, by the local monotonic clock.
        previous_state: The last reported state; None if no state was reported before.
        member: The new record of the member.
        view_version: The version of the view that contains the change.
    """

    at_us: int
    previous_state: MemberState | None
    member: Member
    view_version: int


@dataclass(frozen=True, slots=True)
class MembershipView:
    """An immutable snapshot of the fleet as the local member sees it.

    Attributes:
        own_number: The index of the local member in the peer table.
        table_size: Number of entries in the peer table.
        version: Raised with each change of a member.
        is_synchronized: Whether another member has answered a push-pull request since the start,
            and since the last pause of the local process.
        members: The record of each member, by number.
    """

    own_number: int
    table_size: int
    version: int = 0
    is_synchronized: bool = False
    members: HashTrieMap[int, Member] = field(default_factory=HashTrieMap)

    def get(self, number: int) -> Member | None:
        """Return the record of a member, or None if there is none."""
        return self.members.get(number)

    def state_of(self, number: int) -> MemberState | None:
        """Return the state of a member, or None if there is no record of it."""
        member = self.members.get(number)
        return None if member is None else member.state

    def present_members(self) -> Iterator[Member]:
        """Iterate over the members that count as present, the local one included."""
        return (member for member in self.members.values() if member.is_present)

    def present_numbers(self) -> list[int]:
        """Return the numbers of the members that count as present, in ascending order."""
        return sorted(member.number for member in self.present_members())

    def agrees_with(self, other: MembershipView) -> bool:
        """Return whether both views have the same stamps and infos, regardless of the times."""
        return self._stamps_and_infos() == other._stamps_and_infos()

    def _stamps_and_infos(self) -> dict[int, tuple[int, object]]:
        return {member.number: (member.stamp, member.info) for member in self.members.values()}
