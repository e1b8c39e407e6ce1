"""``larchhaven model``: membership of a fleet in simulated time."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from larchhaven.cli.exit_codes import ExitCode, exit_code_for

if TYPE_CHECKING:
    from larchhaven.model.experiment_pb2 import Experiment
    from larchhaven.model.measure import Result
    from larchhaven.model.search import Report
    from larchhaven.model.sweep import Cell


def _fail(message: str) -> int:
    print(message, file=sys.stderr)
    return ExitCode.UNUSABLE_INPUT


def _fail_for_missing_extra(error: ModuleNotFoundError) -> int:
    return _fail(f"larchhaven model needs the extra 'report' ({error.name} is missing)")


def _read_experiment(path: Path) -> Experiment | None:
    """Read an experiment; print what is wrong with it and return None if anything is."""
    from larchhaven.model.experiment import load

    try:
        experiment, complaints = load(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return None
    for complaint in complaints:
        print(f"{path}:{complaint}", file=sys.stderr)
    return None if complaints else experiment


def play_file(path: Path, seed: int | None, as_json: bool) -> int:
    """Play one experiment and print its result.

    Args:
        path: The experiment.
        seed: Seed in place of the experiment's, if any.
        as_json: Whether to print JSON.

    Returns:
        The exit code; it holds if every death is agreed upon, nobody is wrongly declared dead and
        all views converge.
    """
    try:
        from larchhaven.model.experiment import play
    except ModuleNotFoundError as error:
        return _fail_for_missing_extra(error)
    experiment = _read_experiment(path)
    if experiment is None:
        return ExitCode.UNUSABLE_INPUT
    if seed is not None:
        experiment.seed = seed
    result = play(experiment)
    holds = _result_holds(result)
    if as_json:
        print(msgspec.json.encode(msgspec.to_builtins(result) | {"holds": holds}).decode())
    else:
        _print_result(result)
        print("holds" if holds else "does not hold")
    return exit_code_for(holds)


def _result_holds(result: Result) -> bool:
    return (
        not result.false_deaths
        and all(death.agreed is not None for death in result.deaths)
        and all(equal.seconds is not None for equal in result.equal)
    )


def _print_result(result: Result) -> None:
    print(
        f"{result.name}, seed {result.seed}: {result.members} members,"
        f" {result.seconds:g} s simulated"
    )
    for death in result.deaths:
        detected = _format_duration(death.detected)
        agreed = _format_duration(death.agreed)
        print(
            f"  {death.number} died at {death.at:g} s: detected after {detected},"
            f" agreed after {agreed}"
        )
    for equal in result.equal:
        converged = _format_duration(equal.seconds)
        print(f"  {equal.after} at {equal.at:g} s: all views equal after {converged}")
    print(f"  {result.accusations} suspected, {result.false_deaths} wrongly declared dead")
    print(
        f"  {result.messages_a_second:g} messages a second and member,"
        f" {result.messages_most:g} at most; {result.bytes_a_second:g} bytes"
    )
    print(f"  trace {result.trace}, {result.events} events")


def _format_duration(duration_s: float | None) -> str:
    return "never" if duration_s is None else f"{duration_s:.2f} s"


def _parse_numbers(text: str) -> list[float]:
    return [float(part) for part in text.split(",") if part.strip()]


def sweep(
    path: Path,
    members: str,
    loss: str,
    detectors: Sequence[str],
    seeds: int,
    jobs: int,
    out: Path,
    as_json: bool,
) -> int:
    """Play an experiment in many variants and print a summary.

    Args:
        path: The experiment that is varied.
        members: Numbers of members, joined by commas.
        loss: Percentages of datagrams lost, joined by commas.
        detectors: Names of failure detectors.
        seeds: Number of seeds for each variant.
        jobs: Processes at a time; 0 for as many as there are cores.
        out: Folder for the results.
        as_json: Whether to print JSON.

    Returns:
        The exit code; it holds if every death is agreed upon.
    """
    try:
        from larchhaven.model import sweep as implementation
    except ModuleNotFoundError as error:
        return _fail_for_missing_extra(error)
    base = _read_experiment(path)
    if base is None:
        return ExitCode.UNUSABLE_INPUT
    try:
        experiments = _vary(base, members, loss, detectors, seeds)
    except ValueError as error:
        return _fail(f"larchhaven model sweep: {error}")
    progress = partial(_show_progress, len(experiments))
    cells = implementation.save(out, implementation.run(experiments, jobs, progress))
    _print_cells(cells, as_json)
    return exit_code_for(all(cell.agreed_share == 1.0 for cell in cells))


def _show_progress(total: int, done: int) -> None:
    """Keep one line up to date on a terminal; print nothing elsewhere."""
    if sys.stderr.isatty():
        end = "" if done < total else "\n"
        print(f"\r{done} of {total}", end=end, file=sys.stderr, flush=True)


def _vary(
    base: Experiment, members: str, loss: str, detectors: Sequence[str], seeds: int
) -> list[Experiment]:
    """Return the variants of an experiment.

    Raises:
        ValueError: An option is not a list of numbers, or names no failure detector.
    """
    from larchhaven.model import sweep as implementation
    from larchhaven.model.experiment_pb2 import Experiment

    sizes = [int(size) for size in _parse_numbers(members)]
    loss_percents = _parse_numbers(loss)
    kinds = [Experiment.Detector.Value(name.upper()) for name in detectors]
    return implementation.grid(base, sizes, loss_percents, kinds, seeds)


def _print_cells(cells: Sequence[Cell], as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(cells).decode())
        return
    from larchhaven.model.plot import HEADS, row

    rows = [list(HEADS), *(row(cell) for cell in cells)]
    widths = [max(len(line[column]) for line in rows) for column in range(len(HEADS))]
    for line in rows:
        padded = [text.ljust(width) for text, width in zip(line, widths, strict=True)]
        print("  ".join(padded).rstrip())


def plot(folder: Path, out: Path) -> int:
    """Plot the results of a sweep as an HTML file.

    Args:
        folder: The folder that the sweep has written.
        out: The HTML file.

    Returns:
        The exit code.
    """
    try:
        from larchhaven.model import sweep as implementation
        from larchhaven.model.plot import write
    except ModuleNotFoundError as error:
        return _fail_for_missing_extra(error)
    try:
        cells = implementation.summarise(implementation.read(folder))
        out.write_text(write(f"Membership: {folder.name}", cells), "utf-8")
    except (OSError, msgspec.DecodeError) as error:
        return _fail(f"larchhaven model plot: {folder}: {error}")
    print(out)
    return ExitCode.HOLDS


def search(names: Sequence[str], size: int, depth: int, states: int, as_json: bool) -> int:
    """Search exhaustively from initial scenes and print what was found.

    Args:
        names: Names of the scenes; empty for all.
        size: Number of members.
        depth: Maximum number of steps.
        states: Maximum number of states of a scene.
        as_json: Whether to print JSON.

    Returns:
        The exit code; it holds if no invariant is violated.
    """
    try:
        from larchhaven.model.search import SCENES
        from larchhaven.model.search import search as search_scene
    except ModuleNotFoundError as error:
        return _fail_for_missing_extra(error)
    unknown = [name for name in names if name not in SCENES]
    if unknown:
        return _fail(f"there is no scene {unknown[0]!r}; known are {', '.join(SCENES)}")
    reports = [
        search_scene(name, size=size, depth=depth, states=states) for name in names or SCENES
    ]
    if as_json:
        print(msgspec.json.encode([msgspec.to_builtins(report) for report in reports]).decode())
    else:
        for report in reports:
            _print_search(report)
    return exit_code_for(not any(report.broken for report in reports))


def _print_search(report: Report) -> None:
    ending = ", cut short" if report.cut_short else ""
    extent = f"{report.states} states, {report.steps} steps to depth {report.deepest}{ending}"
    print(f"{report.scene}: {extent}; converged {report.wholes} times")
    if report.broken:
        print(f"  {report.broken}")
        for step in report.path:
            print(f"    {step}")
