"""Small hand-made scenes for the tests; no server is simulated here."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import TypeVar

from larchhaven.routing.balancer import Balancer
from larchhaven.routing.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    HealthCheckCompleted,
    LoadReport,
    RequestArrived,
)
from larchhaven.routing.settings import RequestClass, RoutingSettings

A = TypeVar("A")
SECOND = 1_000_000
START = 100 * SECOND

PLAIN = RoutingSettings(
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
    slow_start_us=10 * SECOND,
    slow_start_initial_fraction=0.3,
    collapse_multiple=3.0,
    collapse_delay_us=2 * SECOND,
    max_attempts=4,
    response_slack_us=10_000,
    can_cancel=True,
    has_load_updates=True,
    has_delay_updates=True,
)


def entries(count: int, **changes: object) -> tuple[Endpoint, ...]:
    return tuple(replace(Endpoint(f"s{i}"), **changes) for i in range(count))  # type: ignore[arg-type]


def fleet(count: int, **changes: object) -> EndpointListUpdate:
    return EndpointListUpdate(EndpointListKind.COMPLETE, 1, entries(count, **changes))


def report(server: int, ratio: float) -> HealthCheckCompleted:
    return HealthCheckCompleted(f"s{server}", AttemptResult.OK, 500, LoadReport(load_ratio=ratio))


def arrival(request: int, budget_us: int = 1_200_000, load: float | None = 0.05) -> RequestArrived:
    return RequestArrived(request, 0, budget_us, load=load)


def balancer(count: int = 3, seed: int = 1, **changes: object) -> Balancer:
    made = Balancer(replace(PLAIN, **changes), seed)  # type: ignore[arg-type]
    made.handle(START, [fleet(count)])
    return made


def ended(
    request: int, attempt: int, server: str, result: AttemptResult, finished: bool = False
) -> AttemptEnded:
    return AttemptEnded(request, attempt, server, result, 1000, finished)


def of(kind: type[A], actions: Iterable[object]) -> list[A]:
    return [action for action in actions if isinstance(action, kind)]
