"""Gossip between predecessor and successor at a hot restart."""

from __future__ import annotations

from larchhaven.routing.actions import SendGossip, StartAttempt
from larchhaven.routing.events import ConnectionEstablished, ConnectionLoadChanged, GossipReceived
from larchhaven.routing.gossip_messages import ProxyStarted
from tests.routing.builders import (
    START_US,
    actions_of,
    make_balancer,
    request_arrived,
    zeroed_message,
)


def test_successor_takes_over_learned_state() -> None:
    """Without migration credit and learned loads, a successor overloads servers."""
    predecessor, successor = (
        make_balancer(2, proxy_count=2, can_gossip=True),
        make_balancer(2, proxy_count=2, can_gossip=True),
    )
    sent = actions_of(
        StartAttempt,
        predecessor.handle(START_US, [request_arrived(i, load=0.3) for i in range(12)]),
    )
    predecessor.handle(
        START_US + 1,
        [ConnectionEstablished(send.request_id, 0, send.server_id, 500) for send in sent],
    )
    predecessor.handle(
        START_US + 2,
        [ConnectionLoadChanged(send.request_id, 0, send.server_id, 0.5) for send in sent],
    )
    successor.handle(START_US, [])
    gossip = actions_of(
        SendGossip, predecessor.handle(START_US + 3, [GossipReceived(0, ProxyStarted())])
    )
    successor.handle(START_US + 3, [GossipReceived(0, sent.message) for sent in gossip] * 2)
    fresh = make_balancer(2)
    assert (
        successor.arrivals.mean_load == predecessor.arrivals.mean_load != fresh.arrivals.mean_load
    )
    assert successor.migration.credit == predecessor.migration.credit != fresh.migration.credit
    assert (
        successor.arrivals.class_loads
        == predecessor.arrivals.class_loads
        != fresh.arrivals.class_loads
    )
    assert successor.arrivals.arrival_count == 12
    successor.handle(
        START_US + 4,
        [GossipReceived(1, zeroed_message(sent.message)) for sent in gossip],
    )
    # Learned state from another proxy is ignored.
    assert successor.arrivals.mean_load == predecessor.arrivals.mean_load
