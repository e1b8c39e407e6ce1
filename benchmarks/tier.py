"""Agreement of a fleet of real proxy processes under a seeded sequence of faults.

    python -m benchmarks.tier [--size 30] [--faults 12] [--seed 1] [--json]

Each fault starts from a healthy fleet and ends with one. The faults are a kill with a restart
without files, a short and a long pause, a graceful shutdown, a third of the processes killed at
once, a zone cut off, and a one-way cut in a lossy network. Prints the time until all proxies agree
after each step. Exits with 1 if a step exceeds its limit, a process logs a traceback or a datagram
is too large.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import resource
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from larchhaven.testbed.proxy_fleet import FleetStep, ProxyFleet

AGREEMENT_TIMEOUT_S = 40.0
LOG_DELAY_S = 1.5  # a proxy gathers membership changes for 1 s before it logs them
MIN_SHORT_PAUSE_S = 0.5
MAX_SHORT_PAUSE_S = 2.0
ONE_WAY_CUT_S = 6.0

Fault = Callable[[ProxyFleet, random.Random], Awaitable[list[FleetStep]]]


async def _expect(
    fleet: ProxyFleet,
    states: dict[int, str],
    description: str,
    observers: Sequence[int] | None = None,
) -> FleetStep:
    return await fleet.expect_agreement(states, AGREEMENT_TIMEOUT_S, observers, description)


async def _restart(fleet: ProxyFleet, numbers: Sequence[int]) -> FleetStep:
    await asyncio.gather(*(fleet.restart(number, without_files=True) for number in numbers))
    return await _expect(fleet, {}, f"{len(numbers)} restarted")


async def kill_one(fleet: ProxyFleet, rng: random.Random) -> list[FleetStep]:
    """Kill one process and restart it without its files."""
    number = rng.randrange(fleet.size)
    fleet.kill(number)
    killed = await _expect(fleet, {number: "dead"}, "one killed")
    return [killed, await _restart(fleet, [number])]


async def kill_third(fleet: ProxyFleet, rng: random.Random) -> list[FleetStep]:
    """Kill a third of the processes at once and restart them without their files."""
    numbers = rng.sample(range(fleet.size), fleet.size // 3)
    fleet.kill(*numbers)
    killed = await _expect(fleet, dict.fromkeys(numbers, "dead"), "a third killed")
    return [killed, await _restart(fleet, numbers)]


async def shut_down_one(fleet: ProxyFleet, rng: random.Random) -> list[FleetStep]:
    """Shut one process down gracefully and restart it without its files."""
    number = rng.randrange(fleet.size)
    fleet.shut_down(number)
    left = await _expect(fleet, {number: "left"}, "one shut down")
    return [left, await _restart(fleet, [number])]


async def _count_logged_deaths(fleet: ProxyFleet) -> int:
    """Count the logged deaths, once pending changes have been logged."""
    await asyncio.sleep(LOG_DELAY_S)
    return sum("dead" in line for proxy in fleet.proxies for line in proxy.log)


async def _expect_no_death(
    fleet: ProxyFleet, deaths_before: int, description: str
) -> list[FleetStep]:
    step = await _expect(fleet, {}, description)
    logged = await _count_logged_deaths(fleet) - deaths_before
    if logged:
        step.holds = False
        step.observed = f"{logged} log lines report a death"
    return [step]


async def pause_briefly(fleet: ProxyFleet, rng: random.Random) -> list[FleetStep]:
    """Pause one process for up to two seconds; no member may declare it dead."""
    number = rng.randrange(fleet.size)
    deaths_before = await _count_logged_deaths(fleet)
    fleet.pause(number)
    await asyncio.sleep(rng.uniform(MIN_SHORT_PAUSE_S, MAX_SHORT_PAUSE_S))
    fleet.resume(number)
    return await _expect_no_death(fleet, deaths_before, "after a pause of up to 2 s")


async def pause_until_dead(fleet: ProxyFleet, rng: random.Random) -> list[FleetStep]:
    """Pause one process until it is declared dead, and resume it."""
    number = rng.randrange(fleet.size)
    fleet.pause(number)
    paused = await _expect(fleet, {number: "dead"}, "one paused")
    fleet.resume(number)
    return [paused, await _expect(fleet, {}, "the paused one resumed")]


async def cut_zone(fleet: ProxyFleet, rng: random.Random) -> list[FleetStep]:
    """Cut a zone off from the others and heal the cut."""
    zone = rng.randrange(fleet.zones)
    inside = [n for n in range(fleet.size) if n % fleet.zones == zone]
    outside = [n for n in range(fleet.size) if n % fleet.zones != zone]
    fleet.network.cut_links(inside, outside)
    steps = [
        await _expect(
            fleet, dict.fromkeys(inside, "dead"), "a zone cut off, seen from outside", outside
        ),
        await _expect(
            fleet, dict.fromkeys(outside, "dead"), "a zone cut off, seen from inside", inside
        ),
    ]
    fleet.network.heal_links(inside, outside)
    return [*steps, await _expect(fleet, {}, "the cut healed")]


async def cut_one_way(fleet: ProxyFleet, rng: random.Random) -> list[FleetStep]:
    """Cut the links from one process to a third of the others in a lossy network.

    No member may be declared dead.
    """
    number = rng.randrange(fleet.size)
    others = [n for n in range(fleet.size) if n != number]
    unreached = rng.sample(others, fleet.size // 3)
    deaths_before = await _count_logged_deaths(fleet)
    fleet.network.cut_links([number], unreached, one_way=True)
    fleet.network.set_link_quality(loss_ratio=0.1, mean_delay_s=0.003, duplicate_ratio=0.1)
    await asyncio.sleep(ONE_WAY_CUT_S)
    fleet.network.set_link_quality()
    fleet.network.heal_links([number], unreached)
    return await _expect_no_death(fleet, deaths_before, "after a one-way cut")


FAULTS: list[Fault] = [
    kill_one,
    kill_third,
    shut_down_one,
    pause_briefly,
    pause_until_dead,
    cut_zone,
    cut_one_way,
]


async def play_faults(size: int, fault_count: int, seed: int) -> tuple[list[FleetStep], list[str]]:
    """Inject faults into a fleet.

    Args:
        size: Number of proxies.
        fault_count: Number of faults; each kind is played once before any is repeated.
        seed: Seed of the faults, the network and the proxies.

    Returns:
        The steps with their results, and errors: logged tracebacks and oversized datagrams.
    """
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory(prefix="larchhaven-tier-") as folder:
        fleet = ProxyFleet(size, Path(folder), seed)
        await fleet.start()
        steps = [await _expect(fleet, {}, "start")]
        try:
            for number in range(fault_count):
                inject_fault = FAULTS[number] if number < len(FAULTS) else rng.choice(FAULTS)
                steps += await inject_fault(fleet, rng)
        finally:
            errors = await fleet.stop()
    return steps, errors


def raise_descriptor_limit() -> None:
    """Raise the soft descriptor limit to the hard limit; each link uses one socket."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def main() -> int:
    """Inject the faults and print a line for each step; return the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--size", type=int, default=30)
    parser.add_argument("--faults", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    raise_descriptor_limit()
    steps, errors = asyncio.run(play_faults(options.size, options.faults, options.seed))
    rows = [
        {
            "what": step.description,
            "seconds": step.duration_s,
            "holds": step.holds,
            "seen": step.observed,
        }
        for step in steps
    ]
    if options.json:
        output = {"size": options.size, "seed": options.seed, "steps": rows, "errors": errors}
        print(json.dumps(output))
    else:
        for row in rows:
            print(f"{row['what']:<32} {row['seconds']} s {row['seen']}")
        for error in errors:
            print(error)
    return 0 if not errors and all(step.holds for step in steps) else 1


if __name__ == "__main__":
    sys.exit(main())
