"""Writes the report and the verdict of one phase of a soak to files."""

from __future__ import annotations

from pathlib import Path

import msgspec

from larchhaven.soak.report import render_report
from larchhaven.soak.run import SoakPhase
from larchhaven.soak.scenario import SoakLoad


def write_results(
    folder: Path, label: str, duration_s: float, load: SoakLoad, phase: SoakPhase
) -> None:
    """Write the report as HTML and the verdict as JSON.

    Args:
        folder: Folder of the files.
        label: Name of the phase, also the base name of its files.
        duration_s: Duration of the phase.
        load: The traffic and the grant.
        phase: The samples and the verdict of the phase.
    """
    title = (
        f"Soak, {label}: {duration_s / 60:g} minutes at {load.memory_mb:g} MB,"
        f" {load.arrivals_per_second:g} arrivals per second"
    )
    report = render_report(title, phase.samples, phase.warm_up_s, phase.verdict)
    (folder / f"{label}.html").write_text(report, "utf-8")
    verdict = msgspec.json.format(msgspec.json.encode(phase.verdict.to_builtins()))
    (folder / f"{label}.json").write_bytes(verdict)
