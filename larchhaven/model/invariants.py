"""Invariants that the search checks after each step and after the network has healed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NoReturn

from larchhaven.membership.counters import ProtocolCounter
from larchhaven.membership.member import MemberState
from larchhaven.membership.membership import Membership
from larchhaven.membership.view import MemberChanged
from larchhaven.model.errors import InvariantViolationError
from larchhaven.model.search_state import SearchState

_STATES_WHILE_RUNNING = (MemberState.ALIVE,)
_STATES_AFTER_LEAVING = (MemberState.LEFT, MemberState.DEAD)
_STATES_AFTER_DEATH = (MemberState.DEAD, MemberState.LEFT)


@dataclass(frozen=True, slots=True)
class StepSnapshot:
    """The state of a member before a step.

    Attributes:
        own_stamp: The member's own stamp.
        stamps: The stamps in its view, by member number.
        process_pauses: The number of pauses of its own process that it had detected.
    """

    own_stamp: int
    stamps: dict[int, int]
    process_pauses: int


def take_snapshot(member: Membership) -> StepSnapshot:
    """Return a snapshot of a member before a step."""
    stamps = {entry.number: entry.stamp for entry in member.view.members.values()}
    return StepSnapshot(member.stamp, stamps, member.counters[ProtocolCounter.PROCESS_PAUSES])


def check_change(member: Membership, change: MemberChanged, before: StepSnapshot) -> None:
    """Check one change in a member's view.

    Args:
        member: The member whose view has changed.
        change: The change.
        before: The snapshot taken before the step.

    Raises:
        InvariantViolationError: The change violates an invariant.
    """
    own_number, changed = member.own_number, change.member
    was_left = change.previous_state is MemberState.LEFT
    if was_left and changed.state is MemberState.SUSPECT:
        _fail(own_number, f"suspects {changed.number}, which has left")
    has_detected_pause = member.counters[ProtocolCounter.PROCESS_PAUSES] > before.process_pauses
    is_declared_by_itself = changed.state is MemberState.DEAD and own_number in changed.suspectors
    if has_detected_pause and is_declared_by_itself:
        _fail(own_number, f"resumed after a pause and declared {changed.number} dead")


def check_step(state: SearchState, member: Membership, before: StepSnapshot) -> None:
    """Check a member after a step.

    Stamps never decrease, and no view contains an incarnation that its member never had.

    Args:
        state: The search state after the step.
        member: The member that took the step.
        before: The snapshot taken before the step.

    Raises:
        InvariantViolationError: The step violated an invariant.
    """
    for number, stamp in before.stamps.items():
        entry = member.view.get(number)
        if entry is None:
            _fail(member.own_number, f"removed {number} from its view")
        if entry.stamp < stamp:
            text = f"lowered the stamp of {number}: from {stamp} to {entry.stamp}"
            _fail(member.own_number, text)
    if member.stamp < before.own_stamp:
        _fail(member.own_number, "lowered its own stamp")
    for entry in member.view.members.values():
        actual = state.members[entry.number]
        earlier = state.earlier_incarnations.get(entry.number, 0)
        is_invented = entry.incarnation > max(actual.incarnation, earlier)
        if actual.has_joined and is_invented:
            _fail(member.own_number, f"invented incarnation {entry.incarnation} of {entry.number}")


def check_convergence(state: SearchState) -> None:
    """Check that the views of all running members are equal and correct.

    Raises:
        InvariantViolationError: Two views differ, or a view lists a member in a wrong state.
    """
    running = list(state.running_members())
    for member in running:
        for number in range(len(state.members)):
            _check_viewed_state(state, member, number)
        if not member.view.agrees_with(running[0].view):
            _fail(member.own_number, f"and {running[0].own_number} have different final views")


def _check_viewed_state(state: SearchState, member: Membership, number: int) -> None:
    viewed_state = member.view.state_of(number)
    if viewed_state is None and not state.running[number]:
        return  # unknown to all members, as their views are compared with each other too
    if number in state.left_numbers:
        allowed: tuple[MemberState, ...] = _STATES_AFTER_LEAVING
    elif state.running[number]:
        allowed = _STATES_WHILE_RUNNING
    else:
        allowed = _STATES_AFTER_DEATH
    if viewed_state not in allowed:
        viewed_name = "unknown" if viewed_state is None else viewed_state.name
        text = f"lists {number} as {viewed_name} in its final view, not as {allowed[0].name}"
        _fail(member.own_number, text)


def _fail(member: int, violation: str) -> NoReturn:
    raise InvariantViolationError(member, f"{member} {violation}")
