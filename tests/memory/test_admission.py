"""Tests of admission by priority weight and of the choice of the client to shed."""

from __future__ import annotations

import pytest

from larchhaven.memory.admission import (
    DEFAULT_THRESHOLDS,
    Admission,
    Capacity,
    ShedCandidate,
    choose_shed_candidate,
)


def test_only_the_highest_priority_weight_may_use_the_reserve() -> None:
    admission = Admission([1.0, 5.0, 5.0])
    nearly_full = Capacity(1_000, 930, 10)
    assert admission.find_exhausted(0, [nearly_full]) == 0
    assert admission.find_exhausted(1, [nearly_full]) is None
    assert admission.find_exhausted(2, [Capacity(1_000, 0, 10), Capacity(10, 1, 10)]) == 1
    assert admission.find_exhausted(-1, [nearly_full]) == 0
    assert admission.find_exhausted(9, [nearly_full]) == 0
    assert Admission([]).find_exhausted(0, [Capacity(10, 0, 1)]) is None


# When the oldest client without a request line connected.
OLD = 0
FRESH = DEFAULT_THRESHOLDS.unread_us - DEFAULT_THRESHOLDS.request_line_grace_us + 1


@pytest.mark.parametrize(
    ("awaiting", "since", "lingering", "unread", "is_exhausted", "candidate"),
    [
        (0, OLD, 0, None, False, None),
        (5, OLD, 9, 0, False, None),
        (11, OLD, 9, 0, False, ShedCandidate.AWAITING_REQUEST),  # more than the maximum
        (11, OLD, 9, 0, True, ShedCandidate.AWAITING_REQUEST),
        (11, FRESH, 9, 0, True, None),  # within the grace period for the request line
        (5, OLD, 1, 0, True, ShedCandidate.LINGERING),
        (5, OLD, 0, 0, True, ShedCandidate.NOT_READING),
        (5, OLD, 0, 1, True, ShedCandidate.AWAITING_REQUEST),  # unread for less than the threshold
        (5, FRESH, 0, 1, True, None),
        (0, OLD, 0, 1, True, None),
        (0, OLD, 0, None, True, None),
    ],
)
def test_choice_of_the_client_to_shed(
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
