"""Hand-made events, settings and balancers; no server is simulated here."""

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

A = TypeVar("A")

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
    """Return the servers s0, s1 and so on, with changes to their entries."""
    names = (f"s{i}" for i in range(count))
    return tuple(replace(Endpoint(name), **changes) for name in names)  # type: ignore[arg-type]


def endpoint_list(count: int, **changes: object) -> EndpointListUpdate:
    """Return the complete list of ``endpoints``."""
    return EndpointListUpdate(EndpointListKind.COMPLETE, 1, endpoints(count, **changes))


def load_report(server: int, ratio: float) -> HealthCheckCompleted:
    """Return a health check that reports a server's load over capacity."""
    return HealthCheckCompleted(f"s{server}", AttemptResult.OK, 500, LoadReport(load_ratio=ratio))


def request_arrived(
    request: int, budget_us: int = 1_200_000, load: float | None = 0.05
) -> RequestArrived:
    """Return the arrival of a request of the only class."""
    return RequestArrived(request, 0, budget_us, load=load)


def make_balancer(count: int = 3, seed: int = 1, **changes: object) -> Balancer:
    """Return a balancer that knows the servers s0, s1 and so on since ``START_US``."""
    made = Balancer(replace(BASIC_SETTINGS, **changes), seed)  # type: ignore[arg-type]
    made.handle(START_US, [endpoint_list(count)])
    return made


def attempt_ended(
    request: int, attempt: int, server: str, result: AttemptResult, finished: bool = False
) -> AttemptEnded:
    """Return the end of an attempt after a millisecond."""
    return AttemptEnded(request, attempt, server, result, 1000, finished)


def actions_of(kind: type[A], actions: Iterable[object]) -> list[A]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def chosen_servers(actions: Iterable[object]) -> list[str]:
    """Return the servers that attempts go to."""
    return [action.server_id for action in actions_of(StartAttempt, actions)]


def checked_servers(actions: Iterable[object]) -> list[str]:
    """Return the servers that are health-checked."""
    return [action.server_id for action in actions_of(CheckHealth, actions)]


def rejected_requests(actions: Iterable[object]) -> list[int]:
    """Return the requests that are rejected."""
    return [action.request_id for action in actions_of(RejectRequest, actions)]


def group_request(group: int, request: int = 1) -> RequestArrived:
    """Return the arrival of a request of an affinity group."""
    return RequestArrived(request, 0, 1_200_000, load=0.01, affinity_group=group)


def establish_connections(balancer: Balancer, count: int) -> None:
    """Have a balancer place requests, and establish their connections."""
    for request in range(count):
        now_us = START_US + request
        actions = balancer.handle(now_us, [request_arrived(request, load=0.01)])
        server = chosen_servers(actions)[0]
        balancer.handle(now_us, [ConnectionEstablished(request, 0, server, 500)])


def run_timers(
    balancer: Balancer, actions: Iterable[object], now: int, end: int
) -> list[tuple[int, object]]:
    """Fire all timers until an end, in order, and return the actions behind their times."""
    due = [(now + t.delay_us, t.timer_id) for t in actions_of(StartTimer, actions)]
    done: list[tuple[int, object]] = []
    while due and min(due)[0] <= end:
        due.sort()
        at, token = due.pop(0)
        made = balancer.handle(at, [TimerFired(token)])
        due += [(at + t.delay_us, t.timer_id) for t in actions_of(StartTimer, made)]
        done += [(at, action) for action in made]
    return done


def zeroed_message(message: GossipMessage) -> GossipMessage:
    """Return a message of the same kind and size with nothing but zeros in it."""
    data = encode(message)
    return decode(data[:1] + bytes(len(data) - 1))


def gossip_from(sender: int, actions: Iterable[object]) -> list[GossipReceived]:
    """Return what a proxy sends to others, as they receive it."""
    return [GossipReceived(sender, sent.message) for sent in actions_of(SendGossip, actions)]
