"""The network between simulated processes: delay, reordering, loss, duplication, partitions.

Each ordered pair of processes has its own link. Losses may come in bursts (Gilbert model): a link
loses every datagram during a burst. The rate at which bursts begin follows from the overall loss
ratio and the mean burst length.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass
from typing import NamedTuple

from larchhaven.model.random_streams import RandomStream


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """The conditions of the links between all processes.

    Attributes:
        delay_us: The constant part of the delay, in microseconds.
        jitter_us: Mean of the exponentially distributed part of the delay, in microseconds. It
            reorders datagrams.
        loss_ratio: Fraction of the datagrams that is lost.
        burst_us: Mean length of a loss burst in microseconds; 0 makes losses independent.
        duplication_ratio: Fraction of the datagrams that arrives twice.
        max_duplicate_delay_us: Maximum delay of a second copy after the first, in microseconds.
    """

    delay_us: float = 500.0
    jitter_us: float = 500.0
    loss_ratio: float = 0.0
    burst_us: float = 0.0
    duplication_ratio: float = 0.0
    max_duplicate_delay_us: float = 200_000.0


@dataclass(frozen=True, slots=True)
class LinkCut:
    """Blocks all links from the sources to the targets, in this direction only."""

    sources: frozenset[int]
    targets: frozenset[int]

    def blocks(self, source: int, target: int) -> bool:
        """Return whether the cut blocks the link from ``source`` to ``target``."""
        return source in self.sources and target in self.targets


class _Link(NamedTuple):
    source: int
    target: int


class _LinkState(NamedTuple):
    """Whether a link was in a loss burst when it was last used."""

    at_us: int
    is_in_burst: bool


class SimulatedNetwork:
    """Computes the arrival times of datagrams.

    Args:
        conditions: The conditions of all links.
        rng: The random stream of the network.

    Attributes:
        conditions: The conditions of all links.
    """

    def __init__(self, conditions: LinkConditions, rng: RandomStream) -> None:
        self.conditions = conditions
        self._rng = rng
        self._cuts: list[LinkCut] = []
        self._link_states: dict[_Link, _LinkState] = {}

    def cut_links(self, sources: Collection[int], targets: Collection[int]) -> LinkCut:
        """Cut links in one direction until the returned cut is passed to ``heal_links``."""
        cut = LinkCut(frozenset(sources), frozenset(targets))
        self._cuts.append(cut)
        return cut

    def heal_links(self, cut: LinkCut) -> None:
        """Restore the links of a cut."""
        self._cuts.remove(cut)

    def is_cut(self, source: int, target: int) -> bool:
        """Return whether any cut blocks the link from ``source`` to ``target``."""
        return any(cut.blocks(source, target) for cut in self._cuts)

    def arrival_times(self, now_us: int, source: int, target: int) -> list[int]:
        """Return the arrival times of a datagram.

        Args:
            now_us: The simulated time at which it is sent.
            source: The sending process.
            target: The receiving process.

        Returns:
            Simulated times in microseconds, one for each copy; empty if the datagram is lost.
        """
        if self.is_cut(source, target) or self._is_lost(now_us, _Link(source, target)):
            return []
        first_us = now_us + self._draw_delay_us()
        ratio = self.conditions.duplication_ratio
        if ratio and self._rng.random() < ratio:
            duplicate_delay_us = int(self.conditions.max_duplicate_delay_us * self._rng.random())
            return [first_us, first_us + duplicate_delay_us]
        return [first_us]

    def _draw_delay_us(self) -> int:
        conditions = self.conditions
        jitter_us = conditions.jitter_us * math.log(1.0 - self._rng.random())
        return int(conditions.delay_us - jitter_us)

    def _is_lost(self, now_us: int, link: _Link) -> bool:
        loss_ratio = self.conditions.loss_ratio
        if not loss_ratio:
            return False
        if not self.conditions.burst_us:
            return self._rng.random() < loss_ratio
        return self._is_in_burst(now_us, link)

    def _is_in_burst(self, now_us: int, link: _Link) -> bool:
        """Advance the two-state Markov chain of a link from its last use to the current time."""
        loss_ratio = self.conditions.loss_ratio
        # Drawn even if the link has a state already: skipping the draw would change the runs of
        # existing seeds, which tests and documentation refer to.
        initial = _LinkState(0, self._rng.random() < loss_ratio)
        state = self._link_states.get(link, initial)
        decay_us = self.conditions.burst_us * (1 - loss_ratio)
        correlation = math.exp(-(now_us - state.at_us) / decay_us)
        burst_probability = loss_ratio + (state.is_in_burst - loss_ratio) * correlation
        is_in_burst = self._rng.random() < burst_probability
        self._link_states[link] = _LinkState(now_us, is_in_burst)
        return is_in_burst
