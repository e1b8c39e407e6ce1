"""``larchhaven check``: reports all errors in the platform's and the operators' file at once."""

from __future__ import annotations

import os
import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec

from larchhaven.cli.exit_codes import ExitCode
from larchhaven.cli.json_positions import find_position
from larchhaven.memory import plan
from larchhaven.memory.purposes import caps_by_purpose
from larchhaven.operator.read import read_file
from larchhaven.operator.settings import WHOLE_FILE, Complaint, Reading

MIN_MEMORY_MB = 16
MIN_SOCKETS = 64
RECOMMENDED_MEMORY_MB = 32
RECOMMENDED_SOCKETS = 256


@dataclass(frozen=True, slots=True)
class FileComplaint:
    """A complaint with the file that it refers to."""

    path: Path
    complaint: Complaint


@dataclass(frozen=True, slots=True)
class Grant:
    """The memory and the sockets that the platform's file grants a proxy."""

    memory_bytes: int
    sockets: int


def run(config: Path | None, operator: Path | None, write: Path | None, as_json: bool) -> int:
    """Check files and print the complaints.

    Args:
        config: The platform's file, if it is to be checked.
        operator: The operators' file, if it is to be checked.
        write: File to which the operators' settings are written as JSON if there are no complaints.
        as_json: Whether to print JSON.

    Returns:
        The exit code.
    """
    if config is None and operator is None:
        print("larchhaven check: write --config, --operator or both", file=sys.stderr)
        return ExitCode.UNUSABLE_INPUT
    file_complaints: list[FileComplaint] = []
    grant: Grant | None = None
    if config is not None:
        complaints, grant = _check_platform_file(config)
        file_complaints += [FileComplaint(config, complaint) for complaint in complaints]
    if operator is not None:
        reading = read_file(str(operator))
        complaints = list(reading.complaints)
        if not complaints and grant is not None:
            complaints = _check_caps(reading, grant)
        file_complaints += [FileComplaint(operator, complaint) for complaint in complaints]
        if write is not None and not file_complaints:
            write.write_bytes(msgspec.json.encode(reading))
    _print_complaints(file_complaints, as_json)
    return ExitCode.UNUSABLE_INPUT if file_complaints else ExitCode.HOLDS


def _print_complaints(file_complaints: list[FileComplaint], as_json: bool) -> None:
    if as_json:
        rows = [
            {"file": str(entry.path), **msgspec.to_builtins(entry.complaint)}
            for entry in file_complaints
        ]
        print(msgspec.json.encode({"holds": not rows, "complaints": rows}).decode())
        return
    for entry in file_complaints:
        print(entry.complaint.format(str(entry.path)))
    if not file_complaints:
        print("no complaints")


def _check_platform_file(config: Path) -> tuple[list[Complaint], Grant | None]:
    """Return the complaints about the platform's file, and its grant if the file is readable."""
    from larchhaven.net.configuration import ConfigurationError, load_configuration

    try:
        configuration = load_configuration({**os.environ, "EDGE_CONFIG": str(config)})
    except ConfigurationError as error:
        return [_locate_error(config, str(error))], None
    limits = configuration.limits
    complaints = []
    if limits.memory_mb < MIN_MEMORY_MB:
        text = (
            f"limits.memory_mb is {limits.memory_mb:g}, below the minimum of {MIN_MEMORY_MB}:"
            f" write {RECOMMENDED_MEMORY_MB} or more"
        )
        complaints.append(Complaint.at(WHOLE_FILE, text))
    if limits.sockets < MIN_SOCKETS:
        text = (
            f"limits.sockets is {limits.sockets}, below the minimum of {MIN_SOCKETS}:"
            f" write {RECOMMENDED_SOCKETS} or more"
        )
        complaints.append(Complaint.at(WHOLE_FILE, text))
    return complaints, Grant(int(limits.memory_mb * plan.BYTES_PER_MB), limits.sockets)


def _locate_error(config: Path, error: str) -> Complaint:
    """Return a complaint for an error in the platform's file, with the position it refers to."""
    try:
        position = find_position(config.read_bytes(), error)
    except OSError:
        position = WHOLE_FILE
    return Complaint.at(position, error)


def _check_caps(reading: Reading, grant: Grant) -> list[Complaint]:
    """Check the sum of the operators' caps against the grant."""
    from larchhaven.cli.memory import measure_program_bytes

    operator_caps = caps_by_purpose(reading.settings.caps)
    try:
        plan.make_plan(grant.memory_bytes, measure_program_bytes(), grant.sockets, operator_caps)
    except plan.MemoryPlanError as error:
        return [Complaint.at(reading.memory_position, str(error))]
    return []
