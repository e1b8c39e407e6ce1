"""Many experiments over seeds, sizes and losses on all cores; what they show, with intervals."""

from __future__ import annotations

import math
import os
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from itertools import product
from pathlib import Path

import msgspec
from scipy import stats

from larchhaven.model.experiment import play
from larchhaven.model.experiment_pb2 import Experiment
from larchhaven.model.measure import Result

HOUR = 3600.0
LEVEL = 0.95


class Interval(msgspec.Struct):
    """A mean and its 95% interval."""

    mean: float
    low: float
    high: float


class Cell(msgspec.Struct):
    """What all seeds of one kind of experiment show together."""

    detector: str
    members: int
    loss_percent: float
    plays: int
    hours: float  # of simulated time, all plays together
    deaths: int
    agreed_share: float  # of the deaths, those that all agreed upon by the end
    detected: Interval | None  # seconds to the first that says so, a mean a play
    agreed: Interval | None  # seconds until all say so
    agreed_most: float | None
    false_deaths: int
    false_an_hour: Interval  # of the whole tier
    healed: Interval | None  # seconds until views were equal after the last fault's end
    healed_most: float | None
    not_healed: int
    messages: Interval  # a second, of one member
    bytes: Interval


def grid(
    base: Experiment,
    members: Sequence[int],
    loss: Sequence[float],
    detectors: Sequence[int],
    seeds: int,
) -> list[Experiment]:
    """Return the experiments of a sweep: every combination, and so many seeds from the base's own on."""
    found = []
    for detector, size, percent, seed in product(
        detectors or [base.detector],
        members or [base.members],
        loss or [base.links.loss_percent],
        range(base.seed, base.seed + seeds),
    ):
        one = Experiment()
        one.CopyFrom(base)
        one.detector = detector  # type: ignore[assignment]  # a number of the enumeration
        one.members, one.seed = size, seed
        one.links.loss_percent = percent
        found.append(one)
    return found


def _play(data: bytes) -> bytes:
    return msgspec.json.encode(play(Experiment.FromString(data)))


def run(
    experiments: Sequence[Experiment],
    jobs: int = 0,
    played: Callable[[int], None] = lambda _done: None,
) -> list[Result]:
    """Play experiments on so many cores (0: all); the results are in the order of the experiments."""
    results: dict[int, Result] = {}
    with ProcessPoolExecutor(jobs or os.cpu_count() or 1) as pool:
        # The longest first, so that no core is left with one at the end.
        order = sorted(
            range(len(experiments)), key=lambda i: -experiments[i].members * experiments[i].seconds
        )
        futures = {pool.submit(_play, experiments[i].SerializeToString()): i for i in order}
        for future in as_completed(futures):
            results[futures[future]] = msgspec.json.decode(future.result(), type=Result)
            played(len(results))
    return [results[i] for i in range(len(experiments))]


def interval(values: Sequence[float]) -> Interval | None:
    """Return the mean of independent values and its t interval; of one value the interval is unknown."""
    if not values:
        return None
    mean = sum(values) / len(values)
    if len(values) == 1:
        return Interval(mean, -math.inf, math.inf)
    spread = float(stats.sem(values)) * float(stats.t.ppf((1 + LEVEL) / 2, len(values) - 1))
    return Interval(mean, mean - spread, mean + spread)


def rate(count: int, hours: float) -> Interval:
    """Return a rate of rare events and its exact Poisson interval."""
    low = float(stats.chi2.ppf((1 - LEVEL) / 2, 2 * count)) / 2 if count else 0.0
    high = float(stats.chi2.ppf((1 + LEVEL) / 2, 2 * count + 2)) / 2
    return Interval(count / hours, low / hours, high / hours)


def summarise(results: Iterable[Result]) -> list[Cell]:
    """Put together what the seeds of each kind of experiment show."""
    groups: dict[tuple[str, int, float], list[Result]] = {}
    for result in results:
        groups.setdefault((result.detector, result.members, result.loss_percent), []).append(result)
    return [_cell(*key, plays) for key, plays in sorted(groups.items())]


def _mean(values: Sequence[float]) -> list[float]:
    return [sum(values) / len(values)] if values else []


def _cell(detector: str, members: int, loss: float, plays: list[Result]) -> Cell:
    deaths = [death for play in plays for death in play.deaths]
    agreed = [[d.agreed for d in play.deaths if d.agreed is not None] for play in plays]
    detected = [[d.detected for d in play.deaths if d.detected is not None] for play in plays]
    ends = [[e for e in play.equal if e.after != "start"][-1:] for play in plays]
    healed = [e.seconds for found in ends for e in found if e.seconds is not None]
    hours = sum(play.seconds for play in plays) / HOUR
    messages = interval([play.messages_a_second for play in plays])
    sizes = interval([play.bytes_a_second for play in plays])
    assert messages is not None
    assert sizes is not None
    false = sum(play.false_deaths for play in plays)
    return Cell(
        detector=detector,
        members=members,
        loss_percent=loss,
        plays=len(plays),
        hours=round(hours, 3),
        deaths=len(deaths),
        agreed_share=sum(map(len, agreed)) / len(deaths) if deaths else 1.0,
        detected=interval([mean for each in detected for mean in _mean(each)]),
        agreed=interval([mean for each in agreed for mean in _mean(each)]),
        agreed_most=max((max(each) for each in agreed if each), default=None),
        false_deaths=false,
        false_an_hour=rate(false, hours),
        healed=interval(healed),
        healed_most=max(healed, default=None),
        not_healed=sum(len(found) for found in ends) - len(healed),
        messages=messages,
        bytes=sizes,
    )


def save(folder: Path, results: Sequence[Result]) -> list[Cell]:
    """Write results, one a line, and their summary: the same experiments give the same files."""
    folder.mkdir(parents=True, exist_ok=True)
    lines = b"".join(msgspec.json.encode(result) + b"\n" for result in results)
    (folder / "results.jsonl").write_bytes(lines)
    cells = summarise(results)
    (folder / "summary.json").write_bytes(
        msgspec.json.format(msgspec.json.encode(cells), indent=1) + b"\n"
    )
    return cells


def read(folder: Path) -> list[Result]:
    """Read what ``save`` has written.

    Raises:
        OSError: The file cannot be read.
        msgspec.DecodeError: It is no file of results.

    """
    lines = (folder / "results.jsonl").read_bytes().splitlines()
    return [msgspec.json.decode(line, type=Result) for line in lines]
