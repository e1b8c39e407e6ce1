"""Push-pull exchanges: two members compare digests of their views and send what differs."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from larchhaven.membership.codec import MAX_BODY_BYTES, MAX_STATE_UPDATES, info_update_bytes
from larchhaven.membership.context import NEVER_US, ProtocolContext
from larchhaven.membership.member import Member
from larchhaven.membership.member_table import MemberTable
from larchhaven.membership.message_sender import MessageSender
from larchhaven.membership.messages import (
    DIGEST_BUCKETS,
    InfoUpdate,
    MessageKind,
    StateUpdate,
)
from larchhaven.membership.sampling import sample

# Limit of the messages that wait for the message budget. Further messages are dropped: the next
# exchange sends their updates again.
MAX_PENDING_MESSAGES = 128


@dataclass(frozen=True, slots=True)
class _PendingMessage:
    """Updates for one receiver that fit into one message."""

    receiver: int
    states: tuple[StateUpdate, ...] = ()
    infos: tuple[InfoUpdate, ...] = ()


class StateExchange:
    """Owns the schedule of push-pull exchanges and their pending messages.

    Requests go to a present member at intervals, and to an absent member more often. An answer from
    an absent member shows that a network partition has ended.

    Args:
        context: Objects that all components of the protocol share.
        table: The member table.
        sender: Sends the messages.
    """

    def __init__(
        self,
        context: ProtocolContext,
        *,
        table: MemberTable,
        sender: MessageSender,
    ) -> None:
        self._table = table
        self._sender = sender
        self._rng = context.rng
        self._config = context.config
        self._batch = context.batch
        self._pending: deque[_PendingMessage] = deque()
        reconnect_us = context.config.reconnect_interval_us
        first_us = context.batch.now_us + int(reconnect_us * context.rng.random())
        self._next_exchange_us = first_us
        self._next_reconnect_us = first_us

    def request(self, receiver: int) -> None:
        """Ask a member to compare views."""
        digests = self._table.digests()
        self._sender.send(MessageKind.PUSH_PULL_REQUEST, receiver, digests=digests)

    def respond(self, receiver: int) -> None:
        """Answer a request with the local digests."""
        digests = self._table.digests()
        self._sender.send(MessageKind.PUSH_PULL_RESPONSE, receiver, digests=digests, is_reply=True)

    def send_differences(self, receiver: int, digests: tuple[int, ...]) -> None:
        """Send all records of the buckets whose digests differ.

        The state of the receiver itself comes first, infos come last.
        """
        is_different = [
            own != other for own, other in zip(self._table.digests(), digests, strict=True)
        ]
        members = sorted(
            self._table.view.members.values(),
            key=lambda member: (member.number != receiver, member.number),
        )
        states = [m for m in members if is_different[m.number % DIGEST_BUCKETS]]
        infos = [m for m in members if is_different[DIGEST_BUCKETS + m.number % DIGEST_BUCKETS]]
        messages = [*_pack_states(receiver, states), *_pack_infos(receiver, infos)]
        self._pending.extend(messages[: MAX_PENDING_MESSAGES - len(self._pending)])
        self.send_pending()

    def send_pending(self) -> None:
        """Send pending messages as far as the budget allows."""
        while self._pending and self._sender.may_send():
            message = self._pending.popleft()
            self._sender.send_updates(message.receiver, message.states, message.infos)

    def run_timers(self) -> None:
        """Begin the exchanges that are due."""
        now_us = self._batch.now_us
        if now_us >= self._next_exchange_us:
            self._next_exchange_us = now_us + self._config.push_pull_interval_us
            self._request_any(self._table.present_peers())
        if now_us >= self._next_reconnect_us:
            self._next_reconnect_us = now_us + self._config.reconnect_interval_us
            self._request_any(self._table.absent_peers())

    def next_deadline_us(self) -> int:
        """Return when ``run_timers`` has work to do."""
        return min(self._next_exchange_us, self._next_reconnect_us)

    def pending_deadline_us(self) -> int:
        """Return when ``send_pending`` has work to do, or ``NEVER_US``."""
        if not self._pending:
            return NEVER_US
        return self._batch.now_us + self._sender.refill_interval_us

    def fingerprint(self) -> tuple[object, ...]:
        """Return a hashable summary of the schedule and the pending messages."""
        return self._next_exchange_us, self._next_reconnect_us, len(self._pending)

    def _request_any(self, candidates: list[int]) -> None:
        for number in sample(self._rng, 1, candidates):
            self.request(number)


def _pack_states(receiver: int, members: Iterable[Member]) -> Iterator[_PendingMessage]:
    updates = tuple(StateUpdate.from_member(member) for member in members)
    for begin in range(0, len(updates), MAX_STATE_UPDATES):
        yield _PendingMessage(receiver, states=updates[begin : begin + MAX_STATE_UPDATES])


def _pack_infos(receiver: int, members: Iterable[Member]) -> Iterator[_PendingMessage]:
    packed: list[InfoUpdate] = []
    room_bytes = MAX_BODY_BYTES
    for member in members:
        if member.info is None:
            continue
        size_bytes = info_update_bytes(member.info)
        if packed and size_bytes > room_bytes:
            yield _PendingMessage(receiver, infos=tuple(packed))
            packed = []
            room_bytes = MAX_BODY_BYTES
        packed.append(InfoUpdate(member.number, member.info_incarnation, member.info))
        room_bytes -= size_bytes
    if packed:
        yield _PendingMessage(receiver, infos=tuple(packed))
