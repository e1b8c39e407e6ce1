"""The outcome of a scenario; ``rename`` keeps the keys of its JSON reports stable."""

from __future__ import annotations

from typing import Any

import msgspec

from larchhaven.testbed.client_statistics import ClassOutcome
from larchhaven.testbed.invariants import Violation


class ProxySample(
    msgspec.Struct,
    rename={
        "at_s": "at",
        "resident_bytes": "resident",
        "memory_report": "memory",
        "pending_requests": "pending",
        "established_connections": "standing",
    },
):
    """One sample of a proxy: its resource usage and its own memory report.

    Attributes:
        at_s: Time since the start of the scenario.
        proxy: Name of the proxy.
        resident_bytes: Resident set size of the process.
        descriptors: Number of open file descriptors of the process.
        memory_report: JSON of the proxy's ``GET /v1/memory``.
        pending_requests: Requests in the proxy that wait for an answer.
        established_connections: Established connections of all clients, over all proxies.
    """

    at_s: float
    proxy: str
    resident_bytes: int
    descriptors: int
    memory_report: dict[str, Any]
    pending_requests: int
    established_connections: int


class ScenarioOutcome(
    msgspec.Struct,
    rename={
        "duration_s": "seconds",
        "violations": "broken",
        "omitted_violations": "broken_more",
        "event_counts": "records",
        "tenant_answers": "members",
        "crashed_proxies": "crashed",
        "idle_memory_reports": "rest",
    },
):
    """The results of a played scenario.

    Attributes:
        name: Name of the scenario.
        seed: Its seed.
        duration_s: How long it was played.
        violations: The violations that were kept.
        omitted_violations: Number of violations beyond these.
        event_counts: Number of records of each kind.
        classes: Results of the clients of each request class.
        tenant_answers: Number of answers by tenant and first word.
        samples: The samples of the proxies, in order of time.
        crashed_proxies: Names of proxies that ended early or with an error.
        errors: Unexpected errors in the proxies' logs or in the test bed.
        log_lines: Number of lines logged by all proxies.
        idle_memory_reports: Memory report of each proxy after all clients had left.
    """

    name: str
    seed: int
    duration_s: float
    violations: list[Violation]
    omitted_violations: int
    event_counts: dict[str, int]
    classes: dict[str, ClassOutcome]
    tenant_answers: dict[str, dict[str, int]]
    samples: list[ProxySample]
    crashed_proxies: list[str]
    errors: list[str]
    log_lines: int
    idle_memory_reports: dict[str, dict[str, Any]]

    @property
    def holds(self) -> bool:
        """Whether no invariant was violated and no proxy crashed or met an unexpected error."""
        return not (self.violations or self.crashed_proxies or self.errors)

    @property
    def failures(self) -> tuple[list[Violation], list[str], list[str]]:
        """The first violations, the crashed proxies and the errors, for test failure messages."""
        return self.violations[:5], self.crashed_proxies, self.errors

    def summarize(self) -> dict[str, Any]:
        """Return the outcome for JSON, with the number of samples instead of the samples."""
        summary: dict[str, Any] = msgspec.to_builtins(self)
        return summary | {"holds": self.holds, "samples": len(self.samples)}
