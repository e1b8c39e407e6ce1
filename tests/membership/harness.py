"""Helpers for membership protocol tests: create a member, send it messages and run its timers."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from hypothesis import strategies as st

from larchhaven.membership.actions import Action, SendMessage
from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.member import (
    MemberInfo,
    MemberState,
    make_stamp,
)
from larchhaven.membership.membership import Membership
from larchhaven.membership.messages import (
    Message,
    MessageKind,
    StateUpdate,
)
from larchhaven.membership.view import MemberChanged

SECOND_US = 1_000_000
CONFIG = ProtocolConfig()


def synchronized_member(number: int = 0, size: int = 6, incarnation: int = 50) -> Membership:
    """Return a joined, synchronized member whose peers are all alive at incarnation 10."""
    info = MemberInfo(f"n{number}", number % 3)
    membership = Membership(0, number, size, info, incarnation, random.Random(1), CONFIG)
    peer = (number + 1) % size
    for other in range(size):
        if other != number:
            update = StateUpdate(other, make_stamp(10, MemberState.ALIVE))
            receive_updates(membership, 0, update, sender=peer)
    digests = membership.digests()
    response = message_to(membership, peer, MessageKind.PUSH_PULL_RESPONSE, digests=digests)
    membership.receive(0, response)
    assert membership.has_joined
    assert membership.view.is_synchronized
    return membership


def message_to(membership: Membership, sender: int, kind: MessageKind, **fields: object) -> Message:
    """Return a message to a member, from a peer at incarnation 10."""
    stamp = make_stamp(10, MemberState.ALIVE)
    return Message(kind, sender, membership.own_number, stamp, **fields)  # type: ignore[arg-type]


def receive_updates(
    membership: Membership, now_us: int, *updates: StateUpdate, sender: int = 1
) -> list[Action]:
    """Deliver state updates from a peer in a gossip message; return the resulting actions."""
    gossip = message_to(membership, sender, MessageKind.GOSSIP, state_updates=updates)
    return membership.receive(now_us, gossip)


def sent_messages(actions: Sequence[Action], kind: MessageKind | None = None) -> list[Message]:
    """Return the messages that the actions send, optionally of one kind only."""
    messages = [action.message for action in actions if isinstance(action, SendMessage)]
    return [message for message in messages if kind in (None, message.kind)]


def changes_in(actions: Sequence[Action]) -> list[MemberChanged]:
    """Return the changes of the view that the actions report."""
    return [action for action in actions if isinstance(action, MemberChanged)]


def run_until(
    membership: Membership, until_us: int, is_answered: Callable[[Message], bool]
) -> list[Action]:
    """Run timers up to a time; ack pings at once if ``is_answered`` returns true for them."""
    actions: list[Action] = []
    while membership.due_us <= until_us:
        now_us = membership.due_us
        new_actions = membership.run_timers(now_us)
        for ping in sent_messages(new_actions, MessageKind.PING):
            if is_answered(ping):
                stamp = membership.view.members[ping.receiver].stamp
                ack = Message(
                    MessageKind.ACK,
                    ping.receiver,
                    membership.own_number,
                    stamp,
                    sequence=ping.sequence,
                    target=ping.target,
                )
                new_actions += membership.receive(now_us, ack)
        actions += new_actions
    return actions


STATE_UPDATES = st.builds(
    StateUpdate,
    st.integers(1, 5),
    st.builds(make_stamp, st.integers(1, 14), st.sampled_from(MemberState)),
    st.integers(0, 5),
)
