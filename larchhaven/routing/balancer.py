"""Every decision of a balancer for long-lived connections: least ratio routing.

The types are in ``interface.py``. Each new connection goes to the ready server with the lowest last reported
load over capacity plus own placements since, and stays there (Alanyali and Hajek); near ties at random, or
alike for a group. Times are microseconds, loads are standard cores.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left, insort
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import accumulate, islice
from zlib import crc32

from larchhaven.routing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    MigrateConnection,
    RejectRequest,
    SendGossip,
    StartAttempt,
    StartTimer,
    WatchEndpoints,
)
from larchhaven.routing.events import (
    AdministrativeEjection,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
    ConnectionRestored,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HealthCheckCompleted,
    LivePeersChanged,
    LoadReport,
    MessageDelayObserved,
    ProxyDraining,
    RequestArrived,
    ServerState,
    ServerUnresponsive,
    TimerFired,
)
from larchhaven.routing.gossip_messages import (
    LearnedState,
    ProxyStarted,
    StickyEntries,
    StickyEntry,
    StickyEntryQuery,
)
from larchhaven.routing.settings import DeduplicationScope, Idempotency, RoutingSettings

REPORT_LAG_US = (
    800_000  # a report shows a server as it was so long before it came: half a refresh, transport
)
PROBE_SPEND, PROBES_LEAST, PROBES_MOST = (
    0.006,
    1,
    8,
)  # points that a request may spend on probes; how many
FIRST_LOAD, LEARN = (
    0.04,
    0.05,
)  # a connection's load before any is told; weight of a new sample in means
RATE_SPAN_US = 5_000_000  # arrivals are counted over several report lags, so that bursts show
STALE_US, RANK_US = (
    10_000_000,
    1_000_000,
)  # a report tells half as much after this; all are ranked so often
HEAVY = 2.0  # from this multiple of the mean load on, a connection's own load counts in the ratios
FULL_RATIO, SLOW_US = (
    1.0,
    2_000_000,
)  # added to the ratio of one that is full or slow, for so long after
PROBE_WAIT = (
    0.2  # a request waits for the probes made for it for this part of its set-up aim at most
)
TRY_SHARE = (
    0.5  # an attempt leaves another try the set-up aim, or this part of the time left if shorter
)
HOLD_SHARE = (
    0.25  # a request without a ready server is looked at this often, in parts of its set-up aim
)
COLD_FILL = (
    0.8  # all instances together fill a cold server so many tip_multiples as fast as in its warm-up
)
# First time out of an ejected server, the most it doubles to, and how long until the next is a first one.
EJECT_US, EJECT_MOST_US, PROVEN_US = 2_000_000, 30_000_000, 10_000_000
EJECT_PART = 0.5  # with more of the fleet ejected the cause is shared, and ejection is not heeded
# From so many failed set-ups in a row on, they are paced: by these multiples of the shortest set-up aim.
GATE_AFTER, GATE_SHARE, GATE_MOST = 2, 0.5, 8
# Relief: connections of a server above the first ratio are moved down to the fleet's mean, or to the second
# ratio if that is higher, while so many points of service for each request may be spent on moves.
RELIEF_FROM, RELIEF_TO, MOVE_SPEND = 0.9, 0.75, 0.01
RELIEF_REST = 3  # times the lag of reports, as moved clients come again only after a while
# Clients of a draining server are moved within the grace of its drain, or, so that the servers left are not
# flooded, at most so many times as fast as new ones usually come, but within so many times the grace.
DRAIN_RUSH, DRAIN_MOST = 4.0, 2.0
LEAVE_SHARE = (
    0.8  # an instance that stops moves its connections within this part of the time left to it
)
SATURATED = (
    2.0  # a report above this is of a jam and counts as this much: ratios run beyond the load
)
# A server over the third of these gets nothing new. Between the first two, by the median of the others or the
# lowest and the last if that is less, arrivals are refused: those of the least worth for their load first.
REFUSE_FROM, REFUSE_ALL, FILLED, SPREAD = 0.5, 0.75, 0.85, 0.3
GROUP_BAND, GROUP_LOOKS = (
    0.4,
    3,
)  # so far above the lowest are near ties for a group; looks at them, in turn
# One instance's part stands for so many at most unseen; from so many on several keep what each knows.
SPEAKS_FOR, MANY, MIX = 4, 8, 0x9E3779B97F4A7C15
DENSITIES = 32  # what an arrival is worth is ranked among so many before it
TAG, MARK, TOLD_MOST = (
    4,
    2,
    42,
)  # bytes of a hashed key and server's id, an entry; so many fit in a message
KEEPERS, AGAIN_MOST = (
    4,
    10 * TOLD_MOST,
)  # by its key, of where a connection stands; told anew at a start
RECENT_MOST = 512  # own changes that a report may not hold yet; more do not fit in its lag
ASK_US = (
    100_000  # a mid-flow connection unknown here waits so long for others to tell where it stands
)
# A failed subscription is asked for again after the first part of ask_within, doubling up to the whole. Calls
# leave the list service this long for each instance, or forty keep it too busy to answer any; but one that
# has not asked within ask_within counts as told, so the first call is out by the second part. Where lists are
# pushed all counts as told at once: half the grace of drains takes the place of ask_within.
ASK_SHARE, ASK_EACH_US, ASK_MOST = 0.1, 125_000, 0.5

MAY_HAVE_RUN = (
    AttemptResult.ERROR,
    AttemptResult.TIMEOUT,
    AttemptResult.RESET,
    AttemptResult.CANCELLED,
)
SHARED_FAULTS = (AttemptResult.ERROR, AttemptResult.TIMEOUT)
QUICK_FAULTS = (AttemptResult.ERROR, AttemptResult.RESET)
SERVER_FAULTS = (
    AttemptResult.ERROR,
    AttemptResult.TIMEOUT,
    AttemptResult.RESET,
    AttemptResult.UNREACHABLE,
)


def _short(text: str, size: int) -> bytes:
    return crc32(text.encode()).to_bytes(4, "big")[:size]


@dataclass(slots=True, eq=False)
class Conn:
    """A request, and the connection it becomes."""

    id: int
    cls: int
    deadline: int
    load: float
    tag: bytes = b""  # of its key, if it has one
    midflow: bool = False
    group: int | None = None  # hashed
    at: str | None = None  # the only server that will do
    attempts: int = 0
    out: int | None = None  # the attempt that is out, if any
    server: Server | None = None  # where it is out to
    flows: bool = False
    done: bool = False  # answered; kept only until its attempt ends
    ran_at: int = 0
    ran_on: Server | None = None  # where an attempt may have run first
    tried: list[Server] = field(default_factory=list)
    doubted: list[Server] = field(
        default_factory=list
    )  # perhaps not they but the request is at fault
    looks: int = 0  # probes it waits for
    looked: list[Server] = field(default_factory=list)  # probed for it
    tenant: int = 0
    turn: int = 0  # counts its waits, so that a stale timer does not end a later one


@dataclass(slots=True, eq=False)
class Server:
    """What this instance knows of one server."""

    id: str
    tie: float  # orders exact ties at random, differently at each instance
    mark: bytes  # short for its id, the same at all instances
    listed: Endpoint  # what the list last told of it
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    state: ServerState = ServerState.REMOVED
    started_at: int = -1  # unlike any that a list tells
    entry: tuple[float, float, Server] | None = None  # its place in the ranking, if ready
    ratio: float | None = None  # load over capacity as last reported
    report_at: int = 0
    slow_until: int = 0  # its messages take long
    full_until: int = 0  # it turned one away
    conns: dict[int, Conn] = field(default_factory=dict)  # own connections that flow
    relief_at: int = 0  # no probe for a jam before
    moved_until: int = 0  # moves from here do not show yet
    own: float = 0.0  # own load added since that report
    recent: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=RECENT_MOST))
    eject_span: int = 0
    ejected_until: int = -PROVEN_US
    warm_at: int = 0
    told_at: int = 0  # when the list first told that it drains or is gone
    open_at: int = 0  # while cold, closed to this instance until then


class Balancer:
    """One instance: events and the time in, actions out."""

    def __init__(self, settings: RoutingSettings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.actions: list[Action] = []
        self.started = False
        self.conns: dict[int, Conn] = {}
        self.fleet: dict[str, Server] = {}
        self.ranking: list[tuple[float, float, Server]] = []  # ready servers, lowest ratio first
        self.holders: dict[
            bytes, bytes
        ] = {}  # marks of servers by tags of the connections that stand there
        self.marks: dict[bytes, Server] = {}
        self.open: Counter[int] = Counter()  # own connections that flow, by tenant
        self.quotas = [*(tenant.connection_quota for tenant in settings.tenants), 0.0]
        self.suspended: set[str] = set()  # ids that operators have taken out
        self.present = frozenset(
            range(settings.proxy_count)
        )  # the instances that are not known to be gone
        self.tells = settings.can_gossip and settings.pass_through and settings.proxy_count > 1
        self.timers: dict[int, Callable[[], None]] = {}
        self.class_load = [FIRST_LOAD] * len(settings.classes)
        self.now = self.next_token = self.ask_span = self.ranked_at = 0
        self.ask_most = (
            settings.poll_deadline_us
            if settings.subscribes_to_endpoints
            else settings.drain_grace_us // 2
        )
        parts = (int(part * self.ask_most) for part in (ASK_SHARE, ASK_MOST))
        self.calm = sorted((*parts, ASK_EACH_US * settings.proxy_count))[1]
        self.failures = self.gate_at = (
            0  # set-ups that failed since one last stood; none begun before
        )
        self.arrivals: deque[int] = deque()
        self.mean_load = FIRST_LOAD
        self.densities: deque[float] = deque(maxlen=DENSITIES)
        self.ratio_sum = self.ratio_weight = self.probe_credit = self.move_credit = 0.0
        self.waiting: dict[str, list[Conn]] = {}  # requests that wait for a probe of this server
        spend = (
            PROBE_SPEND / settings.costs.health_check
            if settings.costs.health_check > 0
            else PROBES_MOST
        )
        self.probes_each = (
            min(max(spend, PROBES_LEAST), PROBES_MOST) if settings.can_check_health else 0
        )
        self.moves_each = min(MOVE_SPEND / max(settings.costs.migration, MOVE_SPEND), 1.0)
        self.leave_by = (
            0  # when this instance stops, the last of its connections is to be moved by then
        )
        self.handlers: dict[type, Callable[..., None]] = {
            RequestArrived: self._on_arrival,
            ConnectionRestored: self._on_resumed,
            TimerFired: self._on_timer,
            EndpointListUpdate: self._on_list,
            HealthCheckCompleted: self._on_probe,
            GossipReceived: self._on_peer,
            ConnectionLoadChanged: self._on_load_note,
            MessageDelayObserved: self._on_delay_note,
            ServerUnresponsive: self._on_stalled,
            ProxyDraining: self._on_leaving,
            AdministrativeEjection: self._on_suspended,
            ClientDisconnected: self._on_client_gone,
            ConnectionEstablished: self._on_established,
            AttemptEnded: self._on_ended,
            LivePeersChanged: self._on_present,
        }

    def handle(self, now: int, events: Iterable[Event]) -> Sequence[Action]:
        """Take the events of one moment and return the actions they call for, in order."""
        self.now = now
        self.actions = []
        if not self.started:
            self.started = True
            if self.settings.subscribes_to_endpoints:
                self._after(
                    self.rng.random() * self.calm, lambda: self.actions.append(WatchEndpoints())
                )
            count = self.settings.proxy_count
            for step in ((-1, 1) if count >= MANY else (-1,)) if self.tells else ():
                self.actions.append(
                    SendGossip((self.settings.proxy_index + step) % count, ProxyStarted())
                )
        for event in events:
            self.handlers[type(event)](event)
        return self.actions

    # Request lifecycle

    def _on_arrival(self, event: RequestArrived) -> None:
        conn = self._admit(event)
        self.arrivals.append(self.now)
        self.mean_load += LEARN * (conn.load - self.mean_load)
        self.probe_credit += self.probes_each
        self.move_credit += self.moves_each
        if conn.at is not None or self._holder(conn) is not None:
            self._place(conn)
        elif conn.midflow and conn.tag and self.tells:
            for peer in self._keepers(conn.tag) if self.settings.proxy_count >= MANY else [None]:
                self.actions.append(SendGossip(peer, StickyEntryQuery(conn.tag)))
            self._hold(conn, min(ASK_US, HOLD_SHARE * event.budget_us))
        elif self._refuses(conn):
            self._give_up(conn)
            self._refresh()
        elif self.now < self.gate_at:
            self._place(conn)
        else:
            self._look(conn)
            self._refresh()

    def _admit(self, event: RequestArrived) -> Conn:
        cls = min(max(event.class_index, 0), len(self.settings.classes) - 1)
        load = self.class_load[cls] if event.load is None else event.load
        tag = b"" if event.affinity_key is None else _short(str(event.affinity_key), TAG)
        group = None if event.affinity_group is None else crc32(str(event.affinity_group).encode())
        conn = Conn(
            event.request_id,
            cls,
            self.now + event.budget_us,
            load,
            tag,
            event.is_mid_flow,
            group,
            event.pinned_server_id,
        )
        conn.tenant = event.tenant_index
        self.conns[conn.id] = conn
        return conn

    def _on_resumed(self, event: ConnectionRestored) -> None:
        conn = self._admit(event.arrival)
        conn.attempts, conn.out, conn.flows = 1, 0, True
        conn.server = self.fleet.get(event.server_id)
        self._stand(conn)

    def _place(self, conn: Conn) -> None:
        """Send a request to its server now, hold it for one, or answer it when its time or tries are up."""
        limits, left = self.settings, conn.deadline - self.now
        if (
            left <= 2 * limits.timer_resolution_us
            or conn.attempts >= limits.max_attempts
            or not self._may_send(conn)
        ):
            return self._give_up(conn)
        aim = limits.classes[conn.cls].latency_objective_us
        server = self._holder(conn)
        if server is None and conn.at is None and self.now >= self.gate_at:
            near, shares = self._band(conn)
            server = self.rng.choices(near, shares)[0] if near else None
            known = (
                server is not None
                and not conn.midflow
                and (server.ratio is not None or server.own > 0)
            )
            if server is not None and known and self._fill(server) > FILLED:
                return self._give_up(conn)  # it would jam, and others with it
        alone = server is None and (conn.tried or self.suspended)
        if alone and all(e[2] in conn.tried for e in self.ranking):
            return self._give_up(conn)  # nobody is left to wait for
        if server is None:
            wait = max(HOLD_SHARE * aim, self.gate_at - self.now) * (1 + self.rng.random() / 2)
            return self._hold(conn, min(wait, left - 2 * limits.timer_resolution_us))
        if self.failures >= GATE_AFTER:
            self._shut_gate()  # let one through, and see how it fares
        conn.out = conn.attempts
        conn.attempts += 1
        conn.server = server
        # While set-ups fail one after the other a further try helps nobody: this one gets all the time.
        spare = conn.attempts < limits.max_attempts and self.failures < GATE_AFTER
        timeout = int(max(left - aim, TRY_SHARE * left)) if spare else left
        self._close_cold(server, max(conn.load / max(self.mean_load, 1e-6), 1.0))
        self._add_own(server, conn.load)
        self.actions.append(StartAttempt(conn.id, server.id, timeout))
        return None

    def _hold(self, conn: Conn, wait_us: float) -> None:
        conn.turn += 1
        turn = conn.turn
        self._after(wait_us, lambda: self._resume_held(conn) if conn.turn == turn else None)

    def _holder(self, conn: Conn) -> Server | None:
        """Where a mid-flow connection is known to stand, also while that server drains, within the grace."""
        if conn.at is not None:
            pinned = self.fleet.get(conn.at)
            return None if pinned is None or pinned.state is ServerState.REMOVED else pinned
        server = self.marks.get(self.holders.get(conn.tag, b""))
        if (
            not conn.midflow
            or conn.attempts
            or server is None
            or server.state is ServerState.REMOVED
        ):
            return None
        graced = (
            self.now
            < server.told_at + self.settings.drain_grace_us - self.settings.timer_resolution_us
        )
        return server if server.state is ServerState.READY or graced else None

    def _resume_held(self, conn: Conn, then: Callable[[Conn], None] | None = None) -> None:
        conn.turn += 1
        if not conn.done and conn.out is None and conn.id in self.conns:
            (then or self._place)(conn)

    def may_begin(self, now: int, request: int) -> bool:
        """Rule 2 as the first byte is about to go out, however long the connection took to come up."""
        self.now, conn = now, self.conns.get(request)
        return conn is not None and self._may_send(conn) and self._allowed(conn, conn.server)

    def _may_send(self, conn: Conn) -> bool:
        """Rule 2: whether another attempt can do no harm."""
        cls = self.settings.classes[conn.cls]
        safe = conn.ran_on is None or cls.idempotency is Idempotency.ALWAYS
        return safe or (
            cls.idempotency is Idempotency.WITH_KEY
            and self.now < conn.ran_at + cls.deduplication_window_us
        )

    def _allowed(self, conn: Conn, server: Server | None) -> bool:
        """Rule 2: a keyed request that may have run stays with the servers that discard its duplicates."""
        cls, first = self.settings.classes[conn.cls], conn.ran_on
        if (
            first is None
            or server is None
            or cls.idempotency is not Idempotency.WITH_KEY
            or cls.deduplication_scope is DeduplicationScope.ALL
        ):
            return True
        return (
            server.zone == first.zone
            if cls.deduplication_scope is DeduplicationScope.ZONE
            else server.cell == first.cell
        )

    def _give_up(self, conn: Conn) -> None:
        """Give the one final answer of a request that has no attempt out."""
        cls, refusal = (
            self.settings.classes[conn.cls],
            RejectRequest(conn.id, self.settings.max_retry_after_us),
        )
        again = cls.idempotency is Idempotency.ALWAYS or (
            cls.idempotency is Idempotency.WITH_KEY
            and cls.deduplication_scope is DeduplicationScope.ALL
        )
        self.actions.append(refusal if conn.ran_on is None or again else FailRequest(conn.id))
        self._close(conn)

    def _close(self, conn: Conn) -> None:
        conn.done = True
        if conn.out is None:
            self.conns.pop(conn.id, None)

    def _on_client_gone(self, event: ClientDisconnected) -> None:
        conn = self.conns.get(event.request_id)
        if conn is None or conn.done:
            return
        if conn.out is not None and not conn.flows and self.settings.can_cancel:
            self.actions.append(CancelAttempt(conn.id, conn.out))
        self._close(conn)

    def _on_established(self, event: ConnectionEstablished) -> None:
        conn = self.conns.get(event.request_id)
        if conn is not None and conn.out == event.attempt:
            conn.flows = True
            # One that stands does not prove that all would: the pace doubles, it is not given up at once.
            self.failures //= 2
            if self.failures < GATE_AFTER:
                self.gate_at = 0
            for doubted in conn.doubted:
                self._eject(doubted)  # nothing is wrong with a request that another server takes
            self._stand(conn)

    def _stand(self, conn: Conn) -> None:
        self.open[conn.tenant] += 1
        if conn.server is not None:
            conn.server.conns[conn.id] = conn
            if conn.tag:
                # The next instance knows it too, should this one end without a word.
                self._remember(conn.tag, conn.server.mark)
                for peer in self._keepers(conn.tag):
                    self._tell_held(peer, [conn.tag])
            if conn.server.state is ServerState.DRAINING:
                self._clear(conn.server, [conn])
        if self.leave_by:
            self._leave(conn)

    def _on_ended(self, event: AttemptEnded) -> None:
        conn = self.conns.get(event.request_id)
        server = self.fleet.get(event.server_id)
        # A request that no server can use fails at each in turn, and one with no time left at any.
        aim = (
            self.settings.classes[conn.cls].latency_objective_us
            if conn is not None and not conn.flows
            else 0
        )
        quick = event.latency_us < TRY_SHARE * aim
        if server is not None:
            self._take_report(server, event.report, event.latency_us)
            if conn is not None and quick and event.result in QUICK_FAULTS:
                conn.doubted.append(server)
            elif event.result in SERVER_FAULTS and not (
                quick and event.result is AttemptResult.TIMEOUT
            ):
                self._eject(server)
            elif event.result is AttemptResult.OVERLOADED:
                server.full_until = self.now + SLOW_US
                self._reorder(server)
        if conn is None or conn.out != event.attempt:
            return
        once = event.result is AttemptResult.ERROR and conn.attempts == 1
        if event.result in SHARED_FAULTS and not conn.flows and (once or not quick):
            self.failures += 1
            if self.failures >= GATE_AFTER:
                self._shut_gate()
        if conn.server is not None:
            conn.server.conns.pop(conn.id, None)
            self._add_own(conn.server, -conn.load)
            if event.result in MAY_HAVE_RUN and conn.ran_on is None:
                conn.ran_on, conn.ran_at = conn.server, self.now - event.latency_us
            conn.tried.append(conn.server)
        self.open[conn.tenant] -= conn.flows
        conn.out = None
        if event.is_final or conn.done:
            self._close(conn)
        else:
            self._place(conn)

    def _on_load_note(self, event: ConnectionLoadChanged) -> None:
        conn = self.conns.get(event.request_id)
        if conn is None or conn.out != event.attempt:
            return
        self.class_load[conn.cls] += LEARN * (event.load - self.class_load[conn.cls])
        if conn.server is not None:
            self._add_own(conn.server, event.load - conn.load)
        conn.load = event.load

    def _on_delay_note(self, event: MessageDelayObserved) -> None:
        """Slow messages tell for nothing, and sooner than a report, that a server is full."""
        server = self.fleet.get(event.server_id)
        if server is not None:
            aim = min(
                c.message_latency_objective_us or c.latency_objective_us
                for c in self.settings.classes
            )
            server.slow_until = self.now + SLOW_US if event.delay_us > aim / 3 else 0
            self._reorder(server)
            # A jam is a ground for moves, once a report says how much has to go.
            jammed = event.delay_us > aim and server.relief_at <= self.now
            if jammed and self.settings.can_check_health and server.id not in self.waiting:
                self._rest(server)
                self.waiting[server.id] = []
                self.actions.append(CheckHealth(server.id))

    def _on_stalled(self, event: ServerUnresponsive) -> None:
        """A silent connection must not be kept: its client comes again, and goes elsewhere."""
        conn, server = self.conns.get(event.request_id), self.fleet.get(event.server_id)
        if server is not None:
            self._eject(server)
        if conn is not None and conn.flows and not conn.done and conn.out == event.attempt:
            self._move(conn)

    def _clear(self, server: Server, conns: Sequence[Conn]) -> None:
        """Move connections off a draining server before it cuts them off, each at a time of its own."""
        self._drop_arrivals()
        grace, usual = self.settings.drain_grace_us, max(len(self.arrivals), 1) / RATE_SPAN_US
        span = min(max(len(server.conns) / (DRAIN_RUSH * usual), grace), DRAIN_MOST * grace)
        for conn in conns:
            self._after(self.rng.random() * span, partial(self._clear_one, conn))

    def _clear_one(self, conn: Conn) -> None:
        if self.leave_by or (conn.server is not None and conn.server.state is ServerState.DRAINING):
            self._move(conn)

    def _on_leaving(self, event: ProxyDraining) -> None:
        """Move every connection in good time, spread evenly so that the servers are not flooded, or none."""
        self.leave_by = self.now + int(LEAVE_SHARE * event.within_us) if event.within_us else 0
        for conn in self.conns.values() if self.leave_by else ():
            self._leave(conn)

    def _leave(self, conn: Conn) -> None:
        self._after(
            self.rng.random() * max(self.leave_by - self.now, 0), partial(self._clear_one, conn)
        )

    def _move(self, conn: Conn) -> None:
        if conn.flows and not conn.done:
            self.actions.append(MigrateConnection(conn.id))
            conn.done = True

    def _rest(self, server: Server) -> None:
        server.relief_at = self.now + int(RELIEF_REST * REPORT_LAG_US * (0.5 + self.rng.random()))

    def _relieve(self, server: Server) -> None:
        """Move off a jammed server this instance's part of what it cannot do, heaviest first, at a price."""
        ratio, goal = server.ratio or 0.0, max(self._mean(), RELIEF_TO)
        if not goal < RELIEF_FROM < ratio or not server.conns or server.moved_until > self.now:
            return
        self._rest(server)
        self._after(server.relief_at - self.now, partial(self._look_again, server))
        server.moved_until = server.relief_at
        excess = (1 - goal / ratio) * sum(conn.load for conn in server.conns.values())
        for conn in sorted(server.conns.values(), key=lambda c: -c.load):
            if excess <= 0 or self.move_credit < 1:
                break
            if self.rng.random() * conn.load < excess:
                self.move_credit -= 1
                self._move(conn)
            excess -= conn.load

    def _look_again(self, server: Server) -> None:
        """See whether the moves were enough, unless arrivals or messages have told meanwhile."""
        if self.now - server.report_at > REPORT_LAG_US and server.slow_until <= self.now:
            self._probe(server)

    # Timers

    def _after(self, delay_us: float, then: Callable[[], None]) -> None:
        self.next_token += 1
        self.timers[self.next_token] = then
        self.actions.append(
            StartTimer(self.next_token, max(int(delay_us), self.settings.timer_resolution_us))
        )

    def _on_timer(self, event: TimerFired) -> None:
        self.timers.pop(event.timer_id, lambda: None)()

    # Fleet view and probing

    def _on_list(self, event: EndpointListUpdate) -> None:
        if event.kind is EndpointListKind.FAILED:
            self.ask_span = min(max(2 * self.ask_span, self.calm), self.ask_most)
            self._after(
                self.ask_span * self.rng.uniform(1 / 3, 1),
                lambda: self.actions.append(WatchEndpoints()),
            )
            return
        self.ask_span = 0
        if event.kind is not EndpointListKind.CHANGES:
            named = {entry.server_id for entry in event.endpoints}
            gone = [s.listed for s in self.fleet.values() if s.id not in named]
            self._list_entries([replace(entry, state=ServerState.REMOVED) for entry in gone])
        self._list_entries(event.endpoints)

    def _on_suspended(self, event: AdministrativeEjection) -> None:
        """Have a server drain whatever the list says, or take it back as one that starts now and is well."""
        server, changed = self.fleet.get(event.server_id), {event.server_id}
        back = not event.is_ejected and event.server_id in self.suspended
        self.suspended = self.suspended | changed if event.is_ejected else self.suspended - changed
        if server is not None and back:
            server.ejected_until, server.slow_until, server.full_until = self.now - PROVEN_US, 0, 0
            server.listed = replace(server.listed, started_at_us=self.now)
            if self.settings.can_check_health:
                self._probe(server)
        if server is not None:
            self._list_entries([server.listed])

    def _list_entries(self, entries: Iterable[Endpoint]) -> None:
        for entry in entries:
            server = self.fleet.get(entry.server_id)
            if server is None:
                server = Server(
                    entry.server_id, self.rng.random(), _short(entry.server_id, MARK), entry
                )
                self.fleet[server.id] = self.marks[server.mark] = server
            server.listed, state = entry, entry.state
            if state is ServerState.READY and server.id in self.suspended:
                state = ServerState.DRAINING
            restarted = entry.started_at_us > server.started_at
            drains = state is ServerState.DRAINING and server.state is not ServerState.DRAINING
            if state is not ServerState.READY and server.state is ServerState.READY:
                server.told_at = self.now
            server.state, server.zone, server.cell = state, entry.zone, entry.cell
            if drains:
                self._clear(server, list(server.conns.values()))
            if state is ServerState.REMOVED:
                self._forget_load(server)
            if server.weight != max(entry.weight, 1e-3):
                self._forget_report(server)
                server.weight = max(entry.weight, 1e-3)
            if restarted:
                server.started_at = entry.started_at_us
                self._forget_load(server)
                server.warm_at = (
                    entry.started_at_us + self.settings.slow_start_us if entry.started_at_us else 0
                )
                self._close_cold(
                    server, self.rng.random()
                )  # not all instances send their first together
            self._reorder(server)

    def _look(self, conn: Conn) -> None:
        """Refresh the apparently lowest just before placing; a steady sweep would be stale or dear."""
        wait = int(PROBE_WAIT * self.settings.classes[conn.cls].latency_objective_us)
        near, shares = self._band(conn, looking=True)
        most = 1 if conn.group is None else GROUP_LOOKS
        again = (
            conn.turn < 2 * most and conn.deadline - self.now > 4 * wait
        )  # a wait is begun and ended
        looks = min(int(self.probe_credit), len(near)) if again else 0
        # Twice as many draws as probes, less those drawn twice.
        drawn = self.rng.choices(near, shares, k=2 * looks) if looks else []
        for server in list(dict.fromkeys(drawn))[:looks]:
            if server not in conn.looked and (not conn.turn or server.report_at + wait <= self.now):
                self._probe(server)
                self.waiting[server.id].append(conn)
                conn.looks += 1
                conn.looked.append(server)
        if conn.looks:
            self._hold(conn, wait)
        else:
            self._place(conn)

    def _refresh(self) -> None:
        """Probe the server with the oldest report, if looks leave any: it may be jammed, or no longer be."""
        idle = [
            e[2]
            for e in self.ranking
            if e[2].id not in self.waiting and e[2].ejected_until <= self.now
        ]
        if idle and self.probe_credit >= max(min(self.probes_each, GROUP_LOOKS), 1):
            self._probe(min(idle, key=lambda server: server.report_at))

    def _probe(self, server: Server) -> None:
        self.probe_credit -= 1
        if server.id not in self.waiting:
            self.waiting[server.id] = []
            self.actions.append(CheckHealth(server.id))

    def _on_probe(self, event: HealthCheckCompleted) -> None:
        server = self.fleet.get(event.server_id)
        if server is not None and event.result is AttemptResult.OK:
            self._take_report(server, event.report, event.latency_us)
            self._relieve(server)
        elif server is not None and event.result in SERVER_FAULTS:
            self._eject(server)
        for conn in self.waiting.pop(event.server_id, ()):
            conn.looks -= 1
            if conn.looks == 0:
                self._resume_held(conn, self._look)  # a group may have to go on to the next

    def _take_report(self, server: Server, report: LoadReport | None, latency_us: int) -> None:
        told = LoadReport() if report is None else report
        ratio = told.utilization if told.load_ratio is None else told.load_ratio
        if ratio is None:
            return
        ratio = min(ratio, SATURATED)
        self._forget_report(server)
        self.ratio_sum += ratio * server.weight
        self.ratio_weight += server.weight
        server.ratio, server.report_at = ratio, self.now
        seen = self.now - REPORT_LAG_US - latency_us
        server.recent = deque((change for change in server.recent if change[0] > seen), RECENT_MOST)
        server.own = sum(load for _, load in server.recent)
        self._reorder(server)

    def _forget_report(self, server: Server) -> None:
        if server.ratio is not None:
            self.ratio_sum -= server.ratio * server.weight
            self.ratio_weight -= server.weight
            server.ratio = None

    def _forget_load(self, server: Server) -> None:
        self._forget_report(server)
        server.own = 0.0
        server.recent.clear()

    def _add_own(self, server: Server, load: float) -> None:
        if server.state is ServerState.REMOVED:
            return  # no report will ever contain it
        server.recent.append((self.now, load))
        server.own += load
        self._reorder(server)

    # What instances tell each other

    def _remember(self, tag: bytes, mark: bytes) -> None:
        self.holders.pop(tag, None)
        self.holders[tag] = mark
        if len(self.holders) > self.settings.sticky_table_capacity:
            del self.holders[next(iter(self.holders))]

    def _on_present(self, event: LivePeersChanged) -> None:
        self.present = event.proxies

    def _keepers(self, tag: bytes) -> list[int]:
        """The other instances that are told where a connection stands: the next that are present."""
        count, own = self.settings.proxy_count, self.settings.proxy_index
        first, many = (int.from_bytes(tag, "big"), KEEPERS) if count >= MANY else (own + 1, 1)
        ring = (p for j in range(count) if (p := (first + j) % count) in self.present)
        return [p for p in islice(ring, many) if p != own]

    def _tell_held(self, peer: int, tags: Sequence[bytes]) -> None:
        entries = [StickyEntry(tag, self.holders[tag]) for tag in tags if tag in self.holders]
        for first in range(0, len(entries) if self.tells else 0, TOLD_MOST):
            self.actions.append(
                SendGossip(peer, StickyEntries(tuple(entries[first : first + TOLD_MOST])))
            )

    def _on_peer(self, event: GossipReceived) -> None:
        """Learn where connections stand, or tell it; one that has started kept what its neighbours keep."""
        message = event.message
        if isinstance(message, StickyEntryQuery):
            self._tell_held(event.sender_index, [message.key_hash])
        elif isinstance(message, ProxyStarted):
            self._answer_started(event.sender_index)
        elif isinstance(message, LearnedState):
            own = event.sender_index == self.settings.proxy_index
            if own and len(message.class_loads) == len(self.class_load):
                self.mean_load, self.move_credit = message.mean_load, message.migration_credit
                self.class_load = list(message.class_loads)
                self.arrivals = deque([self.now] * int(message.arrival_count))
        elif isinstance(message, StickyEntries):
            for tag, mark in message.entries:
                self._remember(tag, mark)
            for conn in list(self.conns.values()):
                if conn.midflow and not conn.attempts and conn.tag in self.holders:
                    self._resume_held(conn)

    def _answer_started(self, sender: int) -> None:
        own = sender == self.settings.proxy_index
        if own or self.settings.proxy_count < MANY:
            known = [conn.tag for conn in self.conns.values() if conn.flows]
        else:
            known = list(self.holders)[-AGAIN_MOST:]
        self._tell_held(sender, [tag for tag in known if own or sender in self._keepers(tag)])
        if own:
            counts = len(self.arrivals), self.mean_load, self.move_credit
            learned = LearnedState(*counts, tuple(self.class_load))
            self.actions.append(SendGossip(sender, learned))

    # Ratio and choice

    def _mean(self) -> float:
        return self.ratio_sum / self.ratio_weight if self.ratio_weight > 1e-6 else 0.0

    def _load(self, server: Server) -> float:
        """Estimated load over capacity: the last report, aged, and own changes that it cannot contain."""
        mean = self._mean()
        unseen = (
            1 if self.ratio_weight > 1e-6 else min(len(self.present), SPEAKS_FOR)
        )  # nobody reports
        ratio = unseen * server.own / server.weight
        if server.ratio is None:
            # Without a report a server is like the mean, not idle; one seen to start is empty.
            ratio += mean if server.warm_at <= self.now else 0.0
        else:
            # Others fill what was low and connections leave what was high, so a report ages toward the mean.
            ratio += mean + (server.ratio - mean) / (1 + (self.now - server.report_at) / STALE_US)
        return ratio

    def _ratio(self, server: Server) -> float:
        """What it is ranked by: its load, the price of a crossing, and more while it is slow or full."""
        crossing = self.settings.costs.cross_zone if server.zone != self.settings.zone else 0.0
        marked = max(server.slow_until, server.full_until) > self.now
        return self._load(server) + crossing + FULL_RATIO * marked

    def _fill(self, server: Server) -> float:
        """Its load, more while full; slow messages, so at any load at some sites, count without a report."""
        slow = server.ratio is None and server.slow_until > self.now
        return self._load(server) + FULL_RATIO * (slow or server.full_until > self.now)

    def _reorder(self, server: Server) -> None:
        """Put one server with news in its new place of the ranking, or take it out if it is not ready."""
        if server.entry is not None:
            del self.ranking[bisect_left(self.ranking, server.entry)]
            server.entry = None
        if server.state is ServerState.READY:
            server.entry = (self._ratio(server), server.tie, server)
            insort(self.ranking, server.entry)

    def _band(self, conn: Conn, looking: bool = False) -> tuple[list[Server], list[float]]:
        """The near-tie band of the lowest ratios, and the share of each server in it."""
        if self.now - self.ranked_at > RANK_US:
            self.ranked_at = self.now
            for server in self.fleet.values():
                entry = self._ratio(server), server.tie, server
                server.entry = entry if server.state is ServerState.READY else None
            self.ranking = sorted(s.entry for s in self.fleet.values() if s.entry is not None)
        if conn.group is not None:
            drawn = self._draw_for_group(conn, conn.group, looking)
            return ([], []) if drawn is None else ([drawn], [1.0])
        # All instances read the same late reports and would flood the lowest server together. The load
        # expected of the others meanwhile is poured over the lowest ratios as water would settle.
        poured = conn.load + self._expected_from_others()
        level, capacity, filled = 0.0, 0.0, 0.0
        near: list[tuple[float, Server]] = []
        for ratio, server in self._usable(conn):
            need = (ratio - level) * capacity
            if filled + need > poured:
                break
            filled += need
            level = ratio
            capacity += server.weight
            near.append((ratio, server))
        level += (poured - filled) / capacity if near else 0.0
        shares = [max(level - r, 1e-9) * s.weight for r, s in near]
        return [s for _, s in near], shares

    def _usable(self, conn: Conn) -> Iterator[tuple[float, Server]]:
        """The ready servers that a request may go to now, lowest first, with the ratio that it would meet."""
        now, trusting, ranking = self.now, self._ejections_trusted(), self.ranking
        if conn.load > HEAVY * self.mean_load:
            ranking = sorted((r + conn.load / s.weight, t, s) for r, t, s in ranking)
        for ratio, _, server in ranking:
            if (
                (server.ejected_until > now and trusting)
                or server.open_at > now
                or server in conn.tried
            ):
                continue
            if conn.ran_on is None or self._allowed(conn, server):
                yield ratio, server

    def _draw_for_group(self, conn: Conn, group: int, looking: bool) -> Server | None:
        """The one server of the near ties that all instances draw for a group: each that holds any pays."""
        usable = list(self._usable(conn))

        def order(server: Server) -> float:
            # Weighted rendezvous: over all groups a server wins by its weight; CRCs alone would favour a few.
            point = ((crc32(server.mark, group) * MIX >> 32) % 2**32 + 0.5) / 2**32
            return math.log(point) / server.weight

        most = max(usable[0][0], min(usable[0][0] + GROUP_BAND, FILLED)) if usable else 0.0
        drawn = max((s for r, s in usable if r <= most), key=order, default=None)
        if looking or drawn is None or drawn.ratio is not None:
            return drawn
        # Looks are spent: the lowest seen is better than one unseen, where the others may all go as well.
        return next((s for _, s in usable if s in conn.looked and self._fill(s) <= FILLED), drawn)

    def _expected_from_others(self) -> float:
        """Load that the other instances place within the time that a report lags, were they like this one."""
        self._drop_arrivals()  # the one in hand says nothing of the rate; with no other, some are expected
        placed = max(len(self.arrivals) - 1, 0.5) * REPORT_LAG_US / RATE_SPAN_US * self.mean_load
        return (len(self.present) - 1) * placed

    def _drop_arrivals(self) -> None:
        while self.arrivals and self.arrivals[0] < self.now - RATE_SPAN_US:
            self.arrivals.popleft()

    # Health

    def _eject(self, server: Server) -> None:
        """Outlier ejection, with jitter so that instances do not all come back at once."""
        if server.ejected_until > self.now:
            return
        again = self.now < server.ejected_until + PROVEN_US
        server.eject_span = min(2 * server.eject_span, EJECT_MOST_US) if again else EJECT_US
        server.ejected_until = self.now + int(server.eject_span * (0.5 + self.rng.random()))

    def _ejections_trusted(self) -> bool:
        """Whether few enough are out; a fault that most servers share is not theirs."""
        out = sum(entry[2].ejected_until > self.now for entry in self.ranking)
        return out <= EJECT_PART * len(self.ranking)

    def _shut_gate(self) -> None:
        """Pace set-ups while one after the other fails: a slow shared store is kept down by tries at once."""
        least = min(c.latency_objective_us for c in self.settings.classes)
        span = min(least * GATE_SHARE * 2 ** min(self.failures - GATE_AFTER, 20), GATE_MOST * least)
        self.gate_at = self.now + int(span * (0.5 + self.rng.random()))

    def avoided(self, now: int) -> int:
        """Count the listed servers that get nothing new now: not ready, or cast out while that is heeded."""
        self.now = now
        until = now if self._ejections_trusted() else math.inf
        listed = [s for s in self.fleet.values() if s.state is not ServerState.REMOVED]
        return sum(s.state is ServerState.DRAINING or s.ejected_until > until for s in listed)

    # Admission

    def _refuses(self, conn: Conn) -> bool:
        """Refuse early rather than jam: the least worth for its load first."""
        limits, worth = self.settings, self.settings.classes[conn.cls].priority_weight
        quota = self.quotas[min(conn.tenant, len(limits.tenants))]
        if limits.tenants and quota <= self.open[conn.tenant] * len(self.present):
            worth *= (
                limits.over_quota_priority_factor
            )  # that of one who is no tenant is past any share
        density = worth if limits.weighs_priority_by_load else worth / max(conn.load, 1e-6)
        below = sum((d < density) + 0.5 * (d == density) for d in self.densities)
        rank = below / len(self.densities) if self.densities else 1.0
        self.densities.append(density)
        usable = [server for _, server in self._usable(conn)]
        blind = (
            self.ratio_weight <= 1e-6
        )  # nobody reports, so slow messages are all that tells of the fleet
        room = [server for server in usable if blind or self._fill(server) <= FILLED]
        if not room:
            return bool(usable)
        weights = list(accumulate(s.weight for s in room))
        median = self._fill(room[bisect_left(weights, weights[-1] / 2)])
        pressure = median if blind else min(median, self._fill(room[0]) + SPREAD)
        return rank < (pressure - REFUSE_FROM) / (REFUSE_ALL - REFUSE_FROM)

    def _close_cold(self, server: Server, connections: float) -> None:
        """Rule 4: take so many connections from this instance's part of a cold server's growing budget."""
        # Closed until the integral of its part has paid for them: a token bucket without a store.
        if server.warm_at <= self.now:
            return
        first, cold, most = (
            self.settings.slow_start_initial_fraction,
            self.settings.slow_start_us,
            self.settings.collapse_multiple,
        )
        pace = (
            COLD_FILL * most * server.weight / max(self.mean_load, 1e-6) / cold / len(self.present)
        )
        age = max(self.now - server.started_at, 0)
        growth = max(1 - first, 1e-9) / (2 * cold)
        due = first * age + growth * age * age + connections / pace
        opens = (math.sqrt(first * first + 4 * growth * due) - first) / (2 * growth)
        server.open_at = min(server.started_at + int(opens), server.warm_at)
