"""The numbered immutable view of the fleet that other packages read, and the changes of it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from rpds import HashTrieMap

from larchhaven.membership.member import Member, MemberState


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """One member of the view has changed.

    Attributes:
        at_us: When, by the local monotonic clock.
        previous_state: The state before; None if the member was unknown.
        member: What is known of the member now.
        view_version: The version of the view that contains the change.
    """

    at_us: int
    previous_state: MemberState | None
    member: Member
    view_version: int


@dataclass(frozen=True, slots=True)
class MembershipView:
    """All that is known of the fleet at one moment. Immutable: whoever holds one may keep it.

    Attributes:
        own_number: The index of the local member in the peer table.
        table_size: How many entries the peer table has.
        version: Raised with each change.
        is_synchronized: False from the start, and from a pause of the local process, until another
            member has answered a push-pull request.
        members: What is known of each member, by number.
    """

    own_number: int
    table_size: int
    version: int = 0
    is_synchronized: bool = False
    members: HashTrieMap[int, Member] = field(default_factory=HashTrieMap)

    def get(self, number: int) -> Member | None:
        """Return what is known of a member, or None if it was never heard of."""
        return self.members.get(number)

    def state_of(self, number: int) -> MemberState | None:
        """Return the state of a member, or None if it was never heard of."""
        member = self.members.get(number)
        return None if member is None else member.state

    def present_members(self) -> Iterator[Member]:
        """Iterate over the members that count as present, the local one included."""
        return (member for member in self.members.values() if member.is_present)

    def present_numbers(self) -> list[int]:
        """Return the numbers of the members that count as present, in ascending order."""
        return sorted(member.number for member in self.present_members())

    def agrees_with(self, other: MembershipView) -> bool:
        """Tell whether two views hold the same stamps and infos, whenever these were learned."""
        return self._facts() == other._facts()

    def _facts(self) -> dict[int, tuple[int, object]]:
        return {member.number: (member.stamp, member.info) for member in self.members.values()}
