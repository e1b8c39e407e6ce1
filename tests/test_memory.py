"""The memory account, the plan of caps, admission and the check against reality, without sockets."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from larchhaven.memory import plan
from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.admission import (
    SPEAK_US,
    UNREAD_US,
    Admission,
    Capacity,
    ShedCandidate,
    choose_shed_candidate,
)
from larchhaven.memory.purposes import PURPOSE_DESCRIPTIONS, RESIDENT_PURPOSES, MemoryPurpose
from larchhaven.memory.resident_monitor import TRIM_INTERVAL_US, ResidentMemoryMonitor

MB = plan.BYTES_PER_MB
PURPOSES = st.sampled_from(list(MemoryPurpose))


class AccountMachine(RuleBasedStateMachine):
    """Any order of charges, beside a model that is a dictionary."""

    def __init__(self) -> None:
        super().__init__()
        self.caps = dict.fromkeys(MemoryPurpose, 1_000)
        self.account = MemoryAccount(self.caps)
        self.charged = dict.fromkeys(MemoryPurpose, 0)
        self.parts: dict[MemoryPurpose, dict[str, int]] = {purpose: {} for purpose in MemoryPurpose}
        self.refused = dict.fromkeys(MemoryPurpose, 0)
        self.high = dict.fromkeys(MemoryPurpose, 0)

    def used(self, purpose: MemoryPurpose) -> int:
        return self.charged[purpose] + sum(self.parts[purpose].values())

    @rule(purpose=PURPOSES, size=st.integers(1, 700))
    def take(self, purpose: MemoryPurpose, size: int) -> None:
        fits = self.used(purpose) + size <= self.caps[purpose]
        assert self.account.try_charge(purpose, size) is fits
        self.charged[purpose] += size * fits
        self.refused[purpose] += not fits

    @rule(purpose=PURPOSES, size=st.integers(1, 2_000))
    def must(self, purpose: MemoryPurpose, size: int) -> None:
        self.account.charge(purpose, size)
        self.charged[purpose] += size

    @rule(purpose=PURPOSES, share=st.floats(0, 1))
    def give(self, purpose: MemoryPurpose, share: float) -> None:
        size = int(self.charged[purpose] * share)
        self.account.release(purpose, size)
        self.charged[purpose] -= size

    @rule(purpose=PURPOSES, name=st.sampled_from("ab"), size=st.integers(0, 900))
    def part(self, purpose: MemoryPurpose, name: str, size: int) -> None:
        self.account.set_sampled_bytes(purpose, name, size)
        self.parts[purpose][name] = size

    @rule(purpose=PURPOSES, cap=st.integers(0, 2_000))
    def lower(self, purpose: MemoryPurpose, cap: int) -> None:
        self.account.set_caps({purpose: cap})
        self.caps[purpose] = cap

    @invariant()
    def agrees(self) -> None:
        for purpose in MemoryPurpose:
            self.high[purpose] = max(self.high[purpose], self.used(purpose))
            line = self.account.usage(purpose)
            assert (line.cap_bytes, line.used_bytes, line.rejected) == (
                self.caps[purpose],
                self.used(purpose),
                self.refused[purpose],
            )
            assert line.peak_bytes == self.high[purpose]
        assert self.account.resident_bytes() == sum(self.used(p) for p in RESIDENT_PURPOSES)
        assert self.account.excess_releases == 0


TestAccount = AccountMachine.TestCase
TestAccount.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)


def test_account_counts_a_give_back_of_what_was_never_taken() -> None:
    account = MemoryAccount.unbounded()
    account.charge(MemoryPurpose.BUFFERS, 10)
    account.release(MemoryPurpose.BUFFERS, 11)
    assert account.excess_releases == 1
    assert account.used_bytes(MemoryPurpose.BUFFERS) == 0


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.integers(1, 512),
    st.integers(1, 64),
    st.integers(64, 100_000),
    st.dictionaries(PURPOSES, st.integers(1, 64), max_size=9),
)
def test_plan_never_passes_the_grant_unless_it_says_so(
    grant: int, start: int, sockets: int, wanted: dict[MemoryPurpose, int]
) -> None:
    caps = {purpose: size * MB for purpose, size in wanted.items()}
    try:
        made = plan.make_plan(grant * MB, start * MB, sockets, caps)
    except plan.MemoryPlanError as error:
        assert wanted
        assert "MB" in str(error)
        return
    assert set(made.caps) == set(MemoryPurpose)
    assert all(made.caps[purpose] >= least for purpose, least in plan.MIN_CAP_BYTES.items())
    assert all(made.caps[purpose] == cap for purpose, cap in caps.items())
    assert (
        made.is_below_minimum
        or made.planned_bytes + made.unplanned_bytes + made.program_bytes <= made.grant_bytes
    )
    assert not (made.is_below_minimum and wanted)
    assert plan.MIN_SOCKET_BUFFER_BYTES <= made.socket_buffer_bytes <= plan.MAX_SOCKET_BUFFER_BYTES


def test_plan_says_what_is_wrong_with_a_cap() -> None:
    with pytest.raises(
        plan.MemoryPlanError, match=r"kernel has 0.01 MB, and needs at least 0.25 MB"
    ):
        plan.make_plan(64 * MB, 20 * MB, 1024, {MemoryPurpose.KERNEL: MB // 100})
    with pytest.raises(plan.MemoryPlanError, match="of the 32 MB granted 24 MB go to the program"):
        plan.make_plan(32 * MB, 24 * MB, 1024, {MemoryPurpose.BUFFERS: 30 * MB})
    assert plan.make_plan(8 * MB, 24 * MB, 1024).is_below_minimum


def test_every_purpose_is_explained_and_has_a_share() -> None:
    assert (
        set(PURPOSE_DESCRIPTIONS)
        == set(plan.CAP_RATIOS)
        == set(plan.MIN_CAP_BYTES)
        == set(MemoryPurpose)
    )
    assert abs(sum(plan.CAP_RATIOS.values()) - 1) < 1e-9


def test_reserve_is_for_the_class_worth_most() -> None:
    admission = Admission([1.0, 5.0, 5.0])
    nearly_full = Capacity(1_000, 930, 10)
    assert admission.find_exhausted(0, [nearly_full]) == 0
    assert admission.find_exhausted(1, [nearly_full]) is None
    assert admission.find_exhausted(2, [Capacity(1_000, 0, 10), Capacity(10, 1, 10)]) == 1
    assert admission.find_exhausted(-1, [nearly_full]) == 0
    assert admission.find_exhausted(9, [nearly_full]) == 0
    assert Admission([]).find_exhausted(0, [Capacity(10, 0, 1)]) is None


OLD, FRESH = 0, UNREAD_US - SPEAK_US + 1


@pytest.mark.parametrize(
    ("silent", "since", "parting", "unread", "short", "giver"),
    [
        (0, OLD, 0, None, False, None),
        (5, OLD, 9, 0, False, None),
        (11, OLD, 9, 0, False, ShedCandidate.SILENT),  # too many bring nothing
        (11, OLD, 9, 0, True, ShedCandidate.SILENT),
        (11, FRESH, 9, 0, True, None),  # they have just come
        (5, OLD, 1, 0, True, ShedCandidate.PARTING),
        (5, OLD, 0, 0, True, ShedCandidate.UNREAD),
        (5, OLD, 0, 1, True, ShedCandidate.SILENT),  # unread for less than the time
        (5, FRESH, 0, 1, True, None),
        (0, OLD, 0, 1, True, None),
        (0, OLD, 0, None, True, None),
    ],
)
def test_who_gives_way(
    silent: int,
    since: int,
    parting: int,
    unread: int | None,
    short: bool,
    giver: ShedCandidate | None,
) -> None:
    assert choose_shed_candidate(silent, since, 10, parting, unread, UNREAD_US, short) is giver


def test_growth_that_no_purpose_explains_is_told_at_each_further_line_only() -> None:
    reality = ResidentMemoryMonitor(100 * MB)
    reality.start(20 * MB, MB)
    assert not reality.sample(1, 24 * MB, 5 * MB).should_warn
    assert reality.last_sample.unaccounted_bytes == 0
    told = [reality.sample(at, (24 + at) * MB, 5 * MB).should_warn for at in range(1, 20)]
    assert [at for at, tell in enumerate(told, 1) if tell] == [6, 12, 18]
    assert reality.peak_bytes == 43 * MB


def test_allocator_is_asked_to_return_memory_now_and_then() -> None:
    reality = ResidentMemoryMonitor(32 * MB)
    reality.start(22 * MB, 0)
    assert not reality.sample(0, 22 * MB + MB // 2, 0).should_trim
    trims = [
        reality.sample(at, 25 * MB, 0).should_trim
        for at in (1, 2, TRIM_INTERVAL_US, TRIM_INTERVAL_US + 1, TRIM_INTERVAL_US + 2)
    ]
    assert trims == [True, False, False, True, False]
    assert reality.trim_count == 2
