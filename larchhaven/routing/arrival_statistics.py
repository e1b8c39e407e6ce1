"""Statistics of arriving requests: their rate, and the load of connections by class."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from larchhaven.routing.scheduler import Scheduler

INITIAL_LOAD_CORES = 0.04  # assumed load of a connection until loads are reported
SAMPLE_WEIGHT = 0.05  # weight of a new sample in the moving averages
INITIAL_SAMPLES = 2  # weight of the initial load in the observed load, in samples
MIN_LOAD_CORES = 1e-6  # lower bound for loads used as divisors
ARRIVAL_WINDOW_US = 5_000_000  # several report lags, so that bursts are visible


class ArrivalStatistics:
    """Moving averages of connection load, and the arrivals within ``ARRIVAL_WINDOW_US``.

    Attributes:
        mean_load: Average load of an arriving connection, in cores.
        class_loads: Average reported load of a connection, by class, in cores.
        observed_load: Average of the loads that servers report and clients announce, in cores. A
            few samples outweigh the initial load, which persists longer in the other averages.
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
        """Number of arrivals in the window, including older ones that are not removed yet."""
        return len(self._arrivals_us)

    def record_arrival(self, load: float) -> None:
        """Record an arrival at the current time, with its load in cores."""
        self._arrivals_us.append(self._scheduler.now_us)
        self.mean_load += SAMPLE_WEIGHT * (load - self.mean_load)

    def record_observed_load(self, load: float) -> None:
        """Record the reported or announced load of one connection, in cores."""
        self._observed_samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._observed_samples)
        self.observed_load += weight * (load - self.observed_load)

    def record_class_load(self, class_index: int, load: float) -> None:
        """Record the reported load of one connection of a class, in cores."""
        self.record_observed_load(load)
        self.class_loads[class_index] += SAMPLE_WEIGHT * (load - self.class_loads[class_index])

    def arrivals_per_us(self) -> float:
        """Return the arrival rate at this proxy, per microsecond."""
        self._remove_old_arrivals()
        return max(len(self._arrivals_us), 1) / ARRIVAL_WINDOW_US

    def expected_load(self, duration_us: int) -> float:
        """Return the load, in cores, that a proxy at this arrival rate places within a duration."""
        self._remove_old_arrivals()
        # The arrival that is being placed is not counted, as it does not show the rate. If it is
        # the only one, half an arrival is assumed, since further arrivals are to be expected.
        other_arrivals = max(len(self._arrivals_us) - 1, 0.5)
        return other_arrivals * duration_us / ARRIVAL_WINDOW_US * self.mean_load

    def restore(self, mean_load: float, class_loads: Sequence[float], arrival_count: int) -> None:
        """Restore the statistics that the predecessor hands over at a hot restart."""
        self.mean_load = mean_load
        self.class_loads = list(class_loads)
        self._arrivals_us = deque([self._scheduler.now_us] * arrival_count)

    def _remove_old_arrivals(self) -> None:
        oldest_us = self._scheduler.now_us - ARRIVAL_WINDOW_US
        arrivals_us = self._arrivals_us
        while arrivals_us and arrivals_us[0] < oldest_us:
            arrivals_us.popleft()
