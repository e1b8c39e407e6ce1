"""The network between simulated processes: delay, reordering, loss, duplication, partitions.

Each directed pair of processes is a link of its own. Losses may come in bursts (a Gilbert model):
a link in a burst loses everything. How often bursts begin follows from the share that is lost
altogether and from how long a burst lasts on average.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass
from typing import NamedTuple

from larchhaven.model.random_streams import RandomStream


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """What the links between all processes are like.

    Attributes:
        delay_us: The constant part of the delay.
        jitter_us: Mean of the exponential part of the delay, by which datagrams are reordered.
        loss_ratio: Share of the datagrams that are lost.
        burst_us: Mean length of a burst of losses; 0: datagrams are lost independently.
        duplication_ratio: Share of the datagrams that arrive twice.
        max_duplicate_delay_us: The second copy arrives later by up to this.
    """

    delay_us: float = 500.0
    jitter_us: float = 500.0
    loss_ratio: float = 0.0
    burst_us: float = 0.0
    duplication_ratio: float = 0.0
    max_duplicate_delay_us: float = 200_000.0


@dataclass(frozen=True, slots=True)
class LinkCut:
    """Blocks all links from some processes to some others, in this direction only."""

    sources: frozenset[int]
    targets: frozenset[int]

    def blocks(self, source: int, target: int) -> bool:
        """Tell whether a datagram is lost because of this cut."""
        return source in self.sources and target in self.targets


class _Link(NamedTuple):
    source: int
    target: int


class _LinkState(NamedTuple):
    """Whether a link was in a burst of losses when it was last used."""

    at_us: int
    is_in_burst: bool


class SimulatedNetwork:
    """Decides when the copies of a datagram arrive.

    Args:
        conditions: What the links are like.
        rng: Random numbers of the network.

    Attributes:
        conditions: What the links are like.
    """

    def __init__(self, conditions: LinkConditions, rng: RandomStream) -> None:
        self.conditions = conditions
        self._rng = rng
        self._cuts: list[LinkCut] = []
        self._link_states: dict[_Link, _LinkState] = {}

    def cut_links(self, sources: Collection[int], targets: Collection[int]) -> LinkCut:
        """Cut links in one direction; ``heal_links`` ends it."""
        cut = LinkCut(frozenset(sources), frozenset(targets))
        self._cuts.append(cut)
        return cut

    def heal_links(self, cut: LinkCut) -> None:
        """End a cut."""
        self._cuts.remove(cut)

    def is_cut(self, source: int, target: int) -> bool:
        """Tell whether any cut blocks a link in this direction."""
        return any(cut.blocks(source, target) for cut in self._cuts)

    def arrival_times(self, now_us: int, source: int, target: int) -> list[int]:
        """Return when the copies of a datagram arrive.

        Args:
            now_us: When it is sent.
            source: The sending process.
            target: The receiving process.

        Returns:
            Times in microseconds, one for each copy; none if the datagram is lost.
        """
        if self.is_cut(source, target) or self._is_lost(now_us, _Link(source, target)):
            return []
        first_us = now_us + self._draw_delay_us()
        ratio = self.conditions.duplication_ratio
        if ratio and self._rng.random() < ratio:
            late_us = int(self.conditions.max_duplicate_delay_us * self._rng.random())
            return [first_us, first_us + late_us]
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
        """Advance the two-state Markov chain of a link, which is evaluated only when it is used."""
        loss_ratio = self.conditions.loss_ratio
        # Drawn even if the link is known: seeds keep the runs that pages and tests refer to.
        initial = _LinkState(0, self._rng.random() < loss_ratio)
        state = self._link_states.get(link, initial)
        decay_us = self.conditions.burst_us * (1 - loss_ratio)
        memory = math.exp(-(now_us - state.at_us) / decay_us)
        burst_probability = loss_ratio + (state.is_in_burst - loss_ratio) * memory
        is_in_burst = self._rng.random() < burst_probability
        self._link_states[link] = _LinkState(now_us, is_in_burst)
        return is_in_burst
