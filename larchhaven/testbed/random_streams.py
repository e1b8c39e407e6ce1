"""Independent random number generators derived from one seed."""

from __future__ import annotations

import hashlib
import random

_DIGEST_BYTES = 8


def make_random_stream(seed: int, purpose: str) -> random.Random:
    """Return a generator for one purpose; its draws do not affect those of other purposes."""
    digest = hashlib.blake2b(f"{seed}/{purpose}".encode(), digest_size=_DIGEST_BYTES).digest()
    return random.Random(digest)
