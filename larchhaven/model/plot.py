"""Renders the report of a sweep as one HTML file."""

from __future__ import annotations

import html
from collections.abc import Callable, Sequence
from typing import NamedTuple

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from larchhaven.model.summary import Interval, SweepCell
from larchhaven.model.sweep_table import TABLE_HEADS, UNBOUNDED, format_row
from larchhaven.plots import render_page, render_svg

FIGURE_SIZE_INCHES = (11, 8)
LINE_STYLES = ("-", "--", ":", "-.")
NOTE = (
    "Means over seeds with 95% confidence intervals;"
    " false death rates with exact Poisson intervals."
)


class _Point(NamedTuple):
    members: int
    value: Interval

    def error_below(self) -> float:
        """Return the length of the error bar below the mean, 0 for an unbounded interval."""
        value = self.value
        return min(max(value.mean - value.low, 0), value.mean) if value.high < UNBOUNDED else 0

    def error_above(self) -> float:
        """Return the length of the error bar above the mean, 0 for an unbounded interval."""
        return self.value.high - self.value.mean if self.value.high < UNBOUNDED else 0


def render_report(title: str, cells: Sequence[SweepCell]) -> str:
    """Return the report of a sweep as HTML.

    Args:
        title: The title of the report.
        cells: The summary of the sweep.
    """
    body = f"<p>{html.escape(NOTE)}</p>{render_svg(_draw_figure(cells))}{_render_table(cells)}"
    return render_page(title, body)


def _draw_figure(cells: Sequence[SweepCell]) -> Figure:
    figure = Figure(figsize=FIGURE_SIZE_INCHES, layout="constrained")
    (detection, agreement), (false_deaths, messages) = figure.subplots(2, 2)
    _draw(detection, cells, lambda c: c.detection_s, "time from death to first detection (s)")
    _draw(agreement, cells, lambda c: c.agreement_s, "time until all members agree (s)")
    _draw(
        false_deaths,
        cells,
        lambda c: c.false_deaths_per_hour,
        "false deaths per hour, whole fleet",
    )
    _draw(messages, cells, lambda c: c.messages_per_second, "messages per member per second")
    messages.set_yscale("symlog")
    if cells:
        messages.legend(fontsize=8)  # always has lines, even if no process died
    return figure


def _draw(
    axes: Axes,
    cells: Sequence[SweepCell],
    measure: Callable[[SweepCell], Interval | None],
    title: str,
) -> None:
    detectors = sorted({cell.detector for cell in cells})
    for loss_percent in sorted({cell.loss_percent for cell in cells}):
        for detector, line_style in zip(detectors, LINE_STYLES, strict=False):
            points = [
                _Point(cell.members, value)
                for cell in cells
                if (cell.detector, cell.loss_percent) == (detector, loss_percent)
                and (value := measure(cell)) is not None
            ]
            if points:
                _draw_line(axes, points, line_style, f"{detector}, {loss_percent:g}% lost")
    axes.set_xscale("log")
    axes.set_xlabel("members")
    axes.set_title(title, fontsize=10)
    axes.set_ylim(bottom=0)
    axes.grid(alpha=0.3)


def _draw_line(axes: Axes, points: Sequence[_Point], line_style: str, label: str) -> None:
    axes.errorbar(
        [point.members for point in points],
        [point.value.mean for point in points],
        [[point.error_below() for point in points], [point.error_above() for point in points]],
        None,
        line_style,
        label=label,
        lw=1,
        capsize=3,
    )


def _render_table(cells: Sequence[SweepCell]) -> str:
    heads = "".join(f"<th>{name}</th>" for name in TABLE_HEADS)
    rows = "".join(_render_row(cell) for cell in cells)
    return f"<table><tr>{heads}</tr>{rows}</table>"


def _render_row(cell: SweepCell) -> str:
    columns = "".join(f"<td>{text}</td>" for text in format_row(cell))
    return f"<tr>{columns}</tr>"
