"""``larchhaven memory``: prints the memory plan for a grant, or the account of a running proxy."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import msgspec

from larchhaven.cli.calls import CallError, fetch_body
from larchhaven.cli.exit_codes import ExitCode, exit_code_for
from larchhaven.memory import plan
from larchhaven.memory.item_costs import REQUEST_BYTES, STREAM_BYTES
from larchhaven.memory.purposes import PURPOSE_DESCRIPTIONS, MemoryPurpose, caps_by_purpose
from larchhaven.net.admin.memory_accounting import MemoryState

# A connection has one stream to the client and one to the server, each with a socket.
STREAMS_PER_CONNECTION = 2

_PRINT_PROGRAM_BYTES = """
import larchhaven.net.proxy
from larchhaven.net.admin.process_memory import read_resident_bytes
print(read_resident_bytes())
"""


class PlanOutput(msgspec.Struct):
    """The memory plan as printed with ``--json``; all sizes are in bytes.

    Attributes:
        grant: Granted memory.
        start: Resident size of the program itself.
        margin: Memory that stays unplanned.
        planned: Sum of the caps.
        short: Whether the grant is below the minimum.
        socket_bound: Maximum size of the kernel buffer of a socket in each direction.
        connections_fit: Number of established connections that fit.
        caps: Cap of each purpose, by its key.
    """

    grant: int
    start: int
    margin: int
    planned: int
    short: bool
    socket_bound: int
    connections_fit: int
    caps: dict[str, int]


def measure_program_bytes() -> int:
    """Measure the resident size of the program itself, by loading it in a separate process."""
    completed = subprocess.run(
        [sys.executable, "-c", _PRINT_PROGRAM_BYTES], capture_output=True, text=True, check=True
    )
    return int(completed.stdout)


def show_plan(
    grant_mb: float,
    sockets: int,
    program_mb: float | None,
    operator: Path | None,
    as_json: bool,
) -> int:
    """Print the memory plan for a grant.

    Args:
        grant_mb: Granted memory.
        sockets: Granted descriptors.
        program_mb: Resident size of the program itself; measured if None.
        operator: The operators' file with caps, if any.
        as_json: Whether to print JSON.

    Returns:
        The exit code.
    """
    operator_caps = _read_caps(operator) if operator is not None else {}
    if operator_caps is None:
        return ExitCode.UNUSABLE_INPUT
    is_size_given = program_mb is not None
    program_bytes = _to_bytes(program_mb) if program_mb is not None else measure_program_bytes()
    try:
        memory_plan = plan.make_plan(_to_bytes(grant_mb), program_bytes, sockets, operator_caps)
    except plan.MemoryPlanError as error:
        return _fail(str(error))
    if as_json:
        print(msgspec.json.encode(_plan_output(memory_plan, sockets)).decode())
    else:
        _print_plan(memory_plan, sockets, "given" if is_size_given else "measured")
    return exit_code_for(not memory_plan.is_below_minimum)


def _read_caps(operator: Path) -> dict[MemoryPurpose, int] | None:
    """Return the caps of an operators' file; print complaints and return None if it is invalid."""
    # Imported here because it loads protobuf, which other commands do not need.
    from larchhaven.operator.read import read_file

    reading = read_file(str(operator))
    for complaint in reading.complaints:
        print(complaint.format(str(operator)), file=sys.stderr)
    return None if reading.complaints else caps_by_purpose(reading.settings.caps)


def _count_fitting_connections(memory_plan: plan.MemoryPlan, sockets: int) -> int:
    return min(
        memory_plan.caps[MemoryPurpose.CONNECTIONS] // (STREAMS_PER_CONNECTION * STREAM_BYTES),
        memory_plan.caps[MemoryPurpose.TABLES] // REQUEST_BYTES,
        sockets // STREAMS_PER_CONNECTION,
    )


def _plan_output(memory_plan: plan.MemoryPlan, sockets: int) -> PlanOutput:
    return PlanOutput(
        grant=memory_plan.grant_bytes,
        start=memory_plan.program_bytes,
        margin=memory_plan.unplanned_bytes,
        planned=memory_plan.planned_bytes,
        short=memory_plan.is_below_minimum,
        socket_bound=memory_plan.socket_buffer_bytes,
        connections_fit=_count_fitting_connections(memory_plan, sockets),
        caps={purpose.key: cap_bytes for purpose, cap_bytes in memory_plan.caps.items()},
    )


def _print_plan(memory_plan: plan.MemoryPlan, sockets: int, program_source: str) -> None:
    connection_bytes = STREAMS_PER_CONNECTION * STREAM_BYTES + REQUEST_BYTES
    print(f"{'granted':<14}{_format_kb(memory_plan.grant_bytes)}")
    print(f"{'program':<14}{_format_kb(memory_plan.program_bytes)}  {program_source}")
    print(f"{'unplanned':<14}{_format_kb(memory_plan.unplanned_bytes)}  allocator overhead")
    for purpose, cap_bytes in memory_plan.caps.items():
        description = PURPOSE_DESCRIPTIONS[purpose]
        print(f"{purpose.key:<14}{_format_kb(cap_bytes)}  {description.covers}")
        print(f"{'':<28}at the cap: {description.at_cap}")
    print(
        f"capacity: about {_count_fitting_connections(memory_plan, sockets)} established"
        f" connections, at {connection_bytes:,} bytes each; the kernel buffers at most"
    )
    print(f"{memory_plan.socket_buffer_bytes:,} bytes per socket in each direction")
    if memory_plan.is_below_minimum:
        print("the grant is too small: it leaves less than the sum of the minimum caps")


def show_live(address: str, as_json: bool) -> int:
    """Print the memory account of a running proxy.

    Args:
        address: Address of the proxy's admin API, HOST:PORT.
        as_json: Whether to print JSON.

    Returns:
        The exit code.
    """
    try:
        body = fetch_body(address, "/v1/memory")
        state = msgspec.json.decode(body, type=MemoryState)
    except (CallError, msgspec.DecodeError) as error:
        return _fail(str(error))
    if as_json:
        print(body.decode())
    else:
        _print_state(state)
    is_any_over_cap = any(usage.is_over_cap for usage in state.purposes.values())
    is_over_grant = state.resident_bytes > state.grant_bytes
    return exit_code_for(not is_any_over_cap and not is_over_grant)


def _print_state(state: MemoryState) -> None:
    print(
        f"resident {_format_kb(state.resident_bytes)} of {_format_kb(state.grant_bytes)} granted,"
        f" peak {_format_kb(state.resident_peak_bytes)}"
    )
    print(
        f"growth since the start {_format_kb(state.growth_bytes)},"
        f" of which unaccounted {_format_kb(state.unaccounted_bytes)}"
    )
    print(f"{'purpose':<14}{'used':>12}{'high':>12}{'cap':>12}{'refused':>9}")
    for name, usage in state.purposes.items():
        print(
            f"{name:<14}{_format_kb(usage.used_bytes)}{_format_kb(usage.peak_bytes)}"
            f"{_format_kb(usage.cap_bytes)}{usage.rejected:>9}"
            f"{'  over its cap' if usage.is_over_cap else ''}"
        )
    descriptors = state.descriptors
    print(
        f"{'descriptors':<14}{descriptors.used:>12}{'':>12}{descriptors.cap:>12}"
        f"{descriptors.rejected:>9}"
    )


def _fail(reason: str) -> int:
    print(f"larchhaven memory: {reason}", file=sys.stderr)
    return ExitCode.UNUSABLE_INPUT


def _to_bytes(size_mb: float) -> int:
    return int(size_mb * plan.BYTES_PER_MB)


def _format_kb(size_bytes: int) -> str:
    return f"{size_bytes / 1024:>9,.0f} KB"
