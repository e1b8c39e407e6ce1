"""Load estimate of a server: its reports, and this proxy's own placements."""

from __future__ import annotations

import pytest

from larchhaven.routing.actions import StartAttempt
from larchhaven.routing.events import (
    AttemptResult,
    ConnectionEstablished,
    EndpointListKind,
    EndpointListUpdate,
    ServerState,
)
from larchhaven.routing.server import MAX_UNREPORTED_CHANGES
from tests.routing.builders import (
    START_US,
    actions_of,
    attempt_ended,
    chosen_servers,
    endpoints,
    load_report,
    make_balancer,
    request_arrived,
)


def test_own_placements_count_until_a_report_can_contain_them() -> None:
    balancer = make_balancer(2)
    balancer.handle(START_US, [load_report(0, 0.30), load_report(1, 0.32)])
    first = chosen_servers(balancer.handle(START_US + 1, [request_arrived(1, load=0.1)]))[0]
    second = chosen_servers(balancer.handle(START_US + 2, [request_arrived(2, load=0.1)]))[0]
    assert (first, second) == ("s0", "s1")
    balancer.handle(START_US + 5_000_000, [load_report(0, 0.30), load_report(1, 0.45)])
    assert chosen_servers(balancer.handle(START_US + 5_000_001, [request_arrived(4)]))[0] == "s0"


@pytest.mark.parametrize(
    "removal",
    [
        EndpointListUpdate(EndpointListKind.COMPLETE, 2, ()),
        EndpointListUpdate(EndpointListKind.CHANGES, 2, endpoints(2, state=ServerState.REMOVED)),
    ],
)
def test_load_of_a_removed_server_is_forgotten(removal: EndpointListUpdate) -> None:
    """Connections that end with their server must not count towards the load of the fleet."""
    balancer = make_balancer(2)

    def total_unreported_load() -> float:
        return sum(server.unreported_load for server in balancer.servers.values())

    sent = actions_of(
        StartAttempt, balancer.handle(START_US, [request_arrived(i, load=0.01) for i in range(20)])
    )
    balancer.handle(
        START_US + 1,
        [ConnectionEstablished(send.request_id, 0, send.server_id, 500) for send in sent],
    )
    assert total_unreported_load() > 0.19
    balancer.handle(START_US + 2_000_000, [load_report(0, 0.1), load_report(1, 0.1)])
    assert abs(total_unreported_load()) < 1e-9
    balancer.handle(START_US + 2_000_001, [removal])
    ended = [
        attempt_ended(send.request_id, 0, send.server_id, AttemptResult.RESET, finished=True)
        for send in sent
    ]
    balancer.handle(START_US + 2_000_002, ended)
    assert abs(total_unreported_load()) < 1e-9


def test_unreported_changes_are_bounded_without_load_reports() -> None:
    """Without a bound, each connection leaves three entries behind if no report arrives."""
    balancer = make_balancer(1)
    for request in range(2_000):
        now = START_US + request
        assert actions_of(StartAttempt, balancer.handle(now, [request_arrived(request)]))
        balancer.handle(now, [ConnectionEstablished(request, 0, "s0", 1000)])
        balancer.handle(now, [attempt_ended(request, 0, "s0", AttemptResult.OK, finished=True)])
    server = balancer.servers["s0"]
    assert len(server.unreported_changes) == MAX_UNREPORTED_CHANGES
    assert abs(server.unreported_load) < 1e-6
