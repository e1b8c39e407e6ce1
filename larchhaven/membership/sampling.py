"""Random samples without replacement, from an injected source."""

from __future__ import annotations

from typing import Protocol

from larchhaven.membership.messages import NO_MEMBER

# Below this share of the candidates it is cheaper to draw again than to shuffle a copy.
_SPARSE_FACTOR = 4


class RandomSource(Protocol):
    """A source of random numbers, such as ``random.Random``."""

    def random(self) -> float:
        """Return a number in the half-open interval from 0 to 1."""


def sample(
    rng: RandomSource, count: int, candidates: list[int], excluded: int = NO_MEMBER
) -> list[int]:
    """Draw distinct candidates.

    Args:
        rng: Where random numbers come from.
        count: How many are wanted; fewer are drawn if there are fewer candidates.
        candidates: Distinct numbers.
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
