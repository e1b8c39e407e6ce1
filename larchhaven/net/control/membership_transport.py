"""What carries the membership: datagrams to and from the other proxies, turns, and what operators read of it.

The decisions are ``larchhaven.membership``'s. Here its turns become deadlines of the loop, its messages
datagrams behind a gate, and its changes lines of the log. A turn of the loop takes ``A_TURN`` datagrams at
most, so that talk among proxies never keeps clients waiting; how many are sent a second the core bounds.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Sequence
from random import Random

import msgspec

from larchhaven.membership.core import Action, Membership, Send
from larchhaven.membership.gate import Gate
from larchhaven.membership.member import About, Can, Changed, Member, State, View, stamp
from larchhaven.membership.messages import Entry
from larchhaven.membership.parts import Parts, Standing, present_in
from larchhaven.membership.suspicion import Tuning
from larchhaven.net.core.event_loop import EventLoop, TimerHandle, unix_offset_us

# The version of what a proxy tells of itself.
TALK = 1
# Datagrams taken in a turn, and kept for the next ones; beyond, they are dropped and counted.
A_TURN = 16
WAITING_MOST = 256
# Changes are gathered for so long and told in one line; how many numbers a line names of each kind.
GATHER_US = 1_000_000
NAMED_MOST = 12
# What the part of a cut is depends on time as well.
LOOK_US = 1_000_000
# 2025 in Unix time: incarnations begin with the seconds since, and have 30 bits.
EPOCH_S = 1_735_689_600

_log = logging.getLogger("larchhaven")


class MemberLine(msgspec.Struct):
    """One member for operators."""

    number: int
    name: str
    state: str
    since_s: float  # how long ago this was learnt here
    incarnation: int
    by: list[int]  # who accuses it or found it dead; empty where it spoke for itself
    zone: int | None = None
    version: int | None = None
    started: int | None = None  # Unix seconds by its own clock
    can: list[str] = []


class MembersState(msgspec.Struct):
    """What a proxy says of the membership."""

    on: bool
    why_off: str = ""
    me: int = 0
    incarnation: int = 0
    view: int = 0  # the number of the view
    sure: bool = False
    doubt: int = 0
    here: int = 0
    agreed: int = 0
    table: int = 0
    confidence: float = 0.0
    part: str = "unknown"
    zones_lost: list[int] = []
    members: list[MemberLine] = []
    counts: dict[str, int] = {}
    refused: dict[str, int] = {}


class Members:
    """The membership of this proxy, while it is on.

    Args:
        loop: The loop.
        me: The own number in the table of peers.
        size: How many places the table has.
        about: What this proxy tells of itself; its start is filled in.
        keys: What proves messages, the first for one's own.
        tell: Sends a datagram to a proxy by its number.
        seed: For random numbers.

    """

    def __init__(
        self,
        loop: EventLoop,
        me: int,
        size: int,
        about: About,
        keys: Sequence[bytes],
        tell: Callable[[int, bytes], None],
        seed: int,
    ) -> None:
        self._loop = loop
        self._tell = tell
        unix_us = loop.now_us + unix_offset_us()
        seconds = max(unix_us // 1_000_000, EPOCH_S + 1)
        about = About(about.name, about.zone, TALK, seconds & 0xFFFFFFFF, about.can)
        rng = Random(seed ^ unix_us)
        self._gate = Gate(me, size, rng.getrandbits(32), keys)
        self._core = Membership(loop.now_us, me, size, about, seconds - EPOCH_S, rng, Tuning())
        self._parts = Parts()
        self._standing: Standing = self._parts.look(loop.now_us, self._core.view)
        self._waiting: deque[tuple[int, bytes]] = deque()
        self._changes: dict[int, State] = {}  # since the last line, by numbers
        self._before: dict[int, State | None] = {}
        self._died: set[int] = set()
        self._overflowed = 0
        self._deadline: TimerHandle | None = None
        self._due = 0
        self._stopped = False
        self._present = frozenset(range(size))
        self.changed: Callable[[frozenset[int]], None] = lambda proxies: None
        self._look()
        self._plan()

    @property
    def view(self) -> View:
        """Who is there."""
        return self._core.view

    @property
    def standing(self) -> Standing:
        """How many are here, and which part of a cut this is."""
        return self._standing

    # What happens

    def on_datagram(self, sender: int, data: bytes) -> None:
        """Take a datagram that begins with our letter; it is handled in this turn or a later one."""
        if self._stopped:
            return
        if len(self._waiting) >= WAITING_MOST:
            self._overflowed += 1
            return
        self._waiting.append((sender, data))
        if len(self._waiting) == 1:
            self._loop.call_later(0, self._take)

    def _take(self) -> None:
        for _ in range(min(A_TURN, len(self._waiting))):
            sender, data = self._waiting.popleft()
            message = self._gate.read(data, sender)
            if message is not None and not self._stopped:
                self._carry_out(self._core.receive(self._loop.now_us, message))
        if self._waiting:
            self._loop.call_later(1, self._take)  # in the next turn: clients come between

    def _turn(self) -> None:
        self._deadline = None
        if not self._stopped:
            self._carry_out(self._core.turn(self._loop.now_us))

    def _carry_out(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._tell(action.message.to, self._gate.write(action.message))
            else:
                self._note(action)
        if any(isinstance(action, Changed) for action in actions):
            self._judge()
        self._plan()

    def _plan(self) -> None:
        if self._stopped:
            return
        if self._deadline is not None:
            if self._due == self._core.due:
                return
            self._loop.cancel(self._deadline)
        self._due = self._core.due
        self._deadline = self._loop.call_later(max(self._due - self._loop.now_us, 0), self._turn)

    def _look(self) -> None:
        if not self._stopped:
            self._judge()
            self._loop.call_later(LOOK_US, self._look)

    def _judge(self) -> None:
        self._standing = self._parts.look(self._loop.now_us, self._core.view)
        present = present_in(self._core.view, self._standing)
        if present != self._present:
            self._present = present
            self.changed(present)

    # The log

    def _note(self, change: Changed) -> None:
        """Gather changes: a tier that falls apart is one line a second, not one a change."""
        if not self._changes:
            self._loop.call_later(GATHER_US, self._tell_changes)
        number, state = change.now.number, change.now.state
        self._before.setdefault(number, change.was)
        self._changes[number] = state
        if state is State.DEAD:
            self._died.add(number)

    def _tell_changes(self) -> None:
        by_state: dict[State, list[int]] = {}
        for number, state in sorted(self._changes.items()):
            if self._before.get(number) is not state:
                by_state.setdefault(state, []).append(number)
        back = sorted(n for n in self._died if self._changes[n] is not State.DEAD)
        self._changes.clear()
        self._before.clear()
        self._died.clear()
        if not by_state and not back:
            return  # accused and cleared within the second
        parts = [
            f"{state.name.lower()}: {self._names(numbers)}"
            for state, numbers in sorted(by_state.items())
        ]
        parts += [f"were dead for a moment: {self._names(back)}"] if back else []
        standing = self._standing
        detail = (
            f"{'; '.join(parts)}; {standing.here} of {standing.table} here, {standing.part.value}"
        )
        _log.info("members: %s", detail, extra={"event": "members", "detail": detail})

    def _names(self, numbers: Sequence[int]) -> str:
        more = f" and {len(numbers) - NAMED_MOST} more" if len(numbers) > NAMED_MOST else ""
        return ", ".join(self._name(number) for number in numbers[:NAMED_MOST]) + more

    def _name(self, number: int) -> str:
        member = self._core.view.get(number)
        plain = member.about.name if member is not None and member.about is not None else ""
        return f"{number} ({plain.encode('unicode_escape').decode()})" if plain else str(number)

    # The end, and the next process

    def set_keys(self, keys: Sequence[bytes]) -> None:
        """Prove messages with other keys from now on."""
        self._gate.keys = tuple(keys)

    def leave(self) -> None:
        """Say that this proxy stops as planned; it goes on telling so until the process ends."""
        if not self._stopped:
            self._carry_out(self._core.leave(self._loop.now_us))

    def hand_on(self) -> int:
        """Fall silent, as the next process speaks for this proxy; return the incarnation that it is above."""
        self.stop()
        return self._core.incarnation

    def take_over(self, incarnation: int) -> None:
        """Speak for a proxy whose earlier process had this incarnation."""
        if incarnation > 0 and not self._stopped:
            entry = Entry(self._core.me, stamp(incarnation, State.ALIVE))
            self._carry_out(self._core.hear_of_me(self._loop.now_us, entry))

    def stop(self) -> None:
        """Neither speak nor listen any more."""
        self._stopped = True
        self._waiting.clear()
        self._loop.cancel(self._deadline)

    # What operators read

    def state(self) -> MembersState:
        """Return all there is to say."""
        core, standing = self._core, self._standing
        counts = dict(sorted(core.counts.items()))
        if self._overflowed:
            counts["dropped unread"] = self._overflowed
        return MembersState(
            on=True,
            me=core.me,
            incarnation=core.incarnation,
            view=core.view.version,
            sure=core.view.sure,
            doubt=core.health.doubt,
            here=standing.here,
            agreed=standing.agreed,
            table=standing.table,
            confidence=round(standing.confidence, 3),
            part=standing.part.value,
            zones_lost=list(standing.zones_lost),
            members=[
                self._line(m) for m in sorted(core.view.members.values(), key=lambda m: m.number)
            ],
            counts=counts,
            refused=dict(sorted(self._gate.refused.items())),
        )

    def _line(self, member: Member) -> MemberLine:
        about = member.about
        line = MemberLine(
            number=member.number,
            name=about.name if about is not None else "",
            state=member.state.name.lower(),
            since_s=round((self._loop.now_us - member.since) / 1e6, 3),
            incarnation=member.incarnation,
            by=list(member.by),
        )
        if about is not None:
            line.zone, line.version, line.started = about.zone, about.version, about.started
            line.can = [flag.name.lower() for flag in Can if flag in about.can and flag.name]
        return line
