"""Admission control: load is shed before servers are overloaded, lowest priority first."""

from __future__ import annotations

import pytest

from larchhaven.routing.actions import CheckHealth, RejectRequest, StartAttempt
from larchhaven.routing.events import (
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    HealthCheckCompleted,
    LoadReport,
    MessageDelayObserved,
    RequestArrived,
)
from larchhaven.routing.settings import OperationCosts, RequestClass, Tenant
from tests.routing.builders import (
    START_US,
    actions_of,
    attempt_ended,
    chosen_servers,
    load_report,
    make_balancer,
    rejected_requests,
    request_arrived,
)


def test_full_fleet_rejects_the_lowest_priority_first() -> None:
    """Without admission control every request is placed, and a full fleet is overloaded."""
    low = RequestClass(latency_objective_us=300_000, deadline_us=1_200_000, priority_weight=1.0)
    high = RequestClass(latency_objective_us=300_000, deadline_us=1_200_000, priority_weight=5.0)
    balancer = make_balancer(4, classes=(low, high), weighs_priority_by_load=True)
    balancer.handle(START_US, [load_report(i, 0.2) for i in range(4)])
    for request in range(20):
        actions = balancer.handle(
            START_US + 1, [RequestArrived(request, request % 2, 1_200_000, load=0.001)]
        )
        assert actions_of(RejectRequest, actions) == []
    balancer.handle(START_US + 2, [load_report(i, 0.62) for i in range(4)])
    rejections = [
        actions_of(
            RejectRequest,
            balancer.handle(START_US + 3, [RequestArrived(100 + n, n, 1_200_000, load=0.001)]),
        )
        for n in (0, 1)
    ]
    assert [len(each) for each in rejections] == [1, 0]


def test_cross_zone_cost_does_not_count_as_load() -> None:
    """If admission counts a high cross-zone cost as load, idle servers in other zones look full."""
    balancer = make_balancer(0, zone_count=2, costs=OperationCosts(cross_zone=0.8))
    servers = [Endpoint(f"s{i}", zone=int(i > 0)) for i in range(5)]
    balancer.handle(START_US, [EndpointListUpdate(EndpointListKind.COMPLETE, 2, tuple(servers))])
    balancer.handle(START_US, [load_report(0, 0.7), *(load_report(i, 0.1) for i in range(1, 5))])
    for request in range(40):  # earlier arrivals, against which priorities are ranked
        balancer.handle(
            START_US,
            [RequestArrived(request, 0, 1_200_000, load=0.001), ClientDisconnected(request)],
        )
    assert (
        actions_of(RejectRequest, balancer.handle(START_US + 1, [request_arrived(99, load=0.002)]))
        == []
    )
    balancer.handle(START_US + 2, [load_report(i, 0.9) for i in range(5)])
    assert actions_of(
        RejectRequest, balancer.handle(START_US + 3, [request_arrived(100, load=0.002)])
    )


def test_rejections_end_when_the_overload_is_over() -> None:
    """Rejections must not sustain themselves.

    If rejected requests trigger no health checks, the old reports of an overload stay in force and
    every later request is rejected as well.
    """
    balancer = make_balancer(3, can_check_health=True)
    balancer.handle(START_US, [load_report(i, 0.95) for i in range(3)])
    checked: set[str] = set()
    for request in range(9):
        now = START_US + (request + 1) * 100_000
        actions = balancer.handle(now, [request_arrived(request)])
        assert len(actions_of(RejectRequest, actions)) == 1
        for check in actions_of(CheckHealth, actions):
            checked.add(check.server_id)
            balancer.handle(
                now + 1,
                [
                    HealthCheckCompleted(
                        check.server_id, AttemptResult.OK, 1, LoadReport(load_ratio=0.95)
                    )
                ],
            )
    assert checked == {"s0", "s1", "s2"}
    balancer.handle(START_US + 2_000_000, [load_report(i, 0.2) for i in range(3)])
    assert (
        actions_of(RejectRequest, balancer.handle(START_US + 2_000_001, [request_arrived(99)]))
        == []
    )


def test_admission_weighs_servers_by_capacity() -> None:
    """If all servers count alike, full small ones cause rejections while a large one has room."""
    balancer = make_balancer(0)
    small = [Endpoint(f"s{i}", weight=0.5) for i in range(3)]
    balancer.handle(
        START_US,
        [EndpointListUpdate(EndpointListKind.COMPLETE, 2, (*small, Endpoint("s3", weight=8.0)))],
    )
    balancer.handle(
        START_US,
        [load_report(0, 0.95), load_report(1, 0.95), load_report(2, 0.95), load_report(3, 0.2)],
    )
    assert actions_of(RejectRequest, balancer.handle(START_US + 1, [request_arrived(1)])) == []


def test_one_overloaded_server_does_not_cause_rejections() -> None:
    """Admission must not depend on the mean load.

    A single overloaded server raises the mean enough that half of all requests are rejected.
    """
    balancer = make_balancer(5)
    balancer.handle(START_US, [load_report(0, 2.0), *(load_report(i, 0.45) for i in range(1, 5))])
    balancer.handle(START_US, [RequestArrived(i, 0, 1_200_000, load=0.001) for i in range(40)])
    # Twice the load at the same priority weight: the lowest priority density.
    heavy = balancer.handle(START_US + 1, [request_arrived(99, load=0.002)])
    assert [attempt.request_id for attempt in actions_of(StartAttempt, heavy)] == [99]
    balancer.handle(START_US + 2, [load_report(i, 0.9) for i in range(5)])
    assert actions_of(
        RejectRequest, balancer.handle(START_US + 3, [request_arrived(100, load=0.002)])
    )


def test_servers_at_their_connection_limit_do_not_count_as_spare_capacity() -> None:
    """Servers may run out of connections before they are fully loaded.

    If admission trusts their reports, the fleet seems to have capacity. With ten of fifteen servers
    at their connection limit and load ratios of 0.5 to 0.7, 85% of the attempts were rejected or
    overloaded the other five servers.
    """
    balancer = make_balancer(6)
    balancer.handle(START_US, [load_report(i, 0.3 if i < 4 else 0.8) for i in range(6)])
    for request in range(40):  # earlier arrivals, against which priorities are ranked
        balancer.handle(
            START_US,
            [RequestArrived(request, 0, 1_200_000, load=0.001), ClientDisconnected(request)],
        )
    for full_server in range(4):
        balancer.servers[f"s{full_server}"].full_until_us = START_US + 2_000_000
    for server in balancer.servers.values():
        balancer.ranking.reorder_server(server)
    assert actions_of(
        RejectRequest, balancer.handle(START_US + 1, [request_arrived(99, load=0.002)])
    )


def test_uniformly_slow_messages_cause_no_rejection() -> None:
    """At some sites messages are slow at any load.

    The penalty for slow messages, applied to every server, must not make the fleet look full.
    """
    balancer = make_balancer(3)
    balancer.handle(START_US, [load_report(i, 0.2) for i in range(3)])
    balancer.handle(START_US, [MessageDelayObserved(99, 0, f"s{i}", 90_000.0) for i in range(3)])
    actions = balancer.handle(START_US + 1, [request_arrived(n, load=0.001) for n in range(20)])
    assert len(actions_of(StartAttempt, actions)) == 20
    balancer = make_balancer(3)  # without load reports, slow messages alone show an overload
    balancer.handle(START_US, [MessageDelayObserved(99, 0, f"s{i}", 90_000.0) for i in range(3)])
    assert (
        len(
            actions_of(
                RejectRequest,
                balancer.handle(START_US + 1, [request_arrived(n, load=0.001) for n in range(20)]),
            )
        )
        == 20
    )


def test_empty_cold_server_is_used_while_the_others_are_full() -> None:
    """During a release the newly started server is empty while the others are full.

    If admission depends on the median load alone, it rejects every arrival.
    """
    balancer = make_balancer(4)
    balancer.handle(START_US, [load_report(i, 0.82) for i in range(3)])
    for request in range(40):
        balancer.handle(
            START_US,
            [RequestArrived(request, 0, 1_200_000, load=0.001), ClientDisconnected(request)],
        )
    assert actions_of(
        RejectRequest, balancer.handle(START_US + 1, [request_arrived(98, load=0.002)])
    )
    balancer.handle(START_US + 2, [load_report(3, 0.1)])
    assert chosen_servers(balancer.handle(START_US + 3, [request_arrived(99, load=0.002)])) == [
        "s3"
    ]


@pytest.mark.parametrize("proxy_count", [1, 2])
def test_traffic_over_a_tenants_quota_is_shed_first(proxy_count: int) -> None:
    """A tenant within its quota must not be rejected because another exceeds its own."""
    tenants = tuple(
        Tenant(capacity_fraction=0.5, connection_quota=20.0 * proxy_count) for _ in range(2)
    )
    balancer = make_balancer(
        4, tenants=tenants, over_quota_priority_factor=0.2, proxy_count=proxy_count
    )
    balancer.handle(START_US, [load_report(i, 0.2) for i in range(4)])
    # Tenant 0 uses up this proxy's share of its quota, tenant 1 about two thirds of its own.
    for request in range(40):
        tenant = int(request % 3 == 2)
        arrival = RequestArrived(request, 0, 1_200_000, tenant_index=tenant, load=0.0001)
        for attempt in actions_of(StartAttempt, balancer.handle(START_US, [arrival])):
            balancer.handle(
                START_US, [ConnectionEstablished(attempt.request_id, 0, attempt.server_id, 500)]
            )
    assert balancer.connections.count_by_tenant[1] < 20 <= balancer.connections.count_by_tenant[0]
    balancer.handle(START_US, [load_report(i, 0.62) for i in range(4)])
    arrivals = [
        RequestArrived(100 + tenant, 0, 1_200_000, tenant_index=tenant, load=0.0001)
        for tenant in (0, 1)
    ]
    assert rejected_requests(balancer.handle(START_US + 1, arrivals)) == [100]
    without_tenant = RequestArrived(102, 0, 1_200_000, tenant_index=2, load=0.0001)
    assert rejected_requests(balancer.handle(START_US + 1, [without_tenant])) == [102]
    balancer.handle(
        START_US + 2,
        [attempt_ended(i, 0, "s0", AttemptResult.OK, finished=True) for i in range(40)],
    )
    assert not +balancer.connections.count_by_tenant
