"""Estimates of the load of a connection from arrivals."""

from __future__ import annotations

import pytest

from larchhaven.routing.arrival_statistics import INITIAL_LOAD_CORES, ArrivalStatistics
from larchhaven.routing.scheduler import Scheduler


def test_few_observed_loads_outweigh_the_initial_load() -> None:
    """If slow start trusts the initial load for long, it overfills cold servers during warm-up."""
    arrivals = ArrivalStatistics(2, Scheduler(timer_resolution_us=1))
    load = 3 * INITIAL_LOAD_CORES
    for _ in range(5):
        arrivals.record_class_load(1, load)
    assert 0.75 * load <= arrivals.observed_load <= load


def test_observed_load_follows_the_latest_samples_once_there_are_many() -> None:
    arrivals = ArrivalStatistics(1, Scheduler(timer_resolution_us=1))
    for _ in range(200):
        arrivals.record_observed_load(0.01)
    for _ in range(60):
        arrivals.record_observed_load(0.1)
    assert arrivals.observed_load == pytest.approx(0.1, rel=0.1)
