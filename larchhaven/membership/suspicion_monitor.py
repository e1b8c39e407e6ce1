"""Probes suspected members until their timeout, and then declares them dead."""

from __future__ import annotations

from larchhaven.membership.context import NEVER_US, ProtocolContext
from larchhaven.membership.local_member import LocalMember
from larchhaven.membership.member_table import MemberTable
from larchhaven.membership.message_sender import MessageSender
from larchhaven.membership.messages import MessageKind
from larchhaven.membership.suspicion import Suspicion, SuspicionTable
from larchhaven.membership.synchronization import ViewSynchronizer
from larchhaven.membership.update_merger import UpdateMerger


class SuspicionMonitor:
    """Runs the timers of the suspicions.

    Args:
        context: Objects that all components of the protocol share.
        table: The member table.
        local: The local member; it probes suspects once it has joined.
        sender: Sends pings.
        merger: Declares members dead.
        suspicions: The suspicions.
        synchronizer: Tells whether local observations are trusted.
    """

    def __init__(
        self,
        context: ProtocolContext,
        *,
        table: MemberTable,
        local: LocalMember,
        sender: MessageSender,
        merger: UpdateMerger,
        suspicions: SuspicionTable,
        synchronizer: ViewSynchronizer,
    ) -> None:
        self._config = context.config
        self._batch = context.batch
        self._own_number = table.own_number
        self._local = local
        self._sender = sender
        self._merger = merger
        self._suspicions = suspicions
        self._synchronizer = synchronizer

    def run_timers(self) -> None:
        """Declare members dead that did not refute in time; probe those suspected locally."""
        if not self._synchronizer.trusts_own_observations():
            return
        now_us = self._batch.now_us
        for number, suspicion in self._suspicions.items():
            if self._is_probed_here(suspicion):
                self._run_suspector_timers(number, suspicion)
            elif suspicion.deadline_us(self._own_number) <= now_us:
                self._merger.declare_dead(number)

    def _run_suspector_timers(self, number: int, suspicion: Suspicion) -> None:
        """Declare a member dead if it did not answer the last probe; else probe it when due."""
        now_us = self._batch.now_us
        deadline_us = suspicion.deadline_us(self._own_number)
        if suspicion.last_answer_due_us:
            if now_us >= max(deadline_us, suspicion.last_answer_due_us):
                self._merger.declare_dead(number)
        elif now_us >= self._last_probe_us(suspicion):
            # The network may have healed since the previous probe, or confirmations may have
            # shortened the timeout.
            suspicion.last_answer_due_us = now_us + self._config.probe_timeout_us
            self._probe_again(number, suspicion)
        elif now_us >= suspicion.next_probe_us:
            self._probe_again(number, suspicion)

    def next_deadline_us(self) -> int:
        """Return when ``run_timers`` has work to do, or ``NEVER_US``."""
        suspicions = self._suspicions.values()
        if not suspicions:
            return NEVER_US
        deadline_us = min(self._deadline_us(suspicion) for suspicion in suspicions)
        if self._synchronizer.trusts_own_observations():
            return deadline_us
        # Suspicions are not processed until local observations are trusted. Check again after the
        # interval of the push-pull requests.
        return max(deadline_us, self._batch.now_us + self._config.join_retry_interval_us)

    def _deadline_us(self, suspicion: Suspicion) -> int:
        deadline_us = suspicion.deadline_us(self._own_number)
        if not self._is_probed_here(suspicion):
            return deadline_us
        if suspicion.last_answer_due_us:
            return max(deadline_us, suspicion.last_answer_due_us)
        return min(self._last_probe_us(suspicion), suspicion.next_probe_us)

    def _last_probe_us(self, suspicion: Suspicion) -> int:
        """Return when the last probe is due, so that its ack can arrive by the deadline."""
        return suspicion.deadline_us(self._own_number) - self._config.probe_timeout_us

    def _is_probed_here(self, suspicion: Suspicion) -> bool:
        return self._local.has_joined and self._own_number in suspicion.suspectors

    def _probe_again(self, number: int, suspicion: Suspicion) -> None:
        """Send a ping that carries the suspicion; the ack carries the refutation."""
        suspicion.next_probe_us = self._batch.now_us + self._config.probe_interval_us
        sequence = self._sender.next_sequence()
        self._sender.send(MessageKind.PING, number, sequence=sequence, target=number)
