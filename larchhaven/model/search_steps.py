"""The steps of the search: a message is delivered, lost or duplicated, or time passes."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from larchhaven.membership.actions import Action, SendMessage
from larchhaven.membership.codec import encode
from larchhaven.membership.membership import Membership
from larchhaven.membership.messages import Message
from larchhaven.membership.view import MemberChanged
from larchhaven.model.invariants import (
    check_change,
    check_convergence,
    check_step,
    take_snapshot,
)
from larchhaven.model.search_state import SearchState
from larchhaven.model.units import US_PER_SECOND

DELIVERY_US = 1_000
# Without loss, all views have to be equal within this time.
CONVERGENCE_TIMEOUT_US = 40 * US_PER_SECOND

MemberOperation = Callable[[Membership], list[Action]]


class StepKind(Enum):
    """The kinds of steps; the values are used in the text of counterexamples."""

    DELIVER = "arrives"
    LOSE = "is lost"
    DUPLICATE = "arrives, and again"
    ADVANCE_TIME = "time"


@dataclass(frozen=True, slots=True)
class Step:
    """A step from a state.

    Attributes:
        kind: The kind of step.
        index: The index of its message in flight; unused by ``ADVANCE_TIME``.
        message: That message; None for ``ADVANCE_TIME``.
    """

    kind: StepKind
    index: int = 0
    message: Message | None = None

    def __str__(self) -> str:
        message = self.message
        if message is None:
            return self.kind.value
        return f"{message.kind.name} {message.sender}>{message.receiver} {self.kind.value}"


def possible_steps(state: SearchState, max_messages: int) -> Iterator[Step]:
    """Iterate over the steps from a state; only one of several equal messages is considered.

    Args:
        state: The state.
        max_messages: The maximum number of messages in flight to consider.
    """
    considered: set[str] = set()
    for index, message in enumerate(state.in_flight):
        text = repr(message)
        if text in considered or len(considered) >= max_messages:
            continue
        considered.add(text)
        yield Step(StepKind.DELIVER, index, message)
        yield Step(StepKind.LOSE, index, message)
        if state.duplications_left:
            yield Step(StepKind.DUPLICATE, index, message)
    yield Step(StepKind.ADVANCE_TIME)


def take_step(state: SearchState, step: Step) -> None:
    """Apply a step to a state.

    Raises:
        InvariantViolationError: The step violated an invariant.
    """
    match step.kind:
        case StepKind.DELIVER:
            deliver_message(state, step.index)
        case StepKind.LOSE:
            lose_message(state, step.index)
        case StepKind.DUPLICATE:
            deliver_duplicated_message(state, step.index)
        case StepKind.ADVANCE_TIME:
            advance_time(state)


def lose_message(state: SearchState, index: int) -> None:
    """Drop a message in flight."""
    del state.in_flight[index]


def deliver_message(state: SearchState, index: int) -> None:
    """Deliver a message in flight."""
    _deliver(state, state.in_flight.pop(index))


def deliver_duplicated_message(state: SearchState, index: int) -> None:
    """Deliver a message that stays in flight and can be delivered again."""
    state.duplications_left -= 1
    _deliver(state, state.in_flight[index])


def _deliver(state: SearchState, message: Message) -> None:
    state.now_us += DELIVERY_US
    if state.running[message.receiver]:
        run_member(state, message.receiver, lambda member: member.receive(state.now_us, message))


def advance_time(state: SearchState) -> None:
    """Advance time to the next turn of a running member; run all members due by then."""
    running = list(state.running_members())
    state.now_us = max(state.now_us, min(member.due_us for member in running))
    for member in running:
        if member.due_us <= state.now_us:
            run_member(state, member.own_number, lambda member: member.run_timers(state.now_us))


def run_member(state: SearchState, number: int, operation: MemberOperation) -> None:
    """Run an operation of a member and check the invariants.

    Args:
        state: The state; sent messages are added to those in flight.
        number: The number of the member.
        operation: Calls a method of the member and returns its actions.

    Raises:
        InvariantViolationError: The operation violated an invariant.
    """
    member = state.members[number]
    before = take_snapshot(member)
    for action in operation(member):
        if isinstance(action, SendMessage):
            encode(action.message)  # raises if the message is too large
            state.in_flight.append(action.message)
        elif isinstance(action, MemberChanged):
            check_change(member, action, before)
    check_step(state, member, before)


def run_without_faults(state: SearchState, duration_us: int) -> None:
    """Deliver all messages in order for a duration, then check that views are equal and correct.

    Raises:
        InvariantViolationError: The views differ or are incorrect, or a step violated an invariant.
    """
    end_us = state.now_us + duration_us
    while state.now_us < end_us:
        deliver_all_messages(state)
        advance_time(state)
    state.in_flight.clear()
    check_convergence(state)


def deliver_all_messages(state: SearchState) -> None:
    """Deliver messages in order until none is in flight."""
    while state.in_flight:
        deliver_message(state, 0)
