"""Random samples without replacement, from an injected source."""

from __future__ import annotations

from typing import Protocol

from larchhaven.membership.messages import NO_MEMBER

# With more than this many candidates per draw, redrawing duplicates is cheaper than shuffling.
_SPARSE_FACTOR = 4


class RandomSource(Protocol):
    """A source of random numbers, such as ``random.Random``."""

    def random(self) -> float:
        """Return a number in the half-open interval from 0 to 1."""


def sample(
    rng: RandomSource, count: int, candidates: list[int], excluded: int = NO_MEMBER
) -> list[int]:
    """Draw distinct candidates at random.

    Args:
        rng: Source of random numbers.
        count: Number of candidates to draw; fewer are drawn if there are not enough.
        candidates: The numbers to draw from, without duplicates.
        excluded: A number that must not be drawn.
    """
    if _SPARSE_FACTOR * count < len(candidates):
        return _draw_until_distinct(rng, count, candidates, excluded)
    remaining = [number for number in candidates if number != excluded]
    for i in range(min(count, len(remaining))):
        j = i + int(rng.random() * (len(remaining) - i))
        remaining[i], remaining[j] = remaining[j], remaining[i]
    return remaining[:count]


def _draw_until_distinct(
    rng: RandomSource, count: int, candidates: list[int], excluded: int
) -> list[int]:
    drawn: dict[int, None] = {}
    while len(drawn) < count:
        number = candidates[int(rng.random() * len(candidates))]
        if number != excluded:
            drawn[number] = None
    return list(drawn)
