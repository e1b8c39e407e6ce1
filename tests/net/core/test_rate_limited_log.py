"""The rate-limited log."""

from __future__ import annotations

import pytest

from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog


def test_number_of_tracked_events_is_capped() -> None:
    event_log = RateLimitedLog(EventLoop(), 3)
    for number in range(50):
        event_log.warning(f"event {number}", "x")
    assert event_log.event_count() == 3


def test_suppressed_events_are_counted_in_the_next_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    event_log = RateLimitedLog(EventLoop())
    event_log.repeat_interval_us = 0
    event_log.warning("watch failed", "attempt=1")
    event_log.repeat_interval_us = 1_000
    event_log.warning("watch failed", "attempt=2")
    for number in range(3, 6):
        event_log.warning("watch failed", f"attempt={number}")
    vars(event_log)["_loop"].now_us += 1_000
    event_log.warning("watch failed", "attempt=6")
    assert [record.getMessage() for record in caplog.records] == [
        "watch failed: attempt=1",
        "watch failed: attempt=2",
        "watch failed: attempt=6 suppressed=3",
    ]
    assert vars(caplog.records[-1])["held"] == 3


def test_detail_is_escaped_and_truncated(caplog: pytest.LogCaptureFixture) -> None:
    RateLimitedLog(EventLoop()).warning("request line invalid", "\x1b[2J" + "x" * 1_000)
    assert caplog.records[0].getMessage() == "request line invalid: \\x1b[2J" + "x" * 196
