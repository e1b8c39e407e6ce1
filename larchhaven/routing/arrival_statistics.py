"""What arrivals show: their rate, and the load that connections of each class turn out to have."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from larchhaven.routing.scheduler import Scheduler

INITIAL_LOAD_CORES = 0.04  # of a connection, before any load is reported
SAMPLE_WEIGHT = 0.05  # of a new sample in the moving means
INITIAL_SAMPLES = 2  # the initial load counts as so many samples of the observed load
MIN_LOAD_CORES = 1e-6  # a load that is divided by counts as this at least
ARRIVAL_WINDOW_US = 5_000_000  # several report lags, so that bursts show


class ArrivalStatistics:
    """Moving means of load, and the arrivals of the last seconds.

    Attributes:
        mean_load: Mean load of an arriving connection, in cores.
        class_loads: Mean reported load of a connection, by class, in cores.
        observed_load: Mean of the loads that were reported or hinted, in cores. A few of them
            outweigh the initial load, which the other means keep for longer.
    """

    def __init__(self, class_count: int, scheduler: Scheduler) -> None:
        self.mean_load = INITIAL_LOAD_CORES
        self.class_loads = [INITIAL_LOAD_CORES] * class_count
        self.observed_load = INITIAL_LOAD_CORES
        self._observed_samples = INITIAL_SAMPLES
        self._scheduler = scheduler
        self._arrivals_us: deque[int] = deque()

    @property
    def arrival_count(self) -> int:
        """Arrivals in the window, and older ones that were not removed yet."""
        return len(self._arrivals_us)

    def record_arrival(self, load: float) -> None:
        """Count an arrival now, with its load in cores."""
        self._arrivals_us.append(self._scheduler.now_us)
        self.mean_load += SAMPLE_WEIGHT * (load - self.mean_load)

    def record_observed_load(self, load: float) -> None:
        """Learn from the load that was reported or hinted of one connection."""
        self._observed_samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._observed_samples)
        self.observed_load += weight * (load - self.observed_load)

    def record_class_load(self, class_index: int, load: float) -> None:
        """Learn from the load that was reported of one connection of a class."""
        self.record_observed_load(load)
        self.class_loads[class_index] += SAMPLE_WEIGHT * (load - self.class_loads[class_index])

    def arrivals_per_us(self) -> float:
        """Return the rate of arrivals at this proxy."""
        self._remove_old_arrivals()
        return max(len(self._arrivals_us), 1) / ARRIVAL_WINDOW_US

    def expected_load(self, duration_us: int) -> float:
        """Return the load that a proxy like this one places within a time, in cores."""
        self._remove_old_arrivals()
        # The arrival in hand says nothing of the rate; with no other, some are expected.
        others = max(len(self._arrivals_us) - 1, 0.5)
        return others * duration_us / ARRIVAL_WINDOW_US * self.mean_load

    def restore(self, mean_load: float, class_loads: Sequence[float], arrival_count: int) -> None:
        """Take over what another process of this proxy has learned."""
        self.mean_load = mean_load
        self.class_loads = list(class_loads)
        self._arrivals_us = deque([self._scheduler.now_us] * arrival_count)

    def _remove_old_arrivals(self) -> None:
        oldest_us = self._scheduler.now_us - ARRIVAL_WINDOW_US
        arrivals_us = self._arrivals_us
        while arrivals_us and arrivals_us[0] < oldest_us:
            arrivals_us.popleft()
