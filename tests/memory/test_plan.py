"""Tests of the memory plan."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchhaven.memory import plan
from larchhaven.memory.purposes import PURPOSE_DESCRIPTIONS, MemoryPurpose

MB = plan.BYTES_PER_MB
PURPOSES = st.sampled_from(list(MemoryPurpose))


def make_plan_or_error(
    grant_bytes: int, program_bytes: int, max_sockets: int, caps: dict[MemoryPurpose, int]
) -> plan.MemoryPlan | plan.MemoryPlanError:
    """Make a plan, or return the error if the caps are rejected."""
    try:
        return plan.make_plan(grant_bytes, program_bytes, max_sockets, caps)
    except plan.MemoryPlanError as error:
        return error


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.integers(1, 512),
    st.integers(1, 64),
    st.integers(64, 100_000),
    st.dictionaries(PURPOSES, st.integers(1, 64), max_size=9),
)
def test_plan_exceeds_the_grant_only_if_marked_as_below_minimum(
    grant: int, program: int, max_sockets: int, operator_caps: dict[MemoryPurpose, int]
) -> None:
    caps = {purpose: size * MB for purpose, size in operator_caps.items()}
    result = make_plan_or_error(grant * MB, program * MB, max_sockets, caps)
    if isinstance(result, plan.MemoryPlanError):
        assert operator_caps
        assert "MB" in str(result)
        return
    assert set(result.caps) == set(MemoryPurpose)
    assert all(result.caps[purpose] >= minimum for purpose, minimum in plan.MIN_CAP_BYTES.items())
    assert all(result.caps[purpose] == cap for purpose, cap in caps.items())
    assert (
        result.is_below_minimum
        or result.planned_bytes + result.unplanned_bytes + result.program_bytes
        <= result.grant_bytes
    )
    assert not (result.is_below_minimum and operator_caps)
    assert (
        plan.MIN_SOCKET_BUFFER_BYTES <= result.socket_buffer_bytes <= plan.MAX_SOCKET_BUFFER_BYTES
    )


def test_plan_error_describes_the_invalid_cap() -> None:
    with pytest.raises(
        plan.CapTooSmallError, match=r"cap of kernel is 0.01 MB, but kernel needs at least 0.25 MB"
    ) as too_small:
        plan.make_plan(64 * MB, 20 * MB, 1024, {MemoryPurpose.KERNEL: MB // 100})
    assert too_small.value.purpose is MemoryPurpose.KERNEL
    assert too_small.value.min_bytes == plan.MIN_CAP_BYTES[MemoryPurpose.KERNEL]
    with pytest.raises(
        plan.CapsExceedGrantError, match="of the 32 MB granted, the program itself uses 24 MB"
    ) as exceeds:
        plan.make_plan(32 * MB, 24 * MB, 1024, {MemoryPurpose.BUFFERS: 30 * MB})
    assert exceeds.value.required_bytes > 30 * MB
    assert isinstance(exceeds.value, plan.MemoryPlanError)
    assert plan.make_plan(8 * MB, 24 * MB, 1024).is_below_minimum


def test_every_purpose_has_a_description_a_ratio_and_a_minimum() -> None:
    assert (
        set(PURPOSE_DESCRIPTIONS)
        == set(plan.CAP_RATIOS)
        == set(plan.MIN_CAP_BYTES)
        == set(MemoryPurpose)
    )
    assert abs(sum(plan.CAP_RATIOS.values()) - 1) < 1e-9
