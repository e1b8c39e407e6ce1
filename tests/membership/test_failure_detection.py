"""Tests of probes, suspicions, local health and pauses of the process, without sockets."""

from __future__ import annotations

from larchhaven.membership.actions import Action
from larchhaven.membership.counters import ProtocolCounter
from larchhaven.membership.member import (
    MemberState,
    make_stamp,
)
from larchhaven.membership.membership import Membership
from larchhaven.membership.messages import (
    Message,
    MessageKind,
    StateUpdate,
)
from larchhaven.membership.suspicion import Suspicion
from tests.membership.harness import (
    CONFIG,
    SECOND_US,
    changes_in,
    message_to,
    receive_updates,
    run_until,
    sent_messages,
    synchronized_member,
)


def test_silent_member_is_suspected_and_then_declared_dead() -> None:
    membership = synchronized_member()
    actions = run_until(membership, 30 * SECOND_US, lambda ping: ping.target != 2)
    states = [c.member.state for c in changes_in(actions) if c.member.number == 2]
    assert states == [MemberState.SUSPECT, MemberState.DEAD]
    dead = next(c for c in changes_in(actions) if c.member.state is MemberState.DEAD)
    assert dead.member.suspectors == (0,)  # without confirmations the timeout is the maximum
    suspected = next(c for c in changes_in(actions) if c.member.state is MemberState.SUSPECT)
    assert dead.at_us - suspected.at_us >= int(
        CONFIG.min_suspicion_us * CONFIG.suspicion_max_multiplier
    )
    assert all(membership.view.state_of(n) is MemberState.ALIVE for n in (0, 1, 3, 4, 5))


def test_confirmations_shorten_the_timeout_of_suspectors_only() -> None:
    suspicion = Suspicion.begin(0, 1, 10, CONFIG)
    unconfirmed_us = suspicion.deadline_us(1)
    assert (
        unconfirmed_us
        == int(CONFIG.min_suspicion_us * CONFIG.suspicion_max_multiplier)
        == suspicion.deadline_us(9)
    )
    assert not suspicion.confirm(1)  # the same suspector again
    deadlines_us = [unconfirmed_us]
    for suspector in (2, 3, 4):
        assert suspicion.confirm(suspector)
        deadlines_us.append(suspicion.deadline_us(1))
    assert deadlines_us == sorted(deadlines_us, reverse=True)
    assert deadlines_us[-1] == CONFIG.min_suspicion_us
    assert suspicion.deadline_us(9) == unconfirmed_us
    # With two members there is no other member to confirm.
    assert Suspicion.begin(0, 1, 2, CONFIG).deadline_us(1) == CONFIG.min_suspicion_us


def ack_with_refutation(membership: Membership, ping: Message) -> list[Action]:
    """Ack a ping; member 2 refutes its suspicion with a later incarnation."""
    incarnation = 11 if ping.receiver == 2 else 10
    stamp = make_stamp(incarnation, MemberState.ALIVE)
    ack = Message(
        MessageKind.ACK, ping.receiver, 0, stamp, sequence=ping.sequence, target=ping.target
    )
    return membership.receive(membership.due_us, ack)


def run_with_healing(membership: Membership, until_us: int, heals_at_us: int) -> list[Action]:
    """Run timers and ack pings; member 2 is unreachable before ``heals_at_us``."""
    actions: list[Action] = []
    while membership.due_us <= until_us:
        now_us = membership.due_us
        new_actions = membership.run_timers(now_us)
        actions += new_actions
        for ping in sent_messages(new_actions, MessageKind.PING):
            if ping.receiver != 2 or now_us >= heals_at_us:
                actions += ack_with_refutation(membership, ping)
    return actions


def test_member_whose_network_heals_just_before_the_deadline_is_not_declared_dead() -> None:
    """A suspect is probed once more before its deadline.

    Without that probe, a suspect whose partition heals after the previous regular probe is declared
    dead although it can be reached again.
    """
    membership = synchronized_member()
    suspicion_update = StateUpdate(2, make_stamp(10, MemberState.SUSPECT), 0)
    receive_updates(membership, 0, suspicion_update, sender=3)
    deadline_us = Suspicion.begin(0, 0, 6, CONFIG).deadline_us(0)
    heals_at_us = deadline_us - CONFIG.probe_timeout_us
    actions = run_with_healing(membership, deadline_us + SECOND_US, heals_at_us)
    assert membership.view.state_of(2) is MemberState.ALIVE
    assert MemberState.DEAD not in [change.member.state for change in changes_in(actions)]


def test_suspect_is_probed_once_more_when_confirmations_shorten_its_timeout() -> None:
    membership = synchronized_member()
    stamp = make_stamp(10, MemberState.SUSPECT)
    receive_updates(membership, 0, StateUpdate(2, stamp, 0), sender=3)
    confirmed_at_us = 3 * SECOND_US + 1
    run_with_healing(membership, confirmed_at_us, heals_at_us=confirmed_at_us)
    for suspector in (3, 4, 5):
        confirmation = StateUpdate(2, stamp, suspector)
        receive_updates(membership, confirmed_at_us, confirmation, sender=suspector)
    actions = run_with_healing(membership, 5 * SECOND_US, heals_at_us=confirmed_at_us)
    assert membership.view.state_of(2) is MemberState.ALIVE
    assert MemberState.DEAD not in [change.member.state for change in changes_in(actions)]


def test_suspector_probes_again_until_the_deadline() -> None:
    """A single ack with a later incarnation ends the suspicion."""
    membership = synchronized_member()
    receive_updates(
        membership, 10, StateUpdate(2, make_stamp(10, MemberState.SUSPECT), 0), sender=3
    )
    pings = [
        p
        for p in sent_messages(
            run_until(membership, 2 * SECOND_US, lambda ping: ping.target != 2), MessageKind.PING
        )
        if p.receiver == 2
    ]
    assert len(pings) >= 3
    assert all(p.state_updates[0].number == 2 for p in pings)
    ack = Message(
        MessageKind.ACK,
        2,
        0,
        make_stamp(11, MemberState.ALIVE),
        sequence=pings[-1].sequence,
        target=2,
    )
    membership.receive(2 * SECOND_US, ack)
    assert membership.view.state_of(2) is MemberState.ALIVE
    assert not membership.suspected_numbers()


def test_slow_member_lengthens_its_own_intervals() -> None:
    membership = synchronized_member()
    run_until(membership, 10 * SECOND_US, lambda ping: False)
    assert membership.health.score > 2
    interval_us = membership.health.scale_us(CONFIG.probe_interval_us)
    assert interval_us == CONFIG.probe_interval_us * (membership.health.score + 1)
    for _ in range(20):
        membership.health.improve()
    assert membership.health.scale_us(CONFIG.probe_interval_us) == CONFIG.probe_interval_us


def test_process_pause_is_detected_and_marks_the_view_as_stale() -> None:
    """Suspicions buffered during a pause of twelve seconds do not declare any member dead."""
    membership = synchronized_member()
    receive_updates(
        membership, 10, StateUpdate(2, make_stamp(10, MemberState.SUSPECT), 0), sender=3
    )
    actions = receive_updates(
        membership,
        12 * SECOND_US,
        *(StateUpdate(n, make_stamp(10, MemberState.SUSPECT), 1) for n in (3, 4, 5)),
    )
    actions += membership.run_timers(12 * SECOND_US)
    assert membership.counters[ProtocolCounter.PROCESS_PAUSES] == 1
    assert not membership.view.is_synchronized
    assert not [c for c in changes_in(actions) if c.member.state is MemberState.DEAD]
    assert sent_messages(actions, MessageKind.PUSH_PULL_REQUEST)  # sent at once
    membership.receive(
        12 * SECOND_US + 10,
        message_to(membership, 1, MessageKind.PUSH_PULL_RESPONSE, digests=membership.digests()),
    )
    assert membership.view.is_synchronized


def test_isolated_member_trusts_its_own_observations_after_a_pause() -> None:
    membership = synchronized_member(size=2)
    actions = membership.run_timers(20 * SECOND_US)
    actions += run_until(membership, 60 * SECOND_US, lambda ping: False)
    assert membership.view.state_of(1) is MemberState.DEAD
    assert not membership.view.is_synchronized


def test_late_timer_only_abandons_the_probe_under_way() -> None:
    membership = synchronized_member()
    while not sent_messages(membership.run_timers(membership.due_us), MessageKind.PING):
        pass
    membership.run_timers(membership.due_us + CONFIG.late_timer_threshold_us)
    assert membership.counters[ProtocolCounter.LATE_TIMERS] == 1
    assert membership.counters[ProtocolCounter.PROCESS_PAUSES] == 0
    assert membership.view.is_synchronized


def test_suspicion_of_a_member_that_left_reports_its_return_first() -> None:
    membership = synchronized_member()
    receive_updates(membership, 10, StateUpdate(2, make_stamp(10, MemberState.LEFT)))
    changes = changes_in(
        receive_updates(membership, 20, StateUpdate(2, make_stamp(12, MemberState.SUSPECT), 3))
    )
    assert [(c.previous_state, c.member.state) for c in changes] == [
        (MemberState.LEFT, MemberState.ALIVE),
        (MemberState.ALIVE, MemberState.SUSPECT),
    ]
    receive_updates(membership, 30, StateUpdate(2, make_stamp(13, MemberState.LEFT)))
    assert not changes_in(
        receive_updates(membership, 40, StateUpdate(2, make_stamp(13, MemberState.SUSPECT), 3))
    )
