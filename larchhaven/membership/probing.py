"""Probes one other member per interval, directly and then indirectly; suspects it without an ack.

This is SWIM's failure detector with Lifeguard's nacks: a helper sends a nack if the target did not
answer it. A nack also shows that the local member can still exchange messages with the helper.
"""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.membership.context import ProtocolContext
from larchhaven.membership.counters import ProtocolCounter
from larchhaven.membership.local_health import LocalHealth
from larchhaven.membership.member import MemberState, make_stamp
from larchhaven.membership.member_table import MemberTable
from larchhaven.membership.message_sender import MessageSender
from larchhaven.membership.messages import Message, MessageKind, StateUpdate
from larchhaven.membership.probe_order import ProbeOrder
from larchhaven.membership.sampling import sample
from larchhaven.membership.synchronization import ViewSynchronizer
from larchhaven.membership.update_merger import UpdateMerger


@dataclass(slots=True)
class _Probe:
    """The probe of the current interval."""

    sequence: int
    target: int
    direct_deadline_us: int
    deadline_us: int
    is_indirect: bool = False
    indirect_requests: int = 0
    nacks: int = 0
    is_acked: bool = False

    def needs_indirect_probes(self, now_us: int) -> bool:
        """Return whether the direct probe timed out and indirect probes were not requested yet."""
        return not self.is_acked and not self.is_indirect and now_us >= self.direct_deadline_us

    def next_deadline_us(self) -> int:
        """Return when the next timeout of the probe is due."""
        if self.is_indirect or self.is_acked:
            return self.deadline_us
        return self.direct_deadline_us


class Prober:
    """Owns the probe under way.

    Args:
        context: Objects that all components of the protocol share.
        table: The member table.
        sender: Sends pings and indirect probe requests.
        order: Chooses the next member to probe.
        merger: Applies the suspicions.
        synchronizer: Tells whether local observations are trusted.
        health: The local health.
    """

    def __init__(
        self,
        context: ProtocolContext,
        *,
        table: MemberTable,
        sender: MessageSender,
        order: ProbeOrder,
        merger: UpdateMerger,
        synchronizer: ViewSynchronizer,
        health: LocalHealth,
    ) -> None:
        self._table = table
        self._sender = sender
        self._order = order
        self._merger = merger
        self._synchronizer = synchronizer
        self._health = health
        self._rng = context.rng
        self._config = context.config
        self._batch = context.batch
        self._counters = context.counters
        self._probe: _Probe | None = None
        self._next_probe_us = context.batch.now_us

    @property
    def is_probing(self) -> bool:
        """Whether a probe is under way."""
        return self._probe is not None

    def start(self) -> None:
        """Schedule the first probe at a random time within one interval.

        Otherwise members that start together would send their probes at the same time.
        """
        delay_us = int(self._config.probe_interval_us * self._rng.random())
        self._next_probe_us = self._batch.now_us + delay_us

    def abandon_probe(self, next_probe_us: int) -> None:
        """Abandon the probe under way, and schedule the next one for the given time."""
        self._probe = None
        self._next_probe_us = next_probe_us

    def run_timers(self) -> None:
        """Request indirect probes, end the current probe and begin the next one when due."""
        now_us = self._batch.now_us
        probe = self._probe
        if probe is not None and probe.needs_indirect_probes(now_us):
            self._request_indirect_probes(probe)
        if probe is not None and now_us >= probe.deadline_us:
            self._probe = None
            if not probe.is_acked:
                self._handle_failure(probe)
        if self._probe is None and now_us >= self._next_probe_us:
            self._begin_probe()

    def handle_answer(self, message: Message) -> bool:
        """Handle an ack or nack; return whether it belongs to the probe under way."""
        probe = self._probe
        if probe is None:
            return False
        if message.sequence != probe.sequence or message.target != probe.target:
            return False
        if message.kind is MessageKind.NACK:
            probe.nacks += 1
        elif not probe.is_acked:
            probe.is_acked = True
            self._health.improve()
        return True

    def next_deadline_us(self) -> int:
        """Return when ``run_timers`` has work to do."""
        if self._probe is not None:
            return self._probe.next_deadline_us()
        return self._next_probe_us

    def fingerprint(self) -> tuple[object, ...]:
        """Return the state that later decisions depend on, as a hashable value."""
        probe = self._probe
        schedule = (self._next_probe_us, self._order.fingerprint())
        if probe is None:
            return schedule
        return (
            *schedule,
            probe.sequence,
            probe.target,
            probe.is_indirect,
            probe.indirect_requests,
            probe.nacks,
            probe.is_acked,
        )

    def _begin_probe(self) -> None:
        now_us = self._batch.now_us
        interval_us = self._health.scale_us(self._config.probe_interval_us)
        self._next_probe_us = now_us + interval_us
        target = self._order.next_target()
        if target is None:
            return
        sequence = self._sender.next_sequence()
        if self._sender.send(
            MessageKind.PING, target, sequence=sequence, target=target, is_reply=True
        ):
            timeout_us = self._health.scale_us(self._config.probe_timeout_us)
            self._probe = _Probe(sequence, target, now_us + timeout_us, now_us + interval_us)

    def _request_indirect_probes(self, probe: _Probe) -> None:
        sequence, target = probe.sequence, probe.target
        probe.is_indirect = True
        # The first ping may have been lost.
        self._sender.send(MessageKind.PING, target, sequence=sequence, target=target)
        peers = self._table.present_peers()
        for helper in sample(self._rng, self._config.indirect_probes, peers, excluded=target):
            if self._sender.send(
                MessageKind.INDIRECT_PROBE_REQUEST, helper, sequence=sequence, target=target
            ):
                probe.indirect_requests += 1

    def _handle_failure(self, probe: _Probe) -> None:
        """Suspect the target; if nacks are missing, the fault may be on the local side."""
        self._counters[ProtocolCounter.PROBES_FAILED] += 1
        if not probe.indirect_requests or probe.nacks < probe.indirect_requests:
            self._health.degrade()
        member = self._table.get(probe.target)
        if member is None or not member.is_present:
            return
        if not self._synchronizer.trusts_own_observations():
            return
        stamp = make_stamp(member.incarnation, MemberState.SUSPECT)
        self._merger.apply_state(StateUpdate(probe.target, stamp, self._table.own_number))
