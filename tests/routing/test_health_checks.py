"""Health checks: which servers are checked, and when."""

from __future__ import annotations

from larchhaven.routing.actions import CheckHealth, RejectRequest, StartAttempt, StartTimer
from larchhaven.routing.events import (
    AdministrativeEjection,
    AttemptResult,
    HealthCheckCompleted,
    LoadReport,
    ServerState,
)
from tests.routing.builders import (
    START_US,
    actions_of,
    endpoint_list,
    group_request,
    load_report,
    make_balancer,
    request_arrived,
)


def test_no_server_is_checked_when_checks_are_not_allowed() -> None:
    balancer = make_balancer(3, can_check_health=False)
    balancer.handle(START_US, [load_report(i, 0.9) for i in range(3)])
    batches = [
        balancer.handle(START_US + n, [request_arrived(n, load=0.001), group_request(5, 100 + n)])
        for n in range(1, 20)
    ]
    assert not any(actions_of(CheckHealth, actions) for actions in batches)


def test_server_far_down_the_ranking_is_still_checked() -> None:
    """If only the least loaded servers are checked, an overload of others goes unnoticed."""
    balancer = make_balancer(6, can_check_health=True)
    balancer.handle(START_US, [load_report(i, 0.1 if i == 0 else 0.6) for i in range(6)])
    checked: set[str] = set()
    for request in range(12):
        now = START_US + 200_000 * (request + 1)
        for check in actions_of(
            CheckHealth, balancer.handle(now, [request_arrived(request, load=0.001)])
        ):
            checked.add(check.server_id)
            ratio = 0.1 if check.server_id == "s0" else 0.6
            balancer.handle(
                now + 1,
                [
                    HealthCheckCompleted(
                        check.server_id, AttemptResult.OK, 1, LoadReport(load_ratio=ratio)
                    )
                ],
            )
    assert checked == {f"s{i}" for i in range(6)}


def test_arrival_without_servers_is_held_when_the_check_credit_is_negative() -> None:
    """Servers returned by operators are checked at once, which may make the credit negative.

    If the negative credit is taken as a number of checks, a draw from no servers raises IndexError.
    """
    balancer = make_balancer(2, can_check_health=True)
    for _ in range(10):
        for server in ("s0", "s1"):
            balancer.handle(START_US + 1, [AdministrativeEjection(server, True)])
            balancer.handle(START_US + 1, [AdministrativeEjection(server, False)])
    actions = balancer.handle(
        START_US + 2, [endpoint_list(2, state=ServerState.DRAINING), request_arrived(1)]
    )
    assert len(actions_of(StartTimer, actions)) == 1
    assert actions_of(StartAttempt, actions) == []
    assert actions_of(RejectRequest, actions) == []
