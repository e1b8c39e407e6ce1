"""The invariants of a deployment: their names, their limits and how a violation is reported."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import msgspec

MAX_KEPT_VIOLATIONS = 100


class Invariant(StrEnum):
    """What must hold in every run; the values appear in reports."""

    ONE_ANSWER = "one answer"
    DRAIN = "drain"
    ONE_EXECUTION = "one execution"
    SLOW_START = "cold"
    MIGRATE_BEFORE_LOSS = "move before loss"
    DATAGRAM_SIZE = "datagrams"


@dataclass(frozen=True, slots=True)
class InvariantLimits:
    """The limits of the invariants.

    Attributes:
        drain_grace_us: How long a draining server may still receive new requests.
        cold_capacity_fraction: Part of its capacity that a server has as it starts.
        overload_multiple: Load over present capacity that a cold server does not survive.
        overload_us: How long a cold server stands that load.
        slack_us: What sockets and a busy machine may add to any time.
        attempt_overlap_us: How long two attempts may seem to overlap, as ends are seen late.
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
    """One violation: of which invariant, when and by what."""

    invariant: Invariant
    at_us: int
    description: str


class ViolationLog:
    """The first violations of a run and the number of all others.

    Attributes:
        violations: At most ``MAX_KEPT_VIOLATIONS``.
        omitted: Number of violations beyond these.
    """

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.omitted = 0

    def add(self, invariant: Invariant, at_us: int, description: str) -> None:
        """Keep a violation, or count it if there are too many already."""
        if len(self.violations) < MAX_KEPT_VIOLATIONS:
            self.violations.append(Violation(invariant, at_us, description))
        else:
            self.omitted += 1
