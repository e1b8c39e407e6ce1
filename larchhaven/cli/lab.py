"""``larchhaven lab``: plays scenarios on the test bed and checks invariants on event records."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from contextlib import nullcontext
from pathlib import Path

import msgspec

from larchhaven.cli.exit_codes import ExitCode, exit_code_for
from larchhaven.errors import LarchhavenError
from larchhaven.testbed.event_record import EventRecord
from larchhaven.testbed.invariant_checker import InvariantChecker
from larchhaven.testbed.invariants import Violation
from larchhaven.testbed.outcome import ScenarioOutcome
from larchhaven.testbed.proxy_process import ProxyNotStartedError
from larchhaven.testbed.scenario_file import load_scenario
from larchhaven.testbed.scenario_pb2 import Scenario
from larchhaven.testbed.scenario_player import ScenarioPlayer, play_scenario

BUILT_IN_SCENARIOS = Path(__file__).parent.parent / "testbed" / "scenarios"
MAX_SHOWN_VIOLATIONS = 20
BYTES_PER_MB = 1 << 20
PROGRESS_WIDTH = 78


class RecordFileError(LarchhavenError):
    """A line of a record file is not a valid event record.

    Attributes:
        path: The record file.
        line: Line number, from 1.
        reason: Why the line is invalid.
    """

    def __init__(self, path: Path, line: int, reason: str) -> None:
        super().__init__(f"{path}:{line}: not an event record: {reason}")
        self.path = path
        self.line = line
        self.reason = reason


def show_progress(player: ScenarioPlayer) -> None:
    """Update a progress line on stderr if it is a terminal."""
    if not sys.stderr.isatty():
        return
    deployment = player.deployment
    scenario = deployment.scenario
    done_ratio = deployment.elapsed_s() / scenario.seconds
    samples = player.sampler.samples
    resident_mb = samples[-1].resident_bytes / BYTES_PER_MB if samples else 0.0
    established = deployment.clients.established_connections
    text = f"{scenario.name}: {done_ratio:4.0%}  {established} established, {resident_mb:.1f} MB"
    end = "" if done_ratio < 1 else "\n"
    print(f"\r{text:<{PROGRESS_WIDTH}}", end=end, file=sys.stderr, flush=True)


def play_file(
    path: Path, operator: Path | None, record: Path | None, seed: int | None, as_json: bool
) -> int:
    """Play a scenario and print its outcome.

    Args:
        path: The scenario file.
        operator: The operators' file for the proxies, if any.
        record: File to which the event records are written, if any.
        seed: Seed that overrides the scenario's, if any.
        as_json: Whether to print JSON.

    Returns:
        The exit code.
    """
    scenario = _read_scenario(path)
    if scenario is None:
        return ExitCode.UNUSABLE_INPUT
    if seed is not None:
        scenario.seed = seed
    try:
        outcome = _play(scenario, operator, record)
    except ProxyNotStartedError as error:
        print(f"larchhaven lab: a proxy did not start; its log:\n{error.log}", file=sys.stderr)
        return ExitCode.UNUSABLE_INPUT
    except OSError as error:
        print(f"larchhaven lab: {error}", file=sys.stderr)
        return ExitCode.UNUSABLE_INPUT
    if as_json:
        print(msgspec.json.encode(outcome.summarize()).decode())
    else:
        _print_outcome(outcome)
    return exit_code_for(outcome.holds)


def _read_scenario(path: Path) -> Scenario | None:
    """Read a scenario; print complaints and return None if it is invalid."""
    try:
        scenario, complaints = load_scenario(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return None
    for complaint in complaints:
        print(f"{path}:{complaint}", file=sys.stderr)
    return None if complaints else scenario


def _play(scenario: Scenario, operator: Path | None, record: Path | None) -> ScenarioOutcome:
    operator_text = operator.read_text("utf-8") if operator is not None else None
    with record.open("wb") if record is not None else nullcontext() as record_file:
        return asyncio.run(
            play_scenario(
                scenario,
                record_file=record_file,
                progress=show_progress,
                operator_text=operator_text,
            )
        )


def _print_outcome(outcome: ScenarioOutcome) -> None:
    print(f"{outcome.name}, seed {outcome.seed}: {outcome.duration_s:g} s")
    _print_classes(outcome)
    for name, answer_counts in outcome.tenant_answers.items():
        requests = sum(answer_counts.values())
        served = answer_counts.get("UP", 0)
        print(f"  tenant {name}: {served} of {requests} requests served ({served / requests:.0%})")
    if outcome.samples:
        peak_bytes = max(sample.resident_bytes for sample in outcome.samples)
        print(f"  peak resident size of a proxy: {peak_bytes / BYTES_PER_MB:.1f} MB")
    _print_violations(outcome.violations)
    for name in outcome.crashed_proxies:
        print(f"  proxy crashed: {name}")
    for error in outcome.errors:
        print(f"  {error}")
    print("holds" if outcome.holds else "does not hold")


def _print_classes(outcome: ScenarioOutcome) -> None:
    for name, class_outcome in outcome.classes.items():
        answers = ", ".join(
            f"{word} {count}" for word, count in sorted(class_outcome.answers.items())
        )
        connection_ends = (
            f"migrated {class_outcome.migrations}, lost {class_outcome.lost_connections}"
        )
        print(f"  {name}: {class_outcome.requests} requests: {answers}; {connection_ends}")
        if class_outcome.setup_p50_ms is not None:
            times = (
                f"{class_outcome.setup_p50_ms} ms (median), {class_outcome.setup_p99_ms} ms (p99)"
            )
            print(f"    connection setup: {times}")


def _print_violations(violations: Sequence[Violation]) -> None:
    for violation in violations[:MAX_SHOWN_VIOLATIONS]:
        print(f"  {violation.invariant}: {violation.description}")
    if len(violations) > MAX_SHOWN_VIOLATIONS:
        print(f"  and {len(violations) - MAX_SHOWN_VIOLATIONS} more violations")


def try_scenario(name: str, as_json: bool) -> int:
    """Play a scenario that is shipped with the program; return the exit code."""
    return play_file(BUILT_IN_SCENARIOS / f"{name}.textproto", None, None, None, as_json)


def check_file(path: Path, as_json: bool) -> int:
    """Check the invariants on recorded events and print the violations.

    Args:
        path: A record file written by ``lab play --record``.
        as_json: Whether to print JSON.

    Returns:
        The exit code.
    """
    try:
        violations = _check_records(path)
    except RecordFileError as error:
        print(error, file=sys.stderr)
        return ExitCode.UNUSABLE_INPUT
    except OSError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return ExitCode.UNUSABLE_INPUT
    holds = not violations
    if as_json:
        print(msgspec.json.encode({"holds": holds, "broken": violations}).decode())
    else:
        _print_violations(violations)
        print("holds" if holds else "does not hold")
    return exit_code_for(holds)


def _check_records(path: Path) -> list[Violation]:
    checker = InvariantChecker()
    decoder = msgspec.json.Decoder(EventRecord)
    last_at_us = 0
    with path.open("rb") as file:
        for number, line in enumerate(file, start=1):
            try:
                record = decoder.decode(line)
            except msgspec.DecodeError as error:
                raise RecordFileError(path, number, str(error)) from None
            checker.handle(record)
            last_at_us = record.at_us
    return checker.finish(last_at_us)
