"""Tests of the partition status, and of the choice of members responsible for a key."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from larchhaven.membership.member import (
    Member,
    MemberInfo,
    MemberState,
    make_stamp,
)
from larchhaven.membership.partition import (
    AGREEMENT_DELAY_US,
    PartitionSide,
    PartitionTracker,
    presumed_present,
)
from larchhaven.membership.rendezvous import choose_members, rendezvous_weight
from larchhaven.membership.view import MembershipView


def view_of(
    states: dict[int, MemberState], zones: int = 3, is_synchronized: bool = True
) -> MembershipView:
    view = MembershipView(0, 64, 1, is_synchronized)
    for number, state in states.items():
        member = Member(
            number, make_stamp(1, state), 0, (), MemberInfo(f"n{number}", number % zones), 1
        )
        view = replace(view, members=view.members.insert(number, member))
    return view


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.binary(min_size=1, max_size=8),
    st.sets(st.integers(0, 63), min_size=4, max_size=40),
    st.data(),
)
def test_death_moves_only_the_keys_of_the_dead_member(
    key: bytes, numbers: set[int], data: st.DataObject
) -> None:
    complete = view_of(dict.fromkeys(numbers, MemberState.ALIVE), zones=1)
    chosen = choose_members(complete, key, 3)
    assert len(set(chosen)) == 3
    assert set(chosen) <= numbers
    dead = data.draw(st.sampled_from(sorted(numbers)))
    after = choose_members(
        view_of(
            {n: MemberState.DEAD if n == dead else MemberState.ALIVE for n in numbers}, zones=1
        ),
        key,
        3,
    )
    assert dead not in after
    assert set(chosen) - {dead} <= set(after)


def test_chosen_members_are_spread_over_zones() -> None:
    living = view_of(dict.fromkeys(range(30), MemberState.ALIVE))
    for key in range(40):
        chosen = choose_members(living, bytes([key]), 4, excluded=[0])
        assert {n % 3 for n in chosen[:3]} == {0, 1, 2}
        assert len(set(chosen)) == 4
        assert 0 not in chosen
    assert choose_members(
        view_of({1: MemberState.ALIVE, 2: MemberState.LEFT, 4: MemberState.SUSPECT}), b"k", 5
    ) in (
        [1, 4],
        [4, 1],
    )


def test_weights_do_not_change() -> None:
    """Proxies of different versions must choose the same members."""
    assert rendezvous_weight(b"key", 7) == 8905555666779977681


def test_partition_side_follows_from_the_last_agreed_set() -> None:
    tracker = PartitionTracker()
    complete = dict.fromkeys(range(6), MemberState.ALIVE)
    assert tracker.update(0, view_of(complete)).side is PartitionSide.UNKNOWN
    assert tracker.update(AGREEMENT_DELAY_US, view_of(complete)).side is PartitionSide.WHOLE
    majority = {**complete, 0: MemberState.DEAD, 3: MemberState.DEAD}
    status = tracker.update(AGREEMENT_DELAY_US + 1, view_of(majority))
    assert (status.side, status.present_count, status.agreed_count, status.lost_zones) == (
        PartitionSide.MAJORITY,
        4,
        6,
        (0,),
    )
    minority = {n: MemberState.ALIVE if n in (0, 3) else MemberState.DEAD for n in range(6)}
    for periods in range(1, 20):  # for any duration
        status = tracker.update(AGREEMENT_DELAY_US * (1 + periods), view_of(minority))
        assert (status.side, status.agreed_count) == (PartitionSide.MINORITY, 6)
    lower = {n: MemberState.ALIVE if n < 3 else MemberState.DEAD for n in range(6)}
    upper = {n: MemberState.ALIVE if n >= 3 else MemberState.DEAD for n in range(6)}
    # This half has the member with the smallest number.
    assert tracker.update(30 * AGREEMENT_DELAY_US, view_of(lower)).side is PartitionSide.MAJORITY
    other_tracker = PartitionTracker()
    other_tracker.agreed = frozenset(range(6))
    assert other_tracker.update(0, view_of(upper)).side is PartitionSide.MINORITY
    left = {n: MemberState.ALIVE if n in (0, 3) else MemberState.LEFT for n in range(6)}
    # Members that left do not count towards the agreed set.
    assert other_tracker.update(1, view_of(left)).side is PartitionSide.WHOLE


def test_confidence_falls_with_suspects_and_after_a_pause() -> None:
    tracker = PartitionTracker()
    states = {
        0: MemberState.ALIVE,
        1: MemberState.ALIVE,
        2: MemberState.SUSPECT,
        3: MemberState.SUSPECT,
    }
    assert tracker.update(0, view_of(states)).confidence_ratio == 0.5
    assert tracker.update(0, view_of(states, is_synchronized=False)).confidence_ratio == 0.0
    # A view with suspects is never agreed.
    assert tracker.update(9 * AGREEMENT_DELAY_US, view_of(states)).side is PartitionSide.UNKNOWN


def test_only_a_synchronized_majority_excludes_members() -> None:
    """Work for the fleet is divided among the members that are not excluded.

    A minority side that excluded the other members would take over all of their work.
    """
    tracker = PartitionTracker()
    complete = dict.fromkeys(range(6), MemberState.ALIVE)
    assert presumed_present(view_of(complete), tracker.update(0, view_of(complete))) == frozenset(
        range(64)
    )
    tracker.update(AGREEMENT_DELAY_US, view_of(complete))
    states = {**complete, 1: MemberState.DEAD, 2: MemberState.LEFT, 3: MemberState.SUSPECT}
    view = view_of(states)
    assert presumed_present(view, tracker.update(AGREEMENT_DELAY_US + 1, view)) == frozenset(
        range(64)
    ) - {1, 2}
    stale = view_of(states, is_synchronized=False)
    assert presumed_present(stale, tracker.update(AGREEMENT_DELAY_US + 2, stale)) == frozenset(
        range(64)
    )
    smaller = view_of({n: MemberState.ALIVE if n < 2 else MemberState.DEAD for n in range(6)})
    assert presumed_present(smaller, tracker.update(AGREEMENT_DELAY_US + 3, smaller)) == frozenset(
        range(64)
    )
