"""What the members of an experiment run: the membership itself, and what it is weighed against."""

from __future__ import annotations

from collections.abc import Iterator

from larchhaven.membership.core import Action, Membership, Randoms, Send
from larchhaven.membership.gate import Gate
from larchhaven.membership.member import About, Changed, Member, State, stamp
from larchhaven.membership.suspicion import Tuning
from larchhaven.model.world import Datagram


class Swim:
    """The membership behind its gate, as the carrier joins them on sockets."""

    def __init__(
        self,
        now: int,
        me: int,
        size: int,
        about: About,
        incarnation: int,
        life: int,
        rng: Randoms,
        tuning: Tuning,
        core: type[Membership] = Membership,
    ) -> None:
        self.gate = Gate(me, size, life)
        self.core = core(now, me, size, about, incarnation, rng, tuning)

    @property
    def due(self) -> int:
        """When the next turn is due."""
        return self.core.due

    def turn(self, now: int) -> Iterator[object]:
        """Do what is due."""
        return self._out(self.core.turn(now))

    def receive(self, now: int, data: bytes, sender: int) -> Iterator[object]:
        """Take a datagram."""
        message = self.gate.read(data, sender)
        return self._out(self.core.receive(now, message) if message is not None else [])

    def leave(self, now: int) -> Iterator[object]:
        """Stop as planned."""
        return self._out(self.core.leave(now))

    def _out(self, actions: list[Action]) -> Iterator[object]:
        for action in actions:
            if isinstance(action, Send):
                yield Datagram(action.message.to, self.gate.write(action.message))
            else:
                yield action


class Heartbeats:
    """What is simplest: each tells all others every second that it is there; who is silent is dead.

    The patience is that which a death, agreed by the membership, takes: the comparison is at equal speed.
    """

    PERIOD = 1_000_000
    PATIENCE = 4_500_000
    BEAT = b"B" + bytes(12)  # what a beat with number, count and tag needs at least

    def __init__(self, now: int, me: int, size: int, rng: Randoms) -> None:
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
                yield self._changed(now, number, State.DEAD)
        self._plan()

    def receive(self, now: int, _data: bytes, sender: int) -> Iterator[object]:
        """Take a beat."""
        if sender not in self._heard or sender in self._dead:
            self._dead.discard(sender)
            yield self._changed(now, sender, State.ALIVE)
        self._heard[sender] = now
        self._plan()

    def _changed(self, now: int, number: int, state: State) -> Changed:
        self._version += 1
        return Changed(now, None, Member(number, stamp(1, state), now), self._version)

    def _plan(self) -> None:
        silent = (
            at + self.PATIENCE for number, at in self._heard.items() if number not in self._dead
        )
        self.due = min(self._beat_at, min(silent, default=self._beat_at))
