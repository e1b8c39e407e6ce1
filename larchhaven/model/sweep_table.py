"""Formats the summary of a sweep as a table with one row for each combination."""

from __future__ import annotations

from larchhaven.model.summary import Interval, SweepCell

# An interval with an upper end above this counts as unbounded, because JSON cannot store infinity.
UNBOUNDED = 1e300

TABLE_HEADS = (
    "detector",
    "members",
    "lost",
    "runs",
    "first detected, s",
    "all agree, s (longest)",
    "agreed",
    "false deaths an hour",
    "equal after the fault, s (longest)",
    "messages a second",
    "bytes a second",
)


def format_row(cell: SweepCell) -> list[str]:
    """Return the row of a combination, with one text for each of ``TABLE_HEADS``."""
    false_rate = _format_interval(cell.false_deaths_per_hour)
    return [
        cell.detector,
        str(cell.members),
        f"{cell.loss_percent:g}%",
        str(cell.runs),
        _format_interval(cell.detection_s),
        _format_interval(cell.agreement_s) + _format_longest(cell.max_agreement_s),
        f"{cell.agreed_fraction:.1%}" if cell.deaths else "",
        f"{false_rate} ({cell.false_deaths} in {cell.simulated_hours:.2f} h)",
        _format_convergence(cell),
        _format_interval(cell.messages_per_second),
        _format_interval(cell.bytes_per_second),
    ]


def _format_convergence(cell: SweepCell) -> str:
    text = _format_interval(cell.convergence_s) + _format_longest(cell.max_convergence_s)
    return f"{text}, {cell.unconverged} not" if cell.unconverged else text


def _format_longest(seconds: float | None) -> str:
    return "" if seconds is None else f" ({seconds:.1f})"


def _format_interval(value: Interval | None) -> str:
    if value is None:
        return ""
    if value.high > UNBOUNDED:
        return f"{value.mean:.3g}"
    return f"{value.mean:.3g} [{value.low:.3g}, {value.high:.3g}]"
