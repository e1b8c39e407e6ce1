"""Summarises the results of a sweep: means over seeds with confidence intervals."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

import msgspec
from scipy import stats

from larchhaven.model.observer import CAUSE_START
from larchhaven.model.results import Convergence, ExperimentResult
from larchhaven.model.units import SECONDS_PER_HOUR

CONFIDENCE_LEVEL = 0.95
HOURS_DIGITS = 3


class Interval(msgspec.Struct):
    """A mean with its confidence interval.

    Attributes:
        mean: The mean.
        low: The lower end of the interval, at ``CONFIDENCE_LEVEL``.
        high: The upper end of the interval.
    """

    mean: float
    low: float
    high: float


_CELL_KEYS = {
    "runs": "plays",
    "simulated_hours": "hours",
    "agreed_fraction": "agreed_share",
    "detection_s": "detected",
    "agreement_s": "agreed",
    "max_agreement_s": "agreed_most",
    "false_deaths_per_hour": "false_an_hour",
    "convergence_s": "healed",
    "max_convergence_s": "healed_most",
    "unconverged": "not_healed",
    "messages_per_second": "messages",
    "bytes_per_second": "bytes",
}


class SweepCell(msgspec.Struct, rename=_CELL_KEYS):
    """The summary of all seeds of one combination; ``rename`` gives the keys of ``summary.json``.

    Attributes:
        detector: The failure detector.
        members: The number of processes.
        loss_percent: Configured percentage of datagrams lost by links.
        runs: The number of runs, one for each seed.
        simulated_hours: Simulated time of all runs, in hours.
        deaths: The number of deaths.
        agreed_fraction: Fraction of the deaths that all processes agreed on by the end.
        detection_s: Seconds until the first process declared a death, from the means of the runs.
        agreement_s: Seconds until all processes agreed on a death, from the means of the runs.
        max_agreement_s: The longest time until agreement on a single death, in seconds.
        false_deaths: The number of running processes that were declared dead.
        false_deaths_per_hour: Rate of false deaths in the whole fleet.
        convergence_s: Seconds until views were equal after the end of the last fault.
        max_convergence_s: The longest of these times, in seconds.
        unconverged: The number of runs that did not converge after the last fault.
        messages_per_second: Mean rate of one member.
        bytes_per_second: Mean rate of one member.
    """

    detector: str
    members: int
    loss_percent: float
    runs: int
    simulated_hours: float
    deaths: int
    agreed_fraction: float
    detection_s: Interval | None
    agreement_s: Interval | None
    max_agreement_s: float | None
    false_deaths: int
    false_deaths_per_hour: Interval
    convergence_s: Interval | None
    max_convergence_s: float | None
    unconverged: int
    messages_per_second: Interval
    bytes_per_second: Interval


class _CellKey(NamedTuple):
    detector: str
    members: int
    loss_percent: float


def mean_interval(values: Sequence[float]) -> Interval:
    """Return the mean of independent values with its Student's t confidence interval.

    Args:
        values: At least one value; the interval of a single value is unbounded.
    """
    mean = sum(values) / len(values)
    if len(values) == 1:
        return Interval(mean, -math.inf, math.inf)
    quantile = float(stats.t.ppf((1 + CONFIDENCE_LEVEL) / 2, len(values) - 1))
    half_width = float(stats.sem(values)) * quantile
    return Interval(mean, mean - half_width, mean + half_width)


def rate_interval(count: int, hours: float) -> Interval:
    """Return an hourly rate of rare events with its exact Poisson confidence interval.

    Args:
        count: The number of events.
        hours: The duration in which they were counted.
    """
    low_quantile = (1 - CONFIDENCE_LEVEL) / 2
    high_quantile = (1 + CONFIDENCE_LEVEL) / 2
    low = float(stats.chi2.ppf(low_quantile, 2 * count)) / 2 if count else 0.0
    high = float(stats.chi2.ppf(high_quantile, 2 * count + 2)) / 2
    return Interval(count / hours, low / hours, high / hours)


def summarise(results: Iterable[ExperimentResult]) -> list[SweepCell]:
    """Summarise the seeds of each combination, sorted by detector, size and loss."""
    runs_by_key: dict[_CellKey, list[ExperimentResult]] = {}
    for result in results:
        key = _CellKey(result.detector, result.members, result.loss_percent)
        runs_by_key.setdefault(key, []).append(result)
    return [_summarise_cell(key, runs) for key, runs in sorted(runs_by_key.items())]


def _summarise_cell(key: _CellKey, runs: list[ExperimentResult]) -> SweepCell:
    hours = sum(run.simulated_s for run in runs) / SECONDS_PER_HOUR
    deaths = sum(len(run.deaths) for run in runs)
    false_deaths = sum(run.false_deaths for run in runs)
    detection_s = [_without_none(death.detected_s for death in run.deaths) for run in runs]
    agreement_s = [_without_none(death.agreed_s for death in run.deaths) for run in runs]
    convergences = [last for run in runs for last in _last_convergence(run)]
    convergence_s = _without_none(convergence.duration_s for convergence in convergences)
    return SweepCell(
        detector=key.detector,
        members=key.members,
        loss_percent=key.loss_percent,
        runs=len(runs),
        simulated_hours=round(hours, HOURS_DIGITS),
        deaths=deaths,
        agreed_fraction=sum(map(len, agreement_s)) / deaths if deaths else 1.0,
        detection_s=_interval_of_run_means(detection_s),
        agreement_s=_interval_of_run_means(agreement_s),
        max_agreement_s=max((max(values) for values in agreement_s if values), default=None),
        false_deaths=false_deaths,
        false_deaths_per_hour=rate_interval(false_deaths, hours),
        convergence_s=mean_interval(convergence_s) if convergence_s else None,
        max_convergence_s=max(convergence_s, default=None),
        unconverged=len(convergences) - len(convergence_s),
        messages_per_second=mean_interval([run.messages_per_second for run in runs]),
        bytes_per_second=mean_interval([run.bytes_per_second for run in runs]),
    )


def _without_none(values: Iterable[float | None]) -> list[float]:
    return [value for value in values if value is not None]


def _interval_of_run_means(values_by_run: Sequence[Sequence[float]]) -> Interval | None:
    means = [sum(values) / len(values) for values in values_by_run if values]
    return mean_interval(means) if means else None


def _last_convergence(run: ExperimentResult) -> Iterator[Convergence]:
    """Yield the convergence after the end of the last fault, if any fault ended."""
    after_faults = [c for c in run.convergences if c.cause != CAUSE_START]
    yield from after_faults[-1:]
