"""The end of attempts, and events that refer to unknown requests, servers or timers."""

from __future__ import annotations

import pytest

from larchhaven.routing.actions import CancelAttempt, StartAttempt
from larchhaven.routing.events import (
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HealthCheckCompleted,
    LoadReport,
    MessageDelayObserved,
    TimerFired,
)
from larchhaven.routing.gossip_messages import UnrecognizedMessage
from tests.routing.builders import (
    START_US,
    actions_of,
    attempt_ended,
    chosen_servers,
    make_balancer,
    request_arrived,
)


def test_request_of_a_disconnected_client_is_cancelled_and_not_retried() -> None:
    balancer = make_balancer(2)
    balancer.handle(START_US, [request_arrived(1)])
    assert balancer.handle(START_US + 1, [ClientDisconnected(1)]) == [CancelAttempt(1, 0)]
    assert (
        actions_of(
            StartAttempt,
            balancer.handle(
                START_US + 2, [attempt_ended(1, 0, "s0", AttemptResult.CANCELLED, True)]
            ),
        )
        == []
    )


@pytest.mark.parametrize("result", [r for r in AttemptResult if r is not AttemptResult.OK])
def test_every_failed_attempt_is_retried_once_at_another_server(result: AttemptResult) -> None:
    balancer = make_balancer(3)
    server = chosen_servers(balancer.handle(START_US, [request_arrived(1)]))[0]
    actions = balancer.handle(START_US + 2000, [attempt_ended(1, 0, server, result)])
    attempts = actions_of(StartAttempt, actions)
    assert len(attempts) == 1
    assert attempts[0].server_id != server


def test_unexpected_but_valid_events_are_harmless() -> None:
    balancer = make_balancer(2)
    events: list[Event] = [
        ClientDisconnected(99),
        attempt_ended(99, 0, "nowhere", AttemptResult.RESET),
        ConnectionEstablished(99, 0, "s0", 1),
        ConnectionLoadChanged(99, 0, "s0", 0.1),
        MessageDelayObserved(99, 0, "nowhere", 1e6),
        TimerFired(12345),
        HealthCheckCompleted("nowhere", AttemptResult.OK, 1, LoadReport(load_ratio=0.2)),
        GossipReceived(3, UnrecognizedMessage(b"?")),
        HealthCheckCompleted("s0", AttemptResult.OK, 1, LoadReport()),
        EndpointListUpdate(EndpointListKind.COMPLETE),
    ]
    assert actions_of(StartAttempt, balancer.handle(START_US + 1, events)) == []
    assert list(balancer.handle(START_US + 2, [])) == []
