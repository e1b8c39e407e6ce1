"""Shared health checks: each server of a large fleet is checked once for all proxies."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from zlib import crc32

from hypothesis import given
from hypothesis import strategies as st

from larchhaven.gossip.codec import LOAD_REPORTS, SERVER_LOAD, decode, encode
from larchhaven.gossip.shared_health_checks import SharedHealthChecks, uses_shared_checks
from larchhaven.routing.actions import (
    CheckHealth,
    SendGossip,
)
from larchhaven.routing.events import (
    AttemptResult,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    HealthCheckCompleted,
    LoadReport,
    ServerState,
)
from larchhaven.routing.gossip_messages import GossipMessage, SharedLoadReports
from larchhaven.routing.settings import RoutingSettings
from tests.routing.builders import BASIC_SETTINGS, START_US, actions_of, endpoint_list


def load_reports(entries: bytes) -> SharedLoadReports:
    """Read load reports as they come from another proxy."""
    message = decode(LOAD_REPORTS + entries)
    assert isinstance(message, SharedLoadReports)
    return message


def large_fleet_settings(count: int = 40, **changes: object) -> RoutingSettings:
    settings = replace(BASIC_SETTINGS, proxy_count=count, can_check_health=True, can_gossip=True)
    return replace(settings, **changes)  # type: ignore[arg-type]


class ProxyFleet:
    """Proxies whose messages arrive at once, and servers that answer at once."""

    def __init__(self, count: int, servers: Sequence[str]) -> None:
        self.members = [
            SharedHealthChecks(replace(large_fleet_settings(count), proxy_index=i))
            for i in range(count)
        ]
        self.ratios = dict.fromkeys(servers, 0.5)
        self.dead: set[int] = set()
        self.is_partitioned = False  # nobody hears anybody
        self.check_counts: Counter[str] = Counter()
        self.messages_sent = 0
        entries = tuple(Endpoint(s) for s in servers)
        for checks in self.members:
            checks.update_endpoints(
                START_US, EndpointListUpdate(EndpointListKind.COMPLETE, 1, entries)
            )
        self.received: dict[int, list[HealthCheckCompleted]] = {i: [] for i in range(count)}

    def play(self, since: int, until: int) -> None:
        for now in range(since, until, 50_000):
            for i, checks in enumerate(self.members):
                if not self.is_partitioned and now % 1_000_000 == 0:
                    checks.record_contact(now)  # of other kinds, as every placement brings some
                actions = checks.run_due(now) if i not in self.dead else []
                for gossip in actions_of(SendGossip, actions):
                    self._send(now, i, gossip.message)
                for check in actions_of(CheckHealth, actions):
                    self.check_counts[check.server_id] += 1
                    ratio = self.ratios[check.server_id]
                    result = AttemptResult.OK if ratio >= 0 else AttemptResult.TIMEOUT
                    checks.record_result(
                        now,
                        HealthCheckCompleted(
                            check.server_id, result, 0, LoadReport(load_ratio=ratio)
                        ),
                    )

    def _send(self, now: int, sender: int, message: GossipMessage) -> None:
        assert len(encode(message)) <= 256
        self.messages_sent += 1
        for i, other in enumerate(self.members):
            if i != sender and i not in self.dead and not self.is_partitioned:
                assert isinstance(message, SharedLoadReports)
                self.received[i] += other.receive_reports(now, message)


def test_checks_do_not_grow_with_the_fleet_and_changes_reach_all() -> None:
    """Checks and messages have a price, and each proxy alone would learn loads late."""
    servers = [f"s{i}" for i in range(12)]
    proxies = ProxyFleet(40, servers)
    proxies.play(START_US, START_US + 10_000_000)
    assert all(
        count <= 12 for count in proxies.check_counts.values()
    )  # about one a second, not forty
    sent = proxies.messages_sent
    assert sent <= 4 * 7  # steady loads are refreshed now and then, a partition in one message
    proxies.ratios["s3"] = 1.5
    proxies.ratios["s7"] = -1
    proxies.play(START_US + 10_000_000, START_US + 11_100_000)
    assert proxies.messages_sent <= sent + 4 + 2
    for i, received in proxies.received.items():
        last = {result.server_id: result for result in received}
        if (i - (crc32(b"s3") >> 16) % 4 * 10) % 40:  # all but the one that checks it
            assert last["s3"].report is not None
            assert last["s3"].report.load_ratio == 1.5
        if (i - (crc32(b"s7") >> 16) % 4 * 10) % 40:
            assert last["s7"].result is AttemptResult.RESET


def test_next_proxies_take_over_from_those_that_are_gone() -> None:
    """Seven of ten proxies are killed at once: no server may be left without checks."""
    proxies = ProxyFleet(40, ["a", "b", "c"])
    proxies.play(START_US, START_US + 3_000_000)
    proxies.dead = {i for i in range(40) if i % 10 < 7}
    proxies.check_counts.clear()
    proxies.play(START_US + 3_000_000, START_US + 7_000_000)
    # On the loss of a zone most servers once went unchecked for five seconds.
    assert all(proxies.check_counts[s] >= 1 for s in ("a", "b", "c"))
    proxies.play(START_US + 7_000_000, START_US + 14_000_000)
    assert all(proxies.check_counts[s] >= 6 for s in ("a", "b", "c"))
    assert sum(proxies.check_counts.values()) <= 3 * 14


def test_isolated_proxies_do_not_all_check_and_report() -> None:
    """Proxies are cut off from each other: 157 of 186 once made 2,180 checks a second.

    Each took the silence for the death of all before it in the order. Once messages arrive again
    the first of each partition checks alone, as before.
    """
    proxies = ProxyFleet(200, [f"s{i}" for i in range(12)])
    proxies.play(START_US, START_US + 5_000_000)
    usual = sum(proxies.check_counts.values())
    proxies.is_partitioned = True
    proxies.check_counts.clear()
    proxies.messages_sent = 0
    proxies.play(START_US + 5_000_000, START_US + 11_000_000)
    assert sum(proxies.check_counts.values()) <= 5 * usual
    assert proxies.messages_sent <= 4 * 20
    assert all(proxies.check_counts[f"s{i}"] >= 6 for i in range(12))
    proxies.is_partitioned = False
    proxies.play(START_US + 11_000_000, START_US + 12_000_000)
    proxies.check_counts.clear()
    proxies.play(START_US + 12_000_000, START_US + 17_000_000)
    assert sum(proxies.check_counts.values()) <= 1.5 * usual


@given(st.binary(max_size=300))
def test_invalid_messages_are_counted_and_change_nothing(body: bytes) -> None:
    """Malformed, foreign and forged messages: only listed servers are accepted."""
    checks = SharedHealthChecks(large_fleet_settings())
    checks.update_endpoints(START_US, endpoint_list(3))
    before = checks.invalid_entries
    found = checks.receive_reports(START_US + 1, load_reports(body))
    entries = len(body) // SERVER_LOAD.size if len(body) % SERVER_LOAD.size == 0 else 0
    assert len(found) + checks.invalid_entries - before == max(entries, 1)
    assert {result.server_id for result in found} <= {"s0", "s1", "s2"}


def test_checks_are_shared_only_by_many_proxies_that_may_check_and_gossip() -> None:
    """Nothing may be sent in small fleets, or where gossip is not allowed."""
    assert uses_shared_checks(large_fleet_settings())
    assert not uses_shared_checks(large_fleet_settings(4))
    assert not uses_shared_checks(large_fleet_settings(can_gossip=False))
    assert not uses_shared_checks(large_fleet_settings(can_check_health=False))


def test_server_that_left_the_list_is_neither_checked_nor_accepted() -> None:
    """Only the own endpoint list names servers."""
    checks = SharedHealthChecks(large_fleet_settings(12))
    checks.update_endpoints(START_US, endpoint_list(2))
    draining = Endpoint("s0", ServerState.DRAINING)
    checks.update_endpoints(
        START_US + 1, EndpointListUpdate(EndpointListKind.CHANGES, 2, (draining,))
    )
    assert {
        check.server_id for check in actions_of(CheckHealth, checks.run_due(START_US + 60_000_000))
    } == {"s1"}
    server_hash = crc32(b"s0") >> 16
    assert (
        checks.receive_reports(START_US + 2, load_reports(SERVER_LOAD.pack(server_hash, 10))) == []
    )


def test_two_servers_with_one_hash_are_not_taken_for_each_other() -> None:
    """Of 90 servers two share a hash in one fleet of 16.

    Reports of either once went to the one listed last, and all proxies ejected the wrong server.
    """
    by_hash: dict[int, str] = {}
    twins: tuple[str, str] | None = None
    for number in range(5000):
        name = f"s-{number * 2654435761 % 2**32:08x}"
        other = by_hash.setdefault(crc32(name.encode()) >> 16, name)
        if other != name:
            twins = other, name
            break
    assert twins is not None
    checks = SharedHealthChecks(large_fleet_settings(12))
    entries = tuple(Endpoint(server) for server in (*twins, "alone"))
    checks.update_endpoints(START_US, EndpointListUpdate(EndpointListKind.COMPLETE, 1, entries))
    server_hash, alone = crc32(twins[0].encode()) >> 16, crc32(b"alone") >> 16
    sent = load_reports(SERVER_LOAD.pack(server_hash, 255) + SERVER_LOAD.pack(alone, 10))
    assert [result.server_id for result in checks.receive_reports(START_US + 1, sent)] == ["alone"]
    checks.record_result(START_US + 2, HealthCheckCompleted(twins[0], AttemptResult.TIMEOUT, 0))
    assert actions_of(SendGossip, checks.run_due(START_US + 100_000)) == []
    # Once one of them has left the list, the other is reported like any.
    gone = Endpoint(twins[1], ServerState.REMOVED)
    checks.update_endpoints(START_US + 3, EndpointListUpdate(EndpointListKind.CHANGES, 2, (gone,)))
    assert [result.server_id for result in checks.receive_reports(START_US + 4, sent)] == [
        twins[0],
        "alone",
    ]


def test_report_of_unknown_servers_still_proves_contact() -> None:
    """A proxy with an old list must not take itself for cut off, and check late."""
    part = (crc32(b"s0") >> 16) % 4
    for has_contact in (False, True):
        checks = SharedHealthChecks(
            replace(large_fleet_settings(), proxy_index=(8 + 10 * part) % 40)
        )  # the eighth to step in
        checks.update_endpoints(START_US, endpoint_list(1))
        if has_contact:
            assert (
                checks.receive_reports(START_US + 2_000_000, load_reports(SERVER_LOAD.pack(1, 10)))
                == []
            )
        assert bool(actions_of(CheckHealth, checks.run_due(START_US + 4_000_000))) is has_contact


def test_failing_server_is_reported_again_before_peers_retry_it() -> None:
    """An ejection lasts 1 to 3 s: reported only every 5 s, the server was used in between."""
    checks = SharedHealthChecks(large_fleet_settings(12))
    hashes = {f"x{i}": crc32(f"x{i}".encode()) >> 16 for i in range(40)}
    part = hashes["x0"] % 4
    well = next(
        name for name, server_hash in hashes.items() if server_hash % 4 == part and name != "x0"
    )
    entries = (Endpoint("x0"), Endpoint(well))
    checks.update_endpoints(START_US, EndpointListUpdate(EndpointListKind.COMPLETE, 1, entries))
    sent = []
    for second in range(5):
        now = START_US + second * 1_000_000
        checks.receive_reports(
            now, load_reports(SERVER_LOAD.pack(hashes[well], 10))
        )  # something of the partition is reported all the time
        checks.record_result(now, HealthCheckCompleted("x0", AttemptResult.TIMEOUT, 500_000))
        sent.append(len(actions_of(SendGossip, checks.run_due(now + 100_000))))
    assert sent == [1, 0, 1, 0, 1]


def test_next_proxy_checks_as_soon_as_the_first_ones_are_known_dead() -> None:
    """With 28 of 40 gone the first remaining one waited for its old turn in the order, 2.8 s."""
    late = {}
    for knows in (False, True):
        proxies = ProxyFleet(40, ["a", "b", "c", "d", "e"])
        proxies.play(START_US, START_US + 3_000_000)
        proxies.dead = {i for i in range(40) if i % 10 < 7}
        proxies.check_counts.clear()
        if knows:
            for i, checks in enumerate(proxies.members):
                if i not in proxies.dead:
                    checks.update_live_peers(
                        START_US + 3_000_000, frozenset(range(40)) - proxies.dead
                    )
        now = START_US + 3_000_000
        while any(not proxies.check_counts[s] for s in "abcde"):
            proxies.play(now, now + 20_000)
            now += 20_000
        late[knows] = now - START_US - 3_000_000
    assert late[True] <= 3_000_000
    assert late[True] + 200_000 <= late[False]
