"""``larchhaven model``: the fleet in simulated time."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from larchhaven.model.experiment_pb2 import Experiment

EXTRA = "larchhaven model needs the extra 'report'"


def _read(path: Path) -> Experiment | None:
    """Read an experiment; print what is wrong with it."""
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
    """Play one experiment; return the exit code: all agreed and equal, and nobody wrongly dead."""
    try:
        from larchhaven.model.experiment import play
    except ModuleNotFoundError as error:
        print(f"{EXTRA} ({error.name} is missing)", file=sys.stderr)
        return 2
    experiment = _read(path)
    if experiment is None:
        return 2
    if seed is not None:
        experiment.seed = seed
    result = play(experiment)
    holds = (
        not result.false_deaths
        and all(death.agreed is not None for death in result.deaths)
        and all(equal.seconds is not None for equal in result.equal)
    )
    if as_json:
        print(msgspec.json.encode(msgspec.to_builtins(result) | {"holds": holds}).decode())
        return 0 if holds else 1
    print(
        f"{result.name}, seed {result.seed}: {result.members} members, {result.seconds:g} s simulated"
    )
    for death in result.deaths:
        print(
            f"  {death.number} died at {death.at:g} s: first said after {_s(death.detected)}, "
            f"agreed after {_s(death.agreed)}"
        )
    for equal in result.equal:
        print(f"  {equal.after} at {equal.at:g} s: all views equal after {_s(equal.seconds)}")
    print(f"  {result.accusations} accused, {result.false_deaths} wrongly declared dead")
    print(
        f"  {result.messages_a_second:g} messages a second and member, {result.messages_most:g} at most; "
        f"{result.bytes_a_second:g} bytes"
    )
    print(f"  trace {result.trace}, {result.events} events")
    print("holds" if holds else "does not hold")
    return 0 if holds else 1


def _s(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds:.2f} s"


def _numbers(text: str) -> list[float]:
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
    """Play many experiments; return the exit code: whether every death was agreed upon."""
    try:
        from larchhaven.model import sweep as work
        from larchhaven.model.experiment_pb2 import Experiment
    except ModuleNotFoundError as error:
        print(f"{EXTRA} ({error.name} is missing)", file=sys.stderr)
        return 2
    base = _read(path)
    if base is None:
        return 2
    try:
        sizes, losses = [int(size) for size in _numbers(members)], _numbers(loss)
        kinds = [Experiment.Detector.Value(name.upper()) for name in detectors]
    except ValueError as error:
        print(f"larchhaven model sweep: {error}", file=sys.stderr)
        return 2
    experiments = work.grid(base, sizes, losses, kinds, seeds)

    def played(done: int) -> None:
        if sys.stderr.isatty():
            end = "" if done < len(experiments) else "\n"
            print(f"\r{done} of {len(experiments)}", end=end, file=sys.stderr, flush=True)

    cells = work.save(out, work.run(experiments, jobs, played))
    if as_json:
        print(msgspec.json.encode(cells).decode())
    else:
        _table(cells)
    return 0 if all(cell.agreed_share == 1.0 for cell in cells) else 1


def _table(cells: Sequence[object]) -> None:
    from larchhaven.model.plot import HEADS, row

    rows = [list(HEADS), *(row(cell) for cell in cells)]  # type: ignore[arg-type]
    widths = [max(len(line[i]) for line in rows) for i in range(len(HEADS))]
    for line in rows:
        print(
            "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        )


def plot(folder: Path, out: Path) -> int:
    """Draw what a sweep has shown; return the exit code."""
    try:
        from larchhaven.model import sweep as work
        from larchhaven.model.plot import write
    except ModuleNotFoundError as error:
        print(f"{EXTRA} ({error.name} is missing)", file=sys.stderr)
        return 2
    try:
        results = work.read(folder)
        out.write_text(write(f"Membership: {folder.name}", work.summarise(results)), "utf-8")
    except (OSError, msgspec.DecodeError) as error:
        print(f"larchhaven model plot: {folder}: {error}", file=sys.stderr)
        return 2
    print(out)
    return 0


def search(names: Sequence[str], size: int, depth: int, states: int, as_json: bool) -> int:
    """Search exhaustively from the scenes; return the exit code."""
    try:
        from larchhaven.model.search import SCENES
        from larchhaven.model.search import search as work
    except ModuleNotFoundError as error:
        print(f"{EXTRA} ({error.name} is missing)", file=sys.stderr)
        return 2
    unknown = [name for name in names if name not in SCENES]
    if unknown:
        print(f"there is no scene {unknown[0]!r}; known are {', '.join(SCENES)}", file=sys.stderr)
        return 2
    reports = [work(name, size=size, depth=depth, states=states) for name in names or SCENES]
    if as_json:
        print(msgspec.json.encode([msgspec.to_builtins(report) for report in reports]).decode())
    else:
        for report in reports:
            short = ", cut short" if report.cut_short else ""
            met = f"{report.states} states, {report.steps} steps to depth {report.deepest}{short}"
            print(f"{report.scene}: {met}; made whole {report.wholes} times")
            if report.broken:
                print(f"  {report.broken}")
                for step in report.path:
                    print(f"    {step}")
    return 1 if any(report.broken for report in reports) else 0
