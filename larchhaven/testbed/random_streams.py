"""Independent streams of random numbers from one seed."""

from __future__ import annotations

import hashlib
import random

_DIGEST_BYTES = 8


def make_random_stream(seed: int, purpose: str) -> random.Random:
    """Return random numbers for one purpose, so that a change of one leaves the others alone."""
    digest = hashlib.blake2b(f"{seed}/{purpose}".encode(), digest_size=_DIGEST_BYTES).digest()
    return random.Random(digest)
