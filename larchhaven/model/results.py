"""What is measured of one experiment, as it is stored: a record each, JSON keys at the edge.

The keys of the JSON are those of ``results.jsonl`` and ``model run --json``, which older files
hold too; ``rename`` maps them to the names used here.
"""

from __future__ import annotations

import msgspec


class MemberDeath(
    msgspec.Struct, rename={"at_s": "at", "detected_s": "detected", "agreed_s": "agreed"}
):
    """A death that happened.

    Attributes:
        number: The process that died.
        at_s: When.
        detected_s: Seconds until the first other process declared it; None: nobody did before
            the end, or before the process was back.
        agreed_s: Seconds until all running processes agreed; None as above.
    """

    number: int
    at_s: float
    detected_s: float | None = None
    agreed_s: float | None = None


class FalseDeath(msgspec.Struct, array_like=True):
    """A running process that was declared dead though datagrams got through.

    Attributes:
        at_s: When.
        number: The process that was declared dead.
        declared_by: The process that declared it first.
    """

    at_s: float
    number: int
    declared_by: int


class Convergence(msgspec.Struct, rename={"cause": "after", "at_s": "at", "duration_s": "seconds"}):
    """How long it took until all views were equal.

    Attributes:
        cause: What made them differ.
        at_s: Since when they were compared.
        duration_s: Seconds until they were equal; None: they were not by the end.
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
    """What one run of an experiment has shown.

    Attributes:
        name: The experiment.
        detector: The failure detector that was run.
        members: How many processes there were.
        seed: The seed of all random streams.
        simulated_s: Simulated seconds.
        loss_percent: Share of the datagrams that links lost.
        deaths: The deaths that happened.
        false_deaths: How many running processes were declared dead.
        false_death_samples: The first of these.
        suspicions: How many incarnations were suspected.
        convergences: How long views took to become equal, after each cause.
        is_converged_at_end: Whether views were equal at the end.
        messages_per_second: Of one member, on average, since views were equal after the start.
        max_messages_per_second: Of the member that sent most.
        bytes_per_second: Of one member, on average.
        socket_overflows: Datagrams that found a full socket buffer.
        counters: The protocol's counters and rejected datagrams, all members together.
        events: Events that the simulation has run.
        trace_digest: Digest of all datagrams; equal digests mean equal runs.
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
        """Whether deaths were agreed on, nobody was declared dead wrongly and views converged."""
        return (
            not self.false_deaths
            and all(death.agreed_s is not None for death in self.deaths)
            and all(convergence.duration_s is not None for convergence in self.convergences)
        )
