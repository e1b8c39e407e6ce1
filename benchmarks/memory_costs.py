"""How far the item costs are off on this machine: a real proxy's growth against what it accounts for.

    python -m benchmarks.memory_costs [--json]

For each number of connections a proxy is started on the test bed and all connect at once; the figure is the
part of the growth over the start size that no purpose explains. The target is under a tenth.
"""

from __future__ import annotations

import argparse
import asyncio
import resource

import msgspec

from larchhaven.testbed.scenario_file import load_scenario
from larchhaven.testbed.scenario_player import play_scenario

CONNECTION_COUNTS = (100, 300, 1_000, 2_000)
# Each connection has two descriptors in the proxy and two in this process.
WANTED_DESCRIPTORS = 16_384


class Measurement(msgspec.Struct):
    """Growth of a proxy with so many established connections."""

    connections: int
    growth_per_connection_bytes: int
    unaccounted_ratio: float


def measure(connections: int) -> Measurement:
    """Hold so many connections, and read the account of the proxy."""
    scenario, complaints = load_scenario(
        f"""seed: 3 seconds: 8 grant {{ memory_mb: 192 sockets: 8192 }}
        servers {{ count: 10 capacity: {connections / 5} setup_ms: 2 }}
        terminals {{ class: "chat" stay_seconds: 9999 message_seconds: 1 patience_ms: 10000 }}
        events {{ at_seconds: 1.5 surge: {connections} }}"""
    )
    assert not complaints, complaints
    last = asyncio.run(play_scenario(scenario)).samples[-1]
    growth_bytes = last.memory_report["growth"]
    return Measurement(
        connections=last.established_connections,
        growth_per_connection_bytes=round(growth_bytes / max(last.established_connections, 1)),
        unaccounted_ratio=round(last.memory_report["unaccounted"] / max(growth_bytes, 1), 3),
    )


def raise_descriptor_limit() -> None:
    """Take as many descriptors as the connections need, as far as the system allows."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, WANTED_DESCRIPTORS), hard))


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    raise_descriptor_limit()
    measurements = [measure(connections) for connections in CONNECTION_COUNTS]
    if options.json:
        print(msgspec.json.encode(measurements).decode())
        return
    for row in measurements:
        print(
            f"{row.connections} connections: {row.growth_per_connection_bytes} bytes each,"
            f" {row.unaccounted_ratio:.1%} unaccounted"
        )


if __name__ == "__main__":
    main()
