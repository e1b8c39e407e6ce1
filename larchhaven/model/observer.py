"""Measures detection, agreement, false deaths, convergence and traffic in a simulated fleet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

import numpy as np

from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.member import MemberState
from larchhaven.membership.view import MemberChanged
from larchhaven.model.experiment_pb2 import Experiment
from larchhaven.model.membership_program import MembershipProgram
from larchhaven.model.network import LinkCut
from larchhaven.model.process import Process
from larchhaven.model.results import Convergence, ExperimentResult, FalseDeath, MemberDeath
from larchhaven.model.simulation import Simulation
from larchhaven.model.units import US_PER_SECOND

CONVERGENCE_CHECK_INTERVAL_US = 100_000
CAUSE_START = "start"
MAX_FALSE_DEATH_SAMPLES = 20
UNKNOWN_STAMP = -1
# The low bits of a stamp are the state. The mask extracts it from whole arrays of stamps.
STATE_MASK = max(MemberState)
SECONDS_DIGITS = 6
MESSAGE_RATE_DIGITS = 3
BYTE_RATE_DIGITS = 1
# Keeps rates finite if the views converge only at the end of the experiment.
MIN_MEASURED_S = 1e-6


class _Incarnation(NamedTuple):
    number: int
    incarnation: int


class _Traffic(NamedTuple):
    """The traffic that one process has sent so far."""

    datagrams: int
    bytes_sent: int


class _HealedCut(NamedTuple):
    """A cut that has healed."""

    cut: LinkCut
    at_us: int


@dataclass(frozen=True, slots=True)
class _TrafficBaseline:
    """When the views first converged after the start, and the traffic of each process by then."""

    at_s: float
    traffic: list[_Traffic]


class FleetObserver:
    """Observes all processes of a simulation.

    Args:
        simulation: The simulation to observe; its ``observe`` is set.
        members: The number of processes in the experiment.
    """

    def __init__(self, simulation: Simulation, members: int) -> None:
        self._simulation = simulation
        # The stamps in all views: one row for each viewing process, one column for each member.
        self._stamps = np.full((members, members), UNKNOWN_STAMP, dtype=np.int64)
        self._deaths: list[MemberDeath] = []
        self._open_deaths: dict[int, MemberDeath] = {}
        self._false_deaths: list[FalseDeath] = []
        self._declared_dead: set[_Incarnation] = set()
        self._suspected: set[_Incarnation] = set()
        self._healed_cuts: list[_HealedCut] = []
        self._convergences: list[Convergence] = []
        self._counters: Counter[str] = Counter()
        self._baseline = _TrafficBaseline(0.0, [_Traffic(0, 0)] * members)
        simulation.observe = self._on_output

    def _now_s(self) -> float:
        return self._simulation.events.now_us / US_PER_SECOND

    def _seconds_since(self, at_s: float) -> float:
        return round(self._now_s() - at_s, SECONDS_DIGITS)

    def _running_numbers(self) -> list[int]:
        return [process.number for process in self._simulation.processes if process.is_running]

    # Deaths

    def process_ended(self, number: int) -> None:
        """Record that a process has ended."""
        death = MemberDeath(number, self._now_s())
        self._deaths.append(death)
        self._open_deaths[number] = death
        if (self._stamps[:, number] != UNKNOWN_STAMP).any():
            self._check_agreement(number)  # views may list it as absent after a graceful leave

    def process_starting(self, number: int) -> None:
        """Record that a process restarts with an empty view."""
        self._open_deaths.pop(number, None)
        self._stamps[number] = UNKNOWN_STAMP

    def _on_output(self, process: Process, output: object) -> None:
        if not isinstance(output, MemberChanged):
            return
        member = output.member
        incarnation = _Incarnation(member.number, member.incarnation)
        self._stamps[process.number, member.number] = member.stamp
        if member.state is MemberState.SUSPECT:
            self._suspected.add(incarnation)
        if member.state < MemberState.DEAD:
            return
        if member.number in self._open_deaths:
            self._check_agreement(member.number)
        elif member.state is MemberState.DEAD:
            self._record_false_death(incarnation, declared_by=process.number)

    def _record_false_death(self, dead: _Incarnation, declared_by: int) -> None:
        if dead in self._declared_dead:
            return  # later observers have adopted the first declaration
        self._declared_dead.add(dead)
        if not self._is_separated(declared_by, dead.number):
            self._false_deaths.append(FalseDeath(self._now_s(), dead.number, declared_by))

    def links_healed(self, cuts: Sequence[LinkCut]) -> None:
        """Record that cuts have just healed."""
        healed_at_us = self._simulation.events.now_us
        self._healed_cuts += [_HealedCut(cut, healed_at_us) for cut in cuts]

    def _is_separated(self, first: int, second: int) -> bool:
        """Return whether links are blocked both ways, so that either may declare the other dead.

        A healed cut counts for one more probe timeout, so that a probe can be answered first.
        """
        return self._is_blocked(first, second) and self._is_blocked(second, first)

    def _is_blocked(self, source: int, target: int) -> bool:
        if self._simulation.network.is_cut(source, target):
            return True
        since_us = self._simulation.events.now_us - ProtocolConfig().probe_timeout_us
        return any(
            healed.cut.blocks(source, target)
            for healed in self._healed_cuts
            if healed.at_us > since_us
        )

    def _check_agreement(self, number: int) -> None:
        death = self._open_deaths[number]
        states = self._stamps[self._running_numbers(), number] & STATE_MASK
        is_absent = states >= MemberState.DEAD
        elapsed_s = self._seconds_since(death.at_s)
        if death.detected_s is None and is_absent.any():
            death.detected_s = elapsed_s
        if death.agreed_s is None and is_absent.all():
            death.agreed_s = elapsed_s

    # Convergence

    def watch_convergence(self, cause: str) -> None:
        """Measure the time from now until all views are equal.

        Args:
            cause: The event that made the views differ.
        """
        convergence = Convergence(cause, self._now_s())
        self._convergences.append(convergence)

        def check() -> None:
            if not self._are_views_equal():
                self._simulation.events.schedule_after(CONVERGENCE_CHECK_INTERVAL_US, check)
                return
            convergence.duration_s = self._seconds_since(convergence.at_s)
            if cause == CAUSE_START:
                self._baseline = _TrafficBaseline(self._now_s(), self._traffic())

        self._simulation.events.schedule_after(0, check)

    def _are_views_equal(self) -> bool:
        running = self._running_numbers()
        if not running:
            return True
        rows = self._stamps[running]
        for row, number in zip(rows, running, strict=True):
            if row[number] == UNKNOWN_STAMP:
                row[number] = rows[:, number].max()  # heartbeat programs do not list themselves
        are_all_listed = rows[0][running] != UNKNOWN_STAMP
        return bool(are_all_listed.all() and (rows == rows[0]).all())

    # Results

    def _traffic(self) -> list[_Traffic]:
        return [
            _Traffic(process.datagrams_sent, process.bytes_sent)
            for process in self._simulation.processes
        ]

    def _collect_counters(self, process: Process) -> None:
        program = process.program
        if isinstance(program, MembershipProgram):
            self._counters.update(program.membership.counters)
            for reason, count in program.authenticator.rejected.items():
                self._counters[f"refused {reason}"] += count

    def result(self, experiment: Experiment) -> ExperimentResult:
        """Return the results. Must be called only once, at the end of the experiment."""
        processes = self._simulation.processes
        for process in processes:
            self._collect_counters(process)
        baseline = self._baseline
        measured_s = max(self._now_s() - baseline.at_s, MIN_MEASURED_S)
        pairs = list(zip(self._traffic(), baseline.traffic, strict=True))
        rates = [(now.datagrams - before.datagrams) / measured_s for now, before in pairs]
        sent_bytes = sum(now.bytes_sent - before.bytes_sent for now, before in pairs)
        return ExperimentResult(
            name=experiment.name,
            detector=Experiment.Detector.Name(experiment.detector).lower(),
            members=len(processes),
            seed=experiment.seed,
            simulated_s=self._now_s(),
            loss_percent=experiment.links.loss_percent,
            deaths=self._deaths,
            false_deaths=len(self._false_deaths),
            false_death_samples=self._false_deaths[:MAX_FALSE_DEATH_SAMPLES],
            suspicions=len(self._suspected),
            convergences=self._convergences,
            is_converged_at_end=self._are_views_equal(),
            messages_per_second=round(sum(rates) / len(rates), MESSAGE_RATE_DIGITS),
            max_messages_per_second=round(max(rates), MESSAGE_RATE_DIGITS),
            bytes_per_second=round(sent_bytes / len(processes) / measured_s, BYTE_RATE_DIGITS),
            socket_overflows=sum(process.socket_overflows for process in processes),
            counters=dict(sorted(self._counters.items())),
            events=self._simulation.events.events_run,
            trace_digest=self._simulation.trace_digest,
        )
