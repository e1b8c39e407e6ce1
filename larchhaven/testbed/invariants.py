"""The invariants of a deployment: names, limits and reported violations."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import msgspec

MAX_KEPT_VIOLATIONS = 100


class Invariant(StrEnum):
    """Conditions that must hold in every run; the values appear in reports."""

    ONE_ANSWER = "one answer"  # each request gets one answer, by its deadline
    DRAIN = "drain"  # no request reaches a draining server after the drain grace
    ONE_EXECUTION = "one execution"  # no request has attempts at two servers at once
    SLOW_START = "cold"  # no server in slow start is overloaded
    MIGRATE_BEFORE_LOSS = "move before loss"  # proxies end connections only after MOVE
    DATAGRAM_SIZE = "datagrams"  # no datagram exceeds the platform's limit


@dataclass(frozen=True, slots=True)
class InvariantLimits:
    """The limits of the invariants.

    Attributes:
        drain_grace_us: How long a draining server may still receive new requests.
        cold_capacity_fraction: Fraction of its capacity that a server has at a cold start.
        overload_multiple: Load, as a multiple of the current capacity, that overloads a server in
            slow start.
        overload_us: How long a server in slow start survives that load.
        slack_us: Tolerance on each time limit, for delays of sockets and of a busy machine.
        attempt_overlap_us: How long two attempts may seem to overlap, as the end of the first one
            may be observed late.
    """

    drain_grace_us: int = 3_000_000
    cold_capacity_fraction: float = 0.33
    overload_multiple: float = 2.5
    overload_us: int = 1_500_000
    slack_us: int = 250_000
    attempt_overlap_us: int = 50_000


class Violation(
    msgspec.Struct,
    frozen=True,
    rename={"invariant": "rule", "at_us": "at", "description": "text"},
):
    """One violation of an invariant.

    Attributes:
        invariant: The invariant.
        at_us: Time of the record that shows the violation, on the monotonic clock.
        description: What happened, as a sentence.
    """

    invariant: Invariant
    at_us: int
    description: str


class ViolationLog:
    """Keeps the first violations of a run and counts the others.

    Attributes:
        violations: The first violations, at most ``MAX_KEPT_VIOLATIONS``.
        omitted: Number of violations beyond these.
    """

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.omitted = 0

    def add(self, invariant: Invariant, at_us: int, description: str) -> None:
        """Keep a violation, or only count it once ``MAX_KEPT_VIOLATIONS`` are kept."""
        if len(self.violations) < MAX_KEPT_VIOLATIONS:
            self.violations.append(Violation(invariant, at_us, description))
        else:
            self.omitted += 1
