"""Injects the faults of an experiment: kills, pauses, graceful leaves, slowness, cut links."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from larchhaven.model.experiment_pb2 import Cut, Experiment, Fault, Pauses
from larchhaven.model.membership_program import MembershipProgram
from larchhaven.model.observer import FleetObserver
from larchhaven.model.process import Datagram, Process
from larchhaven.model.process_selection import ProcessSelector
from larchhaven.model.random_streams import RandomStream, RandomStreams
from larchhaven.model.simulation import Simulation
from larchhaven.model.units import US_PER_MS, to_us

# A leaving process exits this long after announcing its leave.
LEAVE_GRACE_US = 500_000
# The next pause starts 0.5 to 1.5 times the mean interval after the end of the last one, so that
# the pauses of a process never overlap.
MIN_PAUSE_INTERVAL_RATIO = 0.5
MAX_PAUSE_INTERVAL_RATIO = 1.5
CAUSE_FAULT_ENDS = "fault ends"
CAUSE_CUT_HEALS = "cut heals"

ProcessAction = Callable[[Process], None]


@dataclass(frozen=True, slots=True)
class WallClocks:
    """Errors of the processes' wall clocks, visible in the start times that members announce.

    Attributes:
        offsets_us: Wall clock minus simulated clock, in microseconds, by process number.
    """

    offsets_us: list[int] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Occurrence:
    """One occurrence of a fault.

    Attributes:
        fault: The fault.
        processes: The affected processes.
        end_us: When the fault ends, or None if it never does.
        rng: The random stream of the fault.
    """

    fault: Fault
    processes: list[Process]
    end_us: int | None
    rng: RandomStream


class FaultInjector:
    """Schedules the faults of one experiment.

    Args:
        experiment: Lists the faults and recurring pauses.
        simulation: The simulation to inject them into.
        observer: Notified when processes end or start and when faults end.
        streams: Source of random streams; each fault has its own.
        clocks: Errors of the wall clocks; a restart after a fault may change one.
    """

    def __init__(
        self,
        experiment: Experiment,
        simulation: Simulation,
        observer: FleetObserver,
        streams: RandomStreams,
        clocks: WallClocks,
    ) -> None:
        self._experiment = experiment
        self._simulation = simulation
        self._events = simulation.events
        self._observer = observer
        self._streams = streams
        self._clocks = clocks
        members = len(simulation.processes)
        self._selector = ProcessSelector(members, max(experiment.zones, 1))
        self._injectors: dict[str, Callable[[_Occurrence], None]] = {
            "kill": self._inject_kill,
            "pause": self._inject_pause,
            "leave": self._inject_leave,
            "slow_ms": self._inject_slowness,
            "cut": self._inject_cut,
        }

    def schedule_all(self) -> None:
        """Schedule all faults and recurring pauses of the experiment."""
        for number, fault in enumerate(self._experiment.faults):
            self._schedule_fault(fault, self._streams.stream(f"fault {number}"))
        for number, pauses in enumerate(self._experiment.pauses):
            rng = self._streams.stream(f"pauses {number}")
            for process_number in self._selector.draw(pauses.percent, rng):
                self._schedule_pause(self._simulation.processes[process_number], pauses, rng)

    # Faults

    def _schedule_fault(self, fault: Fault, rng: RandomStream) -> None:
        def inject() -> None:
            self._inject(fault, rng)
            if fault.every_seconds:
                self._events.schedule_after(to_us(fault.every_seconds), inject)

        self._events.schedule(to_us(fault.at_seconds), inject)

    def _inject(self, fault: Fault, rng: RandomStream) -> None:
        numbers = self._selector.select(fault.who, rng)
        processes = [self._simulation.processes[number] for number in numbers]
        end_us = self._events.now_us + to_us(fault.for_seconds) if fault.for_seconds else None
        kind = fault.WhichOneof("what")
        if kind is not None:
            self._injectors[kind](_Occurrence(fault, processes, end_us, rng))

    def _inject_kill(self, occurrence: _Occurrence) -> None:
        self._apply_to_running(occurrence, self._kill)
        self._schedule_restart(occurrence)

    def _inject_pause(self, occurrence: _Occurrence) -> None:
        self._apply_to_running(occurrence, self._simulation.pause_process)
        self._schedule_end(occurrence, self._simulation.resume_process)

    def _inject_leave(self, occurrence: _Occurrence) -> None:
        self._apply_to_running(occurrence, self._leave)
        self._schedule_restart(occurrence)

    def _inject_slowness(self, occurrence: _Occurrence) -> None:
        for process in occurrence.processes:
            process.turn_cost_us = int(occurrence.fault.slow_ms * US_PER_MS)
        self._schedule_end(occurrence, self._end_slowness)

    def _inject_cut(self, occurrence: _Occurrence) -> None:
        network = self._simulation.network
        cut = occurrence.fault.cut
        sources = {process.number for process in occurrence.processes}
        targets = self._select_cut_targets(cut, occurrence.rng) - sources
        link_cuts = [network.cut_links(sources, targets)]
        if not cut.one_way:
            link_cuts.append(network.cut_links(targets, sources))

        def heal() -> None:
            for link_cut in link_cuts:
                network.heal_links(link_cut)
            self._observer.links_healed(link_cuts)
            self._observer.watch_convergence(CAUSE_CUT_HEALS)

        if occurrence.end_us is not None:
            self._events.schedule(occurrence.end_us, heal)

    def _select_cut_targets(self, cut: Cut, rng: RandomStream) -> set[int]:
        if cut.HasField("to"):
            return set(self._selector.select(cut.to, rng))
        return set(range(self._selector.members))

    # Effects on processes

    def _apply_to_running(self, occurrence: _Occurrence, action: ProcessAction) -> None:
        for process in occurrence.processes:
            if process.is_running:
                action(process)

    def _schedule_end(self, occurrence: _Occurrence, action: ProcessAction) -> None:
        """Apply an action to all affected processes at the end of the fault, if it has one."""

        def end() -> None:
            for process in occurrence.processes:
                action(process)
            self._observer.watch_convergence(CAUSE_FAULT_ENDS)

        if occurrence.end_us is not None:
            self._events.schedule(occurrence.end_us, end)

    def _schedule_restart(self, occurrence: _Occurrence) -> None:
        clock_error_us = to_us(occurrence.fault.clock_seconds)
        self._schedule_end(occurrence, lambda process: self._restart(process, clock_error_us))

    def _kill(self, process: Process) -> None:
        self._simulation.kill_process(process)
        self._observer.process_ended(process.number)

    def _restart(self, process: Process, clock_error_us: int) -> None:
        if not process.is_running:
            self._clocks.offsets_us[process.number] += clock_error_us
            self._observer.process_starting(process.number)
            self._simulation.start_process(process)

    def _end_slowness(self, process: Process) -> None:
        process.turn_cost_us = 0

    def _leave(self, process: Process) -> None:
        if not isinstance(process.program, MembershipProgram):
            self._kill(process)
            return
        for output in process.program.leave(self._simulation.local_time_us(process)):
            if isinstance(output, Datagram):
                self._simulation.send(process, output)
        self._events.schedule_after(LEAVE_GRACE_US, lambda: self._kill(process))

    # Recurring pauses

    def _schedule_pause(self, process: Process, pauses: Pauses, rng: RandomStream) -> None:
        """Schedule the next pause of a process; its end schedules the one after it."""
        interval_ratio = rng.uniform(MIN_PAUSE_INTERVAL_RATIO, MAX_PAUSE_INTERVAL_RATIO)
        interval_us = to_us(pauses.every_seconds * interval_ratio)
        duration_us = to_us(rng.uniform(pauses.least_seconds, pauses.most_seconds))

        def begin() -> None:
            self._simulation.pause_process(process)
            self._events.schedule_after(duration_us, end)

        def end() -> None:
            self._simulation.resume_process(process)
            self._schedule_pause(process, pauses, rng)

        self._events.schedule_after(interval_us, begin)
