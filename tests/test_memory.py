"""The memory account, the plan of caps, admission and the resident memory monitor, without sockets."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from larchhaven.memory import plan
from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.admission import (
    DEFAULT_THRESHOLDS,
    Admission,
    Capacity,
    ShedCandidate,
    choose_shed_candidate,
)
from larchhaven.memory.purposes import PURPOSE_DESCRIPTIONS, RESIDENT_PURPOSES, MemoryPurpose
from larchhaven.memory.resident_monitor import TRIM_INTERVAL_US, ResidentMemoryMonitor

MB = plan.BYTES_PER_MB
PURPOSES = st.sampled_from(list(MemoryPurpose))


class MemoryAccountMachine(RuleBasedStateMachine):
    """Any order of charges, beside a model that is a dictionary."""

    def __init__(self) -> None:
        super().__init__()
        self.caps = dict.fromkeys(MemoryPurpose, 1_000)
        self.account = MemoryAccount(self.caps)
        self.charged = dict.fromkeys(MemoryPurpose, 0)
        self.sampled: dict[MemoryPurpose, dict[str, int]] = {
            purpose: {} for purpose in MemoryPurpose
        }
        self.rejected = dict.fromkeys(MemoryPurpose, 0)
        self.peak = dict.fromkeys(MemoryPurpose, 0)

    def used(self, purpose: MemoryPurpose) -> int:
        return self.charged[purpose] + sum(self.sampled[purpose].values())

    @rule(purpose=PURPOSES, size=st.integers(1, 700))
    def try_charge(self, purpose: MemoryPurpose, size: int) -> None:
        fits = self.used(purpose) + size <= self.caps[purpose]
        assert self.account.try_charge(purpose, size) is fits
        self.charged[purpose] += size * fits
        self.rejected[purpose] += not fits

    @rule(purpose=PURPOSES, size=st.integers(1, 2_000))
    def charge(self, purpose: MemoryPurpose, size: int) -> None:
        self.account.charge(purpose, size)
        self.charged[purpose] += size

    @rule(purpose=PURPOSES, ratio=st.floats(0, 1))
    def release(self, purpose: MemoryPurpose, ratio: float) -> None:
        size = int(self.charged[purpose] * ratio)
        self.account.release(purpose, size)
        self.charged[purpose] -= size

    @rule(purpose=PURPOSES, source=st.sampled_from("ab"), size=st.integers(0, 900))
    def sample(self, purpose: MemoryPurpose, source: str, size: int) -> None:
        self.account.set_sampled_bytes(purpose, source, size)
        self.sampled[purpose][source] = size

    @rule(purpose=PURPOSES, cap=st.integers(0, 2_000))
    def set_cap(self, purpose: MemoryPurpose, cap: int) -> None:
        self.account.set_caps({purpose: cap})
        self.caps[purpose] = cap

    @invariant()
    def account_matches_model(self) -> None:
        for purpose in MemoryPurpose:
            self.peak[purpose] = max(self.peak[purpose], self.used(purpose))
            usage = self.account.usage(purpose)
            assert usage.cap_bytes == self.caps[purpose]
            assert usage.used_bytes == self.used(purpose)
            assert usage.rejected == self.rejected[purpose]
            assert usage.peak_bytes == self.peak[purpose]
        assert self.account.resident_bytes() == sum(self.used(p) for p in RESIDENT_PURPOSES)
        assert self.account.excess_releases == 0


TestMemoryAccount = MemoryAccountMachine.TestCase
TestMemoryAccount.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)


def test_account_counts_a_release_of_more_than_was_charged() -> None:
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
def test_plan_never_exceeds_the_grant_unless_it_says_so(
    grant: int, program: int, max_sockets: int, operator_caps: dict[MemoryPurpose, int]
) -> None:
    caps = {purpose: size * MB for purpose, size in operator_caps.items()}
    try:
        made = plan.make_plan(grant * MB, program * MB, max_sockets, caps)
    except plan.MemoryPlanError as error:
        assert operator_caps
        assert "MB" in str(error)
        return
    assert set(made.caps) == set(MemoryPurpose)
    assert all(made.caps[purpose] >= least for purpose, least in plan.MIN_CAP_BYTES.items())
    assert all(made.caps[purpose] == cap for purpose, cap in caps.items())
    assert (
        made.is_below_minimum
        or made.planned_bytes + made.unplanned_bytes + made.program_bytes <= made.grant_bytes
    )
    assert not (made.is_below_minimum and operator_caps)
    assert plan.MIN_SOCKET_BUFFER_BYTES <= made.socket_buffer_bytes <= plan.MAX_SOCKET_BUFFER_BYTES


def test_plan_error_says_what_is_wrong_with_a_cap() -> None:
    with pytest.raises(
        plan.CapTooSmallError, match=r"kernel has 0.01 MB, and needs at least 0.25 MB"
    ) as too_small:
        plan.make_plan(64 * MB, 20 * MB, 1024, {MemoryPurpose.KERNEL: MB // 100})
    assert too_small.value.purpose is MemoryPurpose.KERNEL
    assert too_small.value.min_bytes == plan.MIN_CAP_BYTES[MemoryPurpose.KERNEL]
    with pytest.raises(
        plan.CapsExceedGrantError, match="of the 32 MB granted 24 MB go to the program"
    ) as exceeds:
        plan.make_plan(32 * MB, 24 * MB, 1024, {MemoryPurpose.BUFFERS: 30 * MB})
    assert exceeds.value.required_bytes > 30 * MB
    assert isinstance(exceeds.value, plan.MemoryPlanError)
    assert plan.make_plan(8 * MB, 24 * MB, 1024).is_below_minimum


def test_every_purpose_has_a_description_and_a_share() -> None:
    assert (
        set(PURPOSE_DESCRIPTIONS)
        == set(plan.CAP_RATIOS)
        == set(plan.MIN_CAP_BYTES)
        == set(MemoryPurpose)
    )
    assert abs(sum(plan.CAP_RATIOS.values()) - 1) < 1e-9


def test_reserve_is_for_the_highest_priority_weight() -> None:
    admission = Admission([1.0, 5.0, 5.0])
    nearly_full = Capacity(1_000, 930, 10)
    assert admission.find_exhausted(0, [nearly_full]) == 0
    assert admission.find_exhausted(1, [nearly_full]) is None
    assert admission.find_exhausted(2, [Capacity(1_000, 0, 10), Capacity(10, 1, 10)]) == 1
    assert admission.find_exhausted(-1, [nearly_full]) == 0
    assert admission.find_exhausted(9, [nearly_full]) == 0
    assert Admission([]).find_exhausted(0, [Capacity(10, 0, 1)]) is None


OLD = 0
FRESH = DEFAULT_THRESHOLDS.unread_us - DEFAULT_THRESHOLDS.request_line_grace_us + 1


@pytest.mark.parametrize(
    ("awaiting", "since", "lingering", "unread", "is_exhausted", "candidate"),
    [
        (0, OLD, 0, None, False, None),
        (5, OLD, 9, 0, False, None),
        (11, OLD, 9, 0, False, ShedCandidate.AWAITING_REQUEST),  # more than are allowed
        (11, OLD, 9, 0, True, ShedCandidate.AWAITING_REQUEST),
        (11, FRESH, 9, 0, True, None),  # they have just connected
        (5, OLD, 1, 0, True, ShedCandidate.LINGERING),
        (5, OLD, 0, 0, True, ShedCandidate.NOT_READING),
        (5, OLD, 0, 1, True, ShedCandidate.AWAITING_REQUEST),  # unread for less than the time
        (5, FRESH, 0, 1, True, None),
        (0, OLD, 0, 1, True, None),
        (0, OLD, 0, None, True, None),
    ],
)
def test_which_client_is_shed(
    awaiting: int,
    since: int,
    lingering: int,
    unread: int | None,
    is_exhausted: bool,
    candidate: ShedCandidate | None,
) -> None:
    chosen = choose_shed_candidate(
        awaiting_request=awaiting,
        oldest_awaiting_since_us=since,
        max_awaiting_request=10,
        lingering=lingering,
        unread_since_us=unread,
        now_us=DEFAULT_THRESHOLDS.unread_us,
        is_exhausted=is_exhausted,
    )
    assert chosen is candidate


def test_unaccounted_growth_is_reported_at_each_further_threshold_only() -> None:
    monitor = ResidentMemoryMonitor(100 * MB)
    monitor.start(20 * MB, MB)
    assert not monitor.sample(1, 24 * MB, 5 * MB).should_warn
    assert monitor.last_sample.unaccounted_bytes == 0
    warned = [monitor.sample(at, (24 + at) * MB, 5 * MB).should_warn for at in range(1, 20)]
    assert [at for at, should_warn in enumerate(warned, 1) if should_warn] == [6, 12, 18]
    assert monitor.peak_bytes == 43 * MB


def test_allocator_is_trimmed_at_most_once_in_the_interval() -> None:
    monitor = ResidentMemoryMonitor(32 * MB)
    monitor.start(22 * MB, 0)
    assert not monitor.sample(0, 22 * MB + MB // 2, 0).should_trim
    trims = [
        monitor.sample(at, 25 * MB, 0).should_trim
        for at in (1, 2, TRIM_INTERVAL_US, TRIM_INTERVAL_US + 1, TRIM_INTERVAL_US + 2)
    ]
    assert trims == [True, False, False, True, False]
    assert monitor.trim_count == 2
