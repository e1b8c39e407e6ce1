"""The report of a soak: one HTML file with its plots inside."""

from __future__ import annotations

import html
from collections.abc import Sequence
from typing import Any

from matplotlib.figure import Figure

from larchhaven.plots import page, svg
from larchhaven.soak.verdict import Verdict

_MB = 1 << 20


def _sizes(samples: Sequence[dict[str, Any]], warm_s: float, verdict: Verdict) -> str:
    figure = Figure(figsize=(10, 4), layout="constrained")
    axes = figure.subplots()
    full = [s for s in samples if s["memory"]]
    minutes = [s["at"] / 60 for s in full]
    axes.plot(minutes, [s["resident"] / _MB for s in full], label="resident", lw=1)
    explained = [(s["memory"]["start"] + s["memory"]["accounted"]) / _MB for s in full]
    axes.plot(minutes, explained, label="start size and accounted", lw=1)
    axes.axhline(verdict.grant / _MB, color="0.4", ls="--", lw=1, label="granted")
    axes.axvline(warm_s / 60, color="0.7", lw=1, label="end of warm-up")
    axes.set_xlabel("minutes")
    axes.set_ylabel("MB")
    axes.set_ylim(bottom=0)
    axes.legend(loc="lower right")
    return svg(figure)


def _purposes(samples: Sequence[dict[str, Any]]) -> str:
    full = [s for s in samples if s["memory"]]
    names = list(full[-1]["memory"]["purposes"]) if full else []
    figure = Figure(figsize=(10, 6), layout="constrained")
    grid = figure.subplots(3, 3, squeeze=False)
    minutes = [s["at"] / 60 for s in full]
    for axes, name in zip(grid.flat, names, strict=False):
        lines = [s["memory"]["purposes"][name] for s in full]
        axes.plot(minutes, [line["used"] / 1024 for line in lines], lw=0.8)
        axes.axhline(lines[-1]["cap"] / 1024, color="tab:red", lw=0.8, ls="--")
        axes.set_title(f"{name}, KB (cap dashed)", fontsize=9)
        axes.tick_params(labelsize=8)
        axes.set_ylim(bottom=0)
    return svg(figure)


def write(title: str, samples: Sequence[dict[str, Any]], warm_s: float, verdict: Verdict) -> str:
    """Return the report as HTML."""
    rows = []
    for name, slope in (("resident", verdict.resident), ("accounted", verdict.accounted)):
        if slope is None:
            rows.append(f"<tr><td>{name}</td><td colspan=3>too few samples</td></tr>")
        else:
            rows.append(
                f"<tr><td>{name}</td><td>{slope.mean / _MB:.2f} MB</td>"
                f"<td>{100 * slope.share_an_hour:+.2f}% an hour</td>"
                f"<td>{slope.low / 1024:+.0f} to {slope.high / 1024:+.0f} KB an hour</td></tr>"
            )
    caps = "".join(
        f"<tr><td>{name}</td><td>{cap.cap >> 10}</td><td>{cap.high >> 10}</td><td>{cap.refused}</td></tr>"
        for name, cap in verdict.caps.items()
    )
    complaints = "".join(f"<li>{html.escape(text)}</li>" for text in verdict.complaints)
    word = "does not hold" if complaints else "holds"
    body = f"""<ul>{complaints}</ul>
<p>Peak {verdict.resident_peak / _MB:.2f} MB of {verdict.grant / _MB:.0f} MB granted; at most
{verdict.unaccounted_most >> 10} KB that no purpose explains.</p>
<table><tr><th>size<th>mean<th>slope<th>95% interval</tr>{"".join(rows)}</table>
{_sizes(samples, warm_s, verdict)}
<h2>By purpose</h2><table><tr><th>purpose<th>cap, KB<th>most, KB<th>refused</tr>{caps}</table>
{_purposes(samples)}"""
    return page(f"{title}: {word}", body)
