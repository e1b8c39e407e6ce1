"""Indirect probes: pings a member on behalf of a requester that received no ack from it."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.membership.context import NEVER_US, ProtocolContext
from larchhaven.membership.local_member import LocalMember
from larchhaven.membership.member_table import MemberTable
from larchhaven.membership.message_sender import MessageSender
from larchhaven.membership.messages import Message, MessageKind

# Maximum number of requests under way; above it the oldest request is dropped.
MAX_REQUESTS = 64


@dataclass(slots=True)
class IndirectProbeRequest:
    """An indirect probe under way for another member.

    Attributes:
        sequence: The sequence number of the ping to the target.
        requester: The member that requested the probe.
        requester_sequence: The sequence number for the reply to the requester.
        target: The probed member.
        deadline_us: When a nack is sent to the requester if the target has not answered.
    """

    sequence: int
    requester: int
    requester_sequence: int
    target: int
    deadline_us: int


class IndirectProber:
    """Owns the indirect probe requests under way.

    Args:
        context: Objects that all components of the protocol share.
        table: The member table.
        local: The local member; requests are ignored until it has joined.
        sender: Sends pings, acks and nacks.
    """

    def __init__(
        self,
        context: ProtocolContext,
        *,
        table: MemberTable,
        local: LocalMember,
        sender: MessageSender,
    ) -> None:
        self._table = table
        self._local = local
        self._sender = sender
        self._probe_timeout_us = context.config.probe_timeout_us
        self._batch = context.batch
        self._requests: dict[int, IndirectProbeRequest] = {}  # by the sequence of the ping

    def handle_request(self, message: Message) -> None:
        """Ping the target of a request."""
        target = message.target
        is_valid = target < self._table.size and target != self._table.own_number
        if not is_valid or not self._local.has_joined:
            return
        sequence = self._sender.next_sequence()
        if not self._sender.send(MessageKind.PING, target, sequence=sequence, target=target):
            return
        deadline_us = self._batch.now_us + self._probe_timeout_us
        self._requests[sequence] = IndirectProbeRequest(
            sequence, message.sender, message.sequence, target, deadline_us
        )
        if len(self._requests) > MAX_REQUESTS:
            del self._requests[next(iter(self._requests))]

    def handle_answer(self, message: Message) -> None:
        """Forward the ack of a target to the requester."""
        request = self._requests.get(message.sequence)
        if request is None or message.sender != request.target:
            return
        if message.kind is MessageKind.ACK:
            del self._requests[message.sequence]
            self._answer(request, MessageKind.ACK)

    def run_timers(self) -> None:
        """Send a nack for each target that did not answer in time."""
        now_us = self._batch.now_us
        expired = [request for request in self._requests.values() if request.deadline_us <= now_us]
        for request in expired:
            del self._requests[request.sequence]
            self._answer(request, MessageKind.NACK)

    def clear(self) -> None:
        """Drop all requests."""
        self._requests.clear()

    def next_deadline_us(self) -> int:
        """Return when ``run_timers`` has work to do, or ``NEVER_US``."""
        if not self._requests:
            return NEVER_US
        return min(request.deadline_us for request in self._requests.values())

    def fingerprint(self) -> tuple[object, ...]:
        """Return the state that later decisions depend on, as a hashable value."""
        return tuple(
            (
                request.sequence,
                request.requester,
                request.requester_sequence,
                request.deadline_us,
            )
            for request in self._requests.values()
        )

    def _answer(self, request: IndirectProbeRequest, kind: MessageKind) -> None:
        self._sender.send(
            kind,
            request.requester,
            sequence=request.requester_sequence,
            target=request.target,
            is_reply=True,
        )
