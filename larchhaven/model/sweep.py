"""Runs many experiments over seeds, sizes and losses on all cores, and stores what they show."""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from itertools import product
from pathlib import Path

import msgspec

from larchhaven.model.experiment import run_experiment
from larchhaven.model.experiment_pb2 import Experiment
from larchhaven.model.results import ExperimentResult
from larchhaven.model.summary import SweepCell, summarise

RESULTS_FILE = "results.jsonl"
SUMMARY_FILE = "summary.json"


@dataclass(frozen=True, slots=True)
class SweepAxes:
    """What a sweep varies; an empty axis keeps the value of the experiment.

    Attributes:
        members: Sizes of the fleet.
        loss_percents: Shares of the datagrams that links lose.
        detectors: Numbers of ``Experiment.Detector``.
        seeds: How many seeds are run, from the experiment's own on.
    """

    members: Sequence[int] = field(default_factory=tuple)
    loss_percents: Sequence[float] = field(default_factory=tuple)
    detectors: Sequence[int] = field(default_factory=tuple)
    seeds: int = 1


def expand_axes(base: Experiment, axes: SweepAxes) -> list[Experiment]:
    """Return an experiment for every combination of a sweep.

    Args:
        base: The experiment that is varied.
        axes: What varies.
    """
    combinations = product(
        axes.detectors or [base.detector],
        axes.members or [base.members],
        axes.loss_percents or [base.links.loss_percent],
        range(base.seed, base.seed + axes.seeds),
    )
    experiments = []
    for detector, members, loss_percent, seed in combinations:
        experiment = Experiment()
        experiment.CopyFrom(base)
        experiment.detector = detector  # type: ignore[assignment]  # a number of the enumeration
        experiment.members = members
        experiment.seed = seed
        experiment.links.loss_percent = loss_percent
        experiments.append(experiment)
    return experiments


def run_sweep(
    experiments: Sequence[Experiment],
    jobs: int = 0,
    notify_progress: Callable[[int], None] = lambda _completed: None,
) -> list[ExperimentResult]:
    """Run experiments in parallel.

    Args:
        experiments: What is run.
        jobs: Processes at a time; 0: as many as the machine has cores.
        notify_progress: Called with the number of completed experiments after each one.

    Returns:
        The results, in the order of the experiments.
    """
    # The longest first, so that no core is left with one at the end.
    order = sorted(
        range(len(experiments)),
        key=lambda index: -experiments[index].members * experiments[index].seconds,
    )
    results: dict[int, ExperimentResult] = {}
    with ProcessPoolExecutor(jobs or os.cpu_count() or 1) as pool:
        indices = {
            pool.submit(_run_serialized, experiments[index].SerializeToString()): index
            for index in order
        }
        for future in as_completed(indices):
            result = msgspec.json.decode(future.result(), type=ExperimentResult)
            results[indices[future]] = result
            notify_progress(len(results))
    return [results[index] for index in range(len(experiments))]


def _run_serialized(experiment: bytes) -> bytes:
    """Run an experiment in a worker process; messages of protobuf are not pickled."""
    return msgspec.json.encode(run_experiment(Experiment.FromString(experiment)))


def save_results(folder: Path, results: Sequence[ExperimentResult]) -> list[SweepCell]:
    """Write results, one a line, and their summary: equal experiments give equal files.

    Args:
        folder: Where the files are written; created if it does not exist.
        results: What is written.

    Returns:
        The summary.
    """
    folder.mkdir(parents=True, exist_ok=True)
    lines = b"".join(msgspec.json.encode(result) + b"\n" for result in results)
    (folder / RESULTS_FILE).write_bytes(lines)
    cells = summarise(results)
    summary = msgspec.json.format(msgspec.json.encode(cells), indent=1)
    (folder / SUMMARY_FILE).write_bytes(summary + b"\n")
    return cells


def read_results(folder: Path) -> list[ExperimentResult]:
    """Read what ``save_results`` has written.

    Raises:
        OSError: The file cannot be read.
        msgspec.DecodeError: It does not contain results.
    """
    lines = (folder / RESULTS_FILE).read_bytes().splitlines()
    return [msgspec.json.decode(line, type=ExperimentResult) for line in lines]
