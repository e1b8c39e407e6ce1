"""One health check of each server for the whole fleet of proxies: who checks, and who is notified.

With forty proxies each sees few requests: were each to check servers for itself, as few proxies do,
it would learn their loads seconds late. Here the servers are dealt out. The first proxy in the
order of a server's partition checks it steadily and notifies the others of changes; the next one in
the order steps in once nothing has been received for a while, so that nobody needs to know who is
alive. A load report from a peer is a hint: it is accepted only for servers that the own endpoint
list names as ready.

Pure: events and a time in, actions out. Times and durations are microseconds.
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

# Load levels on the wire are load ratios in steps; the highest values stand for no load.
LOAD_RATIO_STEP = 0.02
MAX_LOAD_LEVEL = 253
FAILED_LEVEL = 255
MAX_ENTRIES_PER_MESSAGE = 85  # in a datagram of 256 bytes

# With fewer proxies each meets each server often enough by itself.
MIN_PROXIES = 12

CHECK_INTERVAL_US = 1_000_000  # servers refresh their reports about once a second
SIGNIFICANT_CHANGE_RATIO = 0.1  # a smaller change is sent only when a refresh is due
REFRESH_INTERVAL_US = 5_000_000  # of an unchanged load
HEARTBEAT_INTERVAL_US = 2_000_000  # at least one report of each partition
BATCHING_DELAY_US = 30_000  # results of checks that began together share a message

# The next proxy in a partition's order steps in after the timeout, each further one a bit later.
TAKEOVER_TIMEOUT_US = 2_600_000
TAKEOVER_STEP_US = 100_000

# A proxy that receives nothing is more likely cut off than the last one alive. As all may be cut
# off, only the first ranks step in on time, each further one later by a growing factor, and checks
# less often: what all proxies do together stays bounded, however many there are.
ISOLATED_RANKS = 4
ISOLATED_DELAY_GROWTH = 1.5
MAX_ISOLATED_DELAY_EXPONENT = 30

# Servers are dealt out by partition: who checks several reports them in one message.
PARTITIONS = 4
SERVER_HASH_SHIFT_BITS = 16


@dataclass(slots=True)
class _CheckedServer:
    """What is known of one server."""

    server_hash: int
    partition: int
    rank: int  # this proxy's place in the order of the partition
    check_due_us: int
    reported_ratio: float = -1.0  # as last sent by any proxy; negative before the first
    reported_at_us: int = 0
    is_checking: bool = False
    has_failed: bool = False  # as last sent


def uses_shared_checks(settings: RoutingSettings) -> bool:
    """Return whether proxies share health checks: they may check, may gossip, and are many."""
    may_share = settings.can_check_health and settings.can_gossip
    return may_share and settings.proxy_count >= MIN_PROXIES


class SharedHealthChecks:
    """One proxy's part in the shared health checks.

    Attributes:
        due_us: When ``run_due`` is to be called next; None while there is nothing to check.
        invalid_entries: Entries and messages from peers that could not be used.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.due_us: int | None = None
        self.invalid_entries = 0
        self._settings = settings
        self._live_peers = frozenset(range(settings.proxy_count))
        self._ranks = self._rank_partitions()
        self._servers: dict[str, _CheckedServer] = {}
        # Servers that share a hash are neither reported nor accepted.
        self._servers_by_hash: dict[int, list[str]] = {}
        self._pending_levels: dict[int, int] = {}  # by server hash
        self._pending_due_us = 0
        self._partition_reported_us = [-TAKEOVER_TIMEOUT_US] * PARTITIONS
        # When a peer was last heard from, or the first endpoint list came.
        self._last_contact_us: int | None = None

    def try_begin_check(self, server_id: str) -> bool:
        """Mark a check of a server as begun; False if one is under way or it is not ready."""
        server = self._servers.get(server_id)
        if server is None or server.is_checking:
            return False
        server.is_checking = True
        return True

    def is_ready(self, server_id: str) -> bool:
        """Return whether the own endpoint list names the server as ready."""
        return server_id in self._servers

    def update_endpoints(self, now_us: int, update: EndpointListUpdate) -> None:
        """Take a watch event; only servers that are listed as ready are checked."""
        if update.kind is EndpointListKind.FAILED:
            return
        if self._last_contact_us is None:
            self._last_contact_us = now_us
        if update.kind is not EndpointListKind.CHANGES:
            listed = {endpoint.server_id for endpoint in update.endpoints}
            for server_id in [known for known in self._servers if known not in listed]:
                self._remove(server_id)
        for endpoint in update.endpoints:
            if endpoint.state is not ServerState.READY:
                self._remove(endpoint.server_id)
            elif endpoint.server_id not in self._servers:
                self._add(now_us, endpoint.server_id)
        self._schedule()

    def update_live_peers(self, now_us: int, proxies: frozenset[int]) -> None:
        """Go by these live proxies: whoever follows one that is gone moves up in the order."""
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
        """Take the result of an own check; ``run_due`` reports it soon if that is due."""
        server = self._servers.get(check.server_id)
        if server is None:
            return
        server.is_checking = False
        if len(self._servers_by_hash[server.server_hash]) > 1:
            return  # peers could not tell which server is meant
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
        """Return what a peer's checks have found, as results; invalid entries are counted."""
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
        """Take note that a peer was heard from, whatever it sent."""
        if self._is_isolated(now_us):
            self._postpone_checks(now_us)
            self._schedule()
        self._last_contact_us = now_us

    def run_due(self, now_us: int) -> list[Action]:
        """Return the checks that are due and the reports of what the last ones have found."""
        actions: list[Action] = []
        if self._pending_levels and self._pending_due_us <= now_us:
            actions += self._take_pending_reports()
        for server_id, server in self._servers.items():
            if server.check_due_us <= now_us and self._begin_due_check(now_us, server_id, server):
                actions.append(CheckHealth(server_id))
        self._schedule()
        return actions

    def _rank_partitions(self) -> list[int]:
        """Return this proxy's place in the order of each partition, among the live proxies."""
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
        sharing_hash = self._servers_by_hash[server.server_hash]
        sharing_hash.remove(server_id)
        if not sharing_hash:
            del self._servers_by_hash[server.server_hash]

    def _is_report_due(self, now_us: int, server: _CheckedServer, level: int) -> bool:
        if level == FAILED_LEVEL:
            # Peers eject it for 1 to 3 s, and would all try it again before the next report.
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
            return None  # not on the own list, perhaps not yet
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
        """Postpone checks of what was just reported; those put off in isolation are due again."""
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
        """Return when a proxy of this rank steps in while isolated; 0 if it need not wait."""
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
    """Return the level to report for a check; None if it says nothing of the server."""
    if check.result in (AttemptResult.NOT_SENT, AttemptResult.CANCELLED):
        return None
    if check.result is not AttemptResult.OK:
        return FAILED_LEVEL
    report = check.report or LoadReport()
    ratio = report.utilization if report.load_ratio is None else report.load_ratio
    if ratio is None:
        return None
    return min(max(round(ratio / LOAD_RATIO_STEP), 0), MAX_LOAD_LEVEL)
