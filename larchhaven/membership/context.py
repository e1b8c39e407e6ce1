"""Objects that all components of the protocol share."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.membership.actions import ActionBatch
from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.counters import ProtocolCounters
from larchhaven.membership.sampling import RandomSource

# Later than any deadline; means that no timer is scheduled.
NEVER_US = 1 << 62


@dataclass(frozen=True, slots=True)
class ProtocolContext:
    """Objects that are passed to each component of the protocol.

    Attributes:
        config: Intervals, timeouts and limits.
        rng: Source of random numbers.
        batch: The time and the actions of the current call.
        counters: The protocol's counters.
    """

    config: ProtocolConfig
    rng: RandomSource
    batch: ActionBatch
    counters: ProtocolCounters
