"""Messages that members exchange, as typed values; ``codec`` encodes them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from larchhaven.membership.member import NO_STAMP, Member, MemberInfo

# Stands for a member number if there is no member.
NO_MEMBER = 0xFFFF
# Views are compared in this many buckets, with separate digests for stamps and infos.
DIGEST_BUCKETS = 16


class MessageKind(IntEnum):
    """The purpose of a message."""

    PING = 1
    ACK = 2  # the target of the ping is alive
    INDIRECT_PROBE_REQUEST = 3  # ping the target on behalf of the sender
    NACK = 4  # the target did not answer the indirect probe
    GOSSIP = 5  # updates only
    PUSH_PULL_REQUEST = 6  # digests; asks for the receiver's digests and for differing records
    PUSH_PULL_RESPONSE = 7  # digests; asks the requester for differing records


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """The stamp of a member, and a member that suspects it or declared it dead.

    Attributes:
        number: The member that the update is about.
        stamp: Its incarnation and state.
        suspector: A member that suspects it or declared it dead, or ``NO_MEMBER``.
    """

    number: int
    stamp: int
    suspector: int = NO_MEMBER

    @classmethod
    def from_member(cls, member: Member) -> StateUpdate:
        """Return the update that passes on a member's record."""
        suspector = member.suspectors[0] if member.suspectors else NO_MEMBER
        return cls(member.number, member.stamp, suspector)


@dataclass(frozen=True, slots=True)
class InfoUpdate:
    """The info of a member, which any member may pass on.

    Attributes:
        number: The member that the update is about.
        incarnation: The incarnation at which it announced the info.
        info: The info.
    """

    number: int
    incarnation: int
    info: MemberInfo


@dataclass(frozen=True, slots=True)
class Message:
    """One message between two members.

    Attributes:
        kind: The purpose of the message.
        sender: The sender's number in the peer table.
        receiver: The receiver's number in the sender's peer table.
        stamp: The sender's own stamp, ``NO_STAMP`` before it has joined.
        sequence: Matches an ack or nack with its ping or request.
        target: The probed member, or ``NO_MEMBER``.
        state_updates: Piggybacked state updates.
        digests: Digests of the sender's view, in push-pull messages only.
        info_updates: Piggybacked info updates.
        session_id: Random number of the sender's process; filled in by the authenticator.
        counter: Raised with each message of a session; filled in by the authenticator.
    """

    kind: MessageKind
    sender: int
    receiver: int
    stamp: int = NO_STAMP
    sequence: int = 0
    target: int = NO_MEMBER
    state_updates: tuple[StateUpdate, ...] = ()
    digests: tuple[int, ...] = ()
    info_updates: tuple[InfoUpdate, ...] = ()
    session_id: int = 0
    counter: int = 0
