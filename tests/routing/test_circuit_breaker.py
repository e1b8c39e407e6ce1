"""Circuit breaker: consecutive failed set-ups pace further attempts."""

from __future__ import annotations

from larchhaven.routing.actions import StartAttempt
from larchhaven.routing.events import AttemptResult
from tests.routing.builders import (
    START_US,
    actions_of,
    attempt_ended,
    make_balancer,
    request_arrived,
)


def test_consecutive_failures_pace_further_attempts() -> None:
    """Without pacing, each failure on a slow shared store causes another attempt: a retry storm."""
    balancer = make_balancer(6)
    arrivals = [request_arrived(request) for request in (1, 2, 3)]
    attempts = len(actions_of(StartAttempt, balancer.handle(START_US, arrivals)))
    now = START_US
    for request in (1, 2, 3):
        now += 1000
        server = f"s{request}"
        failed = attempt_ended(request, 0, server, AttemptResult.ERROR)
        attempts += len(actions_of(StartAttempt, balancer.handle(now, [failed])))
    assert attempts == 4  # three first attempts and one retry; the other retries wait
