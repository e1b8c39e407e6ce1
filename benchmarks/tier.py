"""Many real processes under faults drawn from a seed: whether all agree, and how soon.

    python -m benchmarks.tier [--size 30] [--faults 12] [--seed 1] [--json]

Faults follow each other, each from all well to all well: a kill and a start without files, a short and a
long pause, a planned stop, a third killed at once, a zone cut off, a one-way cut, a bad network for a while.
Prints how long each took until all agreed; ends with 1 if any did not within its limit.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import resource
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from larchhaven.testbed.proxy_fleet import Step, Tier

LIMIT_S = 40.0
LOGGED_S = 1.5  # a proxy gathers changes for a second before it tells of them
Fault = Callable[[Tier, random.Random], Awaitable[list[Step]]]


async def _back(tier: Tier, numbers: list[int]) -> Step:
    await asyncio.gather(*(tier.restart(number, fresh=True) for number in numbers))
    return await tier.expect({}, LIMIT_S, what=f"{len(numbers)} back")


async def kill(tier: Tier, rng: random.Random) -> list[Step]:
    """One dies and comes back with nothing."""
    number = rng.randrange(tier.size)
    tier.kill(number)
    return [
        await tier.expect({number: "dead"}, LIMIT_S, what="one killed"),
        await _back(tier, [number]),
    ]


async def many(tier: Tier, rng: random.Random) -> list[Step]:
    """A third dies at once."""
    numbers = rng.sample(range(tier.size), tier.size // 3)
    tier.kill(*numbers)
    first = await tier.expect(dict.fromkeys(numbers, "dead"), LIMIT_S, what="a third killed")
    return [first, await _back(tier, numbers)]


async def stop(tier: Tier, rng: random.Random) -> list[Step]:
    """One stops as planned."""
    number = rng.randrange(tier.size)
    tier.stop(number)
    return [
        await tier.expect({number: "left"}, LIMIT_S, what="one stopped"),
        await _back(tier, [number]),
    ]


async def _said_dead(tier: Tier) -> int:
    """Count the lines that tell of a death, once what was gathered for them is told."""
    await asyncio.sleep(LOGGED_S)
    return sum("dead" in line for proxy in tier.proxies for line in proxy.log)


async def short_pause(tier: Tier, rng: random.Random) -> list[Step]:
    """One sleeps for up to two seconds: nobody may say that it died."""
    number = rng.randrange(tier.size)
    before = await _said_dead(tier)
    tier.pause(number)
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    tier.resume(number)
    step = await tier.expect({}, LIMIT_S, what="a pause of up to 2 s is over")
    said = await _said_dead(tier) - before
    if said:
        step.holds, step.seen = False, f"{said} lines say that somebody died"
    return [step]


async def long_pause(tier: Tier, rng: random.Random) -> list[Step]:
    """One sleeps until it is taken for dead, and wakes."""
    number = rng.randrange(tier.size)
    tier.pause(number)
    first = await tier.expect({number: "dead"}, LIMIT_S, what="one sleeps")
    tier.resume(number)
    return [first, await tier.expect({}, LIMIT_S, what="it wakes")]


async def zone_cut(tier: Tier, rng: random.Random) -> list[Step]:
    """A zone is cut off from the others and heals."""
    zone = rng.randrange(tier.zones)
    ours = [n for n in range(tier.size) if n % tier.zones == zone]
    theirs = [n for n in range(tier.size) if n % tier.zones != zone]
    tier.network.cut(ours, theirs)
    steps = [
        await tier.expect(
            dict.fromkeys(ours, "dead"), LIMIT_S, of=theirs, what="a zone is cut off"
        ),
        await tier.expect(dict.fromkeys(theirs, "dead"), LIMIT_S, of=ours, what="it sees no other"),
    ]
    tier.network.heal(ours, theirs)
    return [*steps, await tier.expect({}, LIMIT_S, what="the cut heals")]


async def one_way(tier: Tier, rng: random.Random) -> list[Step]:
    """One is not heard by a third of the others, in a network that loses a tenth: nobody may say it died."""
    number = rng.randrange(tier.size)
    deaf = rng.sample([n for n in range(tier.size) if n != number], tier.size // 3)
    before = await _said_dead(tier)
    tier.network.cut([number], deaf, one_way=True)
    tier.network.weather(loss=0.1, delay_s=0.003, doubled=0.1)
    await asyncio.sleep(6)
    tier.network.weather()
    tier.network.heal([number], deaf)
    step = await tier.expect({}, LIMIT_S, what="a one-way cut is over")
    said = await _said_dead(tier) - before
    if said:
        step.holds, step.seen = False, f"{said} lines say that somebody died"
    return [step]


FAULTS: list[Fault] = [kill, many, stop, short_pause, long_pause, zone_cut, one_way]


async def run(size: int, faults: int, seed: int) -> tuple[list[Step], list[str]]:
    """Play so many faults; return what was expected and what processes logged that they never should."""
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory(prefix="larchhaven-tier-") as folder:
        tier = Tier(size, Path(folder), seed)
        await tier.start()
        steps = [await tier.expect({}, LIMIT_S, what="start")]
        try:
            for number in range(faults):
                # Each kind once before any comes again.
                play = FAULTS[number] if number < len(FAULTS) else rng.choice(FAULTS)
                steps += await play(tier, rng)
        finally:
            errors = await tier.end()
    return steps, errors


def main() -> int:
    """Print a line a step."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--size", type=int, default=30)
    parser.add_argument("--faults", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))  # a socket for each end of each pair
    steps, errors = asyncio.run(run(args.size, args.faults, args.seed))
    found = [
        {"what": s.what, "seconds": s.seconds, "holds": s.holds, "seen": s.seen} for s in steps
    ]
    if args.json:
        print(json.dumps({"size": args.size, "seed": args.seed, "steps": found, "errors": errors}))
    else:
        for each in found:
            print(f"{each['what']:<32} {each['seconds']} s {each['seen']}")
        for error in errors:
            print(error)
    return 0 if not errors and all(step.holds for step in steps) else 1


if __name__ == "__main__":
    sys.exit(main())
