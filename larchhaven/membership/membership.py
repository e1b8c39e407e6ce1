"""The membership protocol of one member: SWIM with suspicions, and Lifeguard's extensions.

In each interval a member probes one other member. The order is shuffled in each round, so all
members are probed equally often, and the time to detect a death does not grow with the fleet.
Without an ack the member requests indirect probes, then suspects the target. Updates are
piggybacked on all messages and also sent in gossip rounds. A member compares digests of its view
with a random present member at intervals, and immediately after a join or a pause of its process.
It also does so with a random absent member at intervals, to detect that a partition has healed.

The protocol does no I/O: it receives messages and the time, and returns actions. Times are in
microseconds of the local monotonic clock; clocks of different members are not compared. Random
numbers are injected.
"""

from __future__ import annotations

from collections import Counter
from typing import ClassVar

from larchhaven.membership.actions import Action, ActionBatch
from larchhaven.membership.codec import truncate_info
from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.context import ProtocolContext
from larchhaven.membership.counters import ProtocolCounter, ProtocolCounters
from larchhaven.membership.dissemination import Disseminator
from larchhaven.membership.indirect_probes import IndirectProber
from larchhaven.membership.local_health import LocalHealth
from larchhaven.membership.local_member import LocalMember
from larchhaven.membership.member import NO_STAMP, MemberInfo, MemberState, make_stamp
from larchhaven.membership.member_table import MemberTable
from larchhaven.membership.message_budget import MessageBudget
from larchhaven.membership.message_sender import MessageSender
from larchhaven.membership.messages import Message, MessageKind, StateUpdate
from larchhaven.membership.probe_order import ProbeOrder
from larchhaven.membership.probing import Prober
from larchhaven.membership.sampling import RandomSource
from larchhaven.membership.state_exchange import StateExchange
from larchhaven.membership.suspicion import SuspicionTable
from larchhaven.membership.suspicion_monitor import SuspicionMonitor
from larchhaven.membership.synchronization import ViewSynchronizer
from larchhaven.membership.update_merger import UpdateMerger
from larchhaven.membership.update_queue import UpdateQueue
from larchhaven.membership.view import MembershipView


class Membership:
    """The membership protocol of the local member.

    Args:
        now_us: Current time.
        own_number: The local member's index in the peer table.
        table_size: Number of entries in the peer table.
        info: The info that the local member announces.
        first_incarnation: The smallest incarnation to join with, at least 1. Seconds of the wall
            clock are suitable: if the clock is slow, the incarnation is raised above the one that
            others remember. After a hot restart, the predecessor's incarnation plus 1.
        rng: Source of random numbers.
        config: Intervals, timeouts and limits.

    Attributes:
        own_number: The local member's index in the peer table.
        table_size: Number of entries in the peer table.
        due_us: When ``run_timers`` has work to do.
        health: The local health.
        counters: The protocol's counters.
    """

    # Subclasses may replace these components, for example to show that a test detects a fault.
    update_queue_type: ClassVar[type[UpdateQueue]] = UpdateQueue
    local_member_type: ClassVar[type[LocalMember]] = LocalMember
    update_merger_type: ClassVar[type[UpdateMerger]] = UpdateMerger
    state_exchange_type: ClassVar[type[StateExchange]] = StateExchange

    def __init__(
        self,
        now_us: int,
        own_number: int,
        table_size: int,
        info: MemberInfo,
        first_incarnation: int,
        rng: RandomSource,
        config: ProtocolConfig,
    ) -> None:
        self.own_number = own_number
        self.table_size = table_size
        self.due_us = now_us
        self.health = LocalHealth()
        self.counters: ProtocolCounters = Counter()
        self._batch = ActionBatch(now_us)
        context = ProtocolContext(config, rng, self._batch, self.counters)
        self._config = config
        self._table = MemberTable(own_number, table_size, self._batch)
        self._suspicions = SuspicionTable(config)
        self._join_deadline_us = now_us + config.join_timeout_us
        self._build_senders(context, truncate_info(info), first_incarnation)
        self._build_failure_detector(context)
        if table_size <= 1:
            self._join()
            self._synchronizer.mark_synchronized()

    def _build_senders(
        self, context: ProtocolContext, info: MemberInfo, first_incarnation: int
    ) -> None:
        table = self._table
        self._queue = queue = self.update_queue_type(table, context.config)
        self._local = local = self.local_member_type(
            context, info, first_incarnation, table=table, queue=queue, health=self.health
        )
        budget = MessageBudget(context.batch.now_us, context.config)
        self._sender = sender = MessageSender(
            context, table=table, local=local, queue=queue, budget=budget
        )
        self._exchange = self.state_exchange_type(context, table=table, sender=sender)
        self._synchronizer = ViewSynchronizer(
            context, table=table, local=local, exchange=self._exchange
        )
        self._disseminator = Disseminator(context, table=table, queue=queue, sender=sender)

    def _build_failure_detector(self, context: ProtocolContext) -> None:
        table, sender = self._table, self._sender
        probe_order = ProbeOrder(table, context.rng)
        self._merger = self.update_merger_type(
            context,
            table=table,
            queue=self._queue,
            local=self._local,
            suspicions=self._suspicions,
            probe_order=probe_order,
        )
        self._prober = Prober(
            context,
            table=table,
            sender=sender,
            order=probe_order,
            merger=self._merger,
            synchronizer=self._synchronizer,
            health=self.health,
        )
        self._indirect_prober = IndirectProber(
            context, table=table, local=self._local, sender=sender
        )
        self._suspicion_monitor = SuspicionMonitor(
            context,
            table=table,
            local=self._local,
            sender=sender,
            merger=self._merger,
            suspicions=self._suspicions,
            synchronizer=self._synchronizer,
        )

    # Properties and read access

    @property
    def info(self) -> MemberInfo:
        """The info that the local member announces, as others receive it."""
        return self._local.info

    @property
    def view(self) -> MembershipView:
        """The current view of the fleet."""
        return self._table.view

    @property
    def has_joined(self) -> bool:
        """Whether the local member has taken an incarnation and announced it."""
        return self._local.has_joined

    @property
    def stamp(self) -> int:
        """The local member's incarnation and state; ``NO_STAMP`` before it has joined."""
        return self._local.stamp

    @property
    def incarnation(self) -> int:
        """The local member's incarnation, or before it has joined the smallest one to join with."""
        return self._local.incarnation

    def digests(self) -> tuple[int, ...]:
        """Return the digests of the view; members with equal views have equal digests."""
        return self._table.digests()

    def suspected_numbers(self) -> list[int]:
        """Return the suspected members, the earliest suspected one first."""
        return self._suspicions.numbers()

    def pending_update_numbers(self) -> list[int]:
        """Return the members that pending state updates are about, in ascending order."""
        return self._queue.pending_numbers()

    def fingerprint(self) -> tuple[object, ...]:
        """Return a hashable summary of the state that determines the local member's next actions.

        An exhaustive search treats members with equal fingerprints as equal, and explores only one
        of them. The content of the fingerprint has no other purpose.
        """
        members = sorted(self.view.members.values(), key=lambda member: member.number)
        member_states = tuple(
            (m.number, m.stamp, m.suspectors, m.info_incarnation) for m in members
        )
        return (
            member_states,
            self.stamp,
            self.health.score,
            self._sender.fingerprint(),
            self._prober.fingerprint(),
            self._indirect_prober.fingerprint(),
            self._suspicions.fingerprint(),
            self._queue.fingerprint(),
            self._exchange.fingerprint(),
            self._synchronizer.fingerprint(),
            self._disseminator.fingerprint(),
        )

    # Events

    def receive(self, now_us: int, message: Message) -> list[Action]:
        """Handle a message that the authenticator has accepted; return the resulting actions."""
        self._begin_call(now_us)
        self._apply_sender_stamp(message)
        self._merger.apply_all(message)
        self._handle_kind(message)
        if not self.has_joined and message.kind is MessageKind.PUSH_PULL_RESPONSE:
            self._join()
        return self._end_call()

    def run_timers(self, now_us: int) -> list[Action]:
        """Run all timers that are due; return the resulting actions."""
        self._begin_call(now_us)
        if not self.has_joined and now_us >= self._join_deadline_us:
            self._join()
        self._synchronizer.run_timers()
        self._suspicion_monitor.run_timers()
        if self.has_joined:
            self._indirect_prober.run_timers()
            self._prober.run_timers()
            self._exchange.run_timers()
        self._exchange.send_pending()
        if self.has_joined:
            self._disseminator.run_timers()
        return self._end_call()

    def leave(self, now_us: int) -> list[Action]:
        """Announce a planned stop; ``run_timers`` repeats it until the process ends."""
        self._begin_call(now_us)
        self._local.leave()
        self._disseminator.announce_leave()
        return self._end_call()

    def learn_previous_incarnation(self, now_us: int, incarnation: int) -> list[Action]:
        """Record the last incarnation of the predecessor in a hot restart."""
        self._begin_call(now_us)
        stamp = make_stamp(incarnation, MemberState.ALIVE)
        self._local.apply_state(StateUpdate(self.own_number, stamp))
        return self._end_call()

    # Start and end of each call

    def _begin_call(self, now_us: int) -> None:
        self._batch.now_us = now_us
        late_us = now_us - self.due_us
        if late_us >= self._config.pause_threshold_us:
            self.counters[ProtocolCounter.PROCESS_PAUSES] += 1
            self._discard_observations()
        elif late_us >= self._config.late_timer_threshold_us and self._prober.is_probing:
            self.counters[ProtocolCounter.LATE_TIMERS] += 1
            self.health.degrade()
            self._prober.abandon_probe(next_probe_us=now_us)

    def _end_call(self) -> list[Action]:
        # A confirmation may have moved a suspicion's deadline into the past.
        self.due_us = max(self._next_deadline_us(), self._batch.now_us)
        return self._batch.drain()

    def _next_deadline_us(self) -> int:
        earliest_us = min(
            self._synchronizer.next_deadline_us(),
            self._suspicion_monitor.next_deadline_us(),
            self._exchange.pending_deadline_us(),
        )
        if not self.has_joined:
            return min(earliest_us, self._join_deadline_us)
        return min(
            earliest_us,
            self._prober.next_deadline_us(),
            self._indirect_prober.next_deadline_us(),
            self._exchange.next_deadline_us(),
            self._disseminator.next_deadline_us(),
        )

    def _discard_observations(self) -> None:
        """Discard observations after a pause of this process: it may have missed messages."""
        now_us = self._batch.now_us
        self.health.degrade()
        interval_us = self.health.scale_us(self._config.probe_interval_us)
        self._prober.abandon_probe(next_probe_us=now_us + interval_us)
        self._indirect_prober.clear()
        self._suspicions.restart_all(now_us)
        if self.table_size > 1:
            self._synchronizer.mark_stale()

    def _join(self) -> None:
        self._local.join()
        self._prober.start()

    def _apply_sender_stamp(self, message: Message) -> None:
        if message.stamp == NO_STAMP:
            return
        sender = message.sender
        previous = self._table.get(sender)
        self._merger.apply_state(StateUpdate(sender, message.stamp))
        if previous is not None and message.stamp < previous.stamp and self._sender.may_send():
            # The sender has missed an update about itself, and has to receive it to refute it.
            self._sender.send_updates(sender, (StateUpdate.from_member(previous),))

    def _handle_kind(self, message: Message) -> None:
        sender = message.sender
        match message.kind:
            case MessageKind.PING:
                self._sender.send(
                    MessageKind.ACK,
                    sender,
                    sequence=message.sequence,
                    target=self.own_number,
                    is_reply=True,
                )
            case MessageKind.INDIRECT_PROBE_REQUEST:
                self._indirect_prober.handle_request(message)
            case MessageKind.ACK | MessageKind.NACK:
                if not self._prober.handle_answer(message):
                    self._indirect_prober.handle_answer(message)
            case MessageKind.PUSH_PULL_REQUEST:
                # A member that has not joined yet has no complete view to compare.
                if self.has_joined:
                    self._exchange.respond(sender)
                    self._exchange.send_differences(sender, message.digests)
            case MessageKind.PUSH_PULL_RESPONSE:
                self._synchronizer.mark_synchronized()
                self._exchange.send_differences(sender, message.digests)
            case MessageKind.GOSSIP:
                pass
