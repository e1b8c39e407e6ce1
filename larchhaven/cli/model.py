"""``larchhaven model``: runs experiments, sweeps and searches on a simulated proxy fleet."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from larchhaven.cli.exit_codes import ExitCode, exit_code_for

if TYPE_CHECKING:
    from larchhaven.model.experiment_pb2 import Experiment
    from larchhaven.model.results import ExperimentResult
    from larchhaven.model.search import SearchReport
    from larchhaven.model.summary import SweepCell
    from larchhaven.model.sweep import SweepAxes


def run_experiment_file(path: Path, seed: int | None, as_json: bool) -> int:
    """Run one experiment and print its result.

    Args:
        path: The experiment file.
        seed: Seed that overrides the experiment's, if any.
        as_json: Whether to print JSON.

    Returns:
        The exit code: ``HOLDS`` if all members agreed on every death, no live member was declared
        dead, and all views converged.
    """
    try:
        from larchhaven.model.experiment import run_experiment
    except ModuleNotFoundError as error:
        return _report_missing_extra(error)
    experiment = _read_experiment(path)
    if experiment is None:
        return ExitCode.UNUSABLE_INPUT
    if seed is not None:
        experiment.seed = seed
    result = run_experiment(experiment)
    if as_json:
        fields = msgspec.to_builtins(result) | {"holds": result.holds}
        print(msgspec.json.encode(fields).decode())
    else:
        _print_result(result)
    return exit_code_for(result.holds)


def run_sweep(
    path: Path,
    members: str,
    loss: str,
    detectors: Sequence[str],
    seeds: int,
    jobs: int,
    out: Path,
    as_json: bool,
) -> int:
    """Run an experiment for every combination of size, loss, detector and seed.

    Args:
        path: The experiment file.
        members: Fleet sizes, separated by commas; the experiment's size if empty.
        loss: Percentages of lost datagrams, separated by commas; the experiment's loss if empty.
        detectors: Names of failure detectors; the experiment's detector if empty.
        seeds: Number of consecutive seeds, starting with the experiment's seed.
        jobs: Number of worker processes; 0 for one per core.
        out: Folder for the results.
        as_json: Whether to print JSON.

    Returns:
        The exit code: ``HOLDS`` if all members agreed on every death in every run.
    """
    try:
        from larchhaven.model import sweep
    except ModuleNotFoundError as error:
        return _report_missing_extra(error)
    base = _read_experiment(path)
    axes = _parse_axes(members, loss, detectors, seeds) if base is not None else None
    if base is None or axes is None:
        return ExitCode.UNUSABLE_INPUT
    experiments = _vary_experiment(base, axes)
    if experiments is None:
        return ExitCode.UNUSABLE_INPUT
    results = _run_experiments(experiments, jobs)
    cells = sweep.save_results(out, results)
    _print_cells(cells, as_json)
    return exit_code_for(all(cell.agreed_fraction == 1.0 for cell in cells))


def _vary_experiment(base: Experiment, axes: SweepAxes) -> list[Experiment] | None:
    """Return the variants of an experiment; print a complaint and return None if one is invalid."""
    from larchhaven.model.experiment_file import check_experiment
    from larchhaven.model.sweep import expand_axes

    try:
        experiments = expand_axes(base, axes)
    except ValueError as error:  # protobuf raises it for a number out of the range of a field
        print(f"larchhaven model sweep: {error}", file=sys.stderr)
        return None
    for experiment in experiments:
        complaints = check_experiment(experiment)
        if complaints:
            cell = f"{experiment.members} members, loss {experiment.links.loss_percent:g}%"
            print(f"larchhaven model sweep: with {cell}: {complaints[0]}", file=sys.stderr)
            return None
    return experiments


def _run_experiments(experiments: Sequence[Experiment], jobs: int) -> list[ExperimentResult]:
    from larchhaven.model import sweep

    def show_progress(completed: int) -> None:
        if sys.stderr.isatty():
            end = "" if completed < len(experiments) else "\n"
            text = f"\r{completed} of {len(experiments)}"
            print(text, end=end, file=sys.stderr, flush=True)

    return sweep.run_sweep(experiments, jobs, show_progress)


def plot_sweep(folder: Path, out: Path) -> int:
    """Plot the results of a sweep.

    Args:
        folder: Folder with the results of the sweep.
        out: The HTML file to write.

    Returns:
        The exit code.
    """
    try:
        from larchhaven.model.plot import render_report
        from larchhaven.model.summary import summarise
        from larchhaven.model.sweep import read_results
    except ModuleNotFoundError as error:
        return _report_missing_extra(error)
    try:
        cells = summarise(read_results(folder))
        out.write_text(render_report(f"Membership: {folder.name}", cells), "utf-8")
    except (OSError, msgspec.DecodeError) as error:
        print(f"larchhaven model plot: {folder}: {error}", file=sys.stderr)
        return ExitCode.UNUSABLE_INPUT
    print(out)
    return ExitCode.HOLDS


def run_search(
    names: Sequence[str], members: int, max_depth: int, max_states: int, as_json: bool
) -> int:
    """Explore all reachable states from starting states and check the invariants in each.

    Args:
        names: Names of the starting states; all if empty.
        members: Number of members.
        max_depth: Maximum number of consecutive steps.
        max_states: Maximum number of states per starting state.
        as_json: Whether to print JSON.

    Returns:
        The exit code: ``HOLDS`` if no invariant was violated.
    """
    try:
        from larchhaven.model.search import search_from
        from larchhaven.model.starting_states import STARTING_STATES
    except ModuleNotFoundError as error:
        return _report_missing_extra(error)
    for name in names:
        if name not in STARTING_STATES:
            choices = ", ".join(STARTING_STATES)
            print(
                f"larchhaven model search: unknown scene {name!r}: write one of {choices}",
                file=sys.stderr,
            )
            return ExitCode.UNUSABLE_INPUT
    reports = [
        search_from(name, members=members, max_depth=max_depth, max_states=max_states)
        for name in names or STARTING_STATES
    ]
    if as_json:
        print(msgspec.json.encode(reports).decode())
    else:
        for report in reports:
            _print_search(report)
    has_violation = any(report.violation for report in reports)
    return exit_code_for(not has_violation)


def _report_missing_extra(error: ModuleNotFoundError) -> int:
    print(f"larchhaven model needs the extra 'report' ({error.name} is missing)", file=sys.stderr)
    return ExitCode.UNUSABLE_INPUT


def _read_experiment(path: Path) -> Experiment | None:
    """Read an experiment; print complaints and return None if it is invalid."""
    from larchhaven.model.experiment_file import parse_experiment

    try:
        parsed = parse_experiment(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return None
    for complaint in parsed.complaints:
        print(f"{path}:{complaint}", file=sys.stderr)
    return None if parsed.complaints else parsed.experiment


def _parse_axes(members: str, loss: str, detectors: Sequence[str], seeds: int) -> SweepAxes | None:
    """Parse the axes of a sweep; print an error and return None if they are invalid."""
    from larchhaven.model.experiment_pb2 import Experiment
    from larchhaven.model.sweep import SweepAxes

    try:
        return SweepAxes(
            members=[int(size) for size in _parse_numbers(members)],
            loss_percents=_parse_numbers(loss),
            detectors=[Experiment.Detector.Value(name.upper()) for name in detectors],
            seeds=seeds,
        )
    except (ValueError, OverflowError) as error:
        print(f"larchhaven model sweep: {error}", file=sys.stderr)
        return None


def _parse_numbers(text: str) -> list[float]:
    return [float(number) for number in text.split(",") if number.strip()]


def _print_result(result: ExperimentResult) -> None:
    size = f"{result.members} members, {result.simulated_s:g} s simulated"
    print(f"{result.name}, seed {result.seed}: {size}")
    for death in result.deaths:
        print(
            f"  member {death.number} died at {death.at_s:g} s:"
            f" time to first detection: {_format_seconds(death.detected_s)},"
            f" time to agreement: {_format_seconds(death.agreed_s)}"
        )
    for convergence in result.convergences:
        duration = _format_seconds(convergence.duration_s)
        print(f"  {convergence.cause} at {convergence.at_s:g} s: time to equal views: {duration}")
    print(f"  {result.suspicions} suspicions, {result.false_deaths} false death declarations")
    print(
        f"  per member and second: {result.messages_per_second:g} messages,"
        f" {result.max_messages_per_second:g} at most; {result.bytes_per_second:g} bytes"
    )
    print(f"  trace {result.trace_digest}, {result.events} events")
    print("holds" if result.holds else "does not hold")


def _format_seconds(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds:.2f} s"


def _print_cells(cells: Sequence[SweepCell], as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(cells).decode())
        return
    from larchhaven.model.sweep_table import TABLE_HEADS, format_row

    rows = [list(TABLE_HEADS), *(format_row(cell) for cell in cells)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        padded = (text.ljust(width) for text, width in zip(row, widths, strict=True))
        print("  ".join(padded).rstrip())


def _print_search(report: SearchReport) -> None:
    truncated = ", truncated" if report.is_truncated else ""
    print(
        f"{report.starting_state}: {report.states} states, {report.steps} steps"
        f" to depth {report.completed_depth}{truncated}; network healed from"
        f" {report.healed_states} states"
    )
    if report.violation:
        print(f"  {report.violation}")
        for step in report.counterexample:
            print(f"    {step}")
