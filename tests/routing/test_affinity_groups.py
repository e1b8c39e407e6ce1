"""The near ties of affinity groups: a group stays together while that fills no server."""

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
    """Guards the work that a group shares: scattered, 29 groups made a third of all work.

    Below eight proxies the ties were once broken at random, for a group too.
    """
    proxies = [
        make_balancer(12, seed=7 + i, proxy_count=proxy_count, proxy_index=i)
        for i in range(proxy_count)
    ]
    drawn = Counter[str]()
    for group in range(24):
        servers = set()
        for balancer in proxies:
            for step, ratio in enumerate((0.3, 0.5)):  # near enough, whatever it is
                balancer.handle(
                    START_US + step, [load_report(i, 0.3 if i % 2 else ratio) for i in range(12)]
                )
                sent = actions_of(
                    StartAttempt,
                    balancer.handle(START_US + step, [group_request(group, 100 * group + step)]),
                )
                servers.add(sent[0].server_id)
        assert len(servers) == 1
        drawn.update(servers)
    assert len(drawn) >= 8


def test_group_leaves_a_server_that_is_far_above_the_lowest() -> None:
    """Guards least ratio routing: what a group saves must not fill its server before the others."""
    balancer = make_balancer(4)
    balancer.handle(START_US, [load_report(i, 0.1) for i in range(4)])
    home = chosen_servers(balancer.handle(START_US, [group_request(5)]))[0]
    balancer.handle(START_US + 1, [load_report(int(home[1:]), 0.6)])
    other = chosen_servers(balancer.handle(START_US + 2, [group_request(5, 2)]))[0]
    assert other != home
    balancer.handle(START_US + 5_000_000, [load_report(int(home[1:]), 0.1)])
    assert chosen_servers(balancer.handle(START_US + 5_000_001, [group_request(5, 3)]))[0] == home


def test_group_goes_on_to_its_next_server_while_checks_show_that_one_is_far_above() -> None:
    """Guards groups where few reports are known: after one check the next server went unseen."""
    balancer = make_balancer(12, can_check_health=True)
    balancer.handle(START_US, [load_report(i, 0.1) for i in range(12)])
    for i in range(1, 9):  # what health checks may cost is saved up
        balancer.handle(
            START_US,
            [
                RequestArrived(i, 0, 1_200_000, load=0.001, pinned_server_id="s0"),
                ClientDisconnected(i),
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
    # The next of the group begins where the first ended up, and stays there.
    begun = balancer.handle(now + 1, [group_request(5, 21)])
    assert checked_servers(begun)[:1] == order[-1:]
    done = balancer.handle(
        now + 2,
        [HealthCheckCompleted(order[-1], AttemptResult.OK, 500, LoadReport(load_ratio=0.3))],
    )
    assert chosen_servers(done) == order[-1:]


def place_after_checks(
    ratios: Sequence[float], *known: Event
) -> tuple[list[str], list[StartAttempt]]:
    """Place a group's request among unknown servers; return those checked, and its attempts."""
    balancer = make_balancer(12, can_check_health=True)
    # The lowest; the mean stands for the others.
    balancer.handle(START_US, [load_report(i, 0.1) for i in range(2, 4)])
    for i in range(1, 9):  # what health checks may cost is saved up
        balancer.handle(
            START_US,
            [
                RequestArrived(i, 0, 1_200_000, load=0.001, pinned_server_id="s2"),
                ClientDisconnected(i),
            ],
        )
    order, actions = list[str](), balancer.handle(START_US + 100, [*known, group_request(9, 20)])
    for step, ratio in enumerate(ratios):
        order += checked_servers(actions)[:1]
        completed = HealthCheckCompleted(
            order[-1], AttemptResult.OK, 500, LoadReport(load_ratio=ratio)
        )
        actions = balancer.handle(START_US + 1000 * (step + 1), [completed])
    return order, actions_of(StartAttempt, actions)


def test_group_is_placed_on_the_lowest_checked_server_not_on_an_unknown_one() -> None:
    """Guards servers that few know: 50 connections met on one in three seconds; it shed them."""
    order, sent = place_after_checks([0.8, 0.7, 0.75])
    assert len(set(order)) == 3
    assert [s.server_id for s in sent] == [order[1]]


def test_group_takes_its_next_server_unchecked_where_that_has_a_report() -> None:
    """Guards small fleets, where all is known: a full server that was checked came before."""
    order, sent = place_after_checks([0.8, 0.4])
    assert [s.server_id for s in sent] == order[1:]
    known = HealthCheckCompleted(order[1], AttemptResult.OK, 500, LoadReport(load_ratio=0.4))
    assert [s.server_id for s in place_after_checks([0.8], known)[1]] == order[1:]


def test_near_ties_of_a_group_end_where_a_server_is_full() -> None:
    """Guards against rejections while others have room: one over 0.85 was in the band."""
    for group in range(24):
        balancer = make_balancer(6)
        balancer.handle(START_US, [load_report(i, 0.5 if i % 2 else 0.88) for i in range(6)])
        sent = actions_of(StartAttempt, balancer.handle(START_US + 1, [group_request(group)]))
        assert [int(s.server_id[1:]) % 2 for s in sent] == [1]
