"""What the members of an experiment run: the membership itself, and what it is weighed against."""

from __future__ import annotations

from collections.abc import Iterator

from larchhaven.membership.actions import Action, SendMessage
from larchhaven.membership.authenticator import DatagramAuthenticator
from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.member import Member, MemberInfo, MemberState, make_stamp
from larchhaven.membership.membership import Membership
from larchhaven.membership.sampling import RandomSource
from larchhaven.membership.view import MemberChanged
from larchhaven.model.world import Datagram


class Swim:
    """The membership behind its gate, as the carrier joins them on sockets."""

    def __init__(
        self,
        now: int,
        me: int,
        size: int,
        about: MemberInfo,
        incarnation: int,
        life: int,
        rng: RandomSource,
        tuning: ProtocolConfig,
        core: type[Membership] = Membership,
    ) -> None:
        self.gate = DatagramAuthenticator(me, size, life)
        self.core = core(now, me, size, about, incarnation, rng, tuning)

    @property
    def due(self) -> int:
        """When the next turn is due."""
        return self.core.due_us

    def turn(self, now: int) -> Iterator[object]:
        """Do what is due."""
        return self._out(self.core.run_timers(now))

    def receive(self, now: int, data: bytes, sender: int) -> Iterator[object]:
        """Take a datagram."""
        message = self.gate.open(data, sender)
        return self._out(self.core.receive(now, message) if message is not None else [])

    def leave(self, now: int) -> Iterator[object]:
        """Stop as planned."""
        return self._out(self.core.leave(now))

    def _out(self, actions: list[Action]) -> Iterator[object]:
        for action in actions:
            if isinstance(action, SendMessage):
                yield Datagram(action.message.receiver, self.gate.seal(action.message))
            else:
                yield action


class Heartbeats:
    """What is simplest: each tells all others every second that it is there; who is silent is dead.

    The patience is that which a death, agreed by the membership, takes: the comparison is at equal speed.
    """

    PERIOD = 1_000_000
    PATIENCE = 4_500_000
    BEAT = b"B" + bytes(12)  # what a beat with number, count and tag needs at least

    def __init__(self, now: int, me: int, size: int, rng: RandomSource) -> None:
        self._me = me
        self._size = size
        self._heard: dict[int, int] = {}
        self._dead: set[int] = set()
        self._beat_at = now + int(self.PERIOD * rng.random())
        self._version = 0
        self.due = self._beat_at

    def turn(self, now: int) -> Iterator[object]:
        """Beat, and look who is silent."""
        if now >= self._beat_at:
            self._beat_at += self.PERIOD * ((now - self._beat_at) // self.PERIOD + 1)
            for to in range(self._size):
                if to != self._me:
                    yield Datagram(to, self.BEAT)
        for number, at in self._heard.items():
            if number not in self._dead and now >= at + self.PATIENCE:
                self._dead.add(number)
                yield self._changed(now, number, MemberState.DEAD)
        self._plan()

    def receive(self, now: int, _data: bytes, sender: int) -> Iterator[object]:
        """Take a beat."""
        if sender not in self._heard or sender in self._dead:
            self._dead.discard(sender)
            yield self._changed(now, sender, MemberState.ALIVE)
        self._heard[sender] = now
        self._plan()

    def _changed(self, now: int, number: int, state: MemberState) -> MemberChanged:
        self._version += 1
        return MemberChanged(now, None, Member(number, make_stamp(1, state), now), self._version)

    def _plan(self) -> None:
        silent = (
            at + self.PATIENCE for number, at in self._heard.items() if number not in self._dead
        )
        self.due = min(self._beat_at, min(silent, default=self._beat_at))
