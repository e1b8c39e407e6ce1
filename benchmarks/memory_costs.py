"""Accuracy of the item costs: compares a proxy's memory growth with its memory account.

    python -m benchmarks.memory_costs [--json]

For each number of connections a proxy is started on the test bed and all clients connect at once.
The result is the fraction of the growth since the start that is not accounted to any purpose. The
target is below 0.1.
"""

from __future__ import annotations

import argparse
import asyncio
import resource

import msgspec

from larchhaven.testbed.scenario_file import load_scenario
from larchhaven.testbed.scenario_player import play_scenario

CONNECTION_COUNTS = (100, 300, 1_000, 2_000)
SERVER_COUNT = 10
# The servers together have capacity for twice the number of connections.
CAPACITY_MULTIPLE = 2
# Many clients are rejected when all connect at once, as the proxy does not know their load yet.
MAX_RETRIES = 100
# Each connection uses two descriptors in the proxy and two in this process.
MAX_DESCRIPTORS = 16_384


class Measurement(msgspec.Struct):
    """Memory growth of a proxy; the field names are keys of the output.

    Attributes:
        connections: Number of established connections.
        growth_per_connection_bytes: Growth since the start, divided by the number of connections.
        unaccounted_ratio: Fraction of the growth that is not accounted to any purpose.
    """

    connections: int
    growth_per_connection_bytes: int
    unaccounted_ratio: float


def measure_growth(connections: int) -> Measurement:
    """Establish connections and compare the growth of the proxy with its memory account."""
    server_capacity = connections * CAPACITY_MULTIPLE / SERVER_COUNT
    scenario, complaints = load_scenario(
        f"""seed: 3 seconds: 8 grant {{ memory_mb: 192 sockets: 8192 }}
        servers {{ count: {SERVER_COUNT} capacity: {server_capacity} setup_ms: 2 }}
        terminals {{ class: "chat" stay_seconds: 9999 message_seconds: 1 patience_ms: 10000
            retries: {MAX_RETRIES} }}
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
    """Raise the soft descriptor limit to ``MAX_DESCRIPTORS``, or to the hard limit if lower."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, MAX_DESCRIPTORS), hard))


def main() -> None:
    """Measure the growth for each number of connections and print the results."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    raise_descriptor_limit()
    measurements = [measure_growth(connections) for connections in CONNECTION_COUNTS]
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
