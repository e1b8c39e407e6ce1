"""Endpoint list: updates, retries of a failed poll or watch, and administrative ejection."""

from __future__ import annotations

from dataclasses import replace

import pytest

from larchhaven.routing.actions import (
    MigrateConnection,
    StartAttempt,
    StartTimer,
    WatchEndpoints,
)
from larchhaven.routing.balancer import Balancer
from larchhaven.routing.events import (
    AdministrativeEjection,
    AttemptResult,
    ConnectionEstablished,
    EndpointListKind,
    EndpointListUpdate,
    HealthCheckCompleted,
    ServerState,
    TimerFired,
)
from tests.routing.builders import (
    BASIC_SETTINGS,
    SECOND_US,
    START_US,
    actions_of,
    checked_servers,
    load_report,
    make_balancer,
    rejected_requests,
    request_arrived,
)


def test_server_ejected_by_operators_gets_no_requests_and_loses_its_clients() -> None:
    """An ejection persists although the list removes the server and lists it as ready again."""
    balancer = make_balancer(2)
    sent = actions_of(
        StartAttempt, balancer.handle(START_US, [request_arrived(i, load=0.01) for i in range(12)])
    )
    balancer.handle(
        START_US + 1,
        [ConnectionEstablished(send.request_id, 0, send.server_id, 500) for send in sent],
    )
    actions = balancer.handle(
        START_US + 2, [AdministrativeEjection("s0", True), AdministrativeEjection("s0", True)]
    )
    entry = next(e for e in (s.endpoint for s in balancer.servers.values()) if e.server_id == "s0")
    removed = replace(entry, state=ServerState.REMOVED)
    balancer.handle(START_US + 3, [EndpointListUpdate(EndpointListKind.CHANGES, 2, (removed,))])
    balancer.handle(
        START_US + 4,
        [
            EndpointListUpdate(
                EndpointListKind.CHANGES, 3, (replace(entry, started_at_us=START_US),)
            )
        ],
    )
    later_attempts = actions_of(
        StartAttempt,
        balancer.handle(START_US + 5, [request_arrived(100 + i, load=0.01) for i in range(20)]),
    )
    assert {send.server_id for send in later_attempts} == {"s1"}
    assert balancer.count_unavailable_servers(START_US + 5) == 1
    timers = [TimerFired(timer.timer_id) for timer in actions_of(StartTimer, actions)]
    moved = {
        move.request_id
        for move in actions_of(MigrateConnection, balancer.handle(START_US + 6_000_000, timers))
    }
    assert moved == {send.request_id for send in sent if send.server_id == "s0"}


def test_server_returned_by_operators_is_checked_at_once_and_counts_as_restarted() -> None:
    """The server may have restarted while ejected: it is cold, and earlier reports are obsolete."""
    balancer = make_balancer(2, can_check_health=True)
    balancer.handle(START_US, [load_report(0, 1.9), load_report(1, 0.1)])
    balancer.handle(
        START_US + 1,
        [
            HealthCheckCompleted("s0", AttemptResult.UNREACHABLE, 500),
            AdministrativeEjection("s0", True),
        ],
    )
    actions = balancer.handle(
        START_US + 2, [AdministrativeEjection("s0", False), AdministrativeEjection("s0", False)]
    )
    assert checked_servers(actions) == ["s0"]
    server = balancer.servers["s0"]
    assert server.reported_ratio is None
    assert server.ejected_until_us <= START_US
    assert server.warm_at_us > START_US + 1_000_000
    assert balancer.count_unavailable_servers(START_US + 2) == 0
    later_us = START_US + 5_000_000
    balancer.handle(later_us, [request_arrived(i, load=0.01) for i in range(10)])
    sent = actions_of(
        StartAttempt, balancer.handle(later_us + 1, [load_report(0, 0.0), load_report(1, 0.1)])
    )
    assert "s0" in {send.server_id for send in sent}


def test_arrival_is_rejected_at_once_when_operators_ejected_all_servers() -> None:
    balancer = make_balancer(2)
    actions = balancer.handle(
        START_US,
        [
            AdministrativeEjection("s0", True),
            AdministrativeEjection("s1", True),
            request_arrived(1),
        ],
    )
    assert rejected_requests(actions) == [1]


@pytest.mark.parametrize("drain_grace_us", [300_000, 500_000, 3_000_000])
@pytest.mark.parametrize("proxy_count", [1, 3, 200])
def test_failed_poll_is_retried_within_the_drain_grace_when_lists_are_pushed(
    drain_grace_us: int, proxy_count: int
) -> None:
    """A proxy is assumed to know a pushed list; after a late retry it may use a drained server."""
    balancer = make_balancer(
        subscribes_to_endpoints=False,
        drain_grace_us=drain_grace_us,
        proxy_count=proxy_count,
        poll_deadline_us=10 * SECOND_US,
    )
    for failure_index in range(6):
        failed = balancer.handle(
            START_US + failure_index * SECOND_US, [EndpointListUpdate(EndpointListKind.FAILED)]
        )
        assert [
            action.delay_us <= drain_grace_us // 2 for action in actions_of(StartTimer, failed)
        ] == [True]


@pytest.mark.parametrize("proxy_count", [1, 3, 200])
@pytest.mark.parametrize("drain_grace_us", [2_800_000, 3_000_000, 10_000_000])
def test_retry_leaves_time_for_a_slow_answer_when_lists_are_pushed(
    drain_grace_us: int, proxy_count: int
) -> None:
    """Guards against requests to drained servers when discovery is slow after an outage."""
    slow_answer_us = 2 * SECOND_US
    for seed in range(40):
        settings = replace(
            BASIC_SETTINGS,
            subscribes_to_endpoints=False,
            drain_grace_us=drain_grace_us,
            proxy_count=proxy_count,
        )
        balancer = Balancer(settings, seed)
        for failure_index in range(6):
            failed = balancer.handle(
                START_US + failure_index * SECOND_US, [EndpointListUpdate(EndpointListKind.FAILED)]
            )
            (timer,) = actions_of(StartTimer, failed)
            assert timer.delay_us + slow_answer_us <= drain_grace_us


@pytest.mark.parametrize("proxy_count", [1, 4, 40, 200, 1000])
@pytest.mark.parametrize("outage_us", [500_000, 11 * SECOND_US, 120 * SECOND_US])
def test_list_is_requested_soon_after_an_outage_of_discovery(
    proxy_count: int, outage_us: int
) -> None:
    """Guards against requests to drained servers: 6 s after an outage a drain counts as known."""
    notified_us = 6 * SECOND_US
    call_us = SECOND_US // 2
    for seed in range(40):
        settings = replace(BASIC_SETTINGS, proxy_count=proxy_count, subscribes_to_endpoints=True)
        balancer = Balancer(settings, seed)
        now_us = START_US
        while now_us < START_US + outage_us:
            failed = balancer.handle(now_us, [EndpointListUpdate(EndpointListKind.FAILED)])
            timer = actions_of(StartTimer, failed)[0]
            now_us += timer.delay_us
            watch = balancer.handle(now_us, [TimerFired(timer.timer_id)])
            assert actions_of(WatchEndpoints, watch) == [WatchEndpoints()]
        assert now_us - (START_US + outage_us) <= notified_us - call_us


def test_failed_watch_is_opened_again_with_a_growing_backoff() -> None:
    balancer = make_balancer(1, subscribes_to_endpoints=True)
    waits = []
    for _ in range(6):
        timers = actions_of(
            StartTimer, balancer.handle(START_US, [EndpointListUpdate(EndpointListKind.FAILED)])
        )
        assert len(timers) == 1
        assert timers[0].delay_us <= BASIC_SETTINGS.poll_deadline_us
        waits.append(timers[0].delay_us)
        assert actions_of(
            WatchEndpoints, balancer.handle(START_US, [TimerFired(timers[0].timer_id)])
        ) == [WatchEndpoints()]
    assert waits[-1] > 2 * waits[0]
