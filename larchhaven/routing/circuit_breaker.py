"""Circuit breaker: while set-ups fail one after the other, attempts are paced, for all servers."""

from __future__ import annotations

import random

from larchhaven.routing.events import AttemptResult
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.settings import RoutingSettings

FAILURE_THRESHOLD = 2
OPEN_OBJECTIVES = 0.5  # time open at the threshold, in shortest latency objectives
MAX_OPEN_OBJECTIVES = 8
MAX_DOUBLINGS = 20

# Failures that servers share, as where a store that all use is slow.
SHARED_FAILURES = (AttemptResult.ERROR, AttemptResult.TIMEOUT)


class CircuitBreaker:
    """Opens for longer with each failure; half-open, it lets one attempt pass and opens again."""

    def __init__(self, settings: RoutingSettings, scheduler: Scheduler, rng: random.Random) -> None:
        self._scheduler = scheduler
        self._rng = rng
        self._objective_us = min(each.latency_objective_us for each in settings.classes)
        self._failures = 0
        self._open_until_us = 0

    @property
    def is_tripped(self) -> bool:
        """Whether attempts are paced."""
        return self._failures >= FAILURE_THRESHOLD

    @property
    def is_open(self) -> bool:
        """Whether no attempt may begin now."""
        return self._scheduler.now_us < self._open_until_us

    @property
    def open_for_us(self) -> int:
        """Time until an attempt may begin; not positive if one may now."""
        return self._open_until_us - self._scheduler.now_us

    def record_failure(self) -> None:
        """Count a failed set-up."""
        self._failures += 1
        if self._failures >= FAILURE_THRESHOLD:
            self._open()

    def record_success(self) -> None:
        """Count an established connection, which does not prove that all set-ups would succeed."""
        self._failures //= 2
        if self._failures < FAILURE_THRESHOLD:
            self._open_until_us = 0

    def begin_half_open_attempt(self) -> None:
        """Open again behind an attempt that is let through while the breaker is tripped."""
        if self._failures >= FAILURE_THRESHOLD:
            self._open()

    def _open(self) -> None:
        doublings = min(self._failures - FAILURE_THRESHOLD, MAX_DOUBLINGS)
        longest_us = MAX_OPEN_OBJECTIVES * self._objective_us
        open_us = min(self._objective_us * OPEN_OBJECTIVES * 2**doublings, longest_us)
        self._open_until_us = self._scheduler.now_us + int(open_us * (0.5 + self._rng.random()))
