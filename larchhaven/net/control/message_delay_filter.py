"""Selects the message delays to report: slow ones at intervals, and the next fast one."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.routing.settings import RoutingSettings

# A message is slow if its delay exceeds the shortest latency objective divided by this.
SLOW_MESSAGE_DIVISOR = 3
# Minimum time between two reports of slow messages of the same server.
DELAY_REPORT_INTERVAL_US = 1_000_000


def find_slow_threshold_us(settings: RoutingSettings) -> float:
    """Return the delay above which a message is slow, in microseconds."""
    objectives_us = [
        request_class.message_latency_objective_us or request_class.latency_objective_us
        for request_class in settings.classes
    ]
    return min(objectives_us) / SLOW_MESSAGE_DIVISOR


@dataclass(slots=True)
class _LastReport:
    """The latest delay report of a server."""

    reported_at_us: int
    is_slow: bool


class MessageDelayFilter:
    """Selects the delays to report, given the latest report of each server.

    Args:
        slow_threshold_us: Delay above which a message is slow, in microseconds.
    """

    def __init__(self, slow_threshold_us: float) -> None:
        self._slow_threshold_us = slow_threshold_us
        self._last_reports: dict[str, _LastReport] = {}

    def should_report(self, server_id: str, delay_us: int, now_us: int) -> bool:
        """Return whether to report this delay; if so, record it as reported."""
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
        """Forget the latest report of a removed server."""
        self._last_reports.pop(server_id, None)
