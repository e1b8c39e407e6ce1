"""Tests of update precedence, joining, refutation, the message budget and small fleets."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchhaven.membership.counters import ProtocolCounter
from larchhaven.membership.member import (
    MAX_INCARNATION,
    MemberInfo,
    MemberState,
    make_stamp,
)
from larchhaven.membership.membership import Membership
from larchhaven.membership.messages import (
    DIGEST_BUCKETS,
    InfoUpdate,
    MessageKind,
    StateUpdate,
)
from tests.membership.harness import (
    CONFIG,
    SECOND_US,
    STATE_UPDATES,
    changes_in,
    message_to,
    receive_updates,
    run_until,
    sent_messages,
    synchronized_member,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(STATE_UPDATES, max_size=25), st.randoms(use_true_random=False), st.booleans())
def test_reordered_and_repeated_updates_give_the_same_view(
    updates: list[StateUpdate], rng: random.Random, is_repeated: bool
) -> None:
    """Merging is commutative and idempotent: members with the same updates have the same view."""
    first, second = synchronized_member(), synchronized_member()
    for update in updates:
        previous_stamps = {m.number: m.stamp for m in first.view.members.values()}
        for change in changes_in(receive_updates(first, 1, update, sender=5)):
            assert (change.previous_state, change.member.state) != (
                MemberState.LEFT,
                MemberState.SUSPECT,
            )
        assert all(first.view.members[n].stamp >= stamp for n, stamp in previous_stamps.items())
    shuffled = updates * 2 if is_repeated else list(updates)
    rng.shuffle(shuffled)
    for update in shuffled:
        receive_updates(second, 1, update, sender=5)
    assert first.view.agrees_with(second.view)
    # Without infos the digests cover stamps only.
    assert first.digests() == second.digests()


def test_suspected_member_refutes_with_the_next_incarnation() -> None:
    membership = synchronized_member()
    suspicion = StateUpdate(0, make_stamp(membership.incarnation, MemberState.SUSPECT), 3)
    before = membership.incarnation
    receive_updates(membership, 10, suspicion)
    assert membership.incarnation == before + 1
    assert membership.view.state_of(0) is MemberState.ALIVE
    assert membership.health.score == 1  # a member that has to refute may be slow itself
    receive_updates(membership, 20, suspicion)  # an outdated suspicion has no effect
    assert membership.incarnation == before + 1
    # An earlier process with this number was declared dead.
    receive_updates(membership, 30, StateUpdate(0, make_stamp(before + 7, MemberState.DEAD), 3))
    assert membership.incarnation == before + 8
    assert membership.view.state_of(0) is MemberState.ALIVE
    # The largest incarnation cannot be refuted.
    receive_updates(
        membership, 40, StateUpdate(0, make_stamp(MAX_INCARNATION, MemberState.DEAD), 3)
    )
    assert membership.incarnation == before + 8


def test_member_that_left_announces_it_again_when_declared_dead() -> None:
    membership = synchronized_member()
    membership.leave(10)
    assert membership.view.state_of(0) is MemberState.LEFT
    receive_updates(
        membership, 20, StateUpdate(0, make_stamp(membership.incarnation + 1, MemberState.DEAD), 3)
    )
    assert membership.view.state_of(0) is MemberState.LEFT


def test_new_member_takes_an_incarnation_above_what_others_remember() -> None:
    """If the wall clock is slow, the first incarnation is smaller than the remembered one."""
    membership = Membership(0, 0, 3, MemberInfo("n0"), 5, random.Random(1), CONFIG)
    actions = membership.run_timers(0)
    assert sent_messages(actions, MessageKind.PUSH_PULL_REQUEST)
    assert not membership.has_joined
    assert sent_messages(actions)[0].stamp == 0
    membership.receive(
        10,
        message_to(
            membership,
            1,
            MessageKind.PUSH_PULL_RESPONSE,
            digests=(0,) * 2 * DIGEST_BUCKETS,
            state_updates=(StateUpdate(0, 90 << 2),),
        ),
    )
    assert membership.has_joined
    assert membership.incarnation == 91


def test_new_member_without_answers_takes_its_own_incarnation() -> None:
    membership = Membership(0, 0, 3, MemberInfo("n0"), 5, random.Random(1), CONFIG)
    run_until(membership, CONFIG.join_timeout_us, lambda ping: False)
    assert membership.has_joined
    assert membership.incarnation == 5
    assert not membership.view.is_synchronized


def test_numbers_beyond_the_table_are_counted_and_ignored() -> None:
    membership = synchronized_member()
    receive_updates(membership, 10, StateUpdate(60, make_stamp(10, MemberState.ALIVE)))
    update = InfoUpdate(60, 10, MemberInfo("unknown"))
    membership.receive(20, message_to(membership, 1, MessageKind.GOSSIP, info_updates=(update,)))
    membership.receive(
        30, message_to(membership, 1, MessageKind.INDIRECT_PROBE_REQUEST, sequence=1, target=60)
    )
    assert membership.counters[ProtocolCounter.NUMBERS_BEYOND_TABLE] == 2
    assert membership.view.get(60) is None


def test_two_processes_with_the_same_incarnation_are_distinguished() -> None:
    """If a proxy is started twice within one second, the running process raises its incarnation."""
    membership = synchronized_member()
    own = membership.view.members[0]
    membership.receive(
        10,
        message_to(
            membership,
            1,
            MessageKind.GOSSIP,
            info_updates=(InfoUpdate(0, own.info_incarnation, MemberInfo("n0", started_unix_s=9)),),
        ),
    )
    assert membership.incarnation == own.incarnation + 1
    assert membership.view.members[0].info == own.info


def test_larger_info_wins_at_the_same_incarnation() -> None:
    first, second = synchronized_member(), synchronized_member()
    updates = [
        InfoUpdate(2, 10, MemberInfo("a", started_unix_s=1)),
        InfoUpdate(2, 10, MemberInfo("b", started_unix_s=2)),
        InfoUpdate(2, 9, MemberInfo("c")),
    ]
    for membership, ordered in ((first, updates), (second, updates[::-1])):
        for update in ordered:
            membership.receive(
                10, message_to(membership, 1, MessageKind.GOSSIP, info_updates=(update,))
            )
    assert first.view.agrees_with(second.view)
    assert first.view.members[2].info == MemberInfo("b", started_unix_s=2)


def test_message_budget_limits_messages_for_any_number_of_requests() -> None:
    membership = synchronized_member(size=200)
    before = membership.counters[ProtocolCounter.MESSAGES_SENT]
    for i in range(400):
        membership.receive(
            SECOND_US,
            message_to(membership, 1, MessageKind.INDIRECT_PROBE_REQUEST, sequence=i, target=2),
        )
        membership.receive(
            SECOND_US,
            message_to(
                membership, 1, MessageKind.PUSH_PULL_REQUEST, digests=(0,) * 2 * DIGEST_BUCKETS
            ),
        )
    burst = membership.counters[ProtocolCounter.MESSAGES_SENT] - before
    assert burst <= CONFIG.message_burst + 50
    assert membership.counters[ProtocolCounter.MESSAGES_SUPPRESSED] > 300
    for now_us in range(SECOND_US, 11 * SECOND_US, 100_000):
        membership.run_timers(now_us)
    assert (
        membership.counters[ProtocolCounter.MESSAGES_SENT] - before
        <= burst + 10 * CONFIG.messages_per_second + 1
    )


@pytest.mark.parametrize("size", [1, 2, 3])
def test_smallest_fleets_converge(size: int) -> None:
    memberships = [
        Membership(0, n, size, MemberInfo(f"n{n}"), 5, random.Random(n), CONFIG)
        for n in range(size)
    ]
    now_us = 0
    while now_us < 4 * SECOND_US:
        now_us = max(now_us, min(membership.due_us for membership in memberships))
        in_flight = [
            m
            for membership in memberships
            if membership.due_us <= now_us
            for m in sent_messages(membership.run_timers(now_us))
        ]
        while in_flight:
            message = in_flight.pop(0)
            in_flight += sent_messages(memberships[message.receiver].receive(now_us, message))
    assert all(
        membership.has_joined
        and membership.view.is_synchronized
        and len(membership.view.present_numbers()) == size
        for membership in memberships
    )
    assert all(membership.view.agrees_with(memberships[0].view) for membership in memberships)


def test_digests_do_not_change() -> None:
    """Proxies of different versions compare digests."""
    info = MemberInfo("n0", 2, 1, 5)
    membership = Membership(0, 0, 1, info, 7, random.Random(1), CONFIG)
    assert membership.digests()[0] == 3466741951
    assert membership.digests()[DIGEST_BUCKETS] == 2206860229
