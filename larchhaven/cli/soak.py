"""``larchhaven soak``: long runs and abuses, with a verdict and a report."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from larchhaven.cli.lab import show_progress

if TYPE_CHECKING:
    from larchhaven.soak.verdict import Verdict


def run(
    minutes: float,
    abuses: Sequence[str],
    abuse_minutes: float,
    arrivals: float,
    memory_mb: float,
    sockets: int,
    seed: int,
    out: Path,
    as_json: bool,
) -> int:
    """Play the parts, write what they showed, and return the exit code."""
    try:
        from larchhaven.soak.days import ABUSES
        from larchhaven.soak.report import write
        from larchhaven.soak.run import run_part
    except ModuleNotFoundError as error:
        print(
            f"larchhaven soak needs the extra 'report' ({error.name} is missing)", file=sys.stderr
        )
        return 2
    names = list(ABUSES) if "all" in abuses else list(abuses)
    for name in names:
        if name not in ABUSES:
            print(f"there is no abuse {name!r}; known are {', '.join(ABUSES)}", file=sys.stderr)
            return 2
    parts = [("", 60 * minutes)] if minutes else []
    parts += [(name, 60 * abuse_minutes) for name in names]
    if not parts:
        print("larchhaven soak: nothing to do: write --minutes or --abuse", file=sys.stderr)
        return 2
    out.mkdir(parents=True, exist_ok=True)
    verdicts = {}
    for name, seconds in parts:
        label = name or "churn"
        samples = out / f"{label}.jsonl"
        samples.unlink(missing_ok=True)
        part = run_part(seconds, arrivals, memory_mb, sockets, seed, name, samples, show_progress)
        verdicts[label] = part.verdict
        title = (
            f"Soak, {label}: {seconds / 60:g} minutes at {memory_mb:g} MB,"
            f" {arrivals:g} arrivals a second"
        )
        report = write(title, part.samples, part.warm_s, part.verdict)
        (out / f"{label}.html").write_text(report, "utf-8")
        (out / f"{label}.json").write_bytes(
            msgspec.json.format(msgspec.json.encode(part.verdict.as_dict()))
        )
        if not as_json:
            _show_verdict(label, part.verdict)
    if as_json:
        print(msgspec.json.encode({label: v.as_dict() for label, v in verdicts.items()}).decode())
    else:
        print(f"reports and samples are in {out}")
    return 1 if any(verdict.complaints for verdict in verdicts.values()) else 0


def _show_verdict(label: str, verdict: Verdict) -> None:
    print(f"{label}: {'holds' if not verdict.complaints else 'does not hold'}")
    for complaint in verdict.complaints:
        print(f"  {complaint}")
    for which, slope in (("resident", verdict.resident), ("accounted", verdict.accounted)):
        if slope is None:
            continue
        share = 100 * slope.share_an_hour
        print(
            f"  {which}: {slope.mean / (1 << 20):.2f} MB, {share:+.2f}% an hour"
            f" ({slope.low / 1024:+.0f} to {slope.high / 1024:+.0f} KB)"
        )
