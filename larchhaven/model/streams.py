"""Random numbers by purpose, each from a stream of its own: more draws of one leave the others alone."""

from __future__ import annotations

from hashlib import blake2b

from numpy.random import Generator, Philox, SeedSequence

_BATCH = 256


class Stream:
    """Random numbers for one purpose, from NumPy's Philox generator."""

    def __init__(self, sequence: SeedSequence) -> None:
        self._generator = Generator(Philox(sequence))
        self._batch: list[float] = []

    def random(self) -> float:
        """Return a number from 0 to below 1."""
        if not self._batch:
            self._batch = self._generator.random(_BATCH).tolist()
        return self._batch.pop()

    def between(self, least: float, most: float) -> float:
        """Return a number between two."""
        return least + (most - least) * self.random()

    def below(self, bound: int) -> int:
        """Return a whole number from 0 to below a bound."""
        return int(self.random() * bound)

    def some(self, many: int, among: list[int]) -> list[int]:
        """Draw some of them, none twice."""
        left = list(among)
        for i in range(min(many, len(left))):
            j = i + self.below(len(left) - i)
            left[i], left[j] = left[j], left[i]
        return left[:many]


class Streams:
    """All streams of one seed."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def of(self, purpose: str) -> Stream:
        """Return the stream of a purpose, from its beginning."""
        digest = blake2b(purpose.encode(), digest_size=16).digest()
        words = [int.from_bytes(digest[i : i + 4], "big") for i in range(0, 16, 4)]
        return Stream(SeedSequence(entropy=self._seed, spawn_key=tuple(words)))
