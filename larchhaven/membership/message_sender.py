"""Builds and sends messages within the message budget, with piggybacked updates."""

from __future__ import annotations

from larchhaven.membership.actions import SendMessage
from larchhaven.membership.codec import DIGEST_BYTES, MAX_BODY_BYTES, STATE_UPDATE_BYTES
from larchhaven.membership.context import ProtocolContext
from larchhaven.membership.counters import ProtocolCounter
from larchhaven.membership.local_member import LocalMember
from larchhaven.membership.member_table import MemberTable
from larchhaven.membership.message_budget import MessageBudget
from larchhaven.membership.messages import (
    NO_MEMBER,
    InfoUpdate,
    Message,
    MessageKind,
    StateUpdate,
)
from larchhaven.membership.update_queue import UpdateQueue

_SEQUENCE_MASK = 0xFFFF_FFFF


class MessageSender:
    """Sends messages as actions of the current batch; owns the sequence numbers.

    Args:
        context: Objects that all components of the protocol share.
        table: The member table.
        local: The local member, whose stamp is part of each message.
        queue: The pending updates, which are piggybacked.
        budget: Limits the messages.
    """

    def __init__(
        self,
        context: ProtocolContext,
        *,
        table: MemberTable,
        local: LocalMember,
        queue: UpdateQueue,
        budget: MessageBudget,
    ) -> None:
        self._own_number = table.own_number
        self._local = local
        self._queue = queue
        self._budget = budget
        self._batch = context.batch
        self._counters = context.counters
        self._sequence = 0

    @property
    def refill_interval_us(self) -> int:
        """Time until the budget allows one more message, in microseconds."""
        return self._budget.refill_interval_us

    def next_sequence(self) -> int:
        """Return the sequence number of a new ping."""
        self._sequence = self._sequence + 1 & _SEQUENCE_MASK
        return self._sequence

    def may_send(self) -> bool:
        """Return whether the budget allows a message that is not a reply."""
        return self._budget.has_token(self._batch.now_us)

    def send(
        self,
        kind: MessageKind,
        receiver: int,
        *,
        sequence: int = 0,
        target: int = NO_MEMBER,
        digests: tuple[int, ...] = (),
        is_reply: bool = False,
    ) -> bool:
        """Send a message with piggybacked updates.

        Args:
            kind: The purpose of the message.
            receiver: The member that it is sent to.
            sequence: Matches a reply with its ping or request.
            target: The probed member.
            digests: Digests of the view, in push-pull messages.
            is_reply: Whether the message may overdraw the budget.

        Returns:
            Whether the budget allowed it.
        """
        if not self._spend(is_reply):
            return False
        room_bytes = MAX_BODY_BYTES - DIGEST_BYTES * len(digests)
        is_response = kind is MessageKind.PUSH_PULL_RESPONSE
        states = self._queue.take_states(receiver, room_bytes, include_receiver=is_response)
        infos = self._queue.take_infos(room_bytes - STATE_UPDATE_BYTES * len(states))
        stamp = self._local.stamp
        message = Message(
            kind, self._own_number, receiver, stamp, sequence, target, states, digests, infos
        )
        self._emit(message)
        return True

    def send_updates(
        self,
        receiver: int,
        states: tuple[StateUpdate, ...],
        infos: tuple[InfoUpdate, ...] = (),
    ) -> bool:
        """Send the given updates without any others; return whether the budget allowed it."""
        if not self._spend(is_reply=False):
            return False
        stamp = self._local.stamp
        self._emit(
            Message(
                MessageKind.GOSSIP,
                self._own_number,
                receiver,
                stamp,
                state_updates=states,
                info_updates=infos,
            )
        )
        return True

    def fingerprint(self) -> tuple[object, ...]:
        """Return the state that later messages depend on, as a hashable value."""
        return self._sequence, self._budget.fingerprint()

    def _spend(self, is_reply: bool) -> bool:
        if self._budget.try_spend(self._batch.now_us, is_reply=is_reply):
            return True
        self._counters[ProtocolCounter.MESSAGES_SUPPRESSED] += 1
        return False

    def _emit(self, message: Message) -> None:
        self._batch.append(SendMessage(message))
        self._counters[ProtocolCounter.MESSAGES_SENT] += 1
