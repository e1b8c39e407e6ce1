"""Shared health checks: one proxy checks each server and reports the result to the whole fleet.

In a fleet of forty proxies each proxy sees few requests. If each of them checked the servers on its
own, as the proxies of small fleets do, it would learn their loads seconds late. Instead the servers
are divided into partitions, and each partition has its own order of the proxies. The first proxy in
the order checks the servers of the partition regularly and reports changes to its peers. The next
proxy takes over if no report has arrived within a timeout, so no proxy needs to know which others
are alive. A load report from a peer is only a hint: it is accepted only for servers that are listed
as ready in this proxy's own endpoint list.

Pure: takes events and the current time, returns actions. Times and durations are in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

from larchhaven.routing.actions import Action, CheckHealth, SendGossip
from larchhaven.routing.events import (
    AttemptResult,
    EndpointListKind,
    EndpointListUpdate,
    HealthCheckCompleted,
    LoadReport,
    ServerState,
)
from larchhaven.routing.gossip_messages import ServerLoad, SharedLoadReports
from larchhaven.routing.settings import RoutingSettings

# A load level on the wire is a load ratio in steps. Levels above MAX_LOAD_LEVEL encode no load.
LOAD_RATIO_STEP = 0.02
MAX_LOAD_LEVEL = 253
FAILED_LEVEL = 255
MAX_ENTRIES_PER_MESSAGE = 85  # fits into a datagram of 256 bytes

# In smaller fleets each proxy learns the load of each server often enough on its own.
MIN_PROXIES = 12

CHECK_INTERVAL_US = 1_000_000  # servers refresh their reports about once per second
SIGNIFICANT_CHANGE_RATIO = 0.1  # smaller changes are reported only when a refresh is due
REFRESH_INTERVAL_US = 5_000_000  # between reports of an unchanged load
HEARTBEAT_INTERVAL_US = 2_000_000  # maximum time between two reports of a partition
BATCHING_DELAY_US = 30_000  # collects the results of concurrent checks in one message

# The second proxy in a partition's order takes over after the timeout plus one step, each further
# proxy one step later.
TAKEOVER_TIMEOUT_US = 2_600_000
TAKEOVER_STEP_US = 100_000

# A proxy that receives nothing is more likely isolated than the only one alive, and all proxies may
# be isolated at once. So only the first ranks take over on time. The delay grows by a constant
# factor for each further rank, and isolated proxies check less often. This bounds the total number
# of checks for any number of proxies.
ISOLATED_RANKS = 4
ISOLATED_DELAY_GROWTH = 1.5
MAX_ISOLATED_DELAY_EXPONENT = 30

# Servers are assigned to proxies by partition, so that one message reports several servers.
PARTITIONS = 4
SERVER_HASH_SHIFT_BITS = 16


@dataclass(slots=True)
class _CheckedServer:
    """The check schedule and the last reported state of one server."""

    server_hash: int
    partition: int
    rank: int  # this proxy's position in the order of the partition, from 0
    check_due_us: int
    reported_ratio: float = -1.0  # last load ratio reported by any proxy; negative if none
    reported_at_us: int = 0
    is_checking: bool = False
    has_failed: bool = False  # according to the last report of any proxy


def uses_shared_checks(settings: RoutingSettings) -> bool:
    """Return whether health checks are shared.

    They are if health checks and gossip are allowed and there are at least ``MIN_PROXIES`` proxies.
    """
    may_share = settings.can_check_health and settings.can_gossip
    return may_share and settings.proxy_count >= MIN_PROXIES


class SharedHealthChecks:
    """The shared health checks as one proxy runs them.

    Attributes:
        due_us: When to call ``run_due`` next; None while no check or report is scheduled.
        invalid_entries: The number of empty messages and unusable entries received from peers.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.due_us: int | None = None
        self.invalid_entries = 0
        self._settings = settings
        self._live_peers = frozenset(range(settings.proxy_count))
        self._ranks = self._rank_partitions()
        self._servers: dict[str, _CheckedServer] = {}
        # Servers with the same hash are ambiguous: they are not reported, and reports of them are
        # not accepted.
        self._servers_by_hash: dict[int, list[str]] = {}
        self._pending_levels: dict[int, int] = {}  # by server hash
        self._pending_due_us = 0
        self._partition_reported_us = [-TAKEOVER_TIMEOUT_US] * PARTITIONS
        # When the last message from a peer or the first endpoint list was received.
        self._last_contact_us: int | None = None

    def try_begin_check(self, server_id: str) -> bool:
        """Mark a server as being checked.

        Returns:
            Whether the check may start: the server is ready and no other check of it is running.
        """
        server = self._servers.get(server_id)
        if server is None or server.is_checking:
            return False
        server.is_checking = True
        return True

    def is_ready(self, server_id: str) -> bool:
        """Return whether this proxy's endpoint list contains the server as ready."""
        return server_id in self._servers

    def update_endpoints(self, now_us: int, update: EndpointListUpdate) -> None:
        """Apply an endpoint list update; only servers that are listed as ready are checked."""
        if update.kind is EndpointListKind.FAILED:
            return
        if self._last_contact_us is None:
            self._last_contact_us = now_us
        if update.kind is not EndpointListKind.CHANGES:
            listed = {endpoint.server_id for endpoint in update.endpoints}
            for server_id in [tracked for tracked in self._servers if tracked not in listed]:
                self._remove(server_id)
        for endpoint in update.endpoints:
            if endpoint.state is not ServerState.READY:
                self._remove(endpoint.server_id)
            elif endpoint.server_id not in self._servers:
                self._add(now_us, endpoint.server_id)
        self._schedule()

    def update_live_peers(self, now_us: int, proxies: frozenset[int]) -> None:
        """Replace the set of live proxies; the proxies after a dead one move up in the order."""
        if proxies == self._live_peers:
            return
        self._live_peers = proxies
        self._ranks = self._rank_partitions()
        for server in self._servers.values():
            rank = self._ranks[server.partition]
            if rank < server.rank:
                takeover_us = self._partition_reported_us[server.partition] + TAKEOVER_TIMEOUT_US
                due_us = max(takeover_us, now_us) + rank * TAKEOVER_STEP_US
                server.check_due_us = min(server.check_due_us, due_us)
            server.rank = rank
        self._schedule()

    def record_result(self, now_us: int, check: HealthCheckCompleted) -> None:
        """Record the result of a check by this proxy; ``run_due`` later reports it if needed."""
        server = self._servers.get(check.server_id)
        if server is None:
            return
        server.is_checking = False
        if len(self._servers_by_hash[server.server_hash]) > 1:
            return  # the hash would not identify the server to peers
        level = _load_level(check)
        if level is None or not self._is_report_due(now_us, server, level):
            return
        self._partition_reported_us[server.partition] = now_us
        server.reported_at_us = now_us
        server.has_failed = level == FAILED_LEVEL
        if not server.has_failed:
            server.reported_ratio = level * LOAD_RATIO_STEP
        if not self._pending_levels:
            self._pending_due_us = now_us + BATCHING_DELAY_US
        self._pending_levels[server.server_hash] = level
        self._schedule()

    def receive_reports(
        self, now_us: int, message: SharedLoadReports
    ) -> list[HealthCheckCompleted]:
        """Convert a peer's load reports to check results, counting invalid entries."""
        if not message.entries:
            self.invalid_entries += 1
            return []
        results = []
        for entry in message.entries:
            result = self._receive_entry(now_us, entry)
            if result is None:
                self.invalid_entries += 1
            else:
                results.append(result)
        if results:
            self._postpone_checks(now_us)
            self._schedule()
        else:
            self.record_contact(now_us)
        return results

    def record_contact(self, now_us: int) -> None:
        """Record that a message of any kind was received from a peer."""
        if self._is_isolated(now_us):
            self._postpone_checks(now_us)
            self._schedule()
        self._last_contact_us = now_us

    def run_due(self, now_us: int) -> list[Action]:
        """Return the health checks and the load reports that are due."""
        actions: list[Action] = []
        if self._pending_levels and self._pending_due_us <= now_us:
            actions += self._take_pending_reports()
        for server_id, server in self._servers.items():
            if server.check_due_us <= now_us and self._begin_due_check(now_us, server_id, server):
                actions.append(CheckHealth(server_id))
        self._schedule()
        return actions

    def _rank_partitions(self) -> list[int]:
        """Return this proxy's position in the order of each partition, counting live proxies."""
        count = self._settings.proxy_count
        ranks = []
        for partition in range(PARTITIONS):
            first = partition * count // PARTITIONS
            own_position = (self._settings.proxy_index - first) % count
            ranks.append(sum((peer - first) % count < own_position for peer in self._live_peers))
        return ranks

    def _add(self, now_us: int, server_id: str) -> None:
        server_hash = crc32(server_id.encode()) >> SERVER_HASH_SHIFT_BITS
        partition = server_hash % PARTITIONS
        rank = self._ranks[partition]
        delay_us = TAKEOVER_TIMEOUT_US + rank * TAKEOVER_STEP_US if rank else 0
        due_us = now_us + delay_us
        self._servers[server_id] = _CheckedServer(server_hash, partition, rank, due_us)
        self._servers_by_hash.setdefault(server_hash, []).append(server_id)

    def _remove(self, server_id: str) -> None:
        server = self._servers.pop(server_id, None)
        if server is None:
            return
        same_hash_ids = self._servers_by_hash[server.server_hash]
        same_hash_ids.remove(server_id)
        if not same_hash_ids:
            del self._servers_by_hash[server.server_hash]

    def _is_report_due(self, now_us: int, server: _CheckedServer, level: int) -> bool:
        if level == FAILED_LEVEL:
            # Peers eject a failed server for only 1 to 3 s. Without a repeated report all of them
            # would try it again before the next refresh.
            is_repeat = server.has_failed and now_us < server.reported_at_us + HEARTBEAT_INTERVAL_US
        else:
            change = abs(level * LOAD_RATIO_STEP - server.reported_ratio)
            is_repeat = not server.has_failed and change < SIGNIFICANT_CHANGE_RATIO
        if not is_repeat or now_us >= server.reported_at_us + REFRESH_INTERVAL_US:
            return True
        last_report_us = self._partition_reported_us[server.partition]
        return now_us >= last_report_us + HEARTBEAT_INTERVAL_US

    def _receive_entry(self, now_us: int, entry: ServerLoad) -> HealthCheckCompleted | None:
        server_ids = self._servers_by_hash.get(entry.server_hash, ())
        if len(server_ids) != 1 or MAX_LOAD_LEVEL < entry.level < FAILED_LEVEL:
            return None  # unlisted (or not yet listed) or ambiguous server, or an invalid level
        server_id = server_ids[0]
        server = self._servers[server_id]
        server.reported_at_us = now_us
        server.has_failed = entry.level == FAILED_LEVEL
        self._partition_reported_us[server.partition] = now_us
        if server.has_failed:
            return HealthCheckCompleted(server_id, AttemptResult.RESET, 0)
        server.reported_ratio = entry.level * LOAD_RATIO_STEP
        report = LoadReport(load_ratio=server.reported_ratio)
        return HealthCheckCompleted(server_id, AttemptResult.OK, 0, report)

    def _postpone_checks(self, now_us: int) -> None:
        """Postpone checks of the partitions that a report has just covered.

        If this proxy was isolated until now, checks of the other partitions are brought forward to
        the regular takeover time.
        """
        was_isolated = self._is_isolated(now_us)
        self._last_contact_us = now_us
        for server in self._servers.values():
            reported_us = self._partition_reported_us[server.partition]
            rank_delay_us = server.rank * TAKEOVER_STEP_US
            if reported_us == now_us:
                takeover_us = now_us + TAKEOVER_TIMEOUT_US + rank_delay_us
                server.check_due_us = max(server.check_due_us, takeover_us)
            elif was_isolated:
                takeover_us = max(reported_us + TAKEOVER_TIMEOUT_US, now_us) + rank_delay_us
                server.check_due_us = min(server.check_due_us, takeover_us)

    def _is_isolated(self, now_us: int) -> bool:
        last_contact_us = self._last_contact_us
        return last_contact_us is not None and now_us >= last_contact_us + TAKEOVER_TIMEOUT_US

    def _isolated_due_us(self, now_us: int, rank: int) -> int:
        """Return when an isolated proxy of this rank takes over; 0 if it need not wait."""
        last_contact_us = self._last_contact_us
        if rank <= ISOLATED_RANKS or last_contact_us is None or not self._is_isolated(now_us):
            return 0
        exponent = min(rank - ISOLATED_RANKS, MAX_ISOLATED_DELAY_EXPONENT)
        delay_us = ISOLATED_RANKS * TAKEOVER_STEP_US * ISOLATED_DELAY_GROWTH**exponent
        return last_contact_us + TAKEOVER_TIMEOUT_US + int(delay_us)

    def _begin_due_check(self, now_us: int, server_id: str, server: _CheckedServer) -> bool:
        isolated_due_us = self._isolated_due_us(now_us, server.rank)
        if isolated_due_us > now_us:
            server.check_due_us = isolated_due_us
            return False
        slowdown = min(server.rank, ISOLATED_RANKS) if self._is_isolated(now_us) else 0
        server.check_due_us = now_us + CHECK_INTERVAL_US * (1 + slowdown)
        return self.try_begin_check(server_id)

    def _take_pending_reports(self) -> list[Action]:
        entries = [ServerLoad(*item) for item in self._pending_levels.items()]
        self._pending_levels.clear()
        return [
            SendGossip(
                None, SharedLoadReports(tuple(entries[first : first + MAX_ENTRIES_PER_MESSAGE]))
            )
            for first in range(0, len(entries), MAX_ENTRIES_PER_MESSAGE)
        ]

    def _schedule(self) -> None:
        self.due_us = min((server.check_due_us for server in self._servers.values()), default=None)
        if self._pending_levels and (self.due_us is None or self._pending_due_us < self.due_us):
            self.due_us = self._pending_due_us


def _load_level(check: HealthCheckCompleted) -> int | None:
    """Return the load level to report for a check; None if there is none to report."""
    if check.result in (AttemptResult.NOT_SENT, AttemptResult.CANCELLED):
        return None
    if check.result is not AttemptResult.OK:
        return FAILED_LEVEL
    report = check.report or LoadReport()
    ratio = report.utilization if report.load_ratio is None else report.load_ratio
    if ratio is None:
        return None
    return min(max(round(ratio / LOAD_RATIO_STEP), 0), MAX_LOAD_LEVEL)
