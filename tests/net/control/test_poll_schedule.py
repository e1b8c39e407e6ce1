"""Polls of a whole fleet whose watches fall silent at once, at a discovery that answers in turn."""

from __future__ import annotations

import heapq

import pytest

from larchhaven.net.control.discovery_connection import RESPONSE_TIMEOUT_US
from larchhaven.net.control.poll_schedule import PollSchedule


def poll_in_turn(proxy_count: int, service_time_us: int) -> dict[int, int]:
    """Return when each proxy has its list, in microseconds after the first polls.

    A poll takes up its service time even if its proxy has given it up or has its list meanwhile.
    """
    schedules = [PollSchedule(proxy_count) for _ in range(proxy_count)]
    queue = [(0, index) for index in range(proxy_count)]
    answered_at_us: dict[int, int] = {}
    free_at_us = 0
    while queue and queue[0][0] < 60_000_000:
        now_us, index = heapq.heappop(queue)
        if answered_at_us.get(index, now_us + 1) <= now_us:
            continue
        free_at_us = max(free_at_us, now_us) + service_time_us
        if free_at_us <= now_us + RESPONSE_TIMEOUT_US:
            answered_at_us[index] = min(answered_at_us.get(index, free_at_us), free_at_us)
        heapq.heappush(queue, (now_us + schedules[index].note_poll(), index))
    return answered_at_us


@pytest.mark.parametrize(
    ("proxy_count", "service_time_us"),
    [(1, 1_600_000), (1, 2_000_000), (4, 133_000), (12, 133_000), (200, 10_000)],
)
def test_all_proxies_get_the_list_from_a_slow_or_crowded_discovery(
    proxy_count: int, service_time_us: int
) -> None:
    """Guards against polls that are given up while discovery is still working on others.

    Where discovery can answer all proxies within 2 s, the first poll of each has to do.
    """
    answered_at_us = poll_in_turn(proxy_count, service_time_us)
    assert len(answered_at_us) == proxy_count
    assert max(answered_at_us.values()) <= proxy_count * service_time_us
