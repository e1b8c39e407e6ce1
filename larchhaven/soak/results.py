"""Writes what one part of a soak showed: its report and its verdict."""

from __future__ import annotations

from pathlib import Path

import msgspec

from larchhaven.soak.report import render_report
from larchhaven.soak.run import SoakPart
from larchhaven.soak.scenario import SoakLoad


def write_results(
    folder: Path, label: str, duration_s: float, load: SoakLoad, part: SoakPart
) -> None:
    """Write the report as HTML and the verdict as JSON.

    Args:
        folder: Where the files go.
        label: Name of the part, and of its files.
        duration_s: How long the part lasted.
        load: The traffic and the grant.
        part: What it showed.
    """
    title = (
        f"Soak, {label}: {duration_s / 60:g} minutes at {load.memory_mb:g} MB,"
        f" {load.arrivals_per_second:g} arrivals a second"
    )
    report = render_report(title, part.samples, part.warm_up_s, part.verdict)
    (folder / f"{label}.html").write_text(report, "utf-8")
    verdict = msgspec.json.format(msgspec.json.encode(part.verdict.to_builtins()))
    (folder / f"{label}.json").write_bytes(verdict)
