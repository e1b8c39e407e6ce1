"""Gossip rounds: messages that carry only updates, sent while updates are pending."""

from __future__ import annotations

from larchhaven.membership.context import NEVER_US, ProtocolContext
from larchhaven.membership.member_table import MemberTable
from larchhaven.membership.message_sender import MessageSender
from larchhaven.membership.messages import MessageKind
from larchhaven.membership.sampling import sample
from larchhaven.membership.update_queue import UpdateQueue

# A planned stop is announced in this many immediate rounds, to this many members each.
LEAVE_ROUNDS = 3
LEAVE_FANOUT = 4


class Disseminator:
    """Owns the schedule of the gossip rounds.

    Args:
        context: Objects that all components of the protocol share.
        table: The member table.
        queue: The pending updates.
        sender: Sends the messages.
    """

    def __init__(
        self,
        context: ProtocolContext,
        *,
        table: MemberTable,
        queue: UpdateQueue,
        sender: MessageSender,
    ) -> None:
        self._table = table
        self._queue = queue
        self._sender = sender
        self._rng = context.rng
        self._config = context.config
        self._batch = context.batch
        self._next_round_us = context.batch.now_us

    def run_timers(self) -> None:
        """Send a gossip round if one is due."""
        now_us = self._batch.now_us
        if now_us < self._next_round_us or not self._queue.has_states:
            return
        self._next_round_us = now_us + self._config.gossip_interval_us
        self._send_round(self._config.gossip_fanout)

    def announce_leave(self) -> None:
        """Send several rounds at once, because the process may end before the next one is due."""
        for _ in range(LEAVE_ROUNDS):
            self._send_round(LEAVE_FANOUT)

    def next_deadline_us(self) -> int:
        """Return when ``run_timers`` has work to do, or ``NEVER_US``."""
        return self._next_round_us if self._queue.has_states else NEVER_US

    def fingerprint(self) -> object:
        """Return the state that later decisions depend on, as a hashable value."""
        return self._next_round_us

    def _send_round(self, fanout: int) -> None:
        for number in sample(self._rng, fanout, self._table.present_peers()):
            self._sender.send(MessageKind.GOSSIP, number)
