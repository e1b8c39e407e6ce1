"""Gossip between two processes of one proxy at a hot restart."""

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


def test_new_process_takes_over_learned_state() -> None:
    """Without migration credit and learned loads, a new process overloads servers."""
    old, new = (
        make_balancer(2, proxy_count=2, can_gossip=True),
        make_balancer(2, proxy_count=2, can_gossip=True),
    )
    sent = actions_of(
        StartAttempt, old.handle(START_US, [request_arrived(i, load=0.3) for i in range(12)])
    )
    old.handle(
        START_US + 1,
        [ConnectionEstablished(send.request_id, 0, send.server_id, 500) for send in sent],
    )
    old.handle(
        START_US + 2,
        [ConnectionLoadChanged(send.request_id, 0, send.server_id, 0.5) for send in sent],
    )
    new.handle(START_US, [])
    gossip = actions_of(SendGossip, old.handle(START_US + 3, [GossipReceived(0, ProxyStarted())]))
    new.handle(START_US + 3, [GossipReceived(0, sent.message) for sent in gossip] * 2)
    fresh = make_balancer(2)
    assert new.arrivals.mean_load == old.arrivals.mean_load != fresh.arrivals.mean_load
    assert new.migration.credit == old.migration.credit != fresh.migration.credit
    assert new.arrivals.class_loads == old.arrivals.class_loads != fresh.arrivals.class_loads
    assert new.arrivals.arrival_count == 12
    new.handle(
        START_US + 4,
        [GossipReceived(1, zeroed_message(sent.message)) for sent in gossip],
    )
    # Learned state from another proxy is ignored.
    assert new.arrivals.mean_load == old.arrivals.mean_load
