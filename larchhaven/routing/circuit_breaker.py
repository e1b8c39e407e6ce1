"""Circuit breaker across all servers: paces attempts while connection set-ups keep failing."""

from __future__ import annotations

import random

from larchhaven.routing.events import AttemptResult
from larchhaven.routing.scheduler import Scheduler
from larchhaven.routing.settings import RoutingSettings

FAILURE_THRESHOLD = 2
OPEN_OBJECTIVES = 0.5  # open time at the threshold, in multiples of the shortest latency objective
MAX_OPEN_OBJECTIVES = 8  # longest open time before jitter, in the same unit
MAX_DOUBLINGS = 20

# Failures with a cause that servers may share, such as a slow store behind all of them.
SHARED_FAILURES = (AttemptResult.ERROR, AttemptResult.TIMEOUT)


class CircuitBreaker:
    """Opens for longer with each failure; when half-open, it admits one attempt and reopens."""

    def __init__(self, settings: RoutingSettings, scheduler: Scheduler, rng: random.Random) -> None:
        self._scheduler = scheduler
        self._rng = rng
        self._objective_us = min(each.latency_objective_us for each in settings.classes)
        self._failures = 0
        self._open_until_us = 0

    @property
    def is_tripped(self) -> bool:
        """Whether enough set-ups have failed that attempts are paced."""
        return self._failures >= FAILURE_THRESHOLD

    @property
    def is_open(self) -> bool:
        """Whether no attempt may start now."""
        return self._scheduler.now_us < self._open_until_us

    @property
    def open_for_us(self) -> int:
        """Microseconds until an attempt may start; zero or negative if one may start now."""
        return self._open_until_us - self._scheduler.now_us

    def record_failure(self) -> None:
        """Count a failed set-up, and open the breaker if the threshold is reached."""
        self._failures += 1
        if self._failures >= FAILURE_THRESHOLD:
            self._open()

    def record_success(self) -> None:
        """Halve the failure count; one success does not prove that all set-ups would succeed."""
        self._failures //= 2
        if self._failures < FAILURE_THRESHOLD:
            self._open_until_us = 0

    def begin_half_open_attempt(self) -> None:
        """Reopen after an attempt is admitted while the breaker is tripped."""
        if self._failures >= FAILURE_THRESHOLD:
            self._open()

    def _open(self) -> None:
        doublings = min(self._failures - FAILURE_THRESHOLD, MAX_DOUBLINGS)
        max_open_us = MAX_OPEN_OBJECTIVES * self._objective_us
        open_us = min(self._objective_us * OPEN_OBJECTIVES * 2**doublings, max_open_us)
        self._open_until_us = self._scheduler.now_us + int(open_us * (0.5 + self._rng.random()))
