"""Many proxies at once: what is harmless in one and harmful in forty."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from zlib import crc32

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larchhaven.gossip.codec import LOAD_REPORTS as REPORTS
from larchhaven.gossip.codec import SERVER_LOAD as ENTRY
from larchhaven.gossip.codec import decode, encode
from larchhaven.gossip.shared_health_checks import Lookout, is_shared
from larchhaven.routing.actions import (
    Action,
    CheckHealth,
    RejectRequest,
    SendGossip,
    StartAttempt,
    StartTimer,
    WatchEndpoints,
)
from larchhaven.routing.balancer import Balancer
from larchhaven.routing.events import (
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HealthCheckCompleted,
    LivePeersChanged,
    LoadReport,
    RequestArrived,
    ServerState,
    TimerFired,
)
from larchhaven.routing.gossip_messages import GossipMessage, SharedLoadReports
from larchhaven.routing.settings import RoutingSettings

from .routing.builders import BASIC_SETTINGS as PLAIN
from .routing.builders import START_US as START
from .routing.builders import actions_of as of
from .routing.builders import endpoint_list as fleet
from .routing.builders import load_report as report
from .routing.builders import make_balancer as balancer
from .routing.builders import request_arrived as arrival


def load_reports(entries: bytes) -> SharedLoadReports:
    """Read load reports as they come from another proxy."""
    message = decode(REPORTS + entries)
    assert isinstance(message, SharedLoadReports)
    return message


SERVE_US, WAIT_MOST_US = 133_000, 2_000_000


@pytest.mark.parametrize(("count", "serve_us"), [(40, SERVE_US), (200, 30_000)])
def test_many_that_start_together_all_get_the_list(count: int, serve_us: int) -> None:
    """Guards the list service: calls in step kept it busy with calls that had failed, and few got an answer.

    A call that has waited too long fails, and its turn is used up all the same.
    """
    settings = replace(PLAIN, proxy_count=count, subscribes_to_endpoints=True)
    tier = [Balancer(replace(settings, proxy_index=i), seed=i) for i in range(count)]
    queue: list[tuple[int, int, int, Event]] = [
        (START, i, i, EndpointListUpdate(EndpointListKind.CACHED)) for i in range(count)
    ]
    free_at, told, failed, order = START, set(), 0, count
    while queue and queue[0][0] < START + 20_000_000:
        now, _, i, event = heapq.heappop(queue)
        for action in tier[i].handle(now, [event]):
            order += 1
            if isinstance(action, StartTimer):
                heapq.heappush(
                    queue, (now + action.delay_us, order, i, TimerFired(action.timer_id))
                )
            elif isinstance(action, WatchEndpoints):
                free_at = max(free_at, now) + serve_us
                if free_at > now + WAIT_MOST_US:
                    failed += 1
                    answer = EndpointListUpdate(EndpointListKind.FAILED)
                    heapq.heappush(queue, (now + WAIT_MOST_US, order, i, answer))
                else:
                    told.add(i)
    assert len(told) == count
    assert failed <= count // 10


def test_first_call_for_the_list_is_out_before_its_news_count_as_told() -> None:
    """Guards the drain rule: one of 182 started, asked after 13 s, and used what it counted as told was gone.

    The pace by the number of proxies let the first call of 200 wait for 25 s; after ``ask_within`` without
    one an instance counts as told what was in the list.
    """
    for count in (1, 3, 40, 182, 1000):
        settings, late = replace(PLAIN, proxy_count=count, subscribes_to_endpoints=True), 0
        for seed in range(40):
            b = Balancer(settings, seed)
            timer = of(StartTimer, b.handle(START, [EndpointListUpdate(EndpointListKind.CACHED)]))[
                0
            ]
            asked = START + timer.delay_us
            assert of(WatchEndpoints, b.handle(asked, [TimerFired(timer.timer_id)]))
            # After a failed call it is four times as long.
            failed = b.handle(asked + 2_000_000, [EndpointListUpdate(EndpointListKind.FAILED)])
            assert timer.delay_us <= settings.poll_deadline_us
            assert of(StartTimer, failed)[0].delay_us <= 4 * settings.poll_deadline_us
            late = max(late, timer.delay_us)
        assert late >= min(100_000 * count, 4_000_000)  # they do not all call at once


def _many(count: int = 40, **changes: object) -> RoutingSettings:
    settings = replace(PLAIN, proxy_count=count, can_check_health=True, can_gossip=True)
    return replace(settings, **changes)  # type: ignore[arg-type]


def test_one_heavy_connection_does_not_look_like_a_full_fleet() -> None:
    """Guards admission: what one of forty had placed was counted forty times, and an idle fleet refused."""
    b = balancer(10, proxy_count=40)
    b.handle(START, [report(i, 0.1) for i in range(10)])
    b.handle(START + 1, [arrival(n, load=0.05) for n in range(4)])
    worthless = RequestArrived(9, 0, 1_200_000, load=0.4)
    assert of(RejectRequest, b.handle(START + 2, [worthless])) == []


def test_forty_draw_one_server_for_a_group_and_all_servers_for_many() -> None:
    """Guards the work that a group shares: each server that held one of it paid for the whole group.

    Drawn by CRCs alone, 20 groups once went to three servers of ten.
    """
    tier = [balancer(10, seed=i, proxy_count=40, proxy_index=i) for i in range(40)]
    drawn = Counter[str]()
    for group in range(20):
        one = set()
        for b in tier:
            b.handle(START, [report(i, 0.3) for i in range(10)])
            given = RequestArrived(group, 0, 1_200_000, load=0.01, affinity_group=group)
            one.add(of(StartAttempt, b.handle(START + 1, [given]))[0].server_id)
            b.handle(START + 1, [ClientDisconnected(group)])
        drawn.update(one)
        assert len(one) <= 3  # ratios differ a little by what each has placed itself
    assert len(drawn) >= 8


class _Tier:
    """Lookouts that hear each other at once, and servers that answer at once."""

    def __init__(self, count: int, servers: Sequence[str]) -> None:
        self.all = [Lookout(replace(_many(count), proxy_index=i)) for i in range(count)]
        self.ratios = dict.fromkeys(servers, 0.5)
        self.dead: set[int] = set()
        self.deaf = False  # nobody hears anybody
        self.probes: Counter[str] = Counter()
        self.told = 0
        entries = tuple(Endpoint(s) for s in servers)
        for one in self.all:
            one.on_list(START, EndpointListUpdate(EndpointListKind.COMPLETE, 1, entries))
        self.heard: dict[int, list[HealthCheckCompleted]] = {i: [] for i in range(count)}

    def play(self, since: int, until: int) -> None:
        for now in range(since, until, 50_000):
            for i, one in enumerate(self.all):
                if not self.deaf and now % 1_000_000 == 0:
                    one.on_message(now)  # of other kinds, as every placement brings some
                actions = one.turn(now) if i not in self.dead else []
                for tell in of(SendGossip, actions):
                    self._tell(now, i, tell.message)
                for probe in of(CheckHealth, actions):
                    self.probes[probe.server_id] += 1
                    ratio = self.ratios[probe.server_id]
                    result = AttemptResult.OK if ratio >= 0 else AttemptResult.TIMEOUT
                    one.on_look(
                        now,
                        HealthCheckCompleted(
                            probe.server_id, result, 0, LoadReport(load_ratio=ratio)
                        ),
                    )

    def _tell(self, now: int, teller: int, message: GossipMessage) -> None:
        assert len(encode(message)) <= 256
        self.told += 1
        for i, other in enumerate(self.all):
            if i != teller and i not in self.dead and not self.deaf:
                assert isinstance(message, SharedLoadReports)
                self.heard[i] += other.on_told(now, message)


def test_looks_do_not_grow_with_the_tier_and_changes_reach_all() -> None:
    """Guards the price of probes and messages, and against what each proxy learnt alone and late."""
    servers = [f"s{i}" for i in range(12)]
    tier = _Tier(40, servers)
    tier.play(START, START + 10_000_000)
    assert all(count <= 12 for count in tier.probes.values())  # about one a second, not forty
    told = tier.told
    assert told <= 4 * 7  # steady loads are told now and then, those of one part together
    tier.ratios["s3"] = 1.5
    tier.ratios["s7"] = -1
    tier.play(START + 10_000_000, START + 11_100_000)
    assert tier.told <= told + 4 + 2
    for i, heard in tier.heard.items():
        last = {news.server_id: news for news in heard}
        if (i - (crc32(b"s3") >> 16) % 4 * 10) % 40:  # the others than the one who looks
            assert last["s3"].report is not None
            assert last["s3"].report.load_ratio == 1.5
        if (i - (crc32(b"s7") >> 16) % 4 * 10) % 40:
            assert last["s7"].result is AttemptResult.RESET


def test_others_step_in_for_proxies_that_are_gone() -> None:
    """Guards the days on which most proxies are killed at once: no server may be left without a look."""
    tier = _Tier(40, ["a", "b", "c"])
    tier.play(START, START + 3_000_000)
    tier.dead = {i for i in range(40) if i % 10 < 7}
    tier.probes.clear()
    tier.play(START + 3_000_000, START + 7_000_000)
    # On a zone's loss nobody looked at most servers for five seconds, just as all their clients came back.
    assert all(tier.probes[s] >= 1 for s in ("a", "b", "c"))
    tier.play(START + 7_000_000, START + 14_000_000)
    assert all(tier.probes[s] >= 6 for s in ("a", "b", "c"))
    assert sum(tier.probes.values()) <= 3 * 14


def test_a_tier_that_hears_nobody_does_not_look_and_tell_with_all_its_proxies() -> None:
    """Guards days on which proxies don't hear each other: 157 of 186 looked, with 2,180 probes a second.

    Each took the silence for the death of all before it in the order. Once they hear each other again the
    first of each part looks alone, as before.
    """
    tier = _Tier(200, [f"s{i}" for i in range(12)])
    tier.play(START, START + 5_000_000)
    alone, tier.deaf = sum(tier.probes.values()), True
    tier.probes.clear()
    tier.told = 0
    tier.play(START + 5_000_000, START + 11_000_000)
    assert sum(tier.probes.values()) <= 5 * alone
    assert tier.told <= 4 * 20
    assert all(tier.probes[f"s{i}"] >= 6 for i in range(12))
    tier.deaf = False
    tier.play(START + 11_000_000, START + 12_000_000)
    tier.probes.clear()
    tier.play(START + 12_000_000, START + 17_000_000)
    assert sum(tier.probes.values()) <= 1.5 * alone


@given(st.binary(max_size=300))
def test_strange_messages_are_counted_and_change_nothing(body: bytes) -> None:
    """Guards against malformed, foreign and forged messages: only listed servers are believed in."""
    one = Lookout(_many())
    one.on_list(START, fleet(3))
    before = one.strange
    found = one.on_told(START + 1, load_reports(body))
    entries = len(body) // ENTRY.size if len(body) % ENTRY.size == 0 else 0
    assert len(found) + one.strange - before == max(entries, 1)
    assert {news.server_id for news in found} <= {"s0", "s1", "s2"}


def test_looks_are_shared_only_by_many_that_may_probe_and_talk() -> None:
    """Guards small tiers, and platforms that forbid talk: nothing may be sent there."""
    assert is_shared(_many())
    assert not is_shared(_many(4))
    assert not is_shared(_many(can_gossip=False))
    assert not is_shared(_many(can_check_health=False))


def test_what_has_left_the_list_is_neither_looked_at_nor_believed() -> None:
    """Guards the rule that only the own list names servers."""
    one = Lookout(_many(12))
    one.on_list(START, fleet(2))
    draining = Endpoint("s0", ServerState.DRAINING)
    one.on_list(START + 1, EndpointListUpdate(EndpointListKind.CHANGES, 2, (draining,)))
    assert {probe.server_id for probe in of(CheckHealth, one.turn(START + 60_000_000))} == {"s1"}
    mark = crc32(b"s0") >> 16
    assert one.on_told(START + 2, load_reports(ENTRY.pack(mark, 10))) == []


def test_two_servers_of_one_mark_are_not_taken_for_each_other() -> None:
    """Guards against a failing server whose mark is another's: of 90 servers two share one in 1 tier of 16.

    The news of either went to the one listed last, and all proxies left out the wrong one.
    """
    of_mark: dict[int, str] = {}
    twins: tuple[str, str] | None = None
    for number in range(5000):
        name = f"s-{number * 2654435761 % 2**32:08x}"
        other = of_mark.setdefault(crc32(name.encode()) >> 16, name)
        if other != name:
            twins = other, name
            break
    assert twins is not None
    one = Lookout(_many(12))
    entries = tuple(Endpoint(server) for server in (*twins, "alone"))
    one.on_list(START, EndpointListUpdate(EndpointListKind.COMPLETE, 1, entries))
    mark, alone = crc32(twins[0].encode()) >> 16, crc32(b"alone") >> 16
    told = load_reports(ENTRY.pack(mark, 255) + ENTRY.pack(alone, 10))
    assert [news.server_id for news in one.on_told(START + 1, told)] == ["alone"]
    one.on_look(START + 2, HealthCheckCompleted(twins[0], AttemptResult.TIMEOUT, 0))
    assert of(SendGossip, one.turn(START + 100_000)) == []
    # Once one of them has left, the other is told of as any.
    gone = Endpoint(twins[1], ServerState.REMOVED)
    one.on_list(START + 3, EndpointListUpdate(EndpointListKind.CHANGES, 2, (gone,)))
    assert [news.server_id for news in one.on_told(START + 4, told)] == [twins[0], "alone"]


def test_message_of_nothing_known_shows_all_the_same_that_others_are_heard() -> None:
    """Guards against a proxy with an old list that takes itself for cut off, and looks late."""
    part = (crc32(b"s0") >> 16) % 4
    for heard in (False, True):
        one = Lookout(replace(_many(), proxy_index=(8 + 10 * part) % 40))  # the eighth to step in
        one.on_list(START, fleet(1))
        if heard:
            assert one.on_told(START + 2_000_000, load_reports(ENTRY.pack(1, 10))) == []
        assert bool(of(CheckHealth, one.turn(START + 4_000_000))) is heard


def test_most_killed_at_once_and_connections_go_on_where_they_stand() -> None:
    """Guards packets that pass through: one neighbour knew of each, and died with it on seven days of ten."""
    settings = _many(pass_through=True, can_check_health=False)
    tier = [Balancer(replace(settings, proxy_index=i), seed=i) for i in range(40)]
    for b in tier:
        b.handle(START, [fleet(12)])

    def tell(sender: int, actions: Sequence[Action], alive: Sequence[int]) -> None:
        heard = [(sender, action) for action in of(SendGossip, actions)]
        while heard:
            teller, action = heard.pop()
            to = (
                [i for i in alive if i != teller]
                if action.peer_index is None
                else [action.peer_index]
            )
            for i in set(to) & set(alive):
                answers = of(
                    SendGossip, tier[i].handle(START + 2, [GossipReceived(teller, action.message)])
                )
                heard += [(i, answer) for answer in answers]

    stands = {}
    for key in range(120):
        owner = key % 40
        new = RequestArrived(key, 0, 1_200_000, affinity_key=key, load=0.01)
        sent = of(StartAttempt, tier[owner].handle(START + 1, [new]))[0]
        stands[key] = sent.server_id
        actions = tier[owner].handle(
            START + 1, [ConnectionEstablished(key, 0, sent.server_id, 100)]
        )
        tell(owner, actions, range(40))
    alive = [i for i in range(40) if i % 10 in (0, 3, 4)]
    found = 0
    for key in range(120):
        taker = alive[key % len(alive)]
        came = RequestArrived(
            1000 + key, 0, 1_200_000, affinity_key=key, load=0.01, is_mid_flow=True
        )
        first = tier[taker].handle(START + 3, [came])
        asked = of(SendGossip, first)
        assert (
            sum(39 if tell.peer_index is None else 1 for tell in asked) <= 6
        )  # not the whole tier
        sends = of(StartAttempt, first)
        for ask in asked:
            if ask.peer_index in alive:
                answers = tier[ask.peer_index].handle(
                    START + 4, [GossipReceived(taker, ask.message)]
                )
                for answer in of(SendGossip, answers):
                    sends += of(
                        StartAttempt,
                        tier[taker].handle(START + 5, [GossipReceived(0, answer.message)]),
                    )
        found += [s.server_id for s in sends if s.request_id == 1000 + key] == [stands[key]]
    assert found >= 78  # with one neighbour that knew: about 36


def test_rolling_restart_of_all_proxies_forgets_nobody() -> None:
    """Guards packets that pass through: 114 of 2,491 handed over in two rolling releases found no keeper.

    A proxy that started was told of its neighbour's own connections only, so the four keepers of a connection
    forgot it one after the other.
    """
    settings = _many(pass_through=True, can_check_health=False)

    def started(i: int) -> tuple[Balancer, list[SendGossip]]:
        b = Balancer(replace(settings, proxy_index=i), seed=i)
        return b, of(SendGossip, b.handle(START, [fleet(12)]))

    tier = [started(i)[0] for i in range(40)]
    keys = range(120)
    for key in keys:
        owner = tier[key % 40]
        sent = of(
            StartAttempt,
            owner.handle(
                START + 1, [RequestArrived(key, 0, 1_200_000, affinity_key=key, load=0.01)]
            ),
        )[0]
        told = owner.handle(START + 1, [ConnectionEstablished(key, 0, sent.server_id, 100)])
        for tell in of(SendGossip, told):
            assert tell.peer_index is not None
            tier[tell.peer_index].handle(START + 1, [GossipReceived(key % 40, tell.message)])
    before = [sum(tag in b.sticky_table for b in tier) for tag in (_tag(key) for key in keys)]
    assert min(before) >= 4
    for i in range(40):
        tier[i], asked = started(i)
        assert 1 <= len(asked) <= 2
        for ask in asked:
            assert ask.peer_index is not None
            assert ask.peer_index != i
            answers = of(
                SendGossip, tier[ask.peer_index].handle(START + 2, [GossipReceived(i, ask.message)])
            )
            assert all(
                len(encode(answer.message)) <= 256 and answer.peer_index == i for answer in answers
            )
            for answer in answers:
                tier[i].handle(START + 2, [GossipReceived(ask.peer_index, answer.message)])
    assert all(sum(_tag(key) in b.sticky_table for b in tier) >= 3 for key in keys)


def _tag(key: int) -> bytes:
    return crc32(str(key).encode()).to_bytes(4, "big")


def test_server_that_goes_on_failing_is_told_of_before_the_others_try_it_again() -> None:
    """Guards the time a zone is away: left out for 1 to 3 s, told again after 5, it was tried in between."""
    one = Lookout(_many(12))
    marks = {f"x{i}": crc32(f"x{i}".encode()) >> 16 for i in range(40)}
    part = marks["x0"] % 4
    well = next(name for name, mark in marks.items() if mark % 4 == part and name != "x0")
    entries = (Endpoint("x0"), Endpoint(well))
    one.on_list(START, EndpointListUpdate(EndpointListKind.COMPLETE, 1, entries))
    told = []
    for look in range(5):
        now = START + look * 1_000_000
        one.on_told(
            now, load_reports(ENTRY.pack(marks[well], 10))
        )  # of the part something is told all the time
        one.on_look(now, HealthCheckCompleted("x0", AttemptResult.TIMEOUT, 500_000))
        told.append(len(of(SendGossip, one.turn(now + 100_000))))
    assert told == [1, 0, 1, 0, 1]


def test_connections_are_kept_by_proxies_that_are_present() -> None:
    """Guards what a connection's keepers are for: who is known to be gone can tell nobody."""
    b = Balancer(_many(pass_through=True, can_check_health=False), seed=1)
    b.handle(START, [fleet(12)])
    absent = frozenset({3, 4, 5, 6, 7, 8})
    b.handle(START, [LivePeersChanged(frozenset(range(40)) - absent)])
    told = set()
    for key in range(60):
        sent = of(
            StartAttempt,
            b.handle(START + 1, [RequestArrived(key, 0, 1_200_000, affinity_key=key, load=0.01)]),
        )[0]
        tells = of(
            SendGossip, b.handle(START + 1, [ConnectionEstablished(key, 0, sent.server_id, 100)])
        )
        peers = {tell.peer_index for tell in tells}
        assert 3 <= len(peers) <= 4
        assert not peers & absent
        told |= peers
    assert len(told) > 25
    few = Balancer(
        replace(_many(3, pass_through=True, can_check_health=False), proxy_index=2), seed=1
    )
    few.handle(START, [fleet(2), LivePeersChanged(frozenset({1, 2}))])
    sent = of(
        StartAttempt,
        few.handle(START + 1, [RequestArrived(1, 0, 1_200_000, affinity_key=1, load=0.01)]),
    )[0]
    told_to = [
        t.peer_index
        for t in of(
            SendGossip, few.handle(START + 1, [ConnectionEstablished(1, 0, sent.server_id, 9)])
        )
    ]
    assert told_to == [1]  # the next one, 0, is gone


@pytest.mark.parametrize("present", [40, 20, 5])
def test_cold_budget_is_dealt_out_among_those_that_are_present(present: int) -> None:
    """What all together send a cold server is the same, however many of them are known to be gone."""
    b = Balancer(_many(can_check_health=False, can_gossip=False), seed=1)
    cold = EndpointListUpdate(
        EndpointListKind.COMPLETE, 1, (Endpoint("s0", started_at_us=START, weight=100.0),)
    )
    b.handle(START, [cold, LivePeersChanged(frozenset(range(present)))])
    sent = 0
    for step in range(1000):
        now = START + 1 + 5_000 * step
        sent += len(of(StartAttempt, b.handle(now, [arrival(step, load=0.05)])))
    whole = Balancer(_many(can_check_health=False, can_gossip=False), seed=1)
    whole.handle(START, [cold])
    usual = sum(
        len(of(StartAttempt, whole.handle(START + 1 + 5_000 * step, [arrival(step, load=0.05)])))
        for step in range(1000)
    )
    assert usual > 20
    assert 0.8 * 40 / present <= sent / usual <= 1.25 * 40 / present


def test_next_in_line_looks_as_soon_as_the_first_ones_are_known_to_be_gone() -> None:
    """With 28 of 40 gone the first one left stepped in after its old place in the order, 2.8 s later."""
    late = {}
    for knows in (False, True):
        tier = _Tier(40, ["a", "b", "c", "d", "e"])
        tier.play(START, START + 3_000_000)
        tier.dead = {i for i in range(40) if i % 10 < 7}
        tier.probes.clear()
        if knows:
            for i, lookout in enumerate(tier.all):
                if i not in tier.dead:
                    lookout.on_present(START + 3_000_000, frozenset(range(40)) - tier.dead)
        now = START + 3_000_000
        while any(not tier.probes[s] for s in "abcde"):
            tier.play(now, now + 20_000)
            now += 20_000
        late[knows] = now - START - 3_000_000
    assert late[True] <= 3_000_000
    assert late[True] + 200_000 <= late[False]
