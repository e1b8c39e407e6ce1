"""How far the account's costs are off on this machine: growth of a real proxy against what it accounts for.

    python -m benchmarks.memory_costs [--json]

For each number of standing connections a proxy is started in the lab and all come at once; the figure is the
part of the growth over the start size that no purpose explains. The target is under a tenth.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
from typing import Any

from larchhaven.lab.site import load, play

COUNTS = (100, 300, 1_000, 2_000)


def measure(count: int) -> dict[str, Any]:
    """Hold so many connections, and read the account."""
    scenario, complaints = load(
        f"""seed: 3 seconds: 8 grant {{ memory_mb: 192 sockets: 8192 }}
        servers {{ count: 10 capacity: {count / 5} setup_ms: 2 }}
        terminals {{ class: "chat" stay_seconds: 9999 message_seconds: 1 patience_ms: 10000 }}
        events {{ at_seconds: 1.5 surge: {count} }}"""
    )
    assert not complaints, complaints
    last = asyncio.run(play(scenario)).samples[-1]
    memory = last.memory
    return {
        "standing": last.standing,
        "growth_each": round(memory["growth"] / max(last.standing, 1)),
        "unaccounted_share": round(memory["unaccounted"] / max(memory["growth"], 1), 3),
    }


def main() -> None:
    """Measure and print."""
    options = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    options.add_argument("--json", action="store_true")
    given = options.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16_384), hard))
    rows = [measure(count) for count in COUNTS]
    if given.json:
        print(json.dumps(rows))
        return
    for row in rows:
        print(
            "{standing} standing: {growth_each} bytes each, {unaccounted_share:.1%} unaccounted".format(
                **row
            )
        )


if __name__ == "__main__":
    main()
