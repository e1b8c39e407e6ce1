"""One look at each server for the whole tier: who probes it and when, and what the others are told of it.

In a tier of forty each proxy sees few arrivals: were each to probe for itself, as few proxies do, it would
know the loads seconds late. Here the servers are dealt out. The first in a server's order of proxies probes
it steadily and tells all others what has changed; the next in the order steps in once nothing has been heard
of the server for a while, so that nobody needs to know who is alive. What a proxy is told is a hint: it is
taken only for servers that its own list names as ready.

Times are microseconds. An entry on the wire is a server's mark and its load over capacity in steps.
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

ENTRIES_MOST = 85  # in a message of 256 bytes
# Loads over capacity are told in these steps; the last two values are no loads.
STEP = 0.02
MOST, FAILED = 253, 255
# From so many proxies on looks are shared: below, each meets each server often enough by itself.
SHARED_FROM = 12
# The time between two looks of the same proxy at a server, as reports are refreshed about once a second.
LOOK_US = 1_000_000
# A change of at least this much is told at once, a smaller one only after the second time.
CHANGE = 0.1
QUIET_US = 5_000_000
# Of each part something is told at least this often.
BEAT_US = 2_000_000
# The next proxy in a part's order steps in after so much silence, and each further one so much later.
SILENT_US = 2_600_000
RANK_US = 100_000
# A proxy that hears nobody is more likely cut off than the last one alive. As all of a tier may be, only
# the first ranks step in as ever, each further one this many times as late, and look more slowly: so what the
# tier does as a whole stays bounded however many proxies it has.
DEAF_RANKS, DEAF_GROWTH = 4, 1.5
# The servers are dealt out in so many parts: whoever looks at several tells of them in one message, as each
# message costs more than what is in it. What looks begun together find is told after this time.
PARTS = 4
GATHER_US = 30_000


@dataclass(slots=True)
class _Seen:
    """What is known of one server."""

    mark: int
    rank: int  # this proxy's place in the server's order
    due: int  # when this proxy looks at it next
    told: float = -1.0  # load over capacity as last told by anybody
    told_at: int = 0
    looking: bool = False
    failed: bool = False  # as last told


def is_shared(settings: RoutingSettings) -> bool:
    """Tell whether looks are shared: where proxies may probe and talk, and are many."""
    return settings.can_check_health and settings.can_gossip and settings.proxy_count >= SHARED_FROM


class Lookout:
    """One proxy's part: events and a time in, actions out, and news for the decision module."""

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._present = frozenset(range(settings.proxy_count))
        self._ranks = self._rank_parts()
        self._servers: dict[str, _Seen] = {}
        self._marks: dict[
            int, list[str]
        ] = {}  # two servers of one mark: of these nothing is told or believed
        self.due: int | None = None  # when ``turn`` is to be called next
        self._news: dict[int, int] = {}  # to be told, by marks
        self._heard_at = [-SILENT_US] * PARTS  # when anything was last told of a part, by anybody
        self._others_at: int | None = (
            None  # when another proxy was last heard, or the first list came
        )
        self._tell_at = 0
        self.strange = 0  # entries and messages that could not be used

    def wants(self, server: str) -> bool:
        """Tell whether to begin a look at a server now; one that is under way serves."""
        seen = self._servers.get(server)
        if seen is None or seen.looking:
            return False
        seen.looking = True
        return True

    def knows(self, server: str) -> bool:
        """Tell whether the server is on the own list, and ready."""
        return server in self._servers

    def on_list(self, now: int, news: EndpointListUpdate) -> None:
        """Take which servers there are; none is looked at that the own list does not name as ready."""
        if news.kind is EndpointListKind.FAILED:
            return
        if self._others_at is None:
            self._others_at = now
        if news.kind is not EndpointListKind.CHANGES:
            named = {entry.server_id for entry in news.endpoints}
            for server in [s for s in self._servers if s not in named]:
                self._drop(server)
        for entry in news.endpoints:
            if entry.state is not ServerState.READY:
                self._drop(entry.server_id)
            elif entry.server_id not in self._servers:
                mark = crc32(entry.server_id.encode()) >> 16
                rank = self._ranks[mark % PARTS]
                due = now + (SILENT_US + rank * RANK_US if rank else 0)
                self._servers[entry.server_id] = _Seen(mark, rank, due)
                self._marks.setdefault(mark, []).append(entry.server_id)
        self._plan()

    def _rank_parts(self) -> list[int]:
        """Return this proxy's place in the order of each part: how many that are present come before it."""
        count, ranks = self._settings.proxy_count, []
        for part in range(PARTS):
            first = part * count // PARTS
            before = (self._settings.proxy_index - first) % count
            ranks.append(sum((proxy - first) % count < before for proxy in self._present))
        return ranks

    def on_present(self, now: int, proxies: frozenset[int]) -> None:
        """Go by these proxies: whoever follows one that is gone moves up, and is due as its place is."""
        if proxies == self._present:
            return
        self._present = proxies
        self._ranks = self._rank_parts()
        for seen in self._servers.values():
            rank = self._ranks[seen.mark % PARTS]
            if rank < seen.rank:
                due = max(self._heard_at[seen.mark % PARTS] + SILENT_US, now) + rank * RANK_US
                seen.due = min(seen.due, due)
            seen.rank = rank
        self._plan()

    def _drop(self, server: str) -> None:
        seen = self._servers.pop(server, None)
        if seen is not None:
            self._marks[seen.mark].remove(server)
            if not self._marks[seen.mark]:
                del self._marks[seen.mark]

    def on_look(self, now: int, result: HealthCheckCompleted) -> None:
        """Take what an own look has found; ``turn`` tells the others soon if it is news to them."""
        seen = self._servers.get(result.server_id)
        if seen is None:
            return
        seen.looking = False
        if len(self._marks[seen.mark]) > 1:
            return  # the others could not tell which is meant
        if result.result is AttemptResult.OK:
            report = result.report or LoadReport()
            ratio = report.utilization if report.load_ratio is None else report.load_ratio
            if ratio is None:
                return
            news = min(max(round(ratio / STEP), 0), MOST)
            again = not seen.failed and abs(news * STEP - seen.told) < CHANGE
        elif result.result in (AttemptResult.NOT_SENT, AttemptResult.CANCELLED):
            return
        else:
            # The others leave it out for 1 to 3 s, and would all meet it again before they were told again.
            news, again = FAILED, seen.failed and now < seen.told_at + BEAT_US
        part = seen.mark % PARTS
        if again and now < seen.told_at + QUIET_US and now < self._heard_at[part] + BEAT_US:
            return
        self._heard_at[part] = now
        seen.failed, seen.told_at = news == FAILED, now
        if not seen.failed:
            seen.told = news * STEP
        if not self._news:
            self._tell_at = now + GATHER_US
        self._news[seen.mark] = news
        self._plan()

    def on_told(self, now: int, message: SharedLoadReports) -> list[HealthCheckCompleted]:
        """Take what another proxy has found; what cannot be used is counted and passed over."""
        if not message.entries:
            self.strange += 1
            return []
        found = []
        for mark, news in message.entries:
            servers = self._marks.get(mark, ())
            if len(servers) != 1 or MOST < news < FAILED:
                self.strange += 1  # not on the own list, perhaps not yet
                continue
            server = servers[0]
            seen = self._servers[server]
            seen.told_at, seen.failed = now, news == FAILED
            self._heard_at[mark % PARTS] = now
            if seen.failed:
                found.append(HealthCheckCompleted(server, AttemptResult.RESET, 0))
            else:
                seen.told = news * STEP
                found.append(
                    HealthCheckCompleted(
                        server, AttemptResult.OK, 0, LoadReport(load_ratio=seen.told)
                    )
                )
        if found:
            self._hear(now)
            self._plan()
        else:
            self.on_message(now)
        return found

    def on_message(self, now: int) -> None:
        """Take that another proxy was heard, whatever it said."""
        if self._is_deaf(now):
            self._hear(now)
            self._plan()
        self._others_at = now

    def _hear(self, now: int) -> None:
        """Put off the looks at what was told of; those put off as nobody was heard are due as ever."""
        deaf = self._is_deaf(now)
        self._others_at = now
        for seen in self._servers.values():
            heard_at = self._heard_at[seen.mark % PARTS]
            if heard_at == now:
                seen.due = max(seen.due, now + SILENT_US + seen.rank * RANK_US)
            elif deaf:
                seen.due = min(seen.due, max(heard_at + SILENT_US, now) + seen.rank * RANK_US)

    def _is_deaf(self, now: int) -> bool:
        return self._others_at is not None and now >= self._others_at + SILENT_US

    def _deaf_due(self, now: int, rank: int) -> int:
        """When a proxy of this rank steps in if it has heard nobody; 0 while it hears somebody."""
        if rank <= DEAF_RANKS or self._others_at is None or not self._is_deaf(now):
            return 0
        late = DEAF_RANKS * RANK_US * DEAF_GROWTH ** min(rank - DEAF_RANKS, 30)
        return self._others_at + SILENT_US + int(late)

    def turn(self, now: int) -> list[Action]:
        """Begin the looks that are due, and tell what the last ones have found."""
        actions: list[Action] = []
        if self._news and self._tell_at <= now:
            entries = [ServerLoad(mark, news) for mark, news in self._news.items()]
            for first in range(0, len(entries), ENTRIES_MOST):
                message = SharedLoadReports(tuple(entries[first : first + ENTRIES_MOST]))
                actions.append(SendGossip(None, message))
            self._news.clear()
        for server, seen in self._servers.items():
            if seen.due <= now:
                deaf_due, rest = self._deaf_due(now, seen.rank), min(seen.rank, DEAF_RANKS)
                seen.due = (
                    deaf_due if deaf_due > now else now + LOOK_US * (1 + rest * self._is_deaf(now))
                )
                if deaf_due <= now and self.wants(server):
                    actions.append(CheckHealth(server))
        self._plan()
        return actions

    def _plan(self) -> None:
        self.due = min((seen.due for seen in self._servers.values()), default=None)
        if self._news and (self.due is None or self._tell_at < self.due):
            self.due = self._tell_at
