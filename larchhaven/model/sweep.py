"""Runs an experiment over seeds, sizes, losses and detectors in parallel; stores the results."""

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
    """The axes of a sweep; an empty axis keeps the value of the experiment.

    Attributes:
        members: Fleet sizes.
        loss_percents: Percentages of datagrams lost by links.
        detectors: Values of ``Experiment.Detector``.
        seeds: The number of consecutive seeds, starting with the experiment's own seed.
    """

    members: Sequence[int] = field(default_factory=tuple)
    loss_percents: Sequence[float] = field(default_factory=tuple)
    detectors: Sequence[int] = field(default_factory=tuple)
    seeds: int = 1


def expand_axes(base: Experiment, axes: SweepAxes) -> list[Experiment]:
    """Return one experiment for each combination of a sweep.

    Args:
        base: The experiment to vary.
        axes: The values to combine.
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
        experiment.detector = detector  # type: ignore[assignment]  # an int is a valid enum value
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
        experiments: The experiments to run.
        jobs: Number of worker processes; 0 means one for each core of the machine.
        notify_progress: Called with the number of completed experiments after each one.

    Returns:
        The results, in the order of the experiments.
    """
    # Longest first, so that no long experiment is left to run alone at the end.
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
    """Run a serialized experiment in a worker process; protobuf messages are not pickled."""
    return msgspec.json.encode(run_experiment(Experiment.FromString(experiment)))


def save_results(folder: Path, results: Sequence[ExperimentResult]) -> list[SweepCell]:
    """Write results, one per line, and their summary; equal experiments give equal files.

    Args:
        folder: The output directory; created if it does not exist.
        results: The results to write.

    Returns:
        The summary, one cell for each combination.
    """
    folder.mkdir(parents=True, exist_ok=True)
    lines = b"".join(msgspec.json.encode(result) + b"\n" for result in results)
    (folder / RESULTS_FILE).write_bytes(lines)
    cells = summarise(results)
    summary = msgspec.json.format(msgspec.json.encode(cells), indent=1)
    (folder / SUMMARY_FILE).write_bytes(summary + b"\n")
    return cells


def read_results(folder: Path) -> list[ExperimentResult]:
    """Read the results written by ``save_results``.

    Raises:
        OSError: The file cannot be read.
        msgspec.DecodeError: The file does not contain results.
    """
    lines = (folder / RESULTS_FILE).read_bytes().splitlines()
    return [msgspec.json.decode(line, type=ExperimentResult) for line in lines]
