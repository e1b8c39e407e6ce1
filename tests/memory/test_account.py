"""Tests of the memory account, including a comparison with a model."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.purposes import RESIDENT_PURPOSES, MemoryPurpose

PURPOSES = st.sampled_from(list(MemoryPurpose))


class MemoryAccountMachine(RuleBasedStateMachine):
    """Compares the account with a model of plain dictionaries, for any order of operations."""

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


def test_release_of_more_than_was_charged_is_counted() -> None:
    account = MemoryAccount.unbounded()
    account.charge(MemoryPurpose.BUFFERS, 10)
    account.release(MemoryPurpose.BUFFERS, 11)
    assert account.excess_releases == 1
    assert account.used_bytes(MemoryPurpose.BUFFERS) == 0
