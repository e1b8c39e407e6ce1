"""Which message delays are reported: slow ones at intervals, and the first fast one after."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.routing.settings import RoutingSettings

# The shortest latency objective over this.
SLOW_MESSAGE_DIVISOR = 3
# Slow messages of one server are reported at most this often.
DELAY_REPORT_INTERVAL_US = 1_000_000


def find_slow_threshold_us(settings: RoutingSettings) -> float:
    """Return the delay beyond which a message is slow."""
    objectives_us = [
        each.message_latency_objective_us or each.latency_objective_us for each in settings.classes
    ]
    return min(objectives_us) / SLOW_MESSAGE_DIVISOR


@dataclass(slots=True)
class _LastReport:
    """The latest delay reported of a server."""

    reported_at_us: int
    is_slow: bool


class MessageDelayFilter:
    """The latest report of each server that had one.

    Args:
        slow_threshold_us: A longer delay is slow.
    """

    def __init__(self, slow_threshold_us: float) -> None:
        self._slow_threshold_us = slow_threshold_us
        self._last_reports: dict[str, _LastReport] = {}

    def should_report(self, server_id: str, delay_us: int, now_us: int) -> bool:
        """Return whether to report this delay; it counts as reported then."""
        is_slow = delay_us > self._slow_threshold_us
        last = self._last_reports.get(server_id)
        if last is None or not last.is_slow:
            is_due = is_slow
        else:
            is_due = not is_slow or now_us >= last.reported_at_us + DELAY_REPORT_INTERVAL_US
        if is_due:
            self._last_reports[server_id] = _LastReport(now_us, is_slow)
        return is_due

    def forget_server(self, server_id: str) -> None:
        """Forget the report of a server that is removed."""
        self._last_reports.pop(server_id, None)
