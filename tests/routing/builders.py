"""Builders of events, settings and balancers for unit tests; they simulate no servers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import TypeVar

from larchhaven.gossip.codec import decode, encode
from larchhaven.routing.actions import (
    CheckHealth,
    RejectRequest,
    SendGossip,
    StartAttempt,
    StartTimer,
)
from larchhaven.routing.balancer import Balancer
from larchhaven.routing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionEstablished,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    GossipReceived,
    HealthCheckCompleted,
    LoadReport,
    RequestArrived,
    TimerFired,
)
from larchhaven.routing.gossip_messages import GossipMessage
from larchhaven.routing.settings import RequestClass, RoutingSettings

ActionT = TypeVar("ActionT")

SECOND_US = 1_000_000
START_US = 100 * SECOND_US

BASIC_SETTINGS = RoutingSettings(
    classes=(
        RequestClass(
            latency_objective_us=300_000,
            deadline_us=1_200_000,
            message_latency_objective_us=100_000,
        ),
    ),
    proxy_count=1,
    proxy_index=0,
    drain_grace_us=500_000,
    slow_start_us=10 * SECOND_US,
    slow_start_initial_fraction=0.3,
    collapse_multiple=3.0,
    collapse_delay_us=2 * SECOND_US,
    max_attempts=4,
    response_slack_us=10_000,
    can_cancel=True,
    has_load_updates=True,
    has_delay_updates=True,
)


def endpoints(count: int, **changes: object) -> tuple[Endpoint, ...]:
    """Return endpoints for the servers s0, s1 and so on, with the given field values."""
    names = (f"s{i}" for i in range(count))
    return tuple(replace(Endpoint(name), **changes) for name in names)  # type: ignore[arg-type]


def endpoint_list(count: int, **changes: object) -> EndpointListUpdate:
    """Return an update with the complete list of ``endpoints``."""
    return EndpointListUpdate(EndpointListKind.COMPLETE, 1, endpoints(count, **changes))


def load_report(server: int, ratio: float) -> HealthCheckCompleted:
    """Return a health check that reports a load ratio for a server."""
    return HealthCheckCompleted(f"s{server}", AttemptResult.OK, 500, LoadReport(load_ratio=ratio))


def request_arrived(
    request: int, budget_us: int = 1_200_000, load: float | None = 0.05
) -> RequestArrived:
    """Return the arrival of a request of the only class."""
    return RequestArrived(request, 0, budget_us, load=load)


def make_balancer(count: int = 3, seed: int = 1, **changes: object) -> Balancer:
    """Return a balancer that received a list of the servers s0, s1 and so on at ``START_US``."""
    balancer = Balancer(replace(BASIC_SETTINGS, **changes), seed)  # type: ignore[arg-type]
    balancer.handle(START_US, [endpoint_list(count)])
    return balancer


def attempt_ended(
    request: int, attempt: int, server: str, result: AttemptResult, finished: bool = False
) -> AttemptEnded:
    """Return the end of an attempt that took one millisecond."""
    return AttemptEnded(request, attempt, server, result, 1000, finished)


def actions_of(kind: type[ActionT], actions: Iterable[object]) -> list[ActionT]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def chosen_servers(actions: Iterable[object]) -> list[str]:
    """Return the servers of the started attempts, in order."""
    return [action.server_id for action in actions_of(StartAttempt, actions)]


def checked_servers(actions: Iterable[object]) -> list[str]:
    """Return the servers of the health checks, in order."""
    return [action.server_id for action in actions_of(CheckHealth, actions)]


def rejected_requests(actions: Iterable[object]) -> list[int]:
    """Return the ids of the rejected requests."""
    return [action.request_id for action in actions_of(RejectRequest, actions)]


def group_request(group: int, request: int = 1) -> RequestArrived:
    """Return the arrival of a request of an affinity group."""
    return RequestArrived(request, 0, 1_200_000, load=0.01, affinity_group=group)


def establish_connections(balancer: Balancer, count: int) -> None:
    """Place requests with a balancer, and establish their connections."""
    for request in range(count):
        now_us = START_US + request
        actions = balancer.handle(now_us, [request_arrived(request, load=0.01)])
        server = chosen_servers(actions)[0]
        balancer.handle(now_us, [ConnectionEstablished(request, 0, server, 500)])


def run_timers(
    balancer: Balancer, actions: Iterable[object], now_us: int, end_us: int
) -> list[tuple[int, object]]:
    """Fire the timers that are due by ``end_us`` in order; return each action with its time."""
    due = [(now_us + t.delay_us, t.timer_id) for t in actions_of(StartTimer, actions)]
    timed_actions: list[tuple[int, object]] = []
    while due and min(due)[0] <= end_us:
        due.sort()
        at_us, timer_id = due.pop(0)
        emitted = balancer.handle(at_us, [TimerFired(timer_id)])
        due += [(at_us + t.delay_us, t.timer_id) for t in actions_of(StartTimer, emitted)]
        timed_actions += [(at_us, action) for action in emitted]
    return timed_actions


def zeroed_message(message: GossipMessage) -> GossipMessage:
    """Return a message of the same kind and size whose content is all zero bytes."""
    data = encode(message)
    return decode(data[:1] + bytes(len(data) - 1))


def gossip_from(sender: int, actions: Iterable[object]) -> list[GossipReceived]:
    """Return the gossip among a proxy's actions, as its peers receive it."""
    return [GossipReceived(sender, sent.message) for sent in actions_of(SendGossip, actions)]
