"""Placement of affinity groups: a group shares a server unless that overloads the server."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import pytest

from larchhaven.routing.actions import StartAttempt
from larchhaven.routing.events import (
    AttemptResult,
    ClientDisconnected,
    Event,
    HealthCheckCompleted,
    LoadReport,
    RequestArrived,
)
from tests.routing.builders import (
    START_US,
    actions_of,
    checked_servers,
    chosen_servers,
    group_request,
    load_report,
    make_balancer,
)


@pytest.mark.parametrize("proxy_count", [1, 3])
def test_group_stays_together_while_its_server_is_near_the_lowest(proxy_count: int) -> None:
    """Connections of a group share work, which every further server has to repeat.

    If proxies break near ties at random for groups too, groups are spread over many servers. At
    sites of fewer than eight proxies, 29 groups caused a third of all work in this way.
    """
    proxies = [
        make_balancer(12, seed=7 + i, proxy_count=proxy_count, proxy_index=i)
        for i in range(proxy_count)
    ]
    groups_by_server = Counter[str]()
    for group in range(24):
        servers = set()
        for balancer in proxies:
            for step, ratio in enumerate((0.3, 0.5)):  # servers with either ratio are near ties
                balancer.handle(
                    START_US + step, [load_report(i, 0.3 if i % 2 else ratio) for i in range(12)]
                )
                attempts = actions_of(
                    StartAttempt,
                    balancer.handle(START_US + step, [group_request(group, 100 * group + step)]),
                )
                servers.add(attempts[0].server_id)
        assert len(servers) == 1
        groups_by_server.update(servers)
    assert len(groups_by_server) >= 8


def test_group_leaves_a_server_that_is_far_above_the_lowest() -> None:
    """Keeping a group together must not fill its server while others have room."""
    balancer = make_balancer(4)
    balancer.handle(START_US, [load_report(i, 0.1) for i in range(4)])
    first_server = chosen_servers(balancer.handle(START_US, [group_request(5)]))[0]
    balancer.handle(START_US + 1, [load_report(int(first_server[1:]), 0.6)])
    second_server = chosen_servers(balancer.handle(START_US + 2, [group_request(5, 2)]))[0]
    assert second_server != first_server
    balancer.handle(START_US + 5_000_000, [load_report(int(first_server[1:]), 0.1)])
    assert (
        chosen_servers(balancer.handle(START_US + 5_000_001, [group_request(5, 3)]))[0]
        == first_server
    )


def test_group_tries_its_next_server_while_health_checks_show_high_load() -> None:
    """With few load reports, each candidate of a group must be checked.

    If only the first is checked and its load is high, the request goes to a server of unknown load.
    """
    balancer = make_balancer(12, can_check_health=True)
    balancer.handle(START_US, [load_report(i, 0.1) for i in range(12)])
    for request in range(1, 9):  # arrivals earn credit for health checks
        balancer.handle(
            START_US,
            [
                RequestArrived(request, 0, 1_200_000, load=0.001, pinned_server_id="s0"),
                ClientDisconnected(request),
            ],
        )
    order, now = list[str](), START_US + 1_000_000
    checked = checked_servers(balancer.handle(now, [group_request(5, 20)]))[:1]
    while checked and len(order) < 12:
        now, order = now + 1000, order + checked
        ratio = 0.7 if len(order) < 3 else 0.2
        actions = balancer.handle(
            now,
            [HealthCheckCompleted(checked[0], AttemptResult.OK, 500, LoadReport(load_ratio=ratio))],
        )
        checked = checked_servers(actions)
    assert len(set(order)) == len(order) == 3
    assert chosen_servers(actions) == order[-1:]
    # The group's next request checks the server of the first one, and is placed there.
    check_actions = balancer.handle(now + 1, [group_request(5, 21)])
    assert checked_servers(check_actions)[:1] == order[-1:]
    placement_actions = balancer.handle(
        now + 2,
        [HealthCheckCompleted(order[-1], AttemptResult.OK, 500, LoadReport(load_ratio=0.3))],
    )
    assert chosen_servers(placement_actions) == order[-1:]


def place_after_checks(
    ratios: Sequence[float], *events: Event
) -> tuple[list[str], list[StartAttempt]]:
    """Place a request of a group among servers of unknown load.

    Args:
        ratios: The load ratios that the health checks report, in order.
        events: Events that precede the request in its batch.

    Returns:
        The checked servers and the attempts of the request.
    """
    balancer = make_balancer(12, can_check_health=True)
    # Only these two servers have reports; for the others, the mean of these reports is assumed.
    balancer.handle(START_US, [load_report(i, 0.1) for i in range(2, 4)])
    for request in range(1, 9):  # arrivals earn credit for health checks
        balancer.handle(
            START_US,
            [
                RequestArrived(request, 0, 1_200_000, load=0.001, pinned_server_id="s2"),
                ClientDisconnected(request),
            ],
        )
    order, actions = list[str](), balancer.handle(START_US + 100, [*events, group_request(9, 20)])
    for step, ratio in enumerate(ratios):
        order += checked_servers(actions)[:1]
        completed = HealthCheckCompleted(
            order[-1], AttemptResult.OK, 500, LoadReport(load_ratio=ratio)
        )
        actions = balancer.handle(START_US + 1000 * (step + 1), [completed])
    return order, actions_of(StartAttempt, actions)


def test_group_is_placed_on_the_lowest_checked_server_not_on_an_unknown_one() -> None:
    """Proxies that lack a server's report can overload it together.

    One server without reports got 50 connections within three seconds, and shed them.
    """
    order, attempts = place_after_checks([0.8, 0.7, 0.75])
    assert len(set(order)) == 3
    assert [each.server_id for each in attempts] == [order[1]]


def test_group_uses_its_next_server_without_a_check_if_that_has_a_report() -> None:
    """A checked but full server must not be preferred to the next one, whose report is lower.

    In small fleets the proxy has a report of each server, so the next one needs no check.
    """
    order, attempts = place_after_checks([0.8, 0.4])
    assert [each.server_id for each in attempts] == order[1:]
    report = HealthCheckCompleted(order[1], AttemptResult.OK, 500, LoadReport(load_ratio=0.4))
    assert [each.server_id for each in place_after_checks([0.8], report)[1]] == order[1:]


def test_full_servers_are_not_near_ties_of_a_group() -> None:
    """A group must not be sent to a server above 0.85, which rejects it while others have room."""
    for group in range(24):
        balancer = make_balancer(6)
        balancer.handle(START_US, [load_report(i, 0.5 if i % 2 else 0.88) for i in range(6)])
        attempts = actions_of(StartAttempt, balancer.handle(START_US + 1, [group_request(group)]))
        assert [int(each.server_id[1:]) % 2 for each in attempts] == [1]
