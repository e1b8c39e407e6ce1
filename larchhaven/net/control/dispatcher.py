"""Between sockets and decisions: what happens becomes events, one ``handle`` a turn, its actions become work.

Nothing here knows a text protocol: clients, executions, relays, probes, discovery and peers are reached
through what they can do. The decision module calls a command a request, an execution an attempt and an
instance a server; this is the one place where its words meet ours.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any, Protocol

from larchhaven.gossip.shared_health_checks import Lookout, is_shared
from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.item_costs import REQUEST_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.admin.metrics import Metrics, RequestOutcomes
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
from larchhaven.routing.gossip_messages import GossipMessage, SharedLoadReports
from larchhaven.routing.settings import RoutingSettings

# A delay note is sent at most this often for each instance.
NOTE_US = 1_000_000
# A drained instance is closed to new executions a little before its grace ends: the bytes take time.
GRACE_MARGIN_US = 150_000
# After a sleep events are gathered for so long: a list may need several turns to be read.
AWAKE_US = 20_000
# At a start newcomers wait for the list, for this part of the shortest set-up aim at most.
FIRST_LIST_SHARE = 0.25


def after_sleep(events: list[Event]) -> list[Event]:
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


@dataclass(frozen=True, slots=True)
class Wants:
    """What a service client asks for; the payload is its protocol's own."""

    payload: bytes
    cls: int
    wait_us: int | None
    identity: bytes = b""  # shared with no other open command; empty where a protocol has none
    key: int | None = None
    group: int | None = None
    load: float | None = None
    retry: bool = False
    again: bool = False
    midflow: bool = False
    at: str | None = None
    tenant: int = 0


class Execution(Protocol):
    """One attempt of a command at an instance."""

    def cancel(self) -> None:
        """Give up without a word."""


class Session(Protocol):
    """A connection that stands."""

    def release(self) -> None:
        """Let go of it: another process has taken it over."""

    def move(self) -> None:
        """Tell the client to come again, and end both sides."""


class Client(Protocol):
    """How a service client is answered; each command gets exactly one of these calls, but for the first."""

    def look(self) -> None:
        """Read what has just come, as it may be the client's end."""

    def refuse(self, retry_after_us: int) -> None:
        """Refuse, with advice when to come again."""

    def fail(self) -> None:
        """Fail."""

    def serve(self, execution: Execution, token: int) -> Session:
        """Join the client to the execution."""


class Instances(Protocol):
    """What discovery has told of the instances."""

    def address(self, host: str) -> tuple[str, int] | None:
        """Where the instance is reached from here."""

    def told_at(self, host: str) -> int | None:
        """When it was first told that the instance drains or is gone; None while it is ready."""


@dataclass(slots=True)
class Outside:
    """What the broker's actions reach."""

    instances: Instances
    begin: Callable[[int, bytes, tuple[str, int], int], Execution]
    probe: Callable[[str, tuple[str, int]], None]
    close_idle: Callable[[str], None]
    watch: Callable[[bool], None]
    fetch: Callable[[], None]
    tell: Callable[[int | None, GossipMessage], None]
    identity: Callable[[bytes, bool], None]
    is_open_elsewhere: Callable[[bytes], bool]


class Command:
    """A command, and the session it becomes."""

    __slots__ = (
        "attempt",
        "begun_at",
        "charged",
        "client",
        "execution",
        "host",
        "limit",
        "load",
        "session",
        "until",
        "wants",
    )

    def __init__(self, client: Client | None, wants: Wants, until: int) -> None:
        self.client = client  # None once it is answered or has left
        self.wants = wants
        self.load = wants.load
        self.until = until
        self.limit: TimerHandle | None = None
        self.attempt = -1
        self.host = ""
        self.begun_at = 0
        self.execution: Execution | None = None
        self.session: Session | None = None
        self.charged = REQUEST_BYTES + len(wants.payload) + len(wants.identity)


class Broker:
    """Holds the commands and runs the decision module."""

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
        # In a large tier the lookout decides which proxy probes which instance.
        self._lookout = Lookout(settings) if is_shared(settings) else None
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
        self.arrived_at = 0  # when the last command came
        self._commands: SlotTable[Command] = SlotTable()
        self._identities: dict[bytes, int] = {}  # of the open commands
        self._suspended: dict[str, int] = {}  # the instances taken out, and since when
        self._notes: dict[str, tuple[int, bool]] = {}  # when the last was sent, and if it was slow
        aims = [c.message_latency_objective_us or c.latency_objective_us for c in settings.classes]
        self._slow_us = min(aims) / 3
        self.outside: Outside
        self._handlers: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._do_send,
            RejectRequest: self._do_refuse,
            FailRequest: self._do_fail,
            CancelAttempt: self._do_cancel,
            MigrateConnection: self._do_move,
            CheckHealth: self._do_probe,
            SendGossip: lambda a: self.outside.tell(a.peer_index, a.message),
            StartTimer: self._do_timer,
            WatchEndpoints: lambda a: self.outside.watch(a.is_enabled),
            PollEndpoints: lambda _: self.outside.fetch(),
            CloseIdleConnections: lambda a: self.outside.close_idle(a.server_id),
            LogMessage: lambda a: self._notices.warning("decisions", a.text),
        }

    def held(self) -> int:
        """Count the commands held, served ones included."""
        return len(self._commands)

    def avoided(self) -> int:
        """Count the listed instances that get nothing new at present."""
        return self._balancer.count_unavailable_servers(self._loop.now_us)

    def suspend(self, host: str, on: bool) -> None:
        """Have an instance taken out, or let it serve again."""
        if on:
            self._suspended.setdefault(host, self._loop.now_us)
        else:
            self._suspended.pop(host, None)
        self.queue(AdministrativeEjection(host, on))

    def present(self, proxies: frozenset[int]) -> None:
        """Go by these proxies of the tier: the others are known to be gone."""
        if self._lookout is not None:
            self._lookout.on_present(self._loop.now_us, proxies)
        self.queue(LivePeersChanged(proxies))

    def forget(self, host: str) -> None:
        """Forget what was noted of an instance that is gone."""
        self._notes.pop(host, None)

    def forget_holders(self, count: int) -> None:
        """Forget the holders told longest ago: their connections set up anew if they come mid-flow."""
        self._balancer.sticky_table.forget_oldest(count)

    def holders(self) -> int:
        """Count the connections whose holder is remembered."""
        return len(self._balancer.sticky_table)

    # Events

    def queue(self, event: Event) -> None:
        """Have the decision module hear of this at the end of the turn."""
        self._events.append(event)

    def woke(self) -> None:
        """Take that this process was asleep: nothing is decided until what stands in its sockets is read."""
        self._awake_at = self._loop.now_us + AWAKE_US
        self._loop.call_later(AWAKE_US, lambda: None)  # the turn in which all is decided

    def hear_first(self) -> None:
        """Have newcomers wait until the list is heard, or calling has failed, as far as they can wait.

        Where lists are pushed, what is on the list counts as told from the first moment of this process, and
        the list that it was started with may be old: a server on it may have drained meanwhile.
        """
        self._newcomers = []
        self._loop.call_later(0, self._limit_wait)  # from the first turn on

    def _limit_wait(self) -> None:
        wait = int(FIRST_LIST_SHARE * min(c.latency_objective_us for c in self._settings.classes))
        self._loop.call_later(wait, self._let_in)

    def heard(self, news: EndpointListUpdate) -> None:
        """Take news of the list, or that a call for it has failed."""
        self.queue(news)
        self._let_in()

    def _let_in(self) -> None:
        newcomers, self._newcomers = self._newcomers or [], None
        for arrival in newcomers:
            command = self._commands.get(arrival.request_id)
            if command is not None and command.client is not None:  # neither gone nor answered
                self.queue(replace(arrival, budget_us=max(command.until - self._loop.now_us, 0)))

    def turn(self) -> None:
        """Hand over what has happened, and do what the decision module says."""
        if not self._events or self._loop.now_us < self._awake_at:
            return
        events, self._events = self._events, []
        if self._awake_at:
            events, self._awake_at = after_sleep(events), 0
        if self._lookout is not None:
            events = self._share(self._lookout, events)
        for action in self._balancer.handle(self._loop.now_us, events):
            self._handlers[type(action)](action)
        if self._events:
            self._loop.skip_next_wait()  # some actions end at once; their events must not wait for a socket

    def _share(self, lookout: Lookout, events: list[Event]) -> list[Event]:
        """Have the lookout see what concerns it, and add what other proxies have found."""
        kept: list[Event] = []
        now = self._loop.now_us
        for event in events:
            if isinstance(event, GossipReceived) and isinstance(event.message, SharedLoadReports):
                before = lookout.strange
                kept += lookout.on_told(now, event.message)
                self._figures.invalid_peer_messages += lookout.strange - before
                continue
            kept.append(event)
            if isinstance(event, GossipReceived):
                if (
                    event.sender_index != self._settings.proxy_index
                ):  # the other process of an upgrade proves nothing
                    lookout.on_message(now)
            elif isinstance(event, EndpointListUpdate):
                lookout.on_list(now, event)
            elif isinstance(event, HealthCheckCompleted):
                lookout.on_look(now, event)
        if lookout.due is not None and (self._look is None or self._look.due_us != lookout.due):
            self._loop.cancel(self._look)
            self._look = self._loop.call_later(lookout.due - now, self._begin_looks)
        return kept

    def _begin_looks(self) -> None:
        if self._lookout is not None:
            for action in self._lookout.turn(self._loop.now_us):
                if isinstance(action, CheckHealth):
                    self._ask(action.server_id)
                else:
                    self._handlers[type(action)](action)
            if self._lookout.due is not None:
                self._look = self._loop.call_later(
                    self._lookout.due - self._loop.now_us, self._begin_looks
                )

    # Service clients

    def refuses_identity(self, wants: Wants) -> bool:
        """Tell, and count, whether the identity is that of another open command: this one has failed.

        An instance would turn the second one away, at the price of a set-up, and seem to fail. A connection
        that comes back mid-flow, or stood before, is the same one and may meet what is left of itself.
        """
        known = wants.identity in self._identities or self.outside.is_open_elsewhere(wants.identity)
        taken = known and not wants.midflow and wants.at is None
        self._outcomes[wants.cls].failed += taken
        return taken

    def take_command(self, client: Client, wants: Wants) -> int:
        """Take over a command, which is owed one final answer."""
        self.arrived_at = self._loop.now_us
        wait = wants.wait_us
        if wait is None:
            wait = self._settings.classes[wants.cls].deadline_us
        if self._answer_by is not None:
            wait = max(min(wait, self._answer_by - self._loop.now_us), 0)
        command = Command(client, wants, self._loop.now_us + wait)
        token = self._add(command)
        # Should the decision module ever miss the deadline, the client gets its answer all the same.
        command.limit = self._loop.call_later(
            wait + self._settings.response_slack_us, partial(self._overdue, token)
        )
        arrival = RequestArrived(
            token,
            wants.cls,
            wait,
            wants.tenant,
            affinity_key=wants.key,
            load=wants.load,
            affinity_group=wants.group,
            is_retry=wants.retry,
            is_mid_flow=wants.midflow,
            is_reconnect=wants.again,
            pinned_server_id=wants.at,
        )
        if self._newcomers is None:
            self.queue(arrival)
        else:
            self._newcomers.append(arrival)
        return token

    def answer_by(self, at: int) -> None:
        """Give every command its final answer by this time, which may be now: the process ends then."""
        self._answer_by = at
        for token, command in list(self._commands.items()):
            if command.client is not None and command.until > at:
                command.until = at
                self._loop.cancel(command.limit)
                command.limit = self._loop.call_later(
                    at - self._loop.now_us, partial(self._overdue, token)
                )

    def move_all(self) -> None:
        """Move every connection that stands, at once."""
        for _token, command in self.sessions():
            if command.session is not None:
                command.session.move()

    def turn_away(self, client: Client, wants: Wants) -> None:
        """Refuse, and count, a command that there is no room to take over; the client hears at once."""
        self._outcomes[wants.cls].rejected += 1
        client.refuse(self._settings.max_retry_after_us)

    def _add(self, command: Command) -> int:
        token = self._commands.add(command)
        self._account.charge(MemoryPurpose.TABLES, command.charged)
        self._figures.active_requests += 1
        self._identify(token, command)
        return token

    def client_left(self, token: int) -> None:
        """Take it that the client of a command that is not served yet has gone."""
        command = self._commands.get(token)
        if command is None or command.client is None:
            return
        command.client = None
        self.queue(ClientDisconnected(token))
        self._drop(token, command)

    def client_fails(self, token: int) -> None:
        """Fail the command of a client that breaks the protocol while it should wait."""
        self._fail(token)

    def _overdue(self, token: int) -> None:
        if self._fail(token):
            self._notices.warning("overdue answer", f"command {token} was failed at its deadline")

    def _fail(self, token: int) -> bool:
        """Fail a command over the head of the decision module; False if it had its answer."""
        if (answered := self._answered(token)) is None:
            return False
        self.queue(ClientDisconnected(token))
        answered[1].failed += 1
        answered[0].fail()
        return True

    def _drop(self, token: int, command: Command) -> None:
        """Forget a command that owes nothing more, and give up its execution."""
        self._loop.cancel(command.limit)
        self._remove(token)
        if command.execution is not None:
            command.execution.cancel()
            self._ended(token, command, AttemptResult.CANCELLED, None, finished=True)

    def _remove(self, token: int) -> Command | None:
        command = self._commands.remove(token)
        if command is not None:
            self._figures.active_requests -= 1
            self._account.release(MemoryPurpose.TABLES, command.charged)
        if command is not None and self._identities.get(command.wants.identity) == token:
            del self._identities[command.wants.identity]
            self.outside.identity(command.wants.identity, False)
        return command

    # Executions

    def may_begin(self, token: int) -> bool:
        """Tell whether the first byte of this execution may go out now, however long the connect took."""
        if (command := self._commands.get(token)) is not None and command.client is not None:
            command.client.look()
        if command is None or self._commands.get(token) is not command:
            return False  # the client has just left
        return self._open(command.host) and self._balancer.may_start_attempt(
            self._loop.now_us, token
        )

    def _open(self, host: str) -> bool:
        """Guard the drain rule once more: the list may have changed while a connect took its time."""
        told = (self.outside.instances.told_at(host), self._suspended.get(host))
        until = self._settings.drain_grace_us - GRACE_MARGIN_US
        return all(at is None or self._loop.now_us < at + until for at in told)

    def execution_written(self, token: int) -> None:
        """Count an execution: from here on the instance may have run it."""
        self._figures.upstream_requests += 1

    def execution_up(self, token: int) -> None:
        """Join the client to the instance that serves it."""
        command = self._commands.get(token)
        if command is None or command.client is None or command.execution is None:
            return
        latency = self._loop.now_us - command.begun_at
        self.queue(ConnectionEstablished(token, command.attempt, command.host, latency))
        client, command.client = command.client, None
        execution, command.execution = command.execution, None
        self._loop.cancel(command.limit)
        self._outcomes[command.wants.cls].completed += 1
        # A first line may be 4 KiB long, and a connection may stand for hours.
        self._account.release(MemoryPurpose.TABLES, len(command.wants.payload))
        command.charged -= len(command.wants.payload)
        command.wants = replace(command.wants, payload=b"")
        command.session = client.serve(execution, token)

    def execution_over(self, token: int, result: AttemptResult, report: LoadReport | None) -> None:
        """Take how an execution ended that never came up."""
        command = self._commands.get(token)
        if command is not None and command.execution is not None:
            command.execution = None
            self._ended(token, command, result, report, finished=False)

    def _ended(
        self,
        token: int,
        command: Command,
        result: AttemptResult,
        report: LoadReport | None,
        finished: bool,
    ) -> None:
        latency = self._loop.now_us - command.begun_at
        self.queue(
            AttemptEnded(token, command.attempt, command.host, result, latency, finished, report)
        )

    # Sessions

    def session_load(self, token: int, load: float) -> None:
        """Pass on a connection's new load."""
        command = self._commands.get(token)
        if command is not None:
            command.load = load
            self.queue(ConnectionLoadChanged(token, command.attempt, command.host, load))

    def session_delay(self, token: int, delay_us: int) -> None:
        """Pass on a slow answer, once a second for each instance, and the first that is not slow again."""
        command = self._commands.get(token)
        if command is None:
            return
        at, high = self._notes.get(command.host, (0, False))
        slow = delay_us > self._slow_us
        if (slow and (not high or self._loop.now_us >= at + NOTE_US)) or (high and not slow):
            self._notes[command.host] = (self._loop.now_us, slow)
            self.queue(MessageDelayObserved(token, command.attempt, command.host, float(delay_us)))

    def session_waits(self, token: int, age_us: int) -> None:
        """Pass on that an answer takes at least this long."""
        self.session_delay(token, age_us)

    def session_stalled(self, token: int, age_us: int) -> None:
        """Pass on that a connection's instance is silent."""
        command = self._commands.get(token)
        if command is not None:
            self.queue(ServerUnresponsive(token, command.attempt, command.host, age_us))

    def session_over(self, token: int, result: AttemptResult, report: LoadReport | None) -> None:
        """Take how a session ended."""
        command = self._remove(token)
        if command is not None:
            self._ended(token, command, result, report, finished=True)

    # Another process

    def identities(self) -> list[bytes]:
        """Return the ids of the open commands."""
        return list(self._identities)

    def sessions(self) -> list[tuple[int, Command]]:
        """Return the connections that stand, under their tokens."""
        return [
            (token, command)
            for token, command in self._commands.items()
            if command.session is not None
        ]

    def release(self, token: int) -> None:
        """Let go of a connection that another process has taken over."""
        command = self._remove(token)
        if command is not None and command.session is not None:
            command.session.release()
            self._ended(token, command, AttemptResult.CANCELLED, None, finished=True)

    def adopt(self, wants: Wants, host: str, join: Callable[[int], Session]) -> None:
        """Go on with a connection that another process held."""
        command = Command(None, wants, self._loop.now_us)
        command.attempt, command.host, command.begun_at = 0, host, self._loop.now_us
        token = self._add(command)
        arrival = RequestArrived(
            token, wants.cls, 0, wants.tenant, wants.key, wants.load, wants.group
        )
        self.queue(ConnectionRestored(arrival, host))
        command.session = join(token)

    def _identify(self, token: int, command: Command) -> None:
        if command.wants.identity:
            self._identities[command.wants.identity] = token
            self.outside.identity(command.wants.identity, True)

    # Actions

    def _do_send(self, action: StartAttempt) -> None:
        command = self._commands.get(action.request_id)
        if command is None or command.client is None or command.execution is not None:
            return
        command.attempt += 1
        command.host = action.server_id
        command.begun_at = self._loop.now_us
        address = self.outside.instances.address(action.server_id)
        left = command.until - self._loop.now_us
        wait = min(action.timeout_us or left, left)
        if address is None or wait <= 0 or not self._open(action.server_id):
            self._ended(action.request_id, command, AttemptResult.NOT_SENT, None, finished=False)
            return
        command.execution = self.outside.begin(
            action.request_id, command.wants.payload, address, wait
        )

    def _answered(self, token: int) -> tuple[Client, RequestOutcomes] | None:
        """Close a command that is about to get its final answer; None if it has had one."""
        command = self._commands.get(token)
        if command is None or command.client is None:
            return None
        client, command.client = command.client, None
        self._drop(token, command)
        return client, self._outcomes[command.wants.cls]

    def _do_refuse(self, action: RejectRequest) -> None:
        answered = self._answered(action.request_id)
        if answered is not None:
            answered[1].rejected += 1
            answered[0].refuse(min(action.retry_after_us, self._settings.max_retry_after_us))

    def _do_fail(self, action: FailRequest) -> None:
        answered = self._answered(action.request_id)
        if answered is not None:
            answered[1].failed += 1
            answered[0].fail()

    def _do_cancel(self, action: CancelAttempt) -> None:
        command = self._commands.get(action.request_id)
        if (
            command is not None
            and command.execution is not None
            and command.attempt == action.attempt
        ):
            command.execution.cancel()
            command.execution = None
            self._ended(action.request_id, command, AttemptResult.CANCELLED, None, finished=False)

    def _do_move(self, action: MigrateConnection) -> None:
        command = self._commands.get(action.request_id)
        if command is not None and command.session is not None:
            command.session.move()

    def _do_probe(self, action: CheckHealth) -> None:
        if self._lookout is None or self._lookout.wants(action.server_id):
            self._ask(action.server_id)
        elif not self._lookout.knows(action.server_id):
            self.queue(HealthCheckCompleted(action.server_id, AttemptResult.NOT_SENT, 0))

    def _ask(self, host: str) -> None:
        address = self.outside.instances.address(host)
        if address is None:
            self.queue(HealthCheckCompleted(host, AttemptResult.NOT_SENT, 0))
        else:
            self.outside.probe(host, address)

    def _do_timer(self, action: StartTimer) -> None:
        event = TimerFired(action.timer_id)
        self._loop.call_later(action.delay_us, lambda: self.queue(event))
