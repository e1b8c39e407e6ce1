"""The rate-limited log."""

from __future__ import annotations

from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog


def test_no_more_events_are_remembered_than_the_cap() -> None:
    events = RateLimitedLog(EventLoop(), 3)
    for number in range(50):
        events.warning(f"event {number}", "x")
    assert events.event_count() == 3
