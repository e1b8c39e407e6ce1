"""What is measured of an experiment: detections, agreement, false deaths, equal views, messages."""

from __future__ import annotations

from collections import Counter

import msgspec
import numpy as np

from larchhaven.membership.member import MemberState
from larchhaven.membership.view import MemberChanged
from larchhaven.model.experiment_pb2 import Experiment
from larchhaven.model.programs import Swim
from larchhaven.model.world import Process, World

S = 1_000_000
# Whether views are equal is looked at so often.
LOOK_US = 100_000


class Death(msgspec.Struct):
    """One death that happened, in seconds from it; None: not by the end, or before the process came back."""

    number: int
    at: float
    detected: float | None = None  # by the first
    agreed: float | None = None  # by all that run


class Equal(msgspec.Struct):
    """How long it took until all views were equal, after something; None: they were not by the end."""

    after: str
    at: float
    seconds: float | None = None


class Result(msgspec.Struct):
    """What came of one experiment."""

    name: str
    detector: str
    members: int
    seed: int
    seconds: float
    loss_percent: float
    deaths: list[Death]
    false_deaths: int
    false_by: list[tuple[float, int, int]]  # the first ones: when, who was declared dead, by whom
    accusations: int
    equal: list[Equal]
    equal_at_end: bool
    messages_a_second: (
        float  # of one member, on average, since all views were equal after the start
    )
    messages_most: float  # of the member with most
    bytes_a_second: float
    overflowed: int  # datagrams that found a full socket
    counts: dict[str, int]
    events: int
    trace: str


class Measure:
    """Watches a world of members."""

    def __init__(self, world: World, members: int) -> None:
        self.clocks: list[int] = []
        self._world = world
        self._views = np.full(
            (members, members), -1, dtype=np.int64
        )  # rows: who knows; columns: of whom
        self._deaths: list[Death] = []
        self._open: dict[int, Death] = {}
        self._false: list[tuple[float, int, int]] = []
        self._dead: set[tuple[int, int]] = set()
        self._accused: set[tuple[int, int]] = set()
        self._equal: list[Equal] = []
        self._counts: Counter[str] = Counter()
        self._settled = (
            0.0,
            [(0, 0)] * members,
        )  # when the start was over, and what was sent by then
        world.observe = self._on_change

    def _seconds(self) -> float:
        return self._world.now / S

    def _is_cut(self, one: int, other: int) -> bool:
        """Tell whether nothing gets from one to the other either way: each may count as dead there."""
        cuts = self._world.network.cuts
        return any(c.stops(one, other) for c in cuts) and any(c.stops(other, one) for c in cuts)

    def died(self, number: int) -> None:
        """Note that a process has ended."""
        death = Death(number, self._seconds())
        self._deaths.append(death)
        self._open[number] = death
        self._collect(self._world.processes[number])
        if (self._views[:, number] >= 0).any():
            self._look_agreed(number)  # it may have said that it leaves

    def began(self, number: int) -> None:
        """Note that a process starts again, knowing nothing."""
        self._open.pop(number, None)
        self._views[number] = -1

    def _on_change(self, process: Process, thing: object) -> None:
        if not isinstance(thing, MemberChanged):
            return
        member, by = thing.member, process.number
        number, state = member.number, member.state
        self._views[by, number] = member.stamp
        if state is MemberState.SUSPECT:
            self._accused.add((number, member.incarnation))
        if state < MemberState.DEAD:
            return
        if number in self._open:
            self._look_agreed(number)
        elif state is MemberState.DEAD and (number, member.incarnation) not in self._dead:
            # Whoever hears of it later only believes the first who said so.
            self._dead.add((number, member.incarnation))
            if not self._is_cut(by, number):
                self._false.append((self._seconds(), number, by))

    def _look_agreed(self, number: int) -> None:
        death = self._open[number]
        running = [p.number for p in self._world.processes if p.running]
        gone = (self._views[running, number] & 3) >= MemberState.DEAD
        after = round(self._seconds() - death.at, 6)
        if death.detected is None and gone.any():
            death.detected = after
        if death.agreed is None and gone.all():
            death.agreed = after

    def watch_equal(self, after: str) -> None:
        """Look from now on how long it takes until all views are equal."""
        watched = Equal(after, self._seconds())
        self._equal.append(watched)

        def look() -> None:
            if self._are_equal():
                watched.seconds = round(self._seconds() - watched.at, 6)
                if after == "start":
                    sent = [(process.sent, process.sent_bytes) for process in self._world.processes]
                    self._settled = (self._seconds(), sent)
            else:
                self._world.at(self._world.now + LOOK_US, look)

        self._world.at(self._world.now, look)

    def _are_equal(self) -> bool:
        running = [p.number for p in self._world.processes if p.running]
        if not running:
            return True
        rows = self._views[running]
        for row, number in zip(rows, running, strict=True):
            if row[number] < 0:
                row[number] = rows[:, number].max()  # heartbeats say nothing of oneself
        known = rows[0][running] >= 0
        return bool(known.all() and (rows == rows[0]).all())

    def _collect(self, process: Process) -> None:
        if isinstance(process.program, Swim):
            self._counts.update(process.program.core.counters)
            for reason, count in process.program.gate.rejected.items():
                self._counts[f"refused {reason}"] += count

    def result(self, experiment: Experiment) -> Result:
        """Say what came of it."""
        processes = self._world.processes
        for process in processes:
            self._collect(process)
        since, before = self._settled
        seconds = max(self._seconds() - since, 1e-6)
        sent = [
            (p.sent - earlier[0]) / seconds for p, earlier in zip(processes, before, strict=True)
        ]
        sent_bytes = sum(
            p.sent_bytes - earlier[1] for p, earlier in zip(processes, before, strict=True)
        )
        return Result(
            name=experiment.name,
            detector=Experiment.Detector.Name(experiment.detector).lower(),
            members=len(processes),
            seed=experiment.seed,
            seconds=self._seconds(),
            loss_percent=experiment.links.loss_percent,
            deaths=self._deaths,
            false_deaths=len(self._false),
            false_by=self._false[:20],
            accusations=len(self._accused),
            equal=self._equal,
            equal_at_end=self._are_equal(),
            messages_a_second=round(sum(sent) / len(sent), 3),
            messages_most=round(max(sent), 3),
            bytes_a_second=round(sent_bytes / len(processes) / seconds, 1),
            overflowed=sum(process.overflowed for process in processes),
            counts=dict(sorted(self._counts.items())),
            events=self._world.events,
            trace=self._world.trace,
        )
