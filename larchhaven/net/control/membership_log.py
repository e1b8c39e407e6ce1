"""Logs membership changes, at most one line per second."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from larchhaven.membership.member import MemberState
from larchhaven.membership.partition import PartitionStatus
from larchhaven.membership.view import MemberChanged, MembershipView
from larchhaven.net.core.event_loop import EventLoop

# Changes are gathered for this long, so that mass failures cause only one line per second.
GATHER_US = 1_000_000
# Maximum number of members of each state that a line names.
MAX_NAMED_MEMBERS = 12

_log = logging.getLogger("larchhaven")


@dataclass(slots=True)
class _GatheredChange:
    """The changes of one member since the last line."""

    state_before: MemberState | None
    state: MemberState
    was_dead: bool = False


class MembershipLog:
    """Gathers membership changes and logs them in batches.

    Args:
        loop: The event loop.
        current_view: Returns the current view, which contains the names of the members.
        current_status: Returns the current partition status.
    """

    def __init__(
        self,
        loop: EventLoop,
        current_view: Callable[[], MembershipView],
        current_status: Callable[[], PartitionStatus],
    ) -> None:
        self._loop = loop
        self._current_view = current_view
        self._current_status = current_status
        self._changes: dict[int, _GatheredChange] = {}

    def add(self, change: MemberChanged) -> None:
        """Add a change to the next log line."""
        if not self._changes:
            self._loop.call_later(GATHER_US, self._write)
        number, state = change.member.number, change.member.state
        gathered = self._changes.get(number)
        if gathered is None:
            gathered = self._changes[number] = _GatheredChange(change.previous_state, state)
        gathered.state = state
        gathered.was_dead = gathered.was_dead or state is MemberState.DEAD

    def _write(self) -> None:
        changes, self._changes = self._changes, {}
        numbers_by_state: dict[MemberState, list[int]] = {}
        briefly_dead = []
        for number, change in sorted(changes.items()):
            if change.state_before is not change.state:
                numbers_by_state.setdefault(change.state, []).append(number)
            if change.was_dead and change.state is not MemberState.DEAD:
                briefly_dead.append(number)
        if not numbers_by_state and not briefly_dead:
            return  # suspected and refuted within the interval
        clauses = [
            f"{state.name.lower()}: {self._names(numbers)}"
            for state, numbers in sorted(numbers_by_state.items())
        ]
        if briefly_dead:
            clauses.append(f"briefly declared dead: {self._names(briefly_dead)}")
        status = self._current_status()
        clauses.append(f"{status.present_count} of {status.table_size} present")
        clauses.append(f"partition side: {status.side.value}")
        detail = "; ".join(clauses)
        _log.info("membership changed: %s", detail, extra={"event": "members", "detail": detail})

    def _names(self, numbers: Sequence[int]) -> str:
        named = ", ".join(self._name(number) for number in numbers[:MAX_NAMED_MEMBERS])
        omitted_count = len(numbers) - MAX_NAMED_MEMBERS
        return f"{named} and {omitted_count} more" if omitted_count > 0 else named

    def _name(self, number: int) -> str:
        member = self._current_view().get(number)
        if member is None or member.info is None or not member.info.name:
            return str(number)
        # Names come from other processes, so control characters are escaped.
        return f"{number} ({member.info.name.encode('unicode_escape').decode()})"
