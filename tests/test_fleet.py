"""Many proxies at once: what is harmless in one and harmful in forty."""

from __future__ import annotations

import heapq
from dataclasses import replace

from larchhaven import interface as api
from larchhaven.choice import Balancer

from .world import PLAIN, START

SERVE_US, WAIT_MOST_US = 133_000, 2_000_000


def test_forty_that_start_together_all_get_the_list() -> None:
    """Guards the list service: calls in step kept it busy with calls that had failed, and few got an answer.

    A call that has waited too long fails, and its turn is used up all the same.
    """
    settings = replace(PLAIN, instances=40, subscribe=True)
    tier = [Balancer(replace(settings, index=i), seed=i) for i in range(40)]
    queue: list[tuple[int, int, int, api.Event]] = [
        (START, i, i, api.FleetList(api.ListKind.REMEMBERED)) for i in range(40)
    ]
    free_at, told, failed, order = START, set(), 0, 40
    while queue and queue[0][0] < START + 20_000_000:
        now, _, i, event = heapq.heappop(queue)
        for action in tier[i].handle(now, [event]):
            order += 1
            if isinstance(action, api.SetTimer):
                heapq.heappush(queue, (now + action.delay_us, order, i, api.TimerFired(action.token)))
            elif isinstance(action, api.Watch):
                free_at = max(free_at, now) + SERVE_US
                if free_at > now + WAIT_MOST_US:
                    failed += 1
                    answer = api.FleetList(api.ListKind.FAILED)
                    heapq.heappush(queue, (now + WAIT_MOST_US, order, i, answer))
                else:
                    told.add(i)
    assert len(told) == 40
    assert failed <= 4
