"""Slow start: a server that has just started is filled no faster than it warms up."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from larchhaven.routing.actions import StartAttempt
from larchhaven.routing.balancer import Balancer
from larchhaven.routing.events import (
    AttemptResult,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    HealthCheckCompleted,
    LoadReport,
)
from tests.routing.builders import (
    BASIC_SETTINGS,
    SECOND_US,
    START_US,
    actions_of,
    chosen_servers,
    load_report,
    make_balancer,
    request_arrived,
)


def test_cold_server_is_filled_as_the_collapse_multiple_allows() -> None:
    """A pace that suits one collapse multiple leaves servers idle at another."""
    sent = []
    for multiple in (2.0, 4.0):
        balancer = make_balancer(
            0, slow_start_us=10_000_000, slow_start_initial_fraction=0.5, collapse_multiple=multiple
        )
        started = Endpoint("s0", weight=4.0, started_at_us=START_US)
        balancer.handle(START_US, [EndpointListUpdate(EndpointListKind.COMPLETE, 2, (started,))])
        batches = [
            balancer.handle(START_US + n * 10_000, [request_arrived(n, load=0.04)])
            for n in range(200)
        ]
        sent.append(sum(len(actions_of(StartAttempt, actions)) for actions in batches))
    assert 1.8 * sent[0] <= sent[1] <= 2.2 * sent[0], sent


@pytest.mark.parametrize("changes", [{"slow_start_us": 0}, {"collapse_delay_us": 0}])
def test_server_is_used_when_a_slow_start_duration_is_zero(changes: dict[str, int]) -> None:
    """Slow start works with settings at their limits, and with a server whose clock is ahead."""
    balancer = make_balancer(0, proxy_count=8, **changes)
    started = Endpoint("s0", started_at_us=START_US + SECOND_US)
    balancer.handle(START_US, [EndpointListUpdate(EndpointListKind.COMPLETE, 2, (started,))])
    sent_us = [
        now_us
        for number, now_us in enumerate(range(START_US, START_US + 10 * SECOND_US, 20_000))
        if chosen_servers(balancer.handle(now_us, [request_arrived(number)]))
    ]
    assert sent_us


def test_cold_server_gets_its_share_while_the_warm_one_is_loaded() -> None:
    """Otherwise the clients of all servers that drain in a release go to the last warm one."""
    taken = 0
    for seed in range(20):
        balancer = make_balancer(1, seed, proxy_count=2)
        new = Endpoint("new", started_at_us=START_US)
        balancer.handle(START_US, [EndpointListUpdate(EndpointListKind.CHANGES, 2, (new,))])
        for step in range(50):
            now = START_US + 1 + step * 100_000
            actions = balancer.handle(now, [load_report(0, 0.5), request_arrived(step, load=0.1)])
            taken += sum(send.server_id == "new" for send in actions_of(StartAttempt, actions))
    assert taken / 20 >= 2  # about a quarter of its capacity in the first half of its warm-up


@pytest.mark.parametrize("proxy_count", [1, 40, 250])
def test_cold_server_is_filled_slowly_by_all_proxies_together(proxy_count: int) -> None:
    """Many proxies must not all send a cold server their first connection at once."""
    sent = []
    listed = (
        *(Endpoint(f"s{i}", weight=2.0) for i in range(4)),
        Endpoint("new", weight=2.0, started_at_us=START_US),
    )
    rate = 20 / proxy_count  # arrivals per second at each proxy
    for index in range(proxy_count):
        balancer = Balancer(
            replace(BASIC_SETTINGS, proxy_count=proxy_count, proxy_index=index), index
        )
        balancer.handle(START_US, [EndpointListUpdate(EndpointListKind.COMPLETE, 1, listed)])
        balancer.handle(
            START_US,
            [
                HealthCheckCompleted(f"s{i}", AttemptResult.OK, 1, LoadReport(load_ratio=0.3))
                for i in range(4)
            ],
        )
        rng, now, request = random.Random(index), START_US + 1, 0
        while (
            now := now + int(rng.expovariate(rate) * SECOND_US)
        ) < START_US + BASIC_SETTINGS.slow_start_us:
            request += 1
            actions = balancer.handle(now, [request_arrived(request, load=0.02)])
            attempts = actions_of(StartAttempt, actions)
            sent += [now for attempt in attempts if attempt.server_id == "new"]
    # A warm server holds 50 connections of the initial load, a cold one fewer.
    for window_start_us in range(START_US, START_US + BASIC_SETTINGS.slow_start_us, SECOND_US):
        warmth = 0.3 + 0.7 * (window_start_us - START_US) / BASIC_SETTINGS.slow_start_us
        in_window = sum(
            window_start_us <= sent_us < window_start_us + BASIC_SETTINGS.collapse_delay_us
            for sent_us in sent
        )
        per_window = 50 * BASIC_SETTINGS.collapse_delay_us / BASIC_SETTINGS.slow_start_us
        assert in_window <= BASIC_SETTINGS.collapse_multiple * warmth * per_window + 2
    assert len(sent) >= 3
