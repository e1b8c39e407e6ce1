"""The memory account, the plan of caps, admission and the check against reality, without sockets."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from larchhaven.memory import plan
from larchhaven.memory.account import Account
from larchhaven.memory.admission import SPEAK_US, UNREAD_US, Admission, Giver, Room, gives_way
from larchhaven.memory.purposes import ABOUT, RESIDENT, Purpose
from larchhaven.memory.reality import TRIM_US, Reality

MB = plan.MB
PURPOSES = st.sampled_from(list(Purpose))


class AccountMachine(RuleBasedStateMachine):
    """Any order of charges, beside a model that is a dictionary."""

    def __init__(self) -> None:
        super().__init__()
        self.caps = dict.fromkeys(Purpose, 1_000)
        self.account = Account(self.caps)
        self.charged = dict.fromkeys(Purpose, 0)
        self.parts: dict[Purpose, dict[str, int]] = {purpose: {} for purpose in Purpose}
        self.refused = dict.fromkeys(Purpose, 0)
        self.high = dict.fromkeys(Purpose, 0)

    def used(self, purpose: Purpose) -> int:
        return self.charged[purpose] + sum(self.parts[purpose].values())

    @rule(purpose=PURPOSES, size=st.integers(1, 700))
    def take(self, purpose: Purpose, size: int) -> None:
        fits = self.used(purpose) + size <= self.caps[purpose]
        assert self.account.take(purpose, size) is fits
        self.charged[purpose] += size * fits
        self.refused[purpose] += not fits

    @rule(purpose=PURPOSES, size=st.integers(1, 2_000))
    def must(self, purpose: Purpose, size: int) -> None:
        self.account.must(purpose, size)
        self.charged[purpose] += size

    @rule(purpose=PURPOSES, share=st.floats(0, 1))
    def give(self, purpose: Purpose, share: float) -> None:
        size = int(self.charged[purpose] * share)
        self.account.give(purpose, size)
        self.charged[purpose] -= size

    @rule(purpose=PURPOSES, name=st.sampled_from("ab"), size=st.integers(0, 900))
    def part(self, purpose: Purpose, name: str, size: int) -> None:
        self.account.set_part(purpose, name, size)
        self.parts[purpose][name] = size

    @rule(purpose=PURPOSES, cap=st.integers(0, 2_000))
    def lower(self, purpose: Purpose, cap: int) -> None:
        self.account.set_caps({purpose: cap})
        self.caps[purpose] = cap

    @invariant()
    def agrees(self) -> None:
        for purpose in Purpose:
            self.high[purpose] = max(self.high[purpose], self.used(purpose))
            line = self.account.line(purpose)
            assert (line.cap, line.used, line.refused) == (
                self.caps[purpose],
                self.used(purpose),
                self.refused[purpose],
            )
            assert line.high == self.high[purpose]
        assert self.account.resident() == sum(self.used(p) for p in RESIDENT)
        assert self.account.over == 0


TestAccount = AccountMachine.TestCase
TestAccount.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)


def test_account_counts_a_give_back_of_what_was_never_taken() -> None:
    account = Account.unbounded()
    account.must(Purpose.BUFFERS, 10)
    account.give(Purpose.BUFFERS, 11)
    assert account.over == 1
    assert account.used(Purpose.BUFFERS) == 0


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.integers(1, 512),
    st.integers(1, 64),
    st.integers(64, 100_000),
    st.dictionaries(PURPOSES, st.integers(1, 64), max_size=9),
)
def test_plan_never_passes_the_grant_unless_it_says_so(
    grant: int, start: int, sockets: int, wanted: dict[Purpose, int]
) -> None:
    caps = {purpose: size * MB for purpose, size in wanted.items()}
    try:
        made = plan.make(grant * MB, start * MB, sockets, caps)
    except plan.PlanError as error:
        assert wanted
        assert "MB" in str(error)
        return
    assert set(made.caps) == set(Purpose)
    assert all(made.caps[purpose] >= least for purpose, least in plan.LEAST.items())
    assert all(made.caps[purpose] == cap for purpose, cap in caps.items())
    assert made.short or made.planned + made.margin + made.start <= made.grant
    assert not (made.short and wanted)
    assert plan.SOCKET_LEAST <= made.socket_bound <= plan.SOCKET_MOST


def test_plan_says_what_is_wrong_with_a_cap() -> None:
    with pytest.raises(plan.PlanError, match=r"kernel has 0.01 MB, and needs at least 0.25 MB"):
        plan.make(64 * MB, 20 * MB, 1024, {Purpose.KERNEL: MB // 100})
    with pytest.raises(plan.PlanError, match="of the 32 MB granted 24 MB go to the program"):
        plan.make(32 * MB, 24 * MB, 1024, {Purpose.BUFFERS: 30 * MB})
    assert plan.make(8 * MB, 24 * MB, 1024).short


def test_every_purpose_is_explained_and_has_a_share() -> None:
    assert set(ABOUT) == set(plan.SHARES) == set(plan.LEAST) == set(Purpose)
    assert abs(sum(plan.SHARES.values()) - 1) < 1e-9


def test_reserve_is_for_the_class_worth_most() -> None:
    admission = Admission([1.0, 5.0, 5.0])
    nearly_full = Room(1_000, 930, 10)
    assert admission.may_take(0, [nearly_full]) == 0
    assert admission.may_take(1, [nearly_full]) is None
    assert admission.may_take(2, [Room(1_000, 0, 10), Room(10, 1, 10)]) == 1
    assert admission.may_take(-1, [nearly_full]) == 0
    assert admission.may_take(9, [nearly_full]) == 0
    assert Admission([]).may_take(0, [Room(10, 0, 1)]) is None


OLD, FRESH = 0, UNREAD_US - SPEAK_US + 1


@pytest.mark.parametrize(
    ("silent", "since", "parting", "unread", "short", "giver"),
    [
        (0, OLD, 0, None, False, None),
        (5, OLD, 9, 0, False, None),
        (11, OLD, 9, 0, False, Giver.SILENT),  # too many bring nothing
        (11, OLD, 9, 0, True, Giver.SILENT),
        (11, FRESH, 9, 0, True, None),  # they have just come
        (5, OLD, 1, 0, True, Giver.PARTING),
        (5, OLD, 0, 0, True, Giver.UNREAD),
        (5, OLD, 0, 1, True, Giver.SILENT),  # unread for less than the time
        (5, FRESH, 0, 1, True, None),
        (0, OLD, 0, 1, True, None),
        (0, OLD, 0, None, True, None),
    ],
)
def test_who_gives_way(
    silent: int, since: int, parting: int, unread: int | None, short: bool, giver: Giver | None
) -> None:
    assert gives_way(silent, since, 10, parting, unread, UNREAD_US, short) is giver


def test_growth_that_no_purpose_explains_is_told_at_each_further_line_only() -> None:
    reality = Reality(100 * MB)
    reality.begin(20 * MB, MB)
    assert not reality.look(1, 24 * MB, 5 * MB).tell
    assert reality.last.unaccounted == 0
    told = [reality.look(at, (24 + at) * MB, 5 * MB).tell for at in range(1, 20)]
    assert [at for at, tell in enumerate(told, 1) if tell] == [6, 12, 18]
    assert reality.peak == 43 * MB


def test_allocator_is_asked_to_return_memory_now_and_then() -> None:
    reality = Reality(32 * MB)
    reality.begin(22 * MB, 0)
    assert not reality.look(0, 22 * MB + MB // 2, 0).trim
    trims = [reality.look(at, 25 * MB, 0).trim for at in (1, 2, TRIM_US, TRIM_US + 1, TRIM_US + 2)]
    assert trims == [True, False, False, True, False]
    assert reality.trims == 2
