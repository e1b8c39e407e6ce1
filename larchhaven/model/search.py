"""A bounded exhaustive search: few members, every order, loss and doubling of the messages in flight.

A scene begins where something has just gone wrong. From there all steps are tried to a depth: a message
arrives, is lost, or arrives and stays in flight for a second time; or nothing arrives until somebody's next
turn. States that were met before are not followed again. Each step is judged, and from each end, as far as it
differs in what is known of whom, the network is made whole: all views must become equal and right.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from larchhaven.membership.actions import Action, SendMessage
from larchhaven.membership.codec import encode
from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.counters import ProtocolCounter
from larchhaven.membership.member import MemberInfo, MemberState, make_stamp
from larchhaven.membership.membership import Membership
from larchhaven.membership.messages import Message, MessageKind, StateUpdate
from larchhaven.membership.view import MemberChanged

S = 1_000_000
STEP_US = 1_000  # a message that arrives takes so long
WHOLE_US = 40 * S  # once the network is whole, views are equal within this time
SETTLE_US = 8 * S


@dataclass(slots=True)
class Dice:
    """Numbers that are the same on every path: a search is not to depend on luck."""

    state: int

    def random(self) -> float:
        """Return a number from 0 to below 1."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.state >> 33) / (1 << 31)


@dataclass(slots=True)
class Scene:
    """One state of the search."""

    now: int
    cores: list[Membership]
    running: list[bool]
    flying: list[Message] = field(default_factory=list)
    doubles: int = 1  # messages that may still be doubled
    left: set[int] = field(default_factory=set)

    def copy(self) -> Scene:
        """Return a state of its own with the same content."""
        made: Scene = pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))
        return made

    def key(self) -> tuple[object, ...]:
        """Return what tells states apart: what does not act on what comes next is left out."""
        flying = tuple(sorted(repr(message) for message in self.flying))
        return (self.now, self.doubles, flying, *(core.fingerprint() for core in self.cores))

    def known(self) -> tuple[object, ...]:
        """Return who knows what of whom, accuses whom, and has news left to tell."""
        return tuple(
            (
                tuple(sorted((m.number, m.stamp) for m in core.view.members.values())),
                (
                    core.view.is_synchronized,
                    tuple(core.suspected_numbers()),
                    tuple(core.pending_update_numbers()),
                ),
            )
            for core in self.cores
        )


class BrokenError(Exception):
    """Something that must never be."""


@dataclass(slots=True)
class Report:
    """What a search has met."""

    scene: str
    states: int = 0
    steps: int = 0
    wholes: int = 0  # ends from which the network was made whole
    deepest: int = 0
    cut_short: bool = False  # there were more states than allowed
    broken: str = ""
    path: list[str] = field(default_factory=list)


class Search:
    """Tries all that may follow from a scene."""

    def __init__(
        self, name: str, first: Scene, depth: int, states_most: int, flying_most: int = 4
    ) -> None:
        self.report = Report(name)
        self._first = first
        self._depth = depth
        self._most = states_most
        self._flying = flying_most
        self._met: dict[tuple[object, ...], int] = {}
        self._whole: set[tuple[object, ...]] = set()

    def run(self) -> Report:
        """Search breadth first, so that a path that breaks something is a shortest one."""
        report = self.report
        level: list[tuple[Scene, list[str]]] = [(self._first, [])]
        self._met[self._first.key()] = 0
        for depth in range(self._depth + 1):
            following: list[tuple[Scene, list[str]]] = []
            for scene, path in level:
                try:
                    self._make_whole(scene)
                    if depth < self._depth:
                        following += self._follow(scene, path)
                except BrokenError as error:
                    report.broken = report.broken or str(error)
                    report.path = report.path or path
                    return report
            report.deepest = depth
            level = following
        return report

    def _follow(self, scene: Scene, path: list[str]) -> list[tuple[Scene, list[str]]]:
        found = []
        for name, step in self._steps(scene):
            following = scene.copy()
            self.report.steps += 1
            try:
                step(following)
            except BrokenError as error:
                self.report.path = [*path, name]
                raise BrokenError(str(error)) from None
            key = following.key()
            if key in self._met:
                continue
            if len(self._met) >= self._most:
                self.report.cut_short = True
                continue
            self._met[key] = 1
            self.report.states += 1
            found.append((following, [*path, name]))
        return found

    def _steps(self, scene: Scene) -> Iterable[tuple[str, Callable[[Scene], None]]]:
        seen = set[str]()
        for i, message in enumerate(scene.flying):
            # Of equal ones one stands for all.
            text = repr(message)
            if text in seen or len(seen) >= self._flying:
                continue
            seen.add(text)
            what = f"{message.kind.name} {message.sender}>{message.receiver}"
            yield f"{what} arrives", lambda s, i=i: arrive(s, i, False)  # type: ignore[misc]
            yield f"{what} is lost", lambda s, i=i: lose(s, i)  # type: ignore[misc]
            if scene.doubles:
                yield f"{what} arrives, and again", lambda s, i=i: arrive(s, i, True)  # type: ignore[misc]
        yield "time", tick

    def _make_whole(self, scene: Scene) -> None:
        known = scene.known()
        if known in self._whole:
            return
        self._whole.add(known)
        self.report.wholes += 1
        run_whole(scene.copy(), WHOLE_US)


def lose(scene: Scene, i: int) -> None:
    """Let a message vanish."""
    del scene.flying[i]


def arrive(scene: Scene, i: int, again: bool) -> None:
    """Let a message arrive; it may stay in flight to arrive once more."""
    message = scene.flying[i]
    if again:
        scene.doubles -= 1
    else:
        del scene.flying[i]
    scene.now += STEP_US
    if scene.running[message.receiver]:
        act(scene, message.receiver, lambda core: core.receive(scene.now, message))


def tick(scene: Scene) -> None:
    """Let time pass until somebody's next turn."""
    awake = [core for core in scene.cores if scene.running[core.own_number]]
    scene.now = max(scene.now, min(core.due_us for core in awake))
    for core in awake:
        if core.due_us <= scene.now:
            act(scene, core.own_number, lambda core: core.run_timers(scene.now))


def act(scene: Scene, number: int, do: Callable[[Membership], list[Action]]) -> None:
    """Let a member do something, and judge it."""
    core = scene.cores[number]
    before = {m.number: m.stamp for m in core.view.members.values()}
    own, gaps = core.stamp, core.counters[ProtocolCounter.PROCESS_PAUSES]
    for action in do(core):
        if isinstance(action, SendMessage):
            encode(action.message)  # raises what is too long
            scene.flying.append(action.message)
        elif isinstance(action, MemberChanged):
            _judge_change(scene, core, action, core.counters[ProtocolCounter.PROCESS_PAUSES] > gaps)
    for other, mark in before.items():
        now = core.view.get(other)
        if now is None or now.stamp < mark:
            raise BrokenError(f"{number} went back on {other}: from {mark} to {now}")
    if core.stamp < own:
        raise BrokenError(f"{number} went back on itself")
    for member in core.view.members.values():
        truth = scene.cores[member.number]
        known = max(truth.incarnation, _remembered(scene, member.number))
        if truth.has_joined and member.incarnation > known:
            raise BrokenError(
                f"{number} made up incarnation {member.incarnation} of {member.number}"
            )


def _remembered(scene: Scene, number: int) -> int:
    """Return the highest incarnation of an earlier life, which others may still hold."""
    return getattr(scene.cores[number], "earlier", 0)


def _judge_change(scene: Scene, core: Membership, change: MemberChanged, slept: bool) -> None:
    member = change.member
    if change.previous_state is MemberState.LEFT and member.state is MemberState.SUSPECT:
        raise BrokenError(f"{core.own_number} suspects {member.number}, which left")
    if slept and member.state is MemberState.DEAD and core.own_number in member.accusers:
        raise BrokenError(f"{core.own_number} woke and declared {member.number} dead")


def run_whole(scene: Scene, time: int) -> None:
    """Let all arrive in order for a time; then all views must be equal and true."""
    until = scene.now + time
    while scene.now < until:
        while scene.flying:
            arrive(scene, 0, False)
        tick(scene)
    scene.flying.clear()
    living = [core for core in scene.cores if scene.running[core.own_number]]
    for core in living:
        for member in scene.cores:
            number = member.own_number
            state = core.view.state_of(number)
            if scene.running[number] and number not in scene.left:
                wanted: tuple[MemberState, ...] = (MemberState.ALIVE,)
            elif number in scene.left:
                wanted = (MemberState.LEFT, MemberState.DEAD)
            else:
                wanted = (MemberState.DEAD, MemberState.LEFT)
            unheard = (
                state is None and not scene.running[number]
            )  # by all: the views are compared below
            if state not in wanted and not unheard:
                raise BrokenError(
                    f"{core.own_number} has {number} as {state} in the end, not {wanted[0].name}"
                )
        if not core.view.agrees_with(living[0].view):
            raise BrokenError(
                f"the views of {living[0].own_number} and {core.own_number} differ in the end"
            )


# Where searches begin


def settled(size: int, core: type[Membership]) -> Scene:
    """Return members that know each other."""
    tuning = ProtocolConfig()
    scene = Scene(0, [], [True] * size)
    for number in range(size):
        about = MemberInfo(f"n{number}", number % 3)
        scene.cores.append(core(0, number, size, about, 100 + number, Dice(number + 1), tuning))
    run_whole(scene, SETTLE_US)
    return scene


def accused(size: int, core: type[Membership]) -> Scene:
    """0 accuses 1, which is well."""
    scene = settled(size, core)
    mark = make_stamp(scene.cores[1].incarnation, MemberState.SUSPECT)
    _tell(scene, 0, StateUpdate(1, mark, 0), sender=size - 1)
    return scene


def _tell(scene: Scene, number: int, update: StateUpdate, sender: int) -> None:
    """Let a member hear a piece of news from another that has just taken it up."""
    other = scene.cores[sender]
    message = Message(MessageKind.GOSSIP, sender, number, other.stamp, state_updates=(update,))
    act(scene, number, lambda core: core.receive(scene.now, message))


def leaving(size: int, core: type[Membership]) -> Scene:
    """1 is accused by 0 and leaves at that moment, as planned."""
    scene = accused(size, core)
    scene.left.add(1)
    act(scene, 1, lambda core: core.leave(scene.now))
    scene.running[1] = False
    return scene


def killed(size: int, core: type[Membership]) -> Scene:
    """1 is gone without a word."""
    scene = settled(size, core)
    scene.running[1] = False
    return scene


def restarted(size: int, core: type[Membership]) -> Scene:
    """1 starts again under its name, with a clock that is behind, while 0 accuses the one before it."""
    scene = accused(size, core)
    earlier = scene.cores[1].incarnation
    made = core(
        scene.now, 1, size, MemberInfo("n1", 1, started_unix_s=1), 3, Dice(77), ProtocolConfig()
    )
    made.earlier = earlier  # type: ignore[attr-defined]  # for the judge
    scene.cores[1] = made
    return scene


def cut_off(size: int, core: type[Membership]) -> Scene:
    """0 was cut off while the last one left; the cut has just healed."""
    scene = settled(size, core)
    last = size - 1
    scene.left.add(last)
    act(scene, last, lambda core: core.leave(scene.now))
    scene.running[last] = False
    until = scene.now + 30 * S
    while scene.now < until:
        scene.flying = [m for m in scene.flying if 0 not in (m.sender, m.receiver)]
        while scene.flying:
            arrive(scene, 0, False)
            scene.flying = [m for m in scene.flying if 0 not in (m.sender, m.receiver)]
        tick(scene)
    return scene


def asleep(size: int, core: type[Membership]) -> Scene:
    """0 accused 1 and was stopped for ten seconds at once; 1 has cleared itself, which 0 has not heard."""
    scene = accused(size, core)
    scene.running[0] = False
    while scene.flying:
        arrive(scene, 0, False)
    until = scene.now + 2 * S
    while scene.now < until:
        tick(scene)
        while scene.flying:
            arrive(scene, 0, False)
    scene.now += 10 * S
    for number in range(1, size):
        # The others went on meanwhile: here only their clocks do, and they were not stopped.
        scene.cores[number].due_us = scene.now
    scene.running[0] = True
    return scene


SCENES: dict[str, Callable[[int, type[Membership]], Scene]] = {
    "accused": accused,
    "leaving": leaving,
    "killed": killed,
    "restarted": restarted,
    "cut off": cut_off,
    "asleep": asleep,
}


def search(
    name: str,
    *,
    size: int = 3,
    depth: int = 6,
    states: int = 4000,
    core: type[Membership] = Membership,
) -> Report:
    """Search from a scene; return what was met."""
    try:
        first = SCENES[name](size, core)
    except BrokenError as error:  # the way to the scene is judged too
        return Report(name, broken=str(error))
    return Search(name, first, depth, states).run()
