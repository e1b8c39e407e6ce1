"""Starting states of searches: a failure has just occurred among members with equal views."""

from __future__ import annotations

from collections.abc import Callable

from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.member import MemberInfo, MemberState, make_stamp
from larchhaven.membership.membership import Membership
from larchhaven.membership.messages import Message, MessageKind, StateUpdate
from larchhaven.membership.suspicion import Suspicion
from larchhaven.model.search_state import ReproducibleRandom, SearchState
from larchhaven.model.search_steps import (
    advance_time,
    deliver_all_messages,
    deliver_message,
    lose_message,
    run_member,
    run_without_faults,
)
from larchhaven.model.units import US_PER_SECOND

SETTLING_US = 8 * US_PER_SECOND
PARTITION_US = 30 * US_PER_SECOND
REFUTATION_US = 2 * US_PER_SECOND
PAUSE_US = 10 * US_PER_SECOND
ZONES = 3
# Members start at this incarnation plus their number.
FIRST_INCARNATION = 100
# Lower than the incarnation of the earlier process, as after a restart with a clock that is behind.
RESTART_INCARNATION = 3
RESTART_SEED = 77

MembershipType = type[Membership]
StartingState = Callable[[int, MembershipType], SearchState]


def settled(size: int, membership_type: MembershipType) -> SearchState:
    """Return a state of running members with equal views.

    Args:
        size: The number of members.
        membership_type: The protocol to run, or a variant of it with a planted fault.
    """
    state = SearchState(0, [], [True] * size)
    for number in range(size):
        info = MemberInfo(f"n{number}", number % ZONES)
        rng = ReproducibleRandom(number + 1)
        incarnation = FIRST_INCARNATION + number
        member = membership_type(0, number, size, info, incarnation, rng, ProtocolConfig())
        state.members.append(member)
    run_without_faults(state, SETTLING_US)
    return state


def suspected(size: int, membership_type: MembershipType) -> SearchState:
    """Return a state where member 0 suspects member 1, which is healthy."""
    state = settled(size, membership_type)
    stamp = make_stamp(state.members[1].incarnation, MemberState.SUSPECT)
    _receive_gossip(state, 0, StateUpdate(1, stamp, 0), sender=size - 1)
    return state


def leaving(size: int, membership_type: MembershipType) -> SearchState:
    """Return a state where member 1 leaves gracefully while member 0 suspects it."""
    state = suspected(size, membership_type)
    _leave(state, 1)
    return state


def killed(size: int, membership_type: MembershipType) -> SearchState:
    """Return a state where member 1 has crashed without sending a message."""
    state = settled(size, membership_type)
    state.running[1] = False
    return state


def restarted(size: int, membership_type: MembershipType) -> SearchState:
    """Return a state where member 1 has restarted and member 0 suspects its earlier process.

    The new process has a clock that is behind, so its first incarnation is lower.
    """
    state = suspected(size, membership_type)
    state.earlier_incarnations[1] = state.members[1].incarnation
    info = MemberInfo("n1", 1, started_unix_s=1)
    rng = ReproducibleRandom(RESTART_SEED)
    state.members[1] = membership_type(
        state.now_us, 1, size, info, RESTART_INCARNATION, rng, ProtocolConfig()
    )
    return state


def partitioned(size: int, membership_type: MembershipType) -> SearchState:
    """Return a state just after a partition of member 0, during which the last member left."""
    state = settled(size, membership_type)
    _leave(state, size - 1)
    end_us = state.now_us + PARTITION_US
    while state.now_us < end_us:
        _drop_messages_of(state, 0)
        while state.in_flight:
            deliver_message(state, 0)
            _drop_messages_of(state, 0)
        advance_time(state)
    return state


def paused(size: int, membership_type: MembershipType) -> SearchState:
    """Return a state where member 0 was paused right after it began to suspect member 1.

    Member 1 has refuted the suspicion, but member 0 has not received the refutation.
    """
    state = suspected(size, membership_type)
    _pause_first_member(state)
    return state


def paused_after_last_probe(size: int, membership_type: MembershipType) -> SearchState:
    """Return a state like ``paused``, with the pause after the last probe before the deadline."""
    state = suspected(size, membership_type)
    config = ProtocolConfig()
    suspicion = Suspicion.begin(state.now_us, 0, size, config)
    end_us = suspicion.deadline_us(own_number=0) - config.probe_timeout_us // 2
    while state.members[0].due_us < end_us:
        _deliver_all_but_refutations(state)
        advance_time(state)
    _deliver_all_but_refutations(state)
    _pause_first_member(state)
    return state


def _pause_first_member(state: SearchState) -> None:
    """Pause member 0 while all other members continue to run."""
    state.running[0] = False
    deliver_all_messages(state)
    end_us = state.now_us + REFUTATION_US
    while state.now_us < end_us:
        advance_time(state)
        deliver_all_messages(state)
    state.now_us += PAUSE_US
    for member in state.members[1:]:
        member.due_us = state.now_us
    state.running[0] = True


# The keys are the values of ``model search --scene``.
STARTING_STATES: dict[str, StartingState] = {
    "accused": suspected,
    "leaving": leaving,
    "killed": killed,
    "restarted": restarted,
    "cut off": partitioned,
    "asleep": paused,
    "asleep late": paused_after_last_probe,
}


def _receive_gossip(state: SearchState, number: int, update: StateUpdate, sender: int) -> None:
    """Deliver an update to a member in a gossip message from another member."""
    stamp = state.members[sender].stamp
    message = Message(MessageKind.GOSSIP, sender, number, stamp, state_updates=(update,))
    run_member(state, number, lambda member: member.receive(state.now_us, message))


def _deliver_all_but_refutations(state: SearchState) -> None:
    """Deliver all messages except those that could show member 0 that member 1 is alive."""
    while state.in_flight:
        if _may_refute(state.in_flight[0]):
            lose_message(state, 0)
        else:
            deliver_message(state, 0)


def _may_refute(message: Message) -> bool:
    if message.receiver != 0:
        return False
    is_about_suspect = any(update.number == 1 for update in message.state_updates)
    compares_views = message.kind in (MessageKind.PUSH_PULL_REQUEST, MessageKind.PUSH_PULL_RESPONSE)
    return 1 in (message.sender, message.target) or is_about_suspect or compares_views


def _leave(state: SearchState, number: int) -> None:
    state.left_numbers.add(number)
    run_member(state, number, lambda member: member.leave(state.now_us))
    state.running[number] = False


def _drop_messages_of(state: SearchState, number: int) -> None:
    state.in_flight = [
        message for message in state.in_flight if number not in (message.sender, message.receiver)
    ]
