"""Connection affinity: mid-flow connections find their server, also through another proxy."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest

from larchhaven.gossip.codec import decode, encode
from larchhaven.routing.actions import (
    Action,
    MigrateConnection,
    SendGossip,
    StartAttempt,
    StartTimer,
)
from larchhaven.routing.balancer import Balancer
from larchhaven.routing.events import (
    AdministrativeEjection,
    AttemptResult,
    ConnectionEstablished,
    ConnectionRestored,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    GossipReceived,
    RequestArrived,
    ServerState,
    TimerFired,
)
from larchhaven.routing.gossip_messages import ProxyStarted
from tests.routing.builders import (
    BASIC_SETTINGS,
    START_US,
    actions_of,
    attempt_ended,
    chosen_servers,
    endpoint_list,
    gossip_from,
    load_report,
    make_balancer,
    request_arrived,
)

MID_FLOW = replace(request_arrived(9), affinity_key=0x7F3A9C21E0B4D655, is_mid_flow=True)


def make_pair() -> tuple[Balancer, Balancer]:
    """Return the two proxies of a pass-through site with the same three servers."""
    pair = [
        Balancer(
            replace(
                BASIC_SETTINGS, pass_through=True, can_gossip=True, proxy_count=2, proxy_index=i
            ),
            seed=1,
        )
        for i in (0, 1)
    ]
    for balancer in pair:
        actions = balancer.handle(START_US, [endpoint_list(3)])
        assert actions_of(SendGossip, actions)[0].message == ProxyStarted()
    return pair[0], pair[1]


def establish_flow(balancer: Balancer, request: int) -> tuple[str, Sequence[Action]]:
    """Establish the connection of ``MID_FLOW``; return its server and the actions that follow."""
    attempt = actions_of(
        StartAttempt,
        balancer.handle(START_US + 1, [replace(MID_FLOW, request_id=request, is_mid_flow=False)]),
    )[0]
    return attempt.server_id, balancer.handle(
        START_US + 2, [ConnectionEstablished(request, 0, attempt.server_id, 500)]
    )


def test_mid_flow_connection_returns_to_its_server_while_that_is_usable() -> None:
    """Packets of a connection may take another path for a while and then come back to this proxy.

    If the proxy places the connection on another server, that server resets it.
    """
    balancer = make_balancer(3, idle_park_us=5_000_000)
    balancer.handle(START_US, [load_report(i, 0.2 + 0.1 * i) for i in range(3)])
    balancer.handle(START_US + 1, [RequestArrived(1, 0, 1_200_000, affinity_key=42, load=0.01)])
    balancer.handle(START_US + 2, [ConnectionEstablished(1, 0, "s0", 500)])
    balancer.handle(
        START_US + 3,
        [attempt_ended(1, 0, "s0", AttemptResult.CANCELLED, True), load_report(0, 0.6)],
    )
    returning = RequestArrived(2, 0, 1_200_000, affinity_key=42, load=0.01, is_mid_flow=True)
    assert chosen_servers(balancer.handle(START_US + 4, [returning])) == ["s0"]
    draining = EndpointListUpdate(
        EndpointListKind.CHANGES, 2, (Endpoint("s0", ServerState.DRAINING),)
    )
    balancer.handle(
        START_US + 5, [draining, attempt_ended(2, 0, "s0", AttemptResult.CANCELLED, True)]
    )
    after_grace_us = START_US + 5 + balancer.settings.drain_grace_us
    returning_late = RequestArrived(3, 0, 1_200_000, affinity_key=42, load=0.01, is_mid_flow=True)
    assert chosen_servers(balancer.handle(after_grace_us, [returning_late])) == ["s1"]


@pytest.mark.parametrize("entry_source", ["notified", "queried", "notified at the start"])
def test_mid_flow_connection_finds_its_server_through_another_proxy(entry_source: str) -> None:
    """When a proxy restarts, its connections reach another proxy mid-flow.

    They are reset if that proxy has no sticky entries for them.
    """
    first, second = make_pair()
    server, actions = establish_flow(first, 1)
    assert [sent.peer_index for sent in actions_of(SendGossip, actions)] == [1]
    if entry_source == "notified":
        second.handle(START_US + 3, gossip_from(0, actions))
    if entry_source == "notified at the start":
        second.handle(
            START_US + 3,
            gossip_from(0, first.handle(START_US + 3, [GossipReceived(1, ProxyStarted())])),
        )
    actions = second.handle(START_US + 4, [MID_FLOW])
    if entry_source == "queried":
        assert actions_of(StartAttempt, actions) == []
        actions = second.handle(
            START_US + 6, gossip_from(0, first.handle(START_US + 5, gossip_from(1, actions)))
        )
    assert chosen_servers(actions) == [server]


def test_unknown_mid_flow_connection_waits_briefly_and_is_placed_as_new() -> None:
    _, second = make_pair()
    actions = second.handle(START_US + 4, [MID_FLOW])
    wait = actions_of(StartTimer, actions)[-1]
    assert actions_of(StartAttempt, actions) == []
    assert wait.delay_us <= 150_000
    actions = second.handle(START_US + 200_000, [TimerFired(wait.timer_id)])
    assert len(actions_of(StartAttempt, actions)) == 1


@pytest.mark.parametrize(
    "data", [b"", b"?", b"Q", b"Qxxxx", b"Q" + 255 * b"x", b"H", b"H12345", b"\0" * 256]
)
def test_malformed_message_from_a_peer_is_harmless(data: bytes) -> None:
    _, second = make_pair()
    actions = second.handle(START_US + 3, [GossipReceived(0, decode(data))])
    assert actions_of(SendGossip, actions) == []
    second.handle(START_US + 4, [MID_FLOW])


def test_sticky_entries_are_split_into_messages_that_fit_a_datagram() -> None:
    first, second = make_pair()
    for request in range(100):
        first.handle(
            START_US,
            [
                replace(
                    MID_FLOW, request_id=request, affinity_key=request, is_mid_flow=False, load=1e-4
                )
            ],
        )
        first.handle(START_US, [ConnectionEstablished(request, 0, "s0", 500)] if request else [])
    messages = gossip_from(0, first.handle(START_US + 3, [GossipReceived(1, ProxyStarted())]))
    assert len(messages) == 3
    assert max(len(encode(message.message)) for message in messages) <= 256
    second.handle(START_US + 4, messages)
    assert len(second.sticky_table) == 99


def test_restored_connection_is_replicated_and_migrated_like_any_other() -> None:
    balancer = make_balancer(2, proxy_count=2, can_gossip=True, pass_through=True)
    balancer.handle(START_US, [])
    restored = ConnectionRestored(replace(request_arrived(1), affinity_key=77), "s1")
    gossip = actions_of(SendGossip, balancer.handle(START_US + 1, [restored]))
    assert [encode(sent.message)[:1] for sent in gossip] == [b"H"]
    mid_flow = replace(request_arrived(2), affinity_key=77, is_mid_flow=True)
    assert chosen_servers(balancer.handle(START_US + 2, [mid_flow])) == ["s1"]
    actions = balancer.handle(START_US + 3, [AdministrativeEjection("s1", True)])
    timers = [TimerFired(timer.timer_id) for timer in actions_of(StartTimer, actions)]
    assert MigrateConnection(1) in balancer.handle(START_US + 6_000_000, timers)
