"""``larchhaven check``: all that is wrong with the platform's file and the operators' file, at once."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import msgspec

from larchhaven.memory import plan
from larchhaven.memory.purposes import caps_by_purpose
from larchhaven.operator.read import read_file
from larchhaven.operator.settings import Complaint, Reading

MIN_MEMORY_MB = 16
MIN_SOCKETS = 64


def run(config: Path | None, operator: Path | None, write: Path | None, as_json: bool) -> int:
    """Check what is named; return the exit code."""
    if config is None and operator is None:
        print("larchhaven check: name --config, --operator or both", file=sys.stderr)
        return 2
    complaints: list[tuple[str, Complaint]] = []
    granted: tuple[int, int] | None = None
    if config is not None:
        found, granted = _platform(config)
        complaints += [(str(config), complaint) for complaint in found]
    if operator is not None:
        reading = read_file(str(operator))
        complaints += [(str(operator), complaint) for complaint in reading.complaints]
        if not reading.complaints and granted is not None:
            complaints += [(str(operator), c) for c in _sums(reading, *granted)]
        if write is not None and not complaints:
            write.write_bytes(msgspec.json.encode(reading))
    if as_json:
        rows = [{"file": file, **msgspec.to_builtins(complaint)} for file, complaint in complaints]
        print(msgspec.json.encode({"holds": not rows, "complaints": rows}).decode())
    else:
        for file, complaint in complaints:
            print(complaint.at(file))
        if not complaints:
            print("no complaints")
    return 2 if complaints else 0


def _platform(config: Path) -> tuple[list[Complaint], tuple[int, int] | None]:
    from larchhaven.net.configuration import ConfigurationError, load_configuration

    try:
        read = load_configuration({**os.environ, "EDGE_CONFIG": str(config)})
    except ConfigurationError as error:
        line, column = _place(config, str(error))
        return [Complaint(line, column, str(error))], None
    limits = read.limits
    found = []
    if limits.memory_mb < MIN_MEMORY_MB:
        found.append(Complaint(0, 0, f"limits.memory_mb is {limits.memory_mb:g}: write 32 or more"))
    if limits.sockets < MIN_SOCKETS:
        found.append(Complaint(0, 0, f"limits.sockets is {limits.sockets}: write 256 or more"))
    return found, (int(limits.memory_mb * plan.BYTES_PER_MB), limits.sockets)


def _place(config: Path, error: str) -> tuple[int, int]:
    """Find line and column of what a complaint about JSON names: a byte's position, or a path of names."""
    import re

    try:
        raw = config.read_bytes()
    except OSError:
        return 0, 0
    at = -1
    if match := re.search(r"byte (\d+)", error):
        at = int(match.group(1))
    elif match := re.search(r"\$((?:\.\w+|\[[^\]]*\])+)", error) or re.search(
        r"^((?:\w+\.)*\w+) ", error
    ):
        names = re.findall(r"\w+", match.group(1))
        at = 0
        for name in names:
            found = raw.find(f'"{name}"'.encode(), at)
            at = found if found >= 0 else at
        at = at or -1
    if at < 0:
        return 0, 0
    before = raw[:at]
    return before.count(b"\n") + 1, at - (before.rfind(b"\n") + 1) + 1


def _sums(reading: Reading, grant: int, sockets: int) -> list[Complaint]:
    from larchhaven.cli.memory import measure_program_bytes

    wanted = caps_by_purpose(reading.settings.caps)
    try:
        plan.make_plan(grant, measure_program_bytes(), sockets, wanted)
    except plan.MemoryPlanError as error:
        return [Complaint(*reading.memory_at, str(error))]
    return []
