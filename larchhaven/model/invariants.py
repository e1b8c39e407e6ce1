"""What must hold in the search after each step, and once the network is healed."""

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
    """What a member knew before a step.

    Attributes:
        own_stamp: Its own stamp.
        stamps: The stamps in its view, by number.
        process_pauses: How many pauses of its own process it had noticed.
    """

    own_stamp: int
    stamps: dict[int, int]
    process_pauses: int


def take_snapshot(member: Membership) -> StepSnapshot:
    """Return what a member knows before a step."""
    stamps = {known.number: known.stamp for known in member.view.members.values()}
    return StepSnapshot(member.stamp, stamps, member.counters[ProtocolCounter.PROCESS_PAUSES])


def check_change(member: Membership, change: MemberChanged, before: StepSnapshot) -> None:
    """Check one change of a member's view.

    Args:
        member: Whose view has changed.
        change: What has changed.
        before: What it knew before the step.

    Raises:
        InvariantViolationError: The change must not happen.
    """
    own_number, changed = member.own_number, change.member
    was_left = change.previous_state is MemberState.LEFT
    if was_left and changed.state is MemberState.SUSPECT:
        _fail(own_number, f"suspects {changed.number}, which has left")
    has_noticed_pause = member.counters[ProtocolCounter.PROCESS_PAUSES] > before.process_pauses
    is_declared_by_itself = changed.state is MemberState.DEAD and own_number in changed.suspectors
    if has_noticed_pause and is_declared_by_itself:
        _fail(own_number, f"resumed after a pause and declared {changed.number} dead")


def check_step(state: SearchState, member: Membership, before: StepSnapshot) -> None:
    """Check a member after a step: stamps only grow, incarnations are those of their members.

    Args:
        state: The state after the step.
        member: The member that has taken the step.
        before: What it knew before.

    Raises:
        InvariantViolationError: The step broke an invariant.
    """
    for number, stamp in before.stamps.items():
        known = member.view.get(number)
        if known is None:
            _fail(member.own_number, f"forgot {number}")
        if known.stamp < stamp:
            text = f"lowered the stamp of {number}: from {stamp} to {known.stamp}"
            _fail(member.own_number, text)
    if member.stamp < before.own_stamp:
        _fail(member.own_number, "lowered its own stamp")
    for known in member.view.members.values():
        actual = state.members[known.number]
        earlier = state.earlier_incarnations.get(known.number, 0)
        is_invented = known.incarnation > max(actual.incarnation, earlier)
        if actual.has_joined and is_invented:
            _fail(member.own_number, f"invented incarnation {known.incarnation} of {known.number}")


def check_convergence(state: SearchState) -> None:
    """Check that the views of all running members are equal and true.

    Raises:
        InvariantViolationError: They are not.
    """
    running = list(state.running_members())
    for member in running:
        for number in range(len(state.members)):
            _check_known_state(state, member, number)
        if not member.view.agrees_with(running[0].view):
            _fail(member.own_number, f"has a view other than {running[0].own_number} in the end")


def _check_known_state(state: SearchState, member: Membership, number: int) -> None:
    known_state = member.view.state_of(number)
    if known_state is None and not state.running[number]:
        return  # then it is unknown to all: their views are compared too
    if number in state.left_numbers:
        allowed: tuple[MemberState, ...] = _STATES_AFTER_LEAVING
    elif state.running[number]:
        allowed = _STATES_WHILE_RUNNING
    else:
        allowed = _STATES_AFTER_DEATH
    if known_state not in allowed:
        known_name = "unknown" if known_state is None else known_state.name
        text = f"knows {number} as {known_name} in the end, not as {allowed[0].name}"
        _fail(member.own_number, text)


def _fail(member: int, violation: str) -> NoReturn:
    raise InvariantViolationError(member, f"{member} {violation}")
