"""Established connections are migrated off draining, unresponsive and overloaded servers."""

from __future__ import annotations

from larchhaven.routing.actions import CheckHealth, MigrateConnection, StartAttempt, StartTimer
from larchhaven.routing.events import (
    ConnectionEstablished,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    ProxyDraining,
    ServerState,
    ServerUnresponsive,
    TimerFired,
)
from tests.routing.builders import (
    START_US,
    actions_of,
    chosen_servers,
    establish_connections,
    load_report,
    make_balancer,
    request_arrived,
    run_timers,
)

S0_DRAINS = EndpointListUpdate(EndpointListKind.CHANGES, 2, (Endpoint("s0", ServerState.DRAINING),))


def test_overloaded_server_is_rebalanced_and_others_are_left_alone() -> None:
    """Without rebalancing, connections stay on an overloaded server until they end."""
    balancer = make_balancer(3, can_check_health=True)
    balancer.handle(START_US, [load_report(0, 0.3), load_report(1, 0.3), load_report(2, 0.3)])
    flows: dict[str, list[int]] = {}
    for request in range(12):
        now = START_US + 10_000 * request
        balancer.handle(now, [request_arrived(request)])
        actions = balancer.handle(
            now + 1000, [load_report(i, 0.3 + 0.02 * request) for i in range(3)]
        )
        sent = actions_of(StartAttempt, actions) or actions_of(
            StartAttempt, balancer.handle(now + 90_000, [])
        )
        for send in sent:
            balancer.handle(
                now + 2000, [ConnectionEstablished(send.request_id, 0, send.server_id, 500)]
            )
            flows.setdefault(send.server_id, []).append(send.request_id)
    busiest = max(flows, key=lambda server: len(flows[server]))
    moves = actions_of(
        MigrateConnection,
        balancer.handle(START_US + 9_000_000, [load_report(int(busiest[1:]), 0.85)]),
    )
    assert moves == []
    moves = actions_of(
        MigrateConnection,
        balancer.handle(START_US + 9_000_000, [load_report(int(busiest[1:]), 1.3)]),
    )
    assert moves
    assert {m.request_id for m in moves} <= set(flows[busiest])
    # Reports show the migrations only after a lag; until then no others follow.
    assert (
        actions_of(
            MigrateConnection,
            balancer.handle(START_US + 9_100_000, [load_report(int(busiest[1:]), 1.3)]),
        )
        == []
    )


def test_clients_of_a_draining_server_are_migrated_over_the_drain_grace() -> None:
    """Without migration, connections are cut when their draining server leaves."""
    balancer = make_balancer(1, drain_grace_us=3_000_000)
    establish_connections(balancer, 40)
    moves = [
        (moved_us, action.request_id)
        for moved_us, action in run_timers(
            balancer,
            balancer.handle(START_US + 100, [S0_DRAINS]),
            START_US + 100,
            START_US + 9_000_000,
        )
        if isinstance(action, MigrateConnection)
    ]
    assert sorted(request for _, request in moves) == list(range(40))
    # The migrations are spread over most of the drain grace, with few in any 100 ms.
    assert moves[-1][0] - moves[0][0] > 1_500_000
    assert (
        max(
            sum(start_us <= moved_us < start_us + 100_000 for moved_us, _ in moves)
            for start_us, _ in moves
        )
        <= 8
    )


def test_server_that_is_ready_again_keeps_its_clients() -> None:
    balancer = make_balancer(1, drain_grace_us=3_000_000)
    establish_connections(balancer, 20)
    actions = balancer.handle(START_US + 100, [S0_DRAINS])
    balancer.handle(
        START_US + 200, [EndpointListUpdate(EndpointListKind.CHANGES, 3, (Endpoint("s0"),))]
    )
    assert (
        actions_of(
            MigrateConnection,
            [a for _, a in run_timers(balancer, actions, START_US + 100, START_US + 9_000_000)],
        )
        == []
    )


def test_connection_established_on_a_draining_server_is_migrated_too() -> None:
    balancer = make_balancer(1, drain_grace_us=3_000_000)
    balancer.handle(START_US, [request_arrived(1)])
    balancer.handle(START_US + 1, [S0_DRAINS])
    actions = balancer.handle(START_US + 2, [ConnectionEstablished(1, 0, "s0", 500)])
    done = run_timers(balancer, actions, START_US + 2, START_US + 9_000_000)
    assert actions_of(MigrateConnection, [a for _, a in done]) == [MigrateConnection(1)]


def test_connection_of_an_unresponsive_server_is_migrated_and_the_server_avoided() -> None:
    """Otherwise clients wait in vain for a hung server, and new ones are sent to it too."""
    balancer = make_balancer(4)
    establish_connections(balancer, 1)
    server = next(s.id for s in balancer.servers.values() if balancer.connections.on_server(s))
    assert actions_of(
        MigrateConnection,
        balancer.handle(START_US + 5, [ServerUnresponsive(0, 0, server, 4_000_000)]),
    ) == [MigrateConnection(0)]
    assert (
        actions_of(
            MigrateConnection,
            balancer.handle(START_US + 6, [ServerUnresponsive(0, 0, server, 4_500_000)]),
        )
        == []
    )
    for request in range(10, 30):
        assert (
            chosen_servers(balancer.handle(START_US + 7, [request_arrived(request)]))[0] != server
        )


def test_draining_proxy_migrates_all_its_connections_in_time() -> None:
    balancer = make_balancer(2)
    establish_connections(balancer, 10)
    balancer.handle(START_US + 50, [request_arrived(10, load=0.01)])
    actions = balancer.handle(START_US + 100, [ProxyDraining(3_000_000)])
    server = balancer.requests[10].server
    assert server is not None
    actions = [
        *actions,
        *balancer.handle(START_US + 101, [ConnectionEstablished(10, 0, server.id, 500)]),
    ]
    done = run_timers(balancer, actions, START_US + 100, START_US + 100 + 2_700_000)
    assert sorted(
        m.request_id for m in actions_of(MigrateConnection, [a for _, a in done])
    ) == list(range(11))


def test_rebalanced_server_is_checked_again_without_arrivals() -> None:
    """If only arrivals trigger checks, a server may stay overloaded after a rebalancing."""
    balancer = make_balancer(3, can_check_health=True)
    sent = [balancer.placement.add_request(request_arrived(i, load=0.1)) for i in range(8)]
    for request in sent:
        request.begin_attempt(balancer.servers["s0"])
    balancer.handle(START_US, [ConnectionEstablished(request.id, 0, "s0", 500) for request in sent])
    actions = balancer.handle(
        START_US + 1, [load_report(1, 0.2), load_report(2, 0.2), load_report(0, 1.3)]
    )
    timers = [TimerFired(timer.timer_id) for timer in actions_of(StartTimer, actions)]
    checks = actions_of(CheckHealth, balancer.handle(START_US + 4_000_000, timers))
    assert [check.server_id for check in checks] == ["s0"]
