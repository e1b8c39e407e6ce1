"""A separate random stream for each purpose.

Additional draws for one purpose do not change the numbers of any other purpose.
"""

from __future__ import annotations

from hashlib import blake2b

from numpy.random import Generator, Philox, SeedSequence

# Numbers are drawn in batches, because a generator call costs more than popping from a list.
_BATCH_SIZE = 256
_KEY_BYTES = 16
_WORD_BYTES = 4


class RandomStream:
    """The random numbers of one purpose, from NumPy's Philox generator.

    Args:
        sequence: The seed of the stream.
    """

    def __init__(self, sequence: SeedSequence) -> None:
        self._generator = Generator(Philox(sequence))
        self._batch: list[float] = []

    def random(self) -> float:
        """Return a number in the half-open interval [0, 1)."""
        if not self._batch:
            self._batch = self._generator.random(_BATCH_SIZE).tolist()
        return self._batch.pop()

    def uniform(self, low: float, high: float) -> float:
        """Return a number in the half-open interval [``low``, ``high``)."""
        return low + (high - low) * self.random()

    def below(self, bound: int) -> int:
        """Return an integer from 0 to ``bound - 1``."""
        return int(self.random() * bound)

    def sample(self, count: int, candidates: list[int]) -> list[int]:
        """Draw distinct candidates.

        Args:
            count: The number of candidates to draw; all are drawn if there are fewer.
            candidates: The list to draw from.

        Returns:
            The drawn candidates, in drawing order.
        """
        remaining = list(candidates)
        for i in range(min(count, len(remaining))):
            j = i + self.below(len(remaining) - i)
            remaining[i], remaining[j] = remaining[j], remaining[i]
        return remaining[:count]


class RandomStreams:
    """The random streams of one seed.

    Args:
        seed: The seed of the experiment.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def stream(self, purpose: str) -> RandomStream:
        """Return a new stream for a purpose. Equal purposes give equal numbers."""
        digest = blake2b(purpose.encode(), digest_size=_KEY_BYTES).digest()
        words = tuple(
            int.from_bytes(digest[i : i + _WORD_BYTES], "big")
            for i in range(0, _KEY_BYTES, _WORD_BYTES)
        )
        return RandomStream(SeedSequence(entropy=self._seed, spawn_key=words))
