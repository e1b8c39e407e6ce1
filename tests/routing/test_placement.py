"""Placement: requests are sent to a server, held, or rejected."""

from __future__ import annotations

from larchhaven.routing.actions import RejectRequest, StartAttempt, StartTimer
from larchhaven.routing.events import AttemptResult, RequestArrived, ServerState, TimerFired
from tests.routing.builders import (
    START_US,
    actions_of,
    attempt_ended,
    chosen_servers,
    endpoint_list,
    load_report,
    make_balancer,
    request_arrived,
)


def test_request_without_any_server_is_held_and_rejected_in_time() -> None:
    balancer = make_balancer(0)
    actions = list(balancer.handle(START_US, [request_arrived(1)]))
    now = START_US
    for _ in range(100):
        timers = actions_of(StartTimer, actions)
        if not timers:
            break
        now += timers[0].delay_us
        actions = list(balancer.handle(now, [TimerFired(t.timer_id) for t in timers]))
    assert actions == [RejectRequest(1)]
    assert now <= START_US + 1_200_000


def test_request_that_every_server_rejected_is_rejected_at_once() -> None:
    """Holding the request until its deadline is pointless, as no server is left to try."""
    balancer = make_balancer(2)
    first = chosen_servers(balancer.handle(START_US, [request_arrived(1)]))[0]
    second = chosen_servers(
        balancer.handle(START_US + 1, [attempt_ended(1, 0, first, AttemptResult.OVERLOADED)])
    )[0]
    assert actions_of(
        RejectRequest,
        balancer.handle(START_US + 2, [attempt_ended(1, 1, second, AttemptResult.OVERLOADED)]),
    ) == [RejectRequest(1)]


def test_pinned_connection_goes_to_its_server_or_waits_for_it() -> None:
    """The connection is already open at its server; any other server would reset it."""
    balancer = make_balancer(3)
    balancer.handle(START_US, [load_report(0, 0.1), load_report(1, 0.9), load_report(2, 0.1)])
    pinned = RequestArrived(1, 0, 1_200_000, pinned_server_id="s1")
    assert chosen_servers(balancer.handle(START_US + 1, [pinned])) == ["s1"]
    unknown = RequestArrived(2, 0, 1_200_000, pinned_server_id="s9")
    actions = balancer.handle(START_US + 2, [unknown])
    assert actions_of(StartAttempt, actions) == []
    assert actions_of(StartTimer, actions)


def test_retry_is_not_placed_on_a_server_that_it_would_overload() -> None:
    """A retry on the last untried server, however full, would harm its connections."""
    balancer = make_balancer(3)
    balancer.handle(START_US, [load_report(0, 0.2), load_report(1, 0.2), load_report(2, 0.95)])
    first = chosen_servers(balancer.handle(START_US, [request_arrived(1)]))[0]
    second = chosen_servers(
        balancer.handle(START_US + 1, [attempt_ended(1, 0, first, AttemptResult.OVERLOADED)])
    )[0]
    assert {first, second} == {"s0", "s1"}
    actions = balancer.handle(START_US + 2, [attempt_ended(1, 1, second, AttemptResult.OVERLOADED)])
    assert actions_of(StartAttempt, actions) == []
    assert actions_of(RejectRequest, actions) != []
    # A server without a report is tried, even if the only report is that of a full server.
    balancer = make_balancer(2)
    balancer.handle(START_US, [load_report(0, 0.2)])
    assert chosen_servers(balancer.handle(START_US, [request_arrived(1)]))[0] == "s0"
    actions = balancer.handle(
        START_US + 1, [load_report(0, 0.95), attempt_ended(1, 0, "s0", AttemptResult.OVERLOADED)]
    )
    assert chosen_servers(actions) == ["s1"]


def test_draining_server_gets_no_requests_even_when_alone() -> None:
    balancer = make_balancer(1)
    balancer.handle(START_US, [endpoint_list(1, state=ServerState.DRAINING)])
    assert actions_of(StartAttempt, balancer.handle(START_US + 1, [request_arrived(1)])) == []
