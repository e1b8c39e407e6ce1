"""Plots of a sweep, as one HTML file."""

from __future__ import annotations

import html
from collections.abc import Callable, Sequence

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from larchhaven.model.sweep import Cell, Interval
from larchhaven.plots import render_page, render_svg

UNBOUNDED = 1e300  # an interval end above it means that the end is not known
_LINES = ("-", "--", ":", "-.")


def _draw(
    axes: Axes, cells: Sequence[Cell], what: Callable[[Cell], Interval | None], title: str
) -> None:
    detectors = sorted({cell.detector for cell in cells})
    for loss in sorted({cell.loss_percent for cell in cells}):
        for detector, line in zip(detectors, _LINES, strict=False):
            found = [
                (cell.members, value)
                for cell in cells
                if (cell.detector, cell.loss_percent) == (detector, loss)
                and (value := what(cell)) is not None
            ]
            if found:
                means = [value.mean for _, value in found]
                # Of one play the interval is unknown, and no bar is drawn.
                low = [
                    min(max(v.mean - v.low, 0), v.mean) if v.high < UNBOUNDED else 0
                    for _, v in found
                ]
                high = [v.high - v.mean if v.high < UNBOUNDED else 0 for _, v in found]
                sizes, label = [size for size, _ in found], f"{detector}, {loss:g}% lost"
                axes.errorbar(sizes, means, [low, high], None, line, label=label, lw=1, capsize=3)
    axes.set_xscale("log")
    axes.set_xlabel("members")
    axes.set_title(title, fontsize=10)
    axes.set_ylim(bottom=0)
    axes.grid(alpha=0.3)


def write(title: str, cells: Sequence[Cell]) -> str:
    """Return the report as HTML."""
    figure = Figure(figsize=(11, 8), layout="constrained")
    grid = figure.subplots(2, 2)
    _draw(grid[0][0], cells, lambda c: c.detected, "seconds from a death to the first who says so")
    _draw(grid[0][1], cells, lambda c: c.agreed, "seconds until all say so")
    _draw(grid[1][0], cells, lambda c: c.false_an_hour, "false deaths an hour, whole tier")
    _draw(grid[1][1], cells, lambda c: c.messages, "messages a member and second")
    grid[1][1].set_yscale("symlog")
    if cells:
        grid[1][1].legend(fontsize=8)  # every cell has messages; not every sweep has deaths
    rows = "".join(
        f"<tr>{''.join(f'<td>{text}</td>' for text in row(cell))}</tr>" for cell in cells
    )
    heads = "".join(f"<th>{name}</th>" for name in HEADS)
    note = (
        "Means over seeds with 95% intervals; rates of false deaths with exact Poisson intervals."
    )
    return render_page(
        title,
        f"<p>{html.escape(note)}</p>{render_svg(figure)}<table><tr>{heads}</tr>{rows}</table>",
    )


HEADS = (
    "detector",
    "members",
    "lost",
    "plays",
    "first says so, s",
    "all agree, s (longest)",
    "agreed",
    "false deaths an hour",
    "equal after the fault, s (longest)",
    "messages a second",
    "bytes a second",
)


def row(cell: Cell) -> list[str]:
    """Return a line of the table."""
    return [
        cell.detector,
        str(cell.members),
        f"{cell.loss_percent:g}%",
        str(cell.plays),
        _text(cell.detected),
        _text(cell.agreed) + (f" ({cell.agreed_most:.1f})" if cell.agreed_most is not None else ""),
        f"{cell.agreed_share:.1%}" if cell.deaths else "",
        f"{_text(cell.false_an_hour)} ({cell.false_deaths} in {cell.hours:.2f} h)",
        _text(cell.healed)
        + (f" ({cell.healed_most:.1f})" if cell.healed_most is not None else "")
        + (f", {cell.not_healed} not" if cell.not_healed else ""),
        _text(cell.messages),
        _text(cell.bytes),
    ]


def _text(value: Interval | None) -> str:
    if value is None:
        return ""
    if value.high > UNBOUNDED:
        return f"{value.mean:.3g}"
    return f"{value.mean:.3g} [{value.low:.3g}, {value.high:.3g}]"
