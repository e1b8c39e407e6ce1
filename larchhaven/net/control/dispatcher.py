"""Between sockets and decisions: what happens becomes events, one ``handle`` a turn, its actions become work.

Nothing here knows a text protocol: clients, attempts, relays, probes, discovery and peers are reached
through what they can do. The decision module calls a request a request, an attempt an attempt and an
server a server; this is the one place where its words meet ours.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from larchhaven.gossip.shared_health_checks import SharedHealthChecks, uses_shared_checks
from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.item_costs import REQUEST_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.admin.metrics import Metrics, RequestOutcomes
from larchhaven.net.control.interfaces import (
    ClientConnection,
    EstablishedConnection,
    Transport,
    UpstreamAttempt,
)
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core.event_loop import EventLoop, TimerHandle
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.net.core.slot_table import SlotTable
from larchhaven.routing.actions import (
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    MigrateConnection,
    PollEndpoints,
    RejectRequest,
    SendGossip,
    StartAttempt,
    StartTimer,
    WatchEndpoints,
)
from larchhaven.routing.balancer import Balancer
from larchhaven.routing.events import (
    AdministrativeEjection,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
    ConnectionRestored,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HealthCheckCompleted,
    LivePeersChanged,
    LoadReport,
    MessageDelayObserved,
    RequestArrived,
    ServerUnresponsive,
    TimerFired,
)
from larchhaven.routing.gossip_messages import SharedLoadReports
from larchhaven.routing.settings import RoutingSettings

# A delay note is sent at most this often for each server.
DELAY_REPORT_INTERVAL_US = 1_000_000
# A drained server is closed to new attempts a little before its grace ends: the bytes take time.
DRAIN_GRACE_MARGIN_US = 150_000
# After a sleep events are gathered for so long: a list may need several turns to be read.
RESUME_GATHER_US = 20_000
# At a start newcomers wait for the list, for this part of the shortest set-up aim at most.
FIRST_LIST_WAIT_RATIO = 0.25


def order_events_after_pause(events: list[Event]) -> list[Event]:
    """Put what happened while this process was asleep into the order in which it may be believed.

    What the list tells counts from when it was written to us, so it goes first: else what came in the same
    moment would be sent to servers that left meanwhile. Loads told by other proxies are as old as the sleep.
    """
    lists = [event for event in events if isinstance(event, EndpointListUpdate)]
    rest = [
        event
        for event in events
        if not isinstance(event, EndpointListUpdate)
        and not (isinstance(event, GossipReceived) and isinstance(event.message, SharedLoadReports))
    ]
    return [*lists, *rest]


class Request:
    """A request, and the session it becomes."""

    __slots__ = (
        "attempt",
        "attempt_number",
        "attempt_started_us",
        "charged_bytes",
        "client",
        "connection",
        "deadline_timer",
        "deadline_us",
        "load",
        "request_id",
        "server_id",
        "spec",
    )

    def __init__(
        self, client: ClientConnection | None, spec: RequestSpec, deadline_us: int
    ) -> None:
        self.request_id = -1
        self.client = client  # None once it is answered or has left
        self.spec = spec
        self.load = spec.load
        self.deadline_us = deadline_us
        self.deadline_timer: TimerHandle | None = None
        self.attempt_number = -1
        self.server_id = ""
        self.attempt_started_us = 0
        self.attempt: UpstreamAttempt | None = None
        self.connection: EstablishedConnection | None = None
        self.charged_bytes = REQUEST_BYTES + len(spec.payload) + len(spec.identity)


class Dispatcher:
    """Holds the requests and runs the decision module."""

    def __init__(
        self,
        loop: EventLoop,
        notices: RateLimitedLog,
        settings: RoutingSettings,
        seed: int,
        figures: Metrics,
        account: MemoryAccount | None = None,
    ) -> None:
        self._loop = loop
        self._notices = notices
        self._settings = settings
        # In a large tier the lookout decides which proxy probes which server.
        self._lookout = SharedHealthChecks(settings) if uses_shared_checks(settings) else None
        self._look: TimerHandle | None = None
        self._balancer = Balancer(
            replace(settings, can_check_health=False) if self._lookout else settings, seed
        )
        self._events: list[Event] = []
        self._answer_by: int | None = (
            None  # when all have to have their answer, as this process stops
        )
        self._awake_at = 0  # after a sleep: when events are handed over again
        self._newcomers: list[RequestArrived] | None = (
            None  # who waits for the first list; None: nobody has to
        )
        self._figures = figures
        self._outcomes = figures.outcomes_by_class()
        self._account = account or MemoryAccount.unbounded()
        # Their parts are still one.
        self.requests = self.attempts = self.connections = self
        self.last_arrival_us = 0  # when the last request came
        self._requests: SlotTable[Request] = SlotTable()
        self._identities: dict[bytes, int] = {}  # of the open requests
        self._suspended: dict[str, int] = {}  # the servers taken out, and since when
        self._notes: dict[str, tuple[int, bool]] = {}  # when the last was sent, and if it was slow
        aims = [c.message_latency_objective_us or c.latency_objective_us for c in settings.classes]
        self._slow_us = min(aims) / 3
        self._transport: Transport
        self._handlers: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._do_send,
            RejectRequest: self._do_refuse,
            FailRequest: self._do_fail,
            CancelAttempt: self._do_cancel,
            MigrateConnection: self._do_move,
            CheckHealth: self._do_probe,
            SendGossip: lambda a: self._transport.send_gossip(a.peer_index, a.message),
            StartTimer: self._do_timer,
            WatchEndpoints: lambda a: self._transport.set_watch_enabled(a.is_enabled),
            PollEndpoints: lambda _: self._transport.poll_endpoints(),
            CloseIdleConnections: lambda a: self._transport.close_idle_connections(a.server_id),
            LogMessage: lambda a: self._notices.warning("decisions", a.text),
        }

    def attach_transport(self, transport: Transport) -> None:
        """Set by what actions are carried out; to be called before the first event."""
        self._transport = transport

    def count_requests(self) -> int:
        """Count the requests held, served ones included."""
        return len(self._requests)

    def count_unavailable_servers(self) -> int:
        """Count the listed servers that get nothing new at present."""
        return self._balancer.avoided(self._loop.now_us)

    def set_administrative_ejection(self, server_id: str, is_ejected: bool) -> None:
        """Have a server taken out, or let it serve again."""
        if is_ejected:
            self._suspended.setdefault(server_id, self._loop.now_us)
        else:
            self._suspended.pop(server_id, None)
        self.queue_event(AdministrativeEjection(server_id, is_ejected))

    def set_live_peers(self, proxies: frozenset[int]) -> None:
        """Go by these proxies of the tier: the others are known to be gone."""
        if self._lookout is not None:
            self._lookout.update_live_peers(self._loop.now_us, proxies)
        self.queue_event(LivePeersChanged(proxies))

    def forget_server(self, server_id: str) -> None:
        """Forget what was noted of a server that is gone."""
        self._notes.pop(server_id, None)

    def evict_sticky_entries(self, count: int) -> None:
        """Forget the holders told longest ago: their connections set up anew if they come mid-flow."""
        holders = self._balancer.holders
        for tag in list(itertools.islice(holders, count)):
            del holders[tag]

    def count_sticky_entries(self) -> int:
        """Count the connections whose holder is remembered."""
        return len(self._balancer.holders)

    # Events

    def queue_event(self, event: Event) -> None:
        """Have the decision module hear of this at the end of the turn."""
        self._events.append(event)

    def on_process_resumed(self) -> None:
        """Take that this process was asleep: nothing is decided until what stands in its sockets is read."""
        self._awake_at = self._loop.now_us + RESUME_GATHER_US
        self._loop.call_later(RESUME_GATHER_US, lambda: None)  # the turn in which all is decided

    def wait_for_endpoint_list(self) -> None:
        """Have newcomers wait until the list is heard, or calling has failed, as far as they can wait.

        Where lists are pushed, what is on the list counts as told from the first moment of this process, and
        the list that it was started with may be old: a server on it may have drained meanwhile.
        """
        self._newcomers = []
        self._loop.call_later(0, self._limit_wait)  # from the first turn on

    def _limit_wait(self) -> None:
        wait = int(
            FIRST_LIST_WAIT_RATIO * min(c.latency_objective_us for c in self._settings.classes)
        )
        self._loop.call_later(wait, self._let_in)

    def receive_endpoint_list(self, update: EndpointListUpdate) -> None:
        """Take news of the list, or that a call for it has failed."""
        self.queue_event(update)
        self._let_in()

    def _let_in(self) -> None:
        newcomers, self._newcomers = self._newcomers or [], None
        for arrival in newcomers:
            request = self._requests.get(arrival.request_id)
            if request is not None and request.client is not None:  # neither gone nor answered
                self.queue_event(
                    replace(arrival, budget_us=max(request.deadline_us - self._loop.now_us, 0))
                )

    def dispatch_events(self) -> None:
        """Hand over what has happened, and do what the decision module says."""
        if not self._events or self._loop.now_us < self._awake_at:
            return
        events, self._events = self._events, []
        if self._awake_at:
            events, self._awake_at = order_events_after_pause(events), 0
        if self._lookout is not None:
            events = self._share(self._lookout, events)
        for action in self._balancer.handle(self._loop.now_us, events):
            self._handlers[type(action)](action)
        if self._events:
            self._loop.skip_next_wait()  # some actions end at once; their events must not wait for a socket

    def _share(self, lookout: SharedHealthChecks, events: list[Event]) -> list[Event]:
        """Have the lookout see what concerns it, and add what other proxies have found."""
        kept: list[Event] = []
        now = self._loop.now_us
        for event in events:
            if isinstance(event, GossipReceived) and isinstance(event.message, SharedLoadReports):
                before = lookout.invalid_entries
                kept += lookout.receive_reports(now, event.message)
                self._figures.invalid_peer_messages += lookout.invalid_entries - before
                continue
            kept.append(event)
            if isinstance(event, GossipReceived):
                if (
                    event.sender_index != self._settings.proxy_index
                ):  # the other process of an upgrade proves nothing
                    lookout.record_contact(now)
            elif isinstance(event, EndpointListUpdate):
                lookout.update_endpoints(now, event)
            elif isinstance(event, HealthCheckCompleted):
                lookout.record_result(now, event)
        if lookout.due_us is not None and (
            self._look is None or self._look.due_us != lookout.due_us
        ):
            self._loop.cancel(self._look)
            self._look = self._loop.call_later(lookout.due_us - now, self._begin_looks)
        return kept

    def _begin_looks(self) -> None:
        if self._lookout is not None:
            for action in self._lookout.run_due(self._loop.now_us):
                if isinstance(action, CheckHealth):
                    self._ask(action.server_id)
                else:
                    self._handlers[type(action)](action)
            if self._lookout.due_us is not None:
                self._look = self._loop.call_later(
                    self._lookout.due_us - self._loop.now_us, self._begin_looks
                )

    # Service clients

    def detect_duplicate_identity(self, spec: RequestSpec) -> bool:
        """Tell, and count, whether the identity is that of another open request: this one has failed.

        An server would turn the second one away, at the price of a set-up, and seem to fail. A connection
        that comes back mid-flow, or stood before, is the same one and may meet what is left of itself.
        """
        known = spec.identity in self._identities or self._transport.is_open_elsewhere(
            spec.identity
        )
        taken = known and not spec.is_mid_flow and spec.pinned_server_id is None
        self._outcomes[spec.class_index].failed += taken
        return taken

    def accept_request(self, client: ClientConnection, spec: RequestSpec) -> int:
        """Take over a request, which is owed one final answer."""
        self.last_arrival_us = self._loop.now_us
        wait = spec.budget_us
        if wait is None:
            wait = self._settings.classes[spec.class_index].deadline_us
        if self._answer_by is not None:
            wait = max(min(wait, self._answer_by - self._loop.now_us), 0)
        request = Request(client, spec, self._loop.now_us + wait)
        request_id = self._add(request)
        # Should the decision module ever miss the deadline, the client gets its answer all the same.
        request.deadline_timer = self._loop.call_later(
            wait + self._settings.response_slack_us, partial(self._overdue, request_id)
        )
        arrival = RequestArrived(
            request_id,
            spec.class_index,
            wait,
            spec.tenant_index,
            affinity_key=spec.affinity_key,
            load=spec.load,
            affinity_group=spec.affinity_group,
            is_retry=spec.is_retry,
            is_mid_flow=spec.is_mid_flow,
            is_reconnect=spec.is_reconnect,
            pinned_server_id=spec.pinned_server_id,
        )
        if self._newcomers is None:
            self.queue_event(arrival)
        else:
            self._newcomers.append(arrival)
        return request_id

    def set_answer_deadline(self, deadline_us: int) -> None:
        """Give every request its final answer by this time, which may be now: the process ends then."""
        self._answer_by = deadline_us
        for request_id, request in list(self._requests.items()):
            if request.client is not None and request.deadline_us > deadline_us:
                request.deadline_us = deadline_us
                self._loop.cancel(request.deadline_timer)
                request.deadline_timer = self._loop.call_later(
                    deadline_us - self._loop.now_us, partial(self._overdue, request_id)
                )

    def migrate_all_connections(self) -> None:
        """Move every connection that stands, at once."""
        for request in self.list_connections():
            if request.connection is not None:
                request.connection.migrate()

    def reject_request(self, client: ClientConnection, spec: RequestSpec) -> None:
        """Refuse, and count, a request that there is no room to take over; the client hears at once."""
        self._outcomes[spec.class_index].rejected += 1
        client.send_rejection(self._settings.max_retry_after_us)

    def _add(self, request: Request) -> int:
        request_id = request.request_id = self._requests.add(request)
        self._account.charge(MemoryPurpose.TABLES, request.charged_bytes)
        self._figures.active_requests += 1
        self._identify(request_id, request)
        return request_id

    def on_client_disconnected(self, request_id: int) -> None:
        """Take it that the client of a request that is not served yet has gone."""
        request = self._requests.get(request_id)
        if request is None or request.client is None:
            return
        request.client = None
        self.queue_event(ClientDisconnected(request_id))
        self._drop(request_id, request)

    def fail_request(self, request_id: int) -> None:
        """Fail the request of a client that breaks the protocol while it should wait."""
        self._fail(request_id)

    def _overdue(self, request_id: int) -> None:
        if self._fail(request_id):
            self._notices.warning(
                "overdue answer", f"request {request_id} was failed at its deadline"
            )

    def _fail(self, request_id: int) -> bool:
        """Fail a request over the head of the decision module; False if it had its answer."""
        if (answered := self._answered(request_id)) is None:
            return False
        self.queue_event(ClientDisconnected(request_id))
        answered[1].failed += 1
        answered[0].send_failure()
        return True

    def _drop(self, request_id: int, request: Request) -> None:
        """Forget a request that owes nothing more, and give up its attempt."""
        self._loop.cancel(request.deadline_timer)
        self._remove(request_id)
        if request.attempt is not None:
            request.attempt.cancel()
            self._ended(request_id, request, AttemptResult.CANCELLED, None, finished=True)

    def _remove(self, request_id: int) -> Request | None:
        request = self._requests.remove(request_id)
        if request is not None:
            self._figures.active_requests -= 1
            self._account.release(MemoryPurpose.TABLES, request.charged_bytes)
        if request is not None and self._identities.get(request.spec.identity) == request_id:
            del self._identities[request.spec.identity]
            self._transport.announce_identity(request.spec.identity, False)
        return request

    # Executions

    def may_send_request(self, request_id: int) -> bool:
        """Tell whether the first byte of this attempt may go out now, however long the connect took."""
        if (request := self._requests.get(request_id)) is not None and request.client is not None:
            request.client.read_available()
        if request is None or self._requests.get(request_id) is not request:
            return False  # the client has just left
        return self._open(request.server_id) and self._balancer.may_begin(
            self._loop.now_us, request_id
        )

    def _open(self, server_id: str) -> bool:
        """Guard the drain rule once more: the list may have changed while a connect took its time."""
        told = (
            self._transport.endpoints.drain_notified_at_us(server_id),
            self._suspended.get(server_id),
        )
        until = self._settings.drain_grace_us - DRAIN_GRACE_MARGIN_US
        return all(at is None or self._loop.now_us < at + until for at in told)

    def on_request_sent(self, request_id: int) -> None:
        """Count an attempt: from here on the server may have run it."""
        self._figures.upstream_requests += 1

    def on_attempt_established(self, request_id: int) -> None:
        """Join the client to the server that serves it."""
        request = self._requests.get(request_id)
        if request is None or request.client is None or request.attempt is None:
            return
        latency = self._loop.now_us - request.attempt_started_us
        self.queue_event(
            ConnectionEstablished(request_id, request.attempt_number, request.server_id, latency)
        )
        client, request.client = request.client, None
        attempt, request.attempt = request.attempt, None
        self._loop.cancel(request.deadline_timer)
        self._outcomes[request.spec.class_index].completed += 1
        # A first line may be 4 KiB long, and a connection may stand for hours.
        self._account.release(MemoryPurpose.TABLES, len(request.spec.payload))
        request.charged_bytes -= len(request.spec.payload)
        request.spec = replace(request.spec, payload=b"")
        request.connection = client.establish_connection(attempt, request_id, self)

    def on_attempt_failed(
        self, request_id: int, result: AttemptResult, report: LoadReport | None
    ) -> None:
        """Take how an attempt ended that never came up."""
        request = self._requests.get(request_id)
        if request is not None and request.attempt is not None:
            request.attempt = None
            self._ended(request_id, request, result, report, finished=False)

    def _ended(
        self,
        request_id: int,
        request: Request,
        result: AttemptResult,
        report: LoadReport | None,
        finished: bool,
    ) -> None:
        latency = self._loop.now_us - request.attempt_started_us
        self.queue_event(
            AttemptEnded(
                request_id,
                request.attempt_number,
                request.server_id,
                result,
                latency,
                finished,
                report,
            )
        )

    # Sessions

    def on_load_changed(self, request_id: int, load: float) -> None:
        """Pass on a connection's new load."""
        request = self._requests.get(request_id)
        if request is not None:
            request.load = load
            self.queue_event(
                ConnectionLoadChanged(request_id, request.attempt_number, request.server_id, load)
            )

    def on_message_answered(self, request_id: int, delay_us: int) -> None:
        """Pass on a slow answer, once a second for each server, and the first that is not slow again."""
        request = self._requests.get(request_id)
        if request is None:
            return
        at, high = self._notes.get(request.server_id, (0, False))
        slow = delay_us > self._slow_us
        if (slow and (not high or self._loop.now_us >= at + DELAY_REPORT_INTERVAL_US)) or (
            high and not slow
        ):
            self._notes[request.server_id] = (self._loop.now_us, slow)
            self.queue_event(
                MessageDelayObserved(
                    request_id, request.attempt_number, request.server_id, float(delay_us)
                )
            )

    def on_message_waiting(self, request_id: int, age_us: int) -> None:
        """Pass on that an answer takes at least this long."""
        self.on_message_answered(request_id, age_us)

    def on_server_unresponsive(self, request_id: int, age_us: int) -> None:
        """Pass on that a connection's server is silent."""
        request = self._requests.get(request_id)
        if request is not None:
            self.queue_event(
                ServerUnresponsive(request_id, request.attempt_number, request.server_id, age_us)
            )

    def on_connection_ended(
        self, request_id: int, result: AttemptResult, report: LoadReport | None
    ) -> None:
        """Take how a session ended."""
        request = self._remove(request_id)
        if request is not None:
            self._ended(request_id, request, result, report, finished=True)

    # Another process

    def list_identities(self) -> list[bytes]:
        """Return the ids of the open requests."""
        return list(self._identities)

    def list_connections(self) -> list[Request]:
        """Return the requests whose connections are established."""
        return [
            request
            for _request_id, request in self._requests.items()
            if request.connection is not None
        ]

    def release_connection(self, request_id: int) -> None:
        """Let go of a connection that another process has taken over."""
        request = self._remove(request_id)
        if request is not None and request.connection is not None:
            request.connection.detach_sockets()
            self._ended(request_id, request, AttemptResult.CANCELLED, None, finished=True)

    def adopt_connection(
        self, spec: RequestSpec, server_id: str, join: Callable[[int], EstablishedConnection]
    ) -> None:
        """Go on with a connection that another process held."""
        request = Request(None, spec, self._loop.now_us)
        request.attempt_number, request.server_id, request.attempt_started_us = (
            0,
            server_id,
            self._loop.now_us,
        )
        request_id = self._add(request)
        arrival = RequestArrived(
            request_id,
            spec.class_index,
            0,
            spec.tenant_index,
            spec.affinity_key,
            spec.load,
            spec.affinity_group,
        )
        self.queue_event(ConnectionRestored(arrival, server_id))
        request.connection = join(request_id)

    def _identify(self, request_id: int, request: Request) -> None:
        if request.spec.identity:
            self._identities[request.spec.identity] = request_id
            self._transport.announce_identity(request.spec.identity, True)

    # Actions

    def _do_send(self, action: StartAttempt) -> None:
        request = self._requests.get(action.request_id)
        if request is None or request.client is None or request.attempt is not None:
            return
        request.attempt_number += 1
        request.server_id = action.server_id
        request.attempt_started_us = self._loop.now_us
        address = self._transport.endpoints.find_address(action.server_id)
        left = request.deadline_us - self._loop.now_us
        wait = min(action.timeout_us or left, left)
        if address is None or wait <= 0 or not self._open(action.server_id):
            self._ended(action.request_id, request, AttemptResult.NOT_SENT, None, finished=False)
            return
        request.attempt = self._transport.start_attempt(
            action.request_id, request.spec.payload, address, wait
        )

    def _answered(self, request_id: int) -> tuple[ClientConnection, RequestOutcomes] | None:
        """Close a request that is about to get its final answer; None if it has had one."""
        request = self._requests.get(request_id)
        if request is None or request.client is None:
            return None
        client, request.client = request.client, None
        self._drop(request_id, request)
        return client, self._outcomes[request.spec.class_index]

    def _do_refuse(self, action: RejectRequest) -> None:
        answered = self._answered(action.request_id)
        if answered is not None:
            answered[1].rejected += 1
            answered[0].send_rejection(
                min(action.retry_after_us, self._settings.max_retry_after_us)
            )

    def _do_fail(self, action: FailRequest) -> None:
        answered = self._answered(action.request_id)
        if answered is not None:
            answered[1].failed += 1
            answered[0].send_failure()

    def _do_cancel(self, action: CancelAttempt) -> None:
        request = self._requests.get(action.request_id)
        if (
            request is not None
            and request.attempt is not None
            and request.attempt_number == action.attempt
        ):
            request.attempt.cancel()
            request.attempt = None
            self._ended(action.request_id, request, AttemptResult.CANCELLED, None, finished=False)

    def _do_move(self, action: MigrateConnection) -> None:
        request = self._requests.get(action.request_id)
        if request is not None and request.connection is not None:
            request.connection.migrate()

    def _do_probe(self, action: CheckHealth) -> None:
        if self._lookout is None or self._lookout.try_begin_check(action.server_id):
            self._ask(action.server_id)
        elif not self._lookout.is_ready(action.server_id):
            self.queue_event(HealthCheckCompleted(action.server_id, AttemptResult.NOT_SENT, 0))

    def _ask(self, server_id: str) -> None:
        address = self._transport.endpoints.find_address(server_id)
        if address is None:
            self.queue_event(HealthCheckCompleted(server_id, AttemptResult.NOT_SENT, 0))
        else:
            self._transport.check_health(server_id, address)

    def _do_timer(self, action: StartTimer) -> None:
        event = TimerFired(action.timer_id)
        self._loop.call_later(action.delay_us, lambda: self.queue_event(event))
