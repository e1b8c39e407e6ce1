"""Runs experiments from protobuf text."""

from __future__ import annotations

from larchhaven.membership.membership import Membership
from larchhaven.model.experiment import run_experiment
from larchhaven.model.experiment_file import parse_experiment
from larchhaven.model.results import ExperimentResult


def run(text: str, membership_type: type[Membership] = Membership) -> ExperimentResult:
    """Parse and run an experiment, which must have no errors."""
    parsed = parse_experiment(text)
    assert parsed.complaints == []
    return run_experiment(parsed.experiment, membership_type=membership_type)
