"""The results of one experiment, as stored in JSON.

Files of earlier versions contain the same JSON keys, which ``results.jsonl`` and
``model run --json`` use; ``rename`` maps them to the attribute names.
"""

from __future__ import annotations

import msgspec


class MemberDeath(
    msgspec.Struct, rename={"at_s": "at", "detected_s": "detected", "agreed_s": "agreed"}
):
    """The death of a process.

    Attributes:
        number: The process that died.
        at_s: Simulated time of the death in seconds.
        detected_s: Seconds until the first process declared it dead; None if none did before
            the end of the experiment or the restart of the process.
        agreed_s: Seconds until all running processes agreed on the death; None if they did not
            before the end of the experiment or the restart of the process.
    """

    number: int
    at_s: float
    detected_s: float | None = None
    agreed_s: float | None = None


class FalseDeath(msgspec.Struct, array_like=True):
    """A running process that was declared dead although it was reachable.

    A pair of processes counts as unreachable only if links are blocked in both directions.

    Attributes:
        at_s: Simulated time of the declaration in seconds.
        number: The process that was declared dead.
        declared_by: The process that declared it first.
    """

    at_s: float
    number: int
    declared_by: int


class Convergence(msgspec.Struct, rename={"cause": "after", "at_s": "at", "duration_s": "seconds"}):
    """The time until all views were equal after a fault or the start.

    Attributes:
        cause: The event that made the views differ.
        at_s: Simulated time in seconds from which they were compared.
        duration_s: Seconds until they were equal; None if they were not by the end.
    """

    cause: str
    at_s: float
    duration_s: float | None = None


_RESULT_KEYS = {
    "simulated_s": "seconds",
    "false_death_samples": "false_by",
    "suspicions": "accusations",
    "convergences": "equal",
    "is_converged_at_end": "equal_at_end",
    "messages_per_second": "messages_a_second",
    "max_messages_per_second": "messages_most",
    "bytes_per_second": "bytes_a_second",
    "socket_overflows": "overflowed",
    "counters": "counts",
    "trace_digest": "trace",
}


class ExperimentResult(msgspec.Struct, rename=_RESULT_KEYS):
    """The results of one run of an experiment.

    Attributes:
        name: The name of the experiment.
        detector: The failure detector.
        members: The number of processes.
        seed: The seed of all random streams.
        simulated_s: Simulated duration in seconds.
        loss_percent: Configured percentage of datagrams lost by links.
        deaths: All deaths of processes.
        false_deaths: The number of running processes that were declared dead.
        false_death_samples: The first of these false deaths.
        suspicions: The number of incarnations that were suspected.
        convergences: The convergence time after the start and after each fault that ended.
        is_converged_at_end: Whether all views were equal at the end.
        messages_per_second: Mean rate of one member since views first converged after the start.
        max_messages_per_second: Rate of the member that sent most.
        bytes_per_second: Mean rate of one member in payload bytes.
        socket_overflows: Number of datagrams dropped because a socket buffer was full.
        counters: Sums over all members of protocol counters and rejected datagrams.
        events: Number of events that the simulation ran.
        trace_digest: Digest of all datagrams with their times; equal digests mean equal runs.
    """

    name: str
    detector: str
    members: int
    seed: int
    simulated_s: float
    loss_percent: float
    deaths: list[MemberDeath]
    false_deaths: int
    false_death_samples: list[FalseDeath]
    suspicions: int
    convergences: list[Convergence]
    is_converged_at_end: bool
    messages_per_second: float
    max_messages_per_second: float
    bytes_per_second: float
    socket_overflows: int
    counters: dict[str, int]
    events: int
    trace_digest: str

    @property
    def holds(self) -> bool:
        """Whether all deaths were agreed on, no death was false and views always converged."""
        return (
            not self.false_deaths
            and all(death.agreed_s is not None for death in self.deaths)
            and all(convergence.duration_s is not None for convergence in self.convergences)
        )
