"""Small hand-made scenes for the tests; no server is simulated here."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import TypeVar

from larchhaven.routing import interface as api
from larchhaven.routing.balancer import Balancer

A = TypeVar("A")
SECOND = 1_000_000
START = 100 * SECOND

PLAIN = api.Settings(
    classes=(api.RequestClass(aim_us=300_000, deadline_us=1_200_000, message_aim_us=100_000),),
    instances=1,
    index=0,
    drain_grace_us=500_000,
    cold_us=10 * SECOND,
    cold_from=0.3,
    tip_multiple=3.0,
    tip_after_us=2 * SECOND,
    max_attempts=4,
    answer_slack_us=10_000,
    can_cancel=True,
    tells_load=True,
    tells_delay=True,
)


def entries(count: int, **changes: object) -> tuple[api.ServerEntry, ...]:
    return tuple(replace(api.ServerEntry(f"s{i}"), **changes) for i in range(count))  # type: ignore[arg-type]


def fleet(count: int, **changes: object) -> api.FleetList:
    return api.FleetList(api.ListKind.COMPLETE, 1, entries(count, **changes))


def report(server: int, ratio: float) -> api.ProbeResult:
    return api.ProbeResult(f"s{server}", api.Result.OK, 500, api.Report(ratio=ratio))


def arrival(request: int, budget_us: int = 1_200_000, load: float | None = 0.05) -> api.Arrival:
    return api.Arrival(request, 0, budget_us, load=load)


def balancer(count: int = 3, seed: int = 1, **changes: object) -> Balancer:
    made = Balancer(replace(PLAIN, **changes), seed)  # type: ignore[arg-type]
    made.handle(START, [fleet(count)])
    return made


def ended(
    request: int, attempt: int, server: str, result: api.Result, finished: bool = False
) -> api.AttemptEnded:
    return api.AttemptEnded(request, attempt, server, result, 1000, finished)


def of(kind: type[A], actions: Iterable[object]) -> list[A]:
    return [action for action in actions if isinstance(action, kind)]
