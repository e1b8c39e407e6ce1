"""Renders the report of a soak phase: one HTML page with embedded plots."""

from __future__ import annotations

import html
from collections.abc import Sequence

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from larchhaven.plots import render_page, render_svg
from larchhaven.soak.slope import Slope
from larchhaven.soak.verdict import SoakVerdict
from larchhaven.testbed.outcome import ProxySample

BYTES_PER_KB = 1 << 10
BYTES_PER_MB = 1 << 20
PURPOSE_GRID_SIZE = 3


def _plot_sizes(samples: Sequence[ProxySample], warm_up_s: float, verdict: SoakVerdict) -> str:
    figure = Figure(figsize=(10, 4), layout="constrained")
    axes = figure.subplots()
    minutes = [sample.at_s / 60 for sample in samples]
    resident_mb = [sample.resident_bytes / BYTES_PER_MB for sample in samples]
    explained_mb = [
        (sample.memory_report["start"] + sample.memory_report["accounted"]) / BYTES_PER_MB
        for sample in samples
    ]
    axes.plot(minutes, resident_mb, label="resident", lw=1)
    axes.plot(minutes, explained_mb, label="start size plus accounted", lw=1)
    grant_mb = verdict.grant_bytes / BYTES_PER_MB
    axes.axhline(grant_mb, color="0.4", ls="--", lw=1, label="granted")
    axes.axvline(warm_up_s / 60, color="0.7", lw=1, label="end of warm-up")
    axes.set_xlabel("minutes")
    axes.set_ylabel("MB")
    axes.set_ylim(bottom=0)
    axes.legend(loc="lower right")
    return render_svg(figure)


def _plot_purposes(samples: Sequence[ProxySample]) -> str:
    names = list(samples[-1].memory_report["purposes"]) if samples else []
    figure = Figure(figsize=(10, 6), layout="constrained")
    grid = figure.subplots(PURPOSE_GRID_SIZE, PURPOSE_GRID_SIZE, squeeze=False)
    for axes, name in zip(grid.flat, names, strict=False):
        _plot_purpose(axes, name, samples)
    return render_svg(figure)


def _plot_purpose(axes: Axes, name: str, samples: Sequence[ProxySample]) -> None:
    minutes = [sample.at_s / 60 for sample in samples]
    purposes = [sample.memory_report["purposes"][name] for sample in samples]
    axes.plot(minutes, [purpose["used"] / BYTES_PER_KB for purpose in purposes], lw=0.8)
    axes.axhline(purposes[-1]["cap"] / BYTES_PER_KB, color="tab:red", lw=0.8, ls="--")
    axes.set_title(f"{name}, KB (cap dashed)", fontsize=9)
    axes.tick_params(labelsize=8)
    axes.set_ylim(bottom=0)


def _slope_row(name: str, slope: Slope | None) -> str:
    if slope is None:
        return f"<tr><td>{name}</td><td colspan=3>too few samples</td></tr>"
    low_kb = slope.low_bytes_per_hour / BYTES_PER_KB
    high_kb = slope.high_bytes_per_hour / BYTES_PER_KB
    return (
        f"<tr><td>{name}</td><td>{slope.mean_bytes / BYTES_PER_MB:.2f} MB</td>"
        f"<td>{100 * slope.fraction_per_hour:+.2f}% per hour</td>"
        f"<td>{low_kb:+.0f} to {high_kb:+.0f} KB per hour</td></tr>"
    )


def _cap_rows(verdict: SoakVerdict) -> str:
    return "".join(
        f"<tr><td>{name}</td><td>{cap.cap_bytes >> 10}</td><td>{cap.peak_bytes >> 10}</td>"
        f"<td>{cap.rejections}</td></tr>"
        for name, cap in verdict.caps.items()
    )


def render_report(
    title: str, samples: Sequence[ProxySample], warm_up_s: float, verdict: SoakVerdict
) -> str:
    """Render the report as an HTML page.

    Args:
        title: Title in plain text.
        samples: The samples in chronological order.
        warm_up_s: Initial period that is excluded from the slopes.
        verdict: The verdict on the samples.

    Returns:
        The page.
    """
    reported = [sample for sample in samples if sample.memory_report]
    complaints = "".join(f"<li>{html.escape(text)}</li>" for text in verdict.complaints)
    slopes = _slope_row("resident", verdict.resident_slope)
    slopes += _slope_row("accounted", verdict.accounted_slope)
    peak_mb = verdict.resident_peak_bytes / BYTES_PER_MB
    grant_mb = verdict.grant_bytes / BYTES_PER_MB
    body = f"""<ul>{complaints}</ul>
<p>Peak {peak_mb:.2f} MB of {grant_mb:.0f} MB granted; at most
{verdict.peak_unaccounted_bytes >> 10} KB not accounted to any purpose.</p>
<table><tr><th>size<th>mean<th>slope<th>95% interval</tr>{slopes}</table>
{_plot_sizes(reported, warm_up_s, verdict)}
<h2>By purpose</h2><table><tr><th>purpose<th>cap, KB<th>most, KB<th>refused</tr>
{_cap_rows(verdict)}</table>
{_plot_purposes(reported)}"""
    result = "does not hold" if complaints else "holds"
    return render_page(f"{title}: {result}", body)
