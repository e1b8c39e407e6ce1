"""What all parts of the protocol share: limits, random numbers, counters, the current call."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.membership.actions import ActionBatch
from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.counters import ProtocolCounters
from larchhaven.membership.sampling import RandomSource

# Later than any deadline: the deadline of a part that has nothing to do.
NEVER_US = 1 << 62


@dataclass(frozen=True, slots=True)
class ProtocolContext:
    """Handed to each part of the protocol.

    Attributes:
        config: Intervals, timeouts and limits.
        rng: Random numbers.
        batch: The time and the actions of the call under way.
        counters: The protocol's counters.
    """

    config: ProtocolConfig
    rng: RandomSource
    batch: ActionBatch
    counters: ProtocolCounters
