"""Which datagrams come in: proved by a key, sent to us, and not heard before.

Two keys are valid at once, so that a key can be rolled: first every proxy is given the new one as its second,
then as its first, then the old one is dropped. Every life of a sender has a window of counts; a message that
was heard, or is older than the window, is dropped. An older life of a sender is dropped as a whole, unless it
says less of itself than we know: then it is a restarted process that has to be told (a replay gains the
telling at most, which the budget of messages bounds).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace

from larchhaven.membership.messages import Message, UnreadableError, decode, encode

# Counts that far behind the newest are still told apart; datagrams overtake each other by less.
WINDOW = 256


@dataclass(slots=True)
class _Heard:
    """One life of a sender: the newest count, and a bit for each of the counts before it."""

    life: int
    newest: int = 0
    seen: int = 0
    stamp: int = 0

    def take(self, count: int) -> bool:
        """Tell whether this count is new, and note it."""
        if count > self.newest:
            self.seen = (self.seen << min(count - self.newest, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self.newest = count
            return True
        bit = self.newest - count
        if bit >= WINDOW or self.seen >> bit & 1:
            return False
        self.seen |= 1 << bit
        return True


class Gate:
    """One member's way in and out."""

    def __init__(self, me: int, size: int, life: int, keys: Sequence[bytes] = (b"",)) -> None:
        self.me = me
        self.size = size
        self.keys = tuple(keys) or (b"",)
        self._life = life
        self._count = 0
        self._heard: dict[int, _Heard] = {}
        self.refused: Counter[str] = Counter()  # by reason

    def write(self, message: Message) -> bytes:
        """Write a message that is to be sent, proved by the first key."""
        self._count += 1
        return encode(replace(message, life=self._life, count=self._count), self.keys[0])

    def read(self, data: bytes, sender: int | None = None) -> Message | None:
        """Read a datagram; None, and a count, if it is not to be heeded.

        Args:
            data: The datagram.
            sender: The number of its address in the own table of peers, where addresses tell.

        """
        try:
            message = decode(data, self.keys)
        except UnreadableError as error:
            self.refused[str(error)] += 1
            return None
        if not (message.sender < self.size and message.to == self.me != message.sender):
            self.refused["table"] += 1  # the tables of peers differ
            return None
        if sender is not None and sender != message.sender:
            self.refused["table"] += 1
            return None
        heard = self._heard.get(message.sender)
        if heard is None or (heard.life != message.life and message.stamp > heard.stamp):
            heard = self._heard[message.sender] = _Heard(message.life)
        elif heard.life != message.life:
            # A process that starts has no stamp, or a clock that is behind: it may ask, and is told.
            if message.stamp and message.stamp >> 2 == heard.stamp >> 2:
                self.refused["replayed"] += 1
                return None
            return message
        if not heard.take(message.count):
            self.refused["replayed"] += 1
            return None
        heard.stamp = max(heard.stamp, message.stamp)
        return message
