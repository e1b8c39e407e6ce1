"""Plays one experiment: members in a world, faults by a script, and what was seen of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.member import MemberInfo
from larchhaven.membership.membership import Membership
from larchhaven.model.experiment_pb2 import Cut, Experiment, Fault, Who
from larchhaven.model.measure import Measure, Result
from larchhaven.model.network import Network, Weather
from larchhaven.model.programs import Heartbeats, Swim
from larchhaven.model.streams import Stream, Streams
from larchhaven.model.world import Datagram, Process, Program, World

S = 1_000_000
# A planned stop is over so long after it was said.
GOODBYE_US = 500_000
# Monotonic clocks begin anywhere; those of the world's processes within this.
CLOCKS_US = 1_000_000_000


def load(text: str) -> tuple[Experiment, list[str]]:
    """Read an experiment's text; return it with the complaints about it, each with its line and column."""
    from larchhaven.operator.text_parser import parse_message

    parsed = parse_message(text, Experiment)
    experiment = parsed.message
    complaints = [f"{c.line}:{c.column}: {c.text}" for c in parsed.complaints]
    if not complaints:
        for i, fault in enumerate(experiment.faults):
            if fault.WhichOneof("what") is None:
                complaints.append(
                    f"faults[{i}]: say what happens: kill, pause, leave, slow_ms or cut"
                )
            for who in (fault.who, fault.cut.to):
                try:
                    _numbers(who.numbers, max(experiment.members, 1))
                except ValueError as error:
                    complaints.append(f"faults[{i}]: {error}")
            if fault.WhichOneof("what") == "pause" and not fault.for_seconds:
                complaints.append(f"faults[{i}]: a pause needs for_seconds")
    return experiment, complaints


def _numbers(text: str, members: int) -> list[int]:
    found: list[int] = []
    for part in filter(None, text.replace(" ", "").split(",")):
        first, _, last = part.partition("-")
        if not (first.isdigit() and (last or first).isdigit()):
            raise ValueError(f"numbers are written like 0-9,12, not {part!r}")
        if int(last or first) >= members:
            raise ValueError(f"there is no member {last or first}: the last is {members - 1}")
        found += range(int(first), int(last or first) + 1)
    return found


@dataclass(slots=True)
class Play:
    """One experiment while it is played."""

    experiment: Experiment
    world: World
    measure: Measure
    streams: Streams

    def who(self, who: Who, rng: Stream) -> list[int]:
        """Return whom a fault meets."""
        members, zones = len(self.world.processes), max(self.experiment.zones, 1)
        match who.WhichOneof("which"):
            case "numbers":
                return _numbers(who.numbers, members)
            case "zone":
                return [n for n in range(members) if n % zones == who.zone]
            case "percent":
                return sorted(rng.some(round(members * who.percent / 100), list(range(members))))
        return list(range(members))

    def plan(self, number: int, fault: Fault) -> None:
        """Plan a fault, and its next time."""
        rng = self.streams.of(f"fault {number}")
        begins = int(fault.at_seconds * S)

        def happen() -> None:
            self._happen(fault, rng)
            if fault.every_seconds:
                self.world.at(self.world.now + int(fault.every_seconds * S), happen)

        self.world.at(begins, happen)

    def _happen(self, fault: Fault, rng: Stream) -> None:
        met = [self.world.processes[n] for n in self.who(fault.who, rng)]
        ends = self.world.now + int(fault.for_seconds * S)
        match fault.WhichOneof("what"):
            case "kill":
                self._each(met, self.kill)
                if fault.for_seconds:
                    self._later(ends, met, lambda process: self._back(process, fault.clock_seconds))
            case "pause":
                self._each(met, self.world.pause)
                self._later(ends, met, self.world.resume)
            case "leave":
                self._each(met, self._leave)
                if fault.for_seconds:
                    self._later(ends, met, lambda process: self._back(process, fault.clock_seconds))
            case "slow_ms":
                for process in met:
                    process.cost = int(fault.slow_ms * 1000)
                if fault.for_seconds:
                    self._later(ends, met, self._quick)
            case "cut":
                self._cut(
                    fault.cut,
                    {process.number for process in met},
                    rng,
                    ends,
                    bool(fault.for_seconds),
                )

    def _each(self, met: list[Process], then: Callable[[Process], None]) -> None:
        for process in met:
            if process.running:
                then(process)

    def _later(self, at: int, met: list[Process], then: Callable[[Process], None]) -> None:
        def end() -> None:
            for process in met:
                then(process)
            self.measure.watch_equal("fault ends")

        self.world.at(at, end)

    def _cut(self, cut: Cut, ours: set[int], rng: Stream, ends: int, does_end: bool) -> None:
        network = self.world.network
        others = (
            set(self.who(cut.to, rng))
            if cut.HasField("to")
            else set(range(len(self.world.processes)))
        )
        theirs = others - ours
        made = [network.cut(ours, theirs)] + ([] if cut.one_way else [network.cut(theirs, ours)])

        def heal() -> None:
            for one in made:
                network.heal(one)
            self.measure.watch_equal("cut heals")

        if does_end:
            self.world.at(ends, heal)

    def kill(self, process: Process) -> None:
        """End a process without a word."""
        self.world.kill(process)
        self.measure.died(process.number)

    def _back(self, process: Process, clock_seconds: float) -> None:
        if not process.running:
            self.measure.clocks[process.number] += int(clock_seconds * S)
            self.measure.began(process.number)
            self.world.begin(process)

    def _quick(self, process: Process) -> None:
        process.cost = 0

    def _leave(self, process: Process) -> None:
        if isinstance(process.program, Swim):
            for action in process.program.leave(self.world.now + process.offset):
                if isinstance(action, Datagram):
                    self.world.send(process, action)
            self.world.at(self.world.now + GOODBYE_US, lambda: self.kill(process))
        else:
            self.kill(process)

    def plan_pauses(self, number: int) -> None:
        """Let some processes stop for moments all the time."""
        pauses = self.experiment.pauses[number]
        rng = self.streams.of(f"pauses {number}")
        members = len(self.world.processes)
        for process_number in rng.some(round(members * pauses.percent / 100), list(range(members))):
            self._next_pause(self.world.processes[process_number], number, rng)

    def _next_pause(self, process: Process, number: int, rng: Stream) -> None:
        pauses = self.experiment.pauses[number]
        # Between a half and three halves of the time: pauses of one process never overlap.
        rest = pauses.every_seconds * rng.between(0.5, 1.5)
        long = rng.between(pauses.least_seconds, pauses.most_seconds)

        def begin() -> None:
            self.world.pause(process)
            self.world.at(self.world.now + int(long * S), end)

        def end() -> None:
            self.world.resume(process)
            self._next_pause(process, number, rng)

        self.world.at(self.world.now + int(rest * S), begin)


def weather(experiment: Experiment) -> Weather:
    """Return how an experiment's links are."""
    links, usual = experiment.links, Weather()
    return Weather(
        delay=links.delay_ms * 1000 if links.HasField("delay_ms") else usual.delay,
        jitter=links.jitter_ms * 1000 if links.HasField("jitter_ms") else usual.jitter,
        loss=links.loss_percent / 100,
        burst=links.burst_ms * 1000,
        doubled=links.doubled_percent / 100,
        doubled_late=links.doubled_late_ms * 1000
        if links.HasField("doubled_late_ms")
        else usual.doubled_late,
    )


def play(
    experiment: Experiment,
    *,
    core: type[Membership] = Membership,
    tuning: ProtocolConfig | None = None,
) -> Result:
    """Play an experiment; the same one gives the same result in every process.

    Args:
        experiment: What happens.
        core: The membership that is run, or a variant that is to be caught.
        tuning: Times other than the defaults.

    """
    streams = Streams(experiment.seed)
    world = World(Network(weather(experiment), streams.of("network")))
    members, zones = max(experiment.members, 1), max(experiment.zones, 1)
    measure = Measure(world, members)
    one = Play(experiment, world, measure, streams)
    clocks = streams.of("clocks")
    for number in range(members):
        measure.clocks.append(int(clocks.between(-1, 1) * experiment.clocks_apart_seconds * S))
        offset = clocks.below(CLOCKS_US)

        def start(now: int, lives: int, number: int = number) -> Program:
            rng = streams.of(f"member {number} life {lives}")
            if experiment.detector == Experiment.HEARTBEATS:
                return Heartbeats(now, number, members, rng)
            seconds = max((world.now + measure.clocks[number]) // S + 1, 1)
            about = MemberInfo(f"n{number}", number % zones, 1, seconds)
            life = int(rng.random() * (1 << 32))
            return Swim(
                now, number, members, about, seconds, life, rng, tuning or ProtocolConfig(), core
            )

        world.add(start, offset)
    starts = streams.of("starts")
    for process in world.processes:
        begins = int(starts.random() * experiment.start_seconds * S)
        world.at(begins, partial(world.begin, process))
    measure.watch_equal("start")
    for number, fault in enumerate(experiment.faults):
        one.plan(number, fault)
    for number in range(len(experiment.pauses)):
        one.plan_pauses(number)
    world.run(int(max(experiment.seconds, 1) * S))
    return measure.result(experiment)
