"""``larchhaven lab``: plays scenarios and checks the rules on what the stand-ins saw."""

from __future__ import annotations

import asyncio
import sys
from contextlib import nullcontext
from dataclasses import asdict
from pathlib import Path

import msgspec

from larchhaven.testbed.deployment import Outcome, Site, load, play
from larchhaven.testbed.event_record import Record
from larchhaven.testbed.invariants import Broken, Checker
from larchhaven.testbed.proxy_process import NotStartedError

DAYS = Path(__file__).parent.parent / "testbed" / "scenarios"

MAX_SHOWN_VIOLATIONS = 20


def show_progress(site: Site) -> None:
    """Keep one line up to date for whoever watches; nothing if nobody does."""
    if sys.stderr.isatty():
        done = site.seconds() / site.scenario.seconds
        last = site.samples[-1].resident / (1 << 20) if site.samples else 0.0
        text = f"{site.scenario.name}: {done:4.0%}  {site.terminals.standing} stand, {last:.1f} MB"
        print(f"\r{text:<78}", end="" if done < 1 else "\n", file=sys.stderr, flush=True)


def play_file(
    path: Path, operator: Path | None, record: Path | None, seed: int | None, as_json: bool
) -> int:
    """Play a scenario; return the exit code."""
    try:
        scenario, complaints = load(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return 2
    for complaint in complaints:
        print(f"{path}:{complaint}", file=sys.stderr)
    if complaints:
        return 2
    if seed is not None:
        scenario.seed = seed
    try:
        text = operator.read_text("utf-8") if operator is not None else None
        with record.open("wb") if record is not None else nullcontext() as file:
            outcome = asyncio.run(
                play(scenario, record=file, progress=show_progress, operator=text)
            )
    except NotStartedError as error:
        print(f"the proxy did not start:\n{error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"larchhaven lab: {error}", file=sys.stderr)
        return 2
    if as_json:
        whole = asdict(outcome) | {"holds": outcome.holds, "samples": len(outcome.samples)}
        print(msgspec.json.encode(whole).decode())
    else:
        _show(outcome)
    return 0 if outcome.holds else 1


def _show(outcome: Outcome) -> None:
    print(f"{outcome.name}, seed {outcome.seed}: {outcome.seconds:g} s")
    for name, counts in outcome.classes.items():
        answers = ", ".join(f"{word} {n}" for word, n in sorted(counts["answers"].items()))
        print(
            f"  {name}: {counts['asked']} asked: {answers}; moved {counts['moves']}, lost {counts['lost']}"
        )
        if counts["setup_ms_p50"] is not None:
            print(
                f"    set up in {counts['setup_ms_p50']} ms (median), {counts['setup_ms_p99']} ms (p99)"
            )
    for name, words in outcome.members.items():
        asked = sum(words.values())
        print(
            f"  of {name}: {words.get('UP', 0)} of {asked} served ({words.get('UP', 0) / asked:.0%})"
        )
    if outcome.samples:
        peak = max(sample.resident for sample in outcome.samples)
        print(f"  a proxy's memory at most {peak / (1 << 20):.1f} MB")
    _show_broken(outcome.broken)
    for text in [f"crashed: {name}" for name in outcome.crashed] + outcome.errors:
        print(f"  {text}")
    print("holds" if outcome.holds else "does not hold")


def _show_broken(broken: list[Broken]) -> None:
    for one in broken[:MAX_SHOWN_VIOLATIONS]:
        print(f"  {one.rule}: {one.text}")
    if len(broken) > MAX_SHOWN_VIOLATIONS:
        print(f"  and {len(broken) - MAX_SHOWN_VIOLATIONS} more")


def try_day(name: str, as_json: bool) -> int:
    """Play one of the small days that come with the program; return the exit code."""
    return play_file(DAYS / f"{name}.textproto", None, None, None, as_json)


def check_file(path: Path, as_json: bool) -> int:
    """Check the rules on records in a file; return the exit code."""
    checker = Checker()
    last = number = 0
    try:
        with path.open("rb") as file:
            for line in file:
                number += 1
                record = msgspec.json.decode(line, type=Record)
                checker.take(record)
                last = record.at
    except OSError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return 2
    except msgspec.DecodeError as error:
        print(f"{path}:{number}: not a record: {error}", file=sys.stderr)
        return 2
    broken = checker.finish(last)
    if as_json:
        print(
            msgspec.json.encode(
                {"holds": not broken, "broken": [asdict(one) for one in broken]}
            ).decode()
        )
    else:
        _show_broken(broken)
        print("does not hold" if broken else "holds")
    return 1 if broken else 0
