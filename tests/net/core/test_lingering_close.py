"""The timer of a lingering close, with a clock set by the test."""

from __future__ import annotations

import pytest

from larchhaven.net.core import event_loop as loop_module
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.lingering_close import LINGER_US, MAX_LINGER_US, LingerTimer


class SettableClock:
    """Replaces the ``time`` module in the event loop."""

    def __init__(self) -> None:
        self.now_us = 0

    def monotonic_ns(self) -> int:
        return self.now_us * 1000


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> SettableClock:
    clock = SettableClock()
    monkeypatch.setattr(loop_module, "time", clock)
    return clock


def advance(loop: EventLoop, clock: SettableClock, duration_us: int) -> None:
    """Advance the clock in steps too short to count as a pause of the process."""
    end_us = clock.now_us + duration_us
    while clock.now_us < end_us:
        clock.now_us = min(clock.now_us + LINGER_US // 10, end_us)
        loop.skip_next_wait()
        loop.run_once()


def test_timer_expires_after_a_time_without_input(clock: SettableClock) -> None:
    loop = EventLoop()
    expired: list[int] = []
    timer = LingerTimer(loop, lambda: expired.append(loop.now_us))
    advance(loop, clock, LINGER_US // 2)
    timer.note_input()
    advance(loop, clock, LINGER_US - 1)
    assert not expired
    advance(loop, clock, LINGER_US // 10)
    assert len(expired) == 1


def test_timer_expires_within_the_limit_despite_input(clock: SettableClock) -> None:
    loop = EventLoop()
    expired: list[int] = []
    timer = LingerTimer(loop, lambda: expired.append(loop.now_us))
    while clock.now_us < MAX_LINGER_US - LINGER_US // 2:
        advance(loop, clock, LINGER_US // 2)
        timer.note_input()
    assert not expired
    advance(loop, clock, LINGER_US)
    assert expired == [MAX_LINGER_US]


def test_cancelled_timer_does_not_expire(clock: SettableClock) -> None:
    loop = EventLoop()
    expired: list[int] = []
    LingerTimer(loop, lambda: expired.append(loop.now_us)).cancel()
    advance(loop, clock, 2 * LINGER_US)
    assert not expired
