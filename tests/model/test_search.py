"""The search finds no violation in the protocol and detects each planted fault."""

from __future__ import annotations

import pytest

from larchhaven.model.search import search_from
from larchhaven.model.starting_states import STARTING_STATES
from tests.model.planted_faults import PLANTED_FAULTS, PlantedFault


@pytest.mark.parametrize("name", STARTING_STATES)
def test_search_finds_no_violation(name: str) -> None:
    report = search_from(name, max_depth=5, max_states=600)
    assert not report.violation, (report.violation, report.counterexample)
    assert report.states >= 40
    assert report.healed_states >= 1


@pytest.mark.parametrize("fault", PLANTED_FAULTS, ids=lambda f: f.membership_type.__name__)
def test_search_detects_planted_fault(fault: PlantedFault) -> None:
    report = search_from(
        fault.starting_state,
        max_depth=5,
        max_states=600,
        membership_type=fault.membership_type,
    )
    assert report.violation
