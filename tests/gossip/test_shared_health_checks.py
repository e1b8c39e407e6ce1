"""Tests of shared health checks: one proxy of a large fleet checks a server for all proxies."""

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
    """Decode load reports as received from another proxy."""
    message = decode(LOAD_REPORTS + entries)
    assert isinstance(message, SharedLoadReports)
    return message


def large_fleet_settings(count: int = 40, **changes: object) -> RoutingSettings:
    settings = replace(BASIC_SETTINGS, proxy_count=count, can_check_health=True, can_gossip=True)
    return replace(settings, **changes)  # type: ignore[arg-type]


class ProxyFleet:
    """Proxies and servers in simulated time; messages and health checks take no time."""

    def __init__(self, count: int, servers: Sequence[str]) -> None:
        self.proxies = [
            SharedHealthChecks(replace(large_fleet_settings(count), proxy_index=i))
            for i in range(count)
        ]
        self.ratios = dict.fromkeys(servers, 0.5)
        self.dead: set[int] = set()
        self.is_partitioned = False  # if set, no proxy receives messages from any other
        self.check_counts: Counter[str] = Counter()
        self.messages_sent = 0
        entries = tuple(Endpoint(s) for s in servers)
        for checks in self.proxies:
            checks.update_endpoints(
                START_US, EndpointListUpdate(EndpointListKind.COMPLETE, 1, entries)
            )
        self.received: dict[int, list[HealthCheckCompleted]] = {i: [] for i in range(count)}

    def run(self, start_us: int, end_us: int) -> None:
        for now in range(start_us, end_us, 50_000):
            for index, checks in enumerate(self.proxies):
                if not self.is_partitioned and now % 1_000_000 == 0:
                    checks.record_contact(now)  # other gossip, which each placement causes
                actions = checks.run_due(now) if index not in self.dead else []
                for gossip in actions_of(SendGossip, actions):
                    self._send(now, index, gossip.message)
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
        for index, receiver in enumerate(self.proxies):
            if index != sender and index not in self.dead and not self.is_partitioned:
                assert isinstance(message, SharedLoadReports)
                self.received[index] += receiver.receive_reports(now, message)


def test_checks_do_not_grow_with_the_fleet_and_all_proxies_learn_of_changes() -> None:
    """If each proxy checked for itself, checks would be costly and loads would be learned late."""
    servers = [f"s{i}" for i in range(12)]
    fleet = ProxyFleet(40, servers)
    fleet.run(START_US, START_US + 10_000_000)
    assert all(
        count <= 12 for count in fleet.check_counts.values()
    )  # about one per second in all, not one per second for each proxy
    sent = fleet.messages_sent
    assert sent <= 4 * 7  # unchanged loads are only refreshed, with one message per partition
    fleet.ratios["s3"] = 1.5
    fleet.ratios["s7"] = -1
    fleet.run(START_US + 10_000_000, START_US + 11_100_000)
    assert fleet.messages_sent <= sent + 4 + 2
    for index, received in fleet.received.items():
        last = {result.server_id: result for result in received}
        if (index - (crc32(b"s3") >> 16) % 4 * 10) % 40:  # all but the proxy that checks s3
            assert last["s3"].report is not None
            assert last["s3"].report.load_ratio == 1.5
        if (index - (crc32(b"s7") >> 16) % 4 * 10) % 40:
            assert last["s7"].result is AttemptResult.RESET


def test_other_proxies_take_over_from_killed_ones() -> None:
    """When seven of ten proxies are killed at once, the live ones check all servers."""
    fleet = ProxyFleet(40, ["a", "b", "c"])
    fleet.run(START_US, START_US + 3_000_000)
    fleet.dead = {i for i in range(40) if i % 10 < 7}
    fleet.check_counts.clear()
    fleet.run(START_US + 3_000_000, START_US + 7_000_000)
    # If takeovers are slow, the loss of a zone leaves most servers unchecked for five seconds.
    assert all(fleet.check_counts[s] >= 1 for s in ("a", "b", "c"))
    fleet.run(START_US + 7_000_000, START_US + 14_000_000)
    assert all(fleet.check_counts[s] >= 6 for s in ("a", "b", "c"))
    assert sum(fleet.check_counts.values()) <= 3 * 14


def test_isolated_proxies_do_not_all_check_and_report() -> None:
    """A network partition between the proxies must not cause a flood of checks.

    If each isolated proxy assumes that all proxies before it in the order are dead, all of them
    check: 157 of 186 proxies made 2,180 checks per second. Once messages arrive again, only the
    first proxy of each partition checks, as before.
    """
    fleet = ProxyFleet(200, [f"s{i}" for i in range(12)])
    fleet.run(START_US, START_US + 5_000_000)
    normal_checks = sum(fleet.check_counts.values())
    fleet.is_partitioned = True
    fleet.check_counts.clear()
    fleet.messages_sent = 0
    fleet.run(START_US + 5_000_000, START_US + 11_000_000)
    assert sum(fleet.check_counts.values()) <= 5 * normal_checks
    assert fleet.messages_sent <= 4 * 20
    assert all(fleet.check_counts[f"s{i}"] >= 6 for i in range(12))
    fleet.is_partitioned = False
    fleet.run(START_US + 11_000_000, START_US + 12_000_000)
    fleet.check_counts.clear()
    fleet.run(START_US + 12_000_000, START_US + 17_000_000)
    assert sum(fleet.check_counts.values()) <= 1.5 * normal_checks


@given(st.binary(max_size=300))
def test_invalid_entries_are_counted_and_ignored(body: bytes) -> None:
    """Malformed or forged messages must not produce results for servers that are not listed."""
    checks = SharedHealthChecks(large_fleet_settings())
    checks.update_endpoints(START_US, endpoint_list(3))
    before = checks.invalid_entries
    results = checks.receive_reports(START_US + 1, load_reports(body))
    entries = len(body) // SERVER_LOAD.size if len(body) % SERVER_LOAD.size == 0 else 0
    assert len(results) + checks.invalid_entries - before == max(entries, 1)
    assert {result.server_id for result in results} <= {"s0", "s1", "s2"}


def test_checks_are_shared_only_in_large_fleets_that_may_check_and_gossip() -> None:
    """Load reports must not be sent in small fleets or if gossip is not allowed."""
    assert uses_shared_checks(large_fleet_settings())
    assert not uses_shared_checks(large_fleet_settings(4))
    assert not uses_shared_checks(large_fleet_settings(can_gossip=False))
    assert not uses_shared_checks(large_fleet_settings(can_check_health=False))


def test_draining_server_is_neither_checked_nor_accepted_in_reports() -> None:
    """Only servers that the proxy's own endpoint list names as ready may be checked."""
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


def test_servers_with_the_same_hash_are_not_confused() -> None:
    """A hash collision must not eject the wrong server.

    With 90 servers, one fleet in 16 has two servers with the same hash. If a report of either is
    applied to the one that is listed last, all proxies eject that one.
    """
    by_hash: dict[int, str] = {}
    colliding: tuple[str, str] | None = None
    for number in range(5000):
        name = f"s-{number * 2654435761 % 2**32:08x}"
        first_name = by_hash.setdefault(crc32(name.encode()) >> 16, name)
        if first_name != name:
            colliding = first_name, name
            break
    assert colliding is not None
    checks = SharedHealthChecks(large_fleet_settings(12))
    entries = tuple(Endpoint(server) for server in (*colliding, "alone"))
    checks.update_endpoints(START_US, EndpointListUpdate(EndpointListKind.COMPLETE, 1, entries))
    server_hash, alone = crc32(colliding[0].encode()) >> 16, crc32(b"alone") >> 16
    sent = load_reports(SERVER_LOAD.pack(server_hash, 255) + SERVER_LOAD.pack(alone, 10))
    assert [result.server_id for result in checks.receive_reports(START_US + 1, sent)] == ["alone"]
    checks.record_result(START_US + 2, HealthCheckCompleted(colliding[0], AttemptResult.TIMEOUT, 0))
    assert actions_of(SendGossip, checks.run_due(START_US + 100_000)) == []
    # After one of them has left the list, reports of the other are accepted.
    removed = Endpoint(colliding[1], ServerState.REMOVED)
    checks.update_endpoints(
        START_US + 3, EndpointListUpdate(EndpointListKind.CHANGES, 2, (removed,))
    )
    assert [result.server_id for result in checks.receive_reports(START_US + 4, sent)] == [
        colliding[0],
        "alone",
    ]


def test_report_of_unknown_servers_counts_as_contact() -> None:
    """A proxy that receives reports, even of unlisted servers, must not consider itself isolated.

    An isolated proxy delays its checks. Peers report unlisted servers if the endpoint list of this
    proxy is outdated.
    """
    partition = (crc32(b"s0") >> 16) % 4
    for has_contact in (False, True):
        checks = SharedHealthChecks(
            replace(large_fleet_settings(), proxy_index=(8 + 10 * partition) % 40)
        )  # rank 8, which waits longer while isolated
        checks.update_endpoints(START_US, endpoint_list(1))
        if has_contact:
            assert (
                checks.receive_reports(START_US + 2_000_000, load_reports(SERVER_LOAD.pack(1, 10)))
                == []
            )
        assert bool(actions_of(CheckHealth, checks.run_due(START_US + 4_000_000))) is has_contact


def test_failing_server_is_reported_again_before_peers_retry_it() -> None:
    """A failing server must be reported again before its ejection by peers ends after 1 to 3 s.

    If it is reported only every 5 s, peers use it between two reports.
    """
    checks = SharedHealthChecks(large_fleet_settings(12))
    hashes = {f"x{i}": crc32(f"x{i}".encode()) >> 16 for i in range(40)}
    partition = hashes["x0"] % 4
    healthy = next(
        name
        for name, server_hash in hashes.items()
        if server_hash % 4 == partition and name != "x0"
    )
    entries = (Endpoint("x0"), Endpoint(healthy))
    checks.update_endpoints(START_US, EndpointListUpdate(EndpointListKind.COMPLETE, 1, entries))
    sent = []
    for second in range(5):
        now = START_US + second * 1_000_000
        checks.receive_reports(
            now, load_reports(SERVER_LOAD.pack(hashes[healthy], 10))
        )  # the partition is reported all the time, so no heartbeat is due
        checks.record_result(now, HealthCheckCompleted("x0", AttemptResult.TIMEOUT, 500_000))
        sent.append(len(actions_of(SendGossip, checks.run_due(now + 100_000))))
    assert sent == [1, 0, 1, 0, 1]


def test_next_proxy_checks_as_soon_as_membership_reports_the_first_ones_dead() -> None:
    """Dead proxies that membership has reported must not delay the takeover.

    If they do, the first live one waits for the delay of its old rank: 2.8 s after 28 dead proxies.
    """
    takeover_us = {}
    for knows_deaths in (False, True):
        fleet = ProxyFleet(40, ["a", "b", "c", "d", "e"])
        fleet.run(START_US, START_US + 3_000_000)
        fleet.dead = {i for i in range(40) if i % 10 < 7}
        fleet.check_counts.clear()
        if knows_deaths:
            for index, checks in enumerate(fleet.proxies):
                if index not in fleet.dead:
                    checks.update_live_peers(
                        START_US + 3_000_000, frozenset(range(40)) - fleet.dead
                    )
        now = START_US + 3_000_000
        while any(not fleet.check_counts[s] for s in "abcde"):
            fleet.run(now, now + 20_000)
            now += 20_000
        takeover_us[knows_deaths] = now - START_US - 3_000_000
    assert takeover_us[True] <= 3_000_000
    assert takeover_us[True] + 200_000 <= takeover_us[False]
