"""Runs one experiment: simulates a fleet, injects its faults and collects the results."""

from __future__ import annotations

from functools import partial

from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.member import MemberInfo
from larchhaven.membership.membership import Membership
from larchhaven.model.experiment_pb2 import Experiment, Links
from larchhaven.model.fault_injection import FaultInjector, WallClocks
from larchhaven.model.heartbeat_program import HeartbeatProgram
from larchhaven.model.membership_program import MembershipProgram
from larchhaven.model.network import LinkConditions, SimulatedNetwork
from larchhaven.model.observer import CAUSE_START, FleetObserver
from larchhaven.model.process import Program
from larchhaven.model.random_streams import RandomStream, RandomStreams
from larchhaven.model.results import ExperimentResult
from larchhaven.model.simulation import Simulation
from larchhaven.model.units import PERCENT_PER_WHOLE, US_PER_MS, US_PER_SECOND, to_us

# Each process's monotonic clock starts at a random offset below this.
MAX_CLOCK_OFFSET_US = 1_000_000_000
SESSION_IDS = 1 << 32


def run_experiment(
    experiment: Experiment,
    *,
    membership_type: type[Membership] = Membership,
    config: ProtocolConfig | None = None,
) -> ExperimentResult:
    """Run an experiment. Equal experiments give equal results, in any Python process.

    Args:
        experiment: The experiment to run.
        membership_type: The protocol to run, or a variant of it with a planted fault.
        config: The protocol's intervals, timeouts and limits; None selects the defaults.

    Returns:
        The measured results.
    """
    return _ExperimentRun(experiment, membership_type, config or ProtocolConfig()).run()


def link_conditions(links: Links) -> LinkConditions:
    """Return the link conditions of an experiment, with defaults for fields that are not set."""
    default = LinkConditions()
    delay_us = links.delay_ms * US_PER_MS
    jitter_us = links.jitter_ms * US_PER_MS
    duplicate_delay_us = links.doubled_late_ms * US_PER_MS
    return LinkConditions(
        delay_us=delay_us if links.HasField("delay_ms") else default.delay_us,
        jitter_us=jitter_us if links.HasField("jitter_ms") else default.jitter_us,
        loss_ratio=links.loss_percent / PERCENT_PER_WHOLE,
        burst_us=links.burst_ms * US_PER_MS,
        duplication_ratio=links.doubled_percent / PERCENT_PER_WHOLE,
        max_duplicate_delay_us=(
            duplicate_delay_us
            if links.HasField("doubled_late_ms")
            else default.max_duplicate_delay_us
        ),
    )


class _ExperimentRun:
    """A single run of an experiment."""

    def __init__(
        self, experiment: Experiment, membership_type: type[Membership], config: ProtocolConfig
    ) -> None:
        self._experiment = experiment
        self._membership_type = membership_type
        self._config = config
        self._members = max(experiment.members, 1)
        self._zones = max(experiment.zones, 1)
        self._streams = RandomStreams(experiment.seed)
        conditions = link_conditions(experiment.links)
        network = SimulatedNetwork(conditions, self._streams.stream("network"))
        self._simulation = Simulation(network)
        self._observer = FleetObserver(self._simulation, self._members)
        self._clocks = WallClocks()

    def run(self) -> ExperimentResult:
        self._add_processes()
        self._schedule_starts()
        self._observer.watch_convergence(CAUSE_START)
        injector = FaultInjector(
            self._experiment, self._simulation, self._observer, self._streams, self._clocks
        )
        injector.schedule_all()
        self._simulation.events.run_until(to_us(max(self._experiment.seconds, 1)))
        return self._observer.result(self._experiment)

    def _add_processes(self) -> None:
        rng = self._streams.stream("clocks")
        for number in range(self._members):
            error_s = rng.uniform(-1, 1) * self._experiment.clocks_apart_seconds
            self._clocks.offsets_us.append(to_us(error_s))
            clock_offset_us = rng.below(MAX_CLOCK_OFFSET_US)
            self._simulation.add_process(partial(self._make_program, number), clock_offset_us)

    def _schedule_starts(self) -> None:
        rng = self._streams.stream("starts")
        for process in self._simulation.processes:
            start_us = int(rng.random() * self._experiment.start_seconds * US_PER_SECOND)
            start = partial(self._simulation.start_process, process)
            self._simulation.events.schedule(start_us, start)

    def _make_program(self, number: int, now_us: int, starts: int) -> Program:
        rng = self._streams.stream(f"member {number} life {starts}")
        if self._experiment.detector == Experiment.HEARTBEATS:
            return HeartbeatProgram(now_us, number, self._members, rng)
        return self._make_membership_program(number, now_us, rng)

    def _make_membership_program(
        self, number: int, now_us: int, rng: RandomStream
    ) -> MembershipProgram:
        wall_clock_us = self._simulation.events.now_us + self._clocks.offsets_us[number]
        started_unix_s = max(wall_clock_us // US_PER_SECOND + 1, 1)
        return MembershipProgram(
            now_us,
            number,
            self._members,
            MemberInfo(f"n{number}", number % self._zones, 1, started_unix_s),
            first_incarnation=started_unix_s,
            session_id=int(rng.random() * SESSION_IDS),
            rng=rng,
            config=self._config,
            membership_type=self._membership_type,
        )
