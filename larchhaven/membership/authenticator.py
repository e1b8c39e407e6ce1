"""Authenticates datagrams: checks their origin and addressee, and rejects replays.

Two keys are valid at once, so that keys can be rotated: every proxy gets the new key as its second
key, then as its first key, and finally the old key is removed.

Each session of a sender has a window of message counters. A message is rejected if its counter was
received before or is older than the window. A message of another session begins a new window if its
stamp is larger than the latest one known. Otherwise it is rejected if it has the same incarnation.
With a smaller incarnation, or none, it is accepted without a window: it may come from a restarted
process that has yet to learn its last incarnation. Replaying such a message causes at most a reply,
and the message budget limits replies.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace

from larchhaven.membership.codec import decode, encode
from larchhaven.membership.errors import DatagramError, RejectReason
from larchhaven.membership.member import NO_STAMP, stamp_incarnation
from larchhaven.membership.messages import Message

# Number of the latest counters that are tracked; datagrams are reordered by less than this.
REPLAY_WINDOW = 256


@dataclass(slots=True)
class _ReplayWindow:
    """The counters received in one session of a sender.

    Bit ``n`` of ``received_bits`` stands for the counter ``newest - n``.
    """

    session_id: int
    newest: int = 0
    received_bits: int = 0
    stamp: int = NO_STAMP

    def accept(self, counter: int) -> bool:
        """Record a counter; return whether it is new."""
        if counter > self.newest:
            shift = min(counter - self.newest, REPLAY_WINDOW)
            self.received_bits = (self.received_bits << shift | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.newest = counter
            return True
        bit = self.newest - counter
        if bit >= REPLAY_WINDOW or self.received_bits >> bit & 1:
            return False
        self.received_bits |= 1 << bit
        return True


class DatagramAuthenticator:
    """Signs datagrams of the local member and verifies those of other members.

    Args:
        own_number: The local member's number in the peer table.
        table_size: Number of entries in the peer table.
        session_id: Random number that the process chooses when it starts.
        keys: The valid keys; the first one signs.

    Attributes:
        keys: The valid keys; may be replaced at any time.
        rejected: Number of rejected datagrams, by reason.
    """

    def __init__(
        self, own_number: int, table_size: int, session_id: int, keys: Sequence[bytes] = (b"",)
    ) -> None:
        self.own_number = own_number
        self.table_size = table_size
        self.keys = tuple(keys) or (b"",)
        self.rejected: Counter[RejectReason] = Counter()
        self._session_id = session_id
        self._counter = 0
        self._windows: dict[int, _ReplayWindow] = {}

    def seal(self, message: Message) -> bytes:
        """Encode a message with the next counter, signed with the first key."""
        self._counter += 1
        numbered = replace(message, session_id=self._session_id, counter=self._counter)
        return encode(numbered, self.keys[0])

    def open(self, data: bytes, sender: int | None = None) -> Message | None:
        """Verify and decode a datagram; a rejected datagram is counted in ``rejected``.

        Args:
            data: The datagram.
            sender: The number of its source address in the local peer table, if known.

        Returns:
            The message, or None if the datagram is rejected.
        """
        try:
            message = decode(data, self.keys)
        except DatagramError as error:
            self.rejected[error.reason] += 1
            return None
        has_wrong_source = sender is not None and sender != message.sender
        if has_wrong_source or not self._is_addressed_here(message):
            self.rejected[RejectReason.PEER_TABLE] += 1
            return None
        if not self._is_fresh(message):
            self.rejected[RejectReason.REPLAY] += 1
            return None
        return message

    def _is_addressed_here(self, message: Message) -> bool:
        return message.sender < self.table_size and (
            message.receiver == self.own_number != message.sender
        )

    def _is_fresh(self, message: Message) -> bool:
        window = self._windows.get(message.sender)
        if window is None or (
            window.session_id != message.session_id and message.stamp > window.stamp
        ):
            window = self._windows[message.sender] = _ReplayWindow(message.session_id)
        elif window.session_id != message.session_id:
            return self._may_be_restarted(message, window)
        if not window.accept(message.counter):
            return False
        window.stamp = max(window.stamp, message.stamp)
        return True

    def _may_be_restarted(self, message: Message, window: _ReplayWindow) -> bool:
        """Return whether a message may come from a restarted process, perhaps with a slow clock."""
        if message.stamp == NO_STAMP:
            return True
        return stamp_incarnation(message.stamp) != stamp_incarnation(window.stamp)
