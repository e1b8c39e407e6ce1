"""``larchhaven memory``: the plan of caps for a grant, and the live account of a running proxy."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import msgspec

from larchhaven.cli.calls import CallError, get
from larchhaven.memory import plan
from larchhaven.memory.item_costs import REQUEST_BYTES, STREAM_BYTES
from larchhaven.memory.purposes import PURPOSE_DESCRIPTIONS, MemoryPurpose
from larchhaven.net.admin.memory_accounting import MemoryState

_MEASURE = """
import larchhaven.net.proxy
from larchhaven.net.admin.memory_accounting import read_resident_bytes
print(read_resident_bytes())
"""


def measured_start() -> int:
    """Measure the program's own size on this machine, in bytes, by loading it in a process of its own."""
    done = subprocess.run(
        [sys.executable, "-c", _MEASURE], capture_output=True, text=True, check=True
    )
    return int(done.stdout)


def show_plan(
    grant: float, sockets: int, start: float | None, operator: Path | None, as_json: bool
) -> int:
    """Print the plan; return the exit code."""
    wanted: dict[MemoryPurpose, int] = {}
    if operator is not None:
        from larchhaven.operator.read import read_file

        reading = read_file(str(operator))
        for complaint in reading.complaints:
            print(complaint.at(str(operator)), file=sys.stderr)
        if reading.complaints:
            return 2
        wanted = {
            p: reading.settings.caps[p.key] for p in MemoryPurpose if p.key in reading.settings.caps
        }
    own = int(start * plan.BYTES_PER_MB) if start is not None else measured_start()
    try:
        made = plan.make_plan(int(grant * plan.BYTES_PER_MB), own, sockets, wanted)
    except plan.MemoryPlanError as error:
        print(f"larchhaven memory: {error}", file=sys.stderr)
        return 2
    connection = 2 * STREAM_BYTES + REQUEST_BYTES
    stand = min(
        made.caps[MemoryPurpose.CONNECTIONS] // (2 * STREAM_BYTES),
        made.caps[MemoryPurpose.TABLES] // REQUEST_BYTES,
        sockets // 2,
    )
    if as_json:
        print(
            msgspec.json.encode(
                {
                    "grant": made.grant_bytes,
                    "start": made.program_bytes,
                    "margin": made.unplanned_bytes,
                    "planned": made.planned_bytes,
                    "short": made.is_below_minimum,
                    "socket_bound": made.socket_buffer_bytes,
                    "connections_fit": stand,
                    "caps": {purpose.key: cap for purpose, cap in made.caps.items()},
                }
            ).decode()
        )
        return 1 if made.is_below_minimum else 0
    print(f"{'granted':<14}{_kb(made.grant_bytes)}")
    print(
        f"{'program':<14}{_kb(made.program_bytes)}  {'given' if start is not None else 'measured here'}"
    )
    print(f"{'unplanned':<14}{_kb(made.unplanned_bytes)}  what the allocator wastes")
    for purpose, cap in made.caps.items():
        print(f"{purpose.key:<14}{_kb(cap)}  {PURPOSE_DESCRIPTIONS[purpose].covers}")
        print(f"{'':<28}at the cap: {PURPOSE_DESCRIPTIONS[purpose].at_cap}")
    print(
        f"room for some {stand} standing connections, at {connection:,} bytes each; a socket holds at most"
    )
    print(f"{made.socket_buffer_bytes:,} bytes each way in the system")
    if made.is_below_minimum:
        print("the grant is too small: the least that each purpose needs passes it")
    return 1 if made.is_below_minimum else 0


def show_live(address: str, as_json: bool) -> int:
    """Print a running proxy's account; return the exit code."""
    try:
        body = get(address, "/v1/memory")
        state = msgspec.json.decode(body, type=MemoryState)
    except (CallError, msgspec.DecodeError) as error:
        print(f"larchhaven memory: {error}", file=sys.stderr)
        return 2
    over = [name for name, line in state.purposes.items() if line.used > line.cap]
    if as_json:
        print(body.decode())
        return 1 if over or state.resident > state.grant else 0
    print(
        f"resident {_kb(state.resident)} of {_kb(state.grant)} granted, at most {_kb(state.resident_peak)}"
    )
    print(
        f"grown by {_kb(state.growth)} since the start; of that unaccounted {_kb(state.unaccounted)}"
    )
    print(f"{'purpose':<14}{'used':>12}{'most':>12}{'cap':>12}{'refused':>9}")
    for name, line in state.purposes.items():
        mark = "  over its cap" if line.used > line.cap else ""
        print(f"{name:<14}{_kb(line.used)}{_kb(line.high)}{_kb(line.cap)}{line.refused:>9}{mark}")
    sockets = state.descriptors
    print(f"{'descriptors':<14}{sockets.used:>12}{'':>12}{sockets.cap:>12}{sockets.refused:>9}")
    return 1 if over or state.resident > state.grant else 0


def _kb(size: int) -> str:
    return f"{size / 1024:>9,.0f} KB"
