"""Tests of losses, duplicates and cuts in the simulated network."""

from __future__ import annotations

import itertools

from larchhaven.model.network import LinkConditions, SimulatedNetwork
from larchhaven.model.random_streams import RandomStreams


def network_with(conditions: LinkConditions) -> SimulatedNetwork:
    return SimulatedNetwork(conditions, RandomStreams(1).stream("n"))


def test_losses_are_independent_or_in_bursts() -> None:
    for burst_us in (0.0, 100_000.0):
        network = network_with(LinkConditions(loss_ratio=0.3, burst_us=burst_us))
        lost = [not network.arrival_times(now, 1, 2) for now in range(0, 200_000_000, 10_000)]
        assert 0.27 < sum(lost) / len(lost) < 0.33
        # Share of losses followed by another one 10 ms later: 0.3 if independent, near 1 in bursts.
        repeated = sum(a and b for a, b in itertools.pairwise(lost)) / sum(lost)
        assert (repeated > 0.85) if burst_us else (0.25 < repeated < 0.35)


def test_cut_blocks_one_direction_until_it_heals() -> None:
    network = network_with(LinkConditions(duplication_ratio=1.0))
    cut = network.cut_links({1}, {2})
    assert not network.arrival_times(0, 1, 2)
    assert len(network.arrival_times(0, 2, 1)) == 2
    network.heal_links(cut)
    assert network.arrival_times(0, 1, 2)
