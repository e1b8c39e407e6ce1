"""Accepts datagrams that prove their origin, are meant for the local member and are not replays.

Two keys are valid at once, so that a key can be rotated: first every proxy gets the new key as
its second one, then as its first one, then the old key is dropped. Each session of a sender has a
window of message counters; a message that was received before, or is older than the window, is
dropped. Messages of an older session of a sender are dropped, unless they carry a smaller stamp
than is known: then they may come from a restarted process that has to learn its last stamp. A
replay gains an answer at most, which the message budget bounds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace

from larchhaven.membership.codec import decode, encode
from larchhaven.membership.errors import DatagramError, RejectReason
from larchhaven.membership.member import NO_STAMP, stamp_incarnation
from larchhaven.membership.messages import Message

# Counters this far behind the newest are still told apart; datagrams are reordered by less.
REPLAY_WINDOW = 256


@dataclass(slots=True)
class _ReplayWindow:
    """The counters received in one session of a sender; bit ``n`` is the newest less ``n``."""

    session_id: int
    newest: int = 0
    received_bits: int = 0
    stamp: int = NO_STAMP

    def accept(self, counter: int) -> bool:
        """Note a counter; return whether it is new."""
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
    """Signs the datagrams of the local member and checks those of others.

    Args:
        own_number: The local member's number in the peer table.
        table_size: How many entries the peer table has.
        session_id: Drawn at the start of the process.
        keys: The valid keys; the first one signs.

    Attributes:
        keys: The valid keys; may be replaced at any time.
        rejected: How many datagrams were rejected, by reason.
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
        """Return the datagram of a message, signed with the first key."""
        self._counter += 1
        numbered = replace(message, session_id=self._session_id, counter=self._counter)
        return encode(numbered, self.keys[0])

    def open(self, data: bytes, sender: int | None = None) -> Message | None:
        """Return the message of a datagram; None, and a counter, if it is rejected.

        Args:
            data: The datagram.
            sender: The number of its source address in the local peer table, if known.
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
        """Tell whether it may come from a process that starts anew, perhaps with a slow clock."""
        if message.stamp == NO_STAMP:
            return True
        return stamp_incarnation(message.stamp) != stamp_incarnation(window.stamp)
