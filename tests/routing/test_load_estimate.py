"""Own placements and reports: what a server's load is taken to be."""

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
    "gone",
    [
        EndpointListUpdate(EndpointListKind.COMPLETE, 2, ()),
        EndpointListUpdate(EndpointListKind.CHANGES, 2, endpoints(2, state=ServerState.REMOVED)),
    ],
)
def test_load_of_a_removed_server_is_forgotten(gone: EndpointListUpdate) -> None:
    """Guards the load of the fleet: connections that ended with their server once counted on."""
    balancer = make_balancer(2)

    def unseen() -> float:
        return sum(server.unreported_load for server in balancer.servers.values())

    sent = actions_of(
        StartAttempt, balancer.handle(START_US, [request_arrived(i, load=0.01) for i in range(20)])
    )
    balancer.handle(
        START_US + 1,
        [ConnectionEstablished(send.request_id, 0, send.server_id, 500) for send in sent],
    )
    assert unseen() > 0.19
    balancer.handle(START_US + 2_000_000, [load_report(0, 0.1), load_report(1, 0.1)])
    assert abs(unseen()) < 1e-9
    balancer.handle(START_US + 2_000_001, [gone])
    ends = [
        attempt_ended(send.request_id, 0, send.server_id, AttemptResult.RESET, finished=True)
        for send in sent
    ]
    balancer.handle(START_US + 2_000_002, ends)
    assert abs(unseen()) < 1e-9


def test_unreported_changes_are_bounded_where_no_report_ever_comes() -> None:
    """Guards memory: each connection left three entries for good at a server that tells no load."""
    made = make_balancer(1)
    for request in range(2_000):
        now = START_US + request
        assert actions_of(StartAttempt, made.handle(now, [request_arrived(request)]))
        made.handle(now, [ConnectionEstablished(request, 0, "s0", 1000)])
        made.handle(now, [attempt_ended(request, 0, "s0", AttemptResult.OK, finished=True)])
    server = made.servers["s0"]
    assert len(server.unreported_changes) == MAX_UNREPORTED_CHANGES
    assert abs(server.unreported_load) < 1e-6
