"""Many proxies at once: what is harmless in one may harm in forty."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from zlib import crc32

import pytest

from larchhaven.gossip.codec import encode
from larchhaven.routing.actions import (
    Action,
    RejectRequest,
    SendGossip,
    StartAttempt,
    StartTimer,
    WatchEndpoints,
)
from larchhaven.routing.balancer import Balancer
from larchhaven.routing.events import (
    ClientDisconnected,
    ConnectionEstablished,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    GossipReceived,
    LivePeersChanged,
    RequestArrived,
    TimerFired,
)
from tests.gossip.test_shared_health_checks import large_fleet_settings
from tests.routing.builders import (
    BASIC_SETTINGS,
    START_US,
    actions_of,
    endpoint_list,
    load_report,
    make_balancer,
    request_arrived,
)

SERVICE_TIME_US = 133_000
MAX_WAIT_US = 2_000_000


@pytest.mark.parametrize(("count", "service_time_us"), [(40, SERVICE_TIME_US), (200, 30_000)])
def test_proxies_that_start_together_all_get_the_endpoint_list(
    count: int, service_time_us: int
) -> None:
    """Polls in step once kept discovery busy with calls that had failed, and few got an answer.

    A call that has waited too long fails, and its service time is used up all the same.
    """
    settings = replace(BASIC_SETTINGS, proxy_count=count, subscribes_to_endpoints=True)
    proxies = [Balancer(replace(settings, proxy_index=i), seed=i) for i in range(count)]
    queue: list[tuple[int, int, int, Event]] = [
        (START_US, i, i, EndpointListUpdate(EndpointListKind.CACHED)) for i in range(count)
    ]
    free_at_us, order = START_US, count
    answered: set[int] = set()
    failed = 0
    while queue and queue[0][0] < START_US + 20_000_000:
        now, _, i, event = heapq.heappop(queue)
        for action in proxies[i].handle(now, [event]):
            order += 1
            if isinstance(action, StartTimer):
                heapq.heappush(
                    queue, (now + action.delay_us, order, i, TimerFired(action.timer_id))
                )
            elif isinstance(action, WatchEndpoints):
                free_at_us = max(free_at_us, now) + service_time_us
                if free_at_us > now + MAX_WAIT_US:
                    failed += 1
                    answer = EndpointListUpdate(EndpointListKind.FAILED)
                    heapq.heappush(queue, (now + MAX_WAIT_US, order, i, answer))
                else:
                    answered.add(i)
    assert len(answered) == count
    assert failed <= count // 10


def test_first_poll_is_sent_before_its_changes_count_as_known() -> None:
    """One of 182 proxies once polled 13 s after its start, and used servers removed by then.

    Pacing by the number of proxies let the first poll of 200 wait for 25 s; after the poll deadline
    without one the list counts as known to a proxy.
    """
    for count in (1, 3, 40, 182, 1000):
        settings, late = replace(BASIC_SETTINGS, proxy_count=count, subscribes_to_endpoints=True), 0
        for seed in range(40):
            b = Balancer(settings, seed)
            timer = actions_of(
                StartTimer, b.handle(START_US, [EndpointListUpdate(EndpointListKind.CACHED)])
            )[0]
            asked = START_US + timer.delay_us
            assert actions_of(WatchEndpoints, b.handle(asked, [TimerFired(timer.timer_id)]))
            # After a failed call it is four times as long.
            failed = b.handle(asked + 2_000_000, [EndpointListUpdate(EndpointListKind.FAILED)])
            assert timer.delay_us <= settings.poll_deadline_us
            assert actions_of(StartTimer, failed)[0].delay_us <= 4 * settings.poll_deadline_us
            late = max(late, timer.delay_us)
        assert late >= min(100_000 * count, 4_000_000)  # they do not all poll at once


def test_one_heavy_connection_does_not_look_like_a_full_fleet() -> None:
    """What one of forty had placed was once counted forty times, and an idle fleet rejected."""
    b = make_balancer(10, proxy_count=40)
    b.handle(START_US, [load_report(i, 0.1) for i in range(10)])
    b.handle(START_US + 1, [request_arrived(n, load=0.05) for n in range(4)])
    worthless = RequestArrived(9, 0, 1_200_000, load=0.4)
    assert actions_of(RejectRequest, b.handle(START_US + 2, [worthless])) == []


def test_proxies_draw_one_server_for_a_group_and_all_servers_for_many() -> None:
    """Each server that holds a client of a group bears the cost of the whole group.

    Drawn by CRCs alone, 20 groups once went to three servers of ten.
    """
    proxies = [make_balancer(10, seed=i, proxy_count=40, proxy_index=i) for i in range(40)]
    drawn = Counter[str]()
    for group in range(20):
        one = set()
        for b in proxies:
            b.handle(START_US, [load_report(i, 0.3) for i in range(10)])
            given = RequestArrived(group, 0, 1_200_000, load=0.01, affinity_group=group)
            one.add(actions_of(StartAttempt, b.handle(START_US + 1, [given]))[0].server_id)
            b.handle(START_US + 1, [ClientDisconnected(group)])
        drawn.update(one)
        assert len(one) <= 3  # ratios differ a little by what each has placed itself
    assert len(drawn) >= 8


def test_mid_flow_connections_find_their_server_with_most_proxies_killed() -> None:
    """One neighbour alone once knew of each connection, and was killed with its proxy."""
    settings = large_fleet_settings(pass_through=True, can_check_health=False)
    proxies = [Balancer(replace(settings, proxy_index=i), seed=i) for i in range(40)]
    for b in proxies:
        b.handle(START_US, [endpoint_list(12)])

    def deliver(sender: int, actions: Sequence[Action], alive: Sequence[int]) -> None:
        pending = [(sender, action) for action in actions_of(SendGossip, actions)]
        while pending:
            proxy, action = pending.pop()
            to = (
                [i for i in alive if i != proxy]
                if action.peer_index is None
                else [action.peer_index]
            )
            for i in set(to) & set(alive):
                answers = actions_of(
                    SendGossip,
                    proxies[i].handle(START_US + 2, [GossipReceived(proxy, action.message)]),
                )
                pending += [(i, answer) for answer in answers]

    established = {}
    for key in range(120):
        owner = key % 40
        new = RequestArrived(key, 0, 1_200_000, affinity_key=key, load=0.01)
        sent = actions_of(StartAttempt, proxies[owner].handle(START_US + 1, [new]))[0]
        established[key] = sent.server_id
        actions = proxies[owner].handle(
            START_US + 1, [ConnectionEstablished(key, 0, sent.server_id, 100)]
        )
        deliver(owner, actions, range(40))
    alive = [i for i in range(40) if i % 10 in (0, 3, 4)]
    found = 0
    for key in range(120):
        successor = alive[key % len(alive)]
        came = RequestArrived(
            1000 + key, 0, 1_200_000, affinity_key=key, load=0.01, is_mid_flow=True
        )
        first = proxies[successor].handle(START_US + 3, [came])
        asked = actions_of(SendGossip, first)
        assert (
            sum(39 if message.peer_index is None else 1 for message in asked) <= 6
        )  # not all proxies
        sends = actions_of(StartAttempt, first)
        for ask in asked:
            if ask.peer_index in alive:
                answers = proxies[ask.peer_index].handle(
                    START_US + 4, [GossipReceived(successor, ask.message)]
                )
                for answer in actions_of(SendGossip, answers):
                    sends += actions_of(
                        StartAttempt,
                        proxies[successor].handle(
                            START_US + 5, [GossipReceived(0, answer.message)]
                        ),
                    )
        found += [s.server_id for s in sends if s.request_id == 1000 + key] == [established[key]]
    assert found >= 78  # with one neighbour that knows: about 36


def test_rolling_restart_keeps_the_sticky_entries() -> None:
    """Of 2,491 connections moved in two rolling releases 114 once found no replica holder.

    A proxy that started was notified of its neighbour's own connections only, so the four replica
    holders of a connection forgot it one after the other.
    """
    settings = large_fleet_settings(pass_through=True, can_check_health=False)

    def started(i: int) -> tuple[Balancer, list[SendGossip]]:
        b = Balancer(replace(settings, proxy_index=i), seed=i)
        return b, actions_of(SendGossip, b.handle(START_US, [endpoint_list(12)]))

    proxies = [started(i)[0] for i in range(40)]
    keys = range(120)
    for key in keys:
        owner = proxies[key % 40]
        sent = actions_of(
            StartAttempt,
            owner.handle(
                START_US + 1, [RequestArrived(key, 0, 1_200_000, affinity_key=key, load=0.01)]
            ),
        )[0]
        notified = owner.handle(START_US + 1, [ConnectionEstablished(key, 0, sent.server_id, 100)])
        for message in actions_of(SendGossip, notified):
            assert message.peer_index is not None
            proxies[message.peer_index].handle(
                START_US + 1, [GossipReceived(key % 40, message.message)]
            )
    before = [
        sum(tag in b.sticky_table for b in proxies) for tag in (_key_hash(key) for key in keys)
    ]
    assert min(before) >= 4
    for i in range(40):
        proxies[i], asked = started(i)
        assert 1 <= len(asked) <= 2
        for ask in asked:
            assert ask.peer_index is not None
            assert ask.peer_index != i
            answers = actions_of(
                SendGossip,
                proxies[ask.peer_index].handle(START_US + 2, [GossipReceived(i, ask.message)]),
            )
            assert all(
                len(encode(answer.message)) <= 256 and answer.peer_index == i for answer in answers
            )
            for answer in answers:
                proxies[i].handle(START_US + 2, [GossipReceived(ask.peer_index, answer.message)])
    assert all(sum(_key_hash(key) in b.sticky_table for b in proxies) >= 3 for key in keys)


def _key_hash(key: int) -> bytes:
    return crc32(str(key).encode()).to_bytes(4, "big")


def test_sticky_entries_go_to_live_proxies() -> None:
    """A proxy that is known to be gone can answer nobody."""
    b = Balancer(large_fleet_settings(pass_through=True, can_check_health=False), seed=1)
    b.handle(START_US, [endpoint_list(12)])
    absent = frozenset({3, 4, 5, 6, 7, 8})
    b.handle(START_US, [LivePeersChanged(frozenset(range(40)) - absent)])
    notified = set()
    for key in range(60):
        sent = actions_of(
            StartAttempt,
            b.handle(
                START_US + 1, [RequestArrived(key, 0, 1_200_000, affinity_key=key, load=0.01)]
            ),
        )[0]
        messages = actions_of(
            SendGossip, b.handle(START_US + 1, [ConnectionEstablished(key, 0, sent.server_id, 100)])
        )
        peers = {message.peer_index for message in messages}
        assert 3 <= len(peers) <= 4
        assert not peers & absent
        notified |= peers
    assert len(notified) > 25
    few = Balancer(
        replace(large_fleet_settings(3, pass_through=True, can_check_health=False), proxy_index=2),
        seed=1,
    )
    few.handle(START_US, [endpoint_list(2), LivePeersChanged(frozenset({1, 2}))])
    sent = actions_of(
        StartAttempt,
        few.handle(START_US + 1, [RequestArrived(1, 0, 1_200_000, affinity_key=1, load=0.01)]),
    )[0]
    receivers = [
        t.peer_index
        for t in actions_of(
            SendGossip, few.handle(START_US + 1, [ConnectionEstablished(1, 0, sent.server_id, 9)])
        )
    ]
    assert receivers == [1]  # the next one, 0, is gone


@pytest.mark.parametrize("present", [40, 20, 5])
def test_slow_start_budget_is_shared_by_live_proxies(present: int) -> None:
    """All proxies together send a warming-up server the same, however many are known to be gone."""
    b = Balancer(large_fleet_settings(can_check_health=False, can_gossip=False), seed=1)
    cold = EndpointListUpdate(
        EndpointListKind.COMPLETE, 1, (Endpoint("s0", started_at_us=START_US, weight=100.0),)
    )
    b.handle(START_US, [cold, LivePeersChanged(frozenset(range(present)))])
    sent = 0
    for step in range(1000):
        now = START_US + 1 + 5_000 * step
        sent += len(actions_of(StartAttempt, b.handle(now, [request_arrived(step, load=0.05)])))
    whole = Balancer(large_fleet_settings(can_check_health=False, can_gossip=False), seed=1)
    whole.handle(START_US, [cold])
    usual = sum(
        len(
            actions_of(
                StartAttempt,
                whole.handle(START_US + 1 + 5_000 * step, [request_arrived(step, load=0.05)]),
            )
        )
        for step in range(1000)
    )
    assert usual > 20
    assert 0.8 * 40 / present <= sent / usual <= 1.25 * 40 / present
