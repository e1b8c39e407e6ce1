"""Outlier ejection: which failures eject a server, and for how long."""

from __future__ import annotations

import pytest

from larchhaven.routing.actions import StartAttempt
from larchhaven.routing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionEstablished,
    EndpointListKind,
    EndpointListUpdate,
    HealthCheckCompleted,
    ServerState,
)
from tests.routing.builders import (
    START_US,
    actions_of,
    attempt_ended,
    chosen_servers,
    endpoints,
    make_balancer,
    request_arrived,
)


@pytest.mark.parametrize("result", [AttemptResult.ERROR, AttemptResult.RESET])
def test_request_that_fails_fast_on_all_servers_ejects_none(result: AttemptResult) -> None:
    """A bad request, retried on each server, must not eject them all and trip the breaker."""
    balancer = make_balancer(3)
    now = START_US
    server = chosen_servers(balancer.handle(now, [request_arrived(1)]))[0]
    for attempt in range(3):
        now += 1000
        sends = actions_of(
            StartAttempt, balancer.handle(now, [attempt_ended(1, attempt, server, result)])
        )
        server = sends[0].server_id if sends else server
    assert [s for s in balancer.servers.values() if s.ejected_until_us > now] == []
    actions = balancer.handle(now + 1, [request_arrived(2), request_arrived(3)])
    assert len(actions_of(StartAttempt, actions)) == 2


def test_server_is_ejected_when_another_serves_the_request_it_failed() -> None:
    balancer = make_balancer(3)
    first = chosen_servers(balancer.handle(START_US, [request_arrived(1)]))[0]
    second = chosen_servers(
        balancer.handle(START_US + 1000, [attempt_ended(1, 0, first, AttemptResult.ERROR)])
    )[0]
    assert balancer.servers[first].ejected_until_us <= START_US + 1000
    balancer.handle(START_US + 2000, [ConnectionEstablished(1, 1, second, 500)])
    assert (
        balancer.servers[first].ejected_until_us
        > START_US + 2000
        >= balancer.servers[second].ejected_until_us
    )


def test_timeout_of_a_short_deadline_ejects_no_server() -> None:
    """A client may set a deadline that no server can meet; the server is not at fault."""
    balancer = make_balancer(2)
    server = chosen_servers(balancer.handle(START_US, [request_arrived(1, budget_us=20_000)]))[0]
    balancer.handle(
        START_US + 20_000, [AttemptEnded(1, 0, server, AttemptResult.TIMEOUT, 20_000, False)]
    )
    assert balancer.servers[server].ejected_until_us <= START_US


def test_server_that_fails_again_soon_is_ejected_for_longer() -> None:
    """If one connection resets the ejection time, a failing server returns every two seconds."""
    balancer = make_balancer(3)
    server, now, ejection_times_us = balancer.servers["s0"], START_US, []
    for pause in (0, 1_000_000, 1_000_000, 30_000_000):
        now = max(server.ejected_until_us, now) + pause
        balancer.handle(now, [HealthCheckCompleted("s0", AttemptResult.TIMEOUT, 500_000)])
        ejection_times_us.append(server.ejection_us)
        balancer.placement.add_request(request_arrived(now)).begin_attempt(server)
        balancer.handle(now, [ConnectionEstablished(now, 0, "s0", 500)])
    assert ejection_times_us == [2_000_000, 4_000_000, 8_000_000, 2_000_000]


def test_removed_servers_do_not_count_among_the_ejected() -> None:
    """If removed servers count as ejected, too many seem ejected, and ejections do not apply."""
    balancer = make_balancer(4)
    balancer.handle(
        START_US, [HealthCheckCompleted(f"s{i}", AttemptResult.UNREACHABLE, 500) for i in (0, 1, 2)]
    )
    removed = endpoints(2, state=ServerState.REMOVED)
    balancer.handle(START_US + 1, [EndpointListUpdate(EndpointListKind.CHANGES, 2, removed)])
    sent = actions_of(
        StartAttempt,
        balancer.handle(START_US + 2, [request_arrived(i, load=0.01) for i in range(20)]),
    )
    assert {send.server_id for send in sent} == {"s3"}
