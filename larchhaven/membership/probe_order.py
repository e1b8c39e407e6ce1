"""The order in which the present members are probed."""

from __future__ import annotations

from larchhaven.membership.member_table import MemberTable
from larchhaven.membership.sampling import RandomSource, sample


class ProbeOrder:
    """Shuffled rounds of the present members, as in SWIM: each is probed once per round.

    Args:
        table: The member table.
        rng: Source of random numbers.
    """

    def __init__(self, table: MemberTable, rng: RandomSource) -> None:
        self._table = table
        self._rng = rng
        self._round: list[int] = []  # the next target is at the end

    def put_first(self, number: int) -> None:
        """Make a member the next target."""
        self._round.append(number)

    def next_target(self) -> int | None:
        """Return the next member to probe, or None if no other member is present."""
        target = self._pop_present()
        if target is not None:
            return target
        self._round = sample(self._rng, self._table.size, self._table.present_peers())
        return self._pop_present()

    def fingerprint(self) -> tuple[object, ...]:
        """Return the state that later choices depend on, as a hashable value."""
        return tuple(self._round)

    def _pop_present(self) -> int | None:
        while self._round:
            number = self._round.pop()
            member = self._table.get(number)
            if member is not None and member.is_present:
                return number
        return None
