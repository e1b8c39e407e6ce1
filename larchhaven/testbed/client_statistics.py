"""Answers to clients, counted by request class and by tenant, and connection setup times."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import msgspec

MAX_SETUP_TIMES = 20_000


class ClassOutcome(
    msgspec.Struct,
    rename={
        "requests": "asked",
        "migrations": "moves",
        "lost_connections": "lost",
        "setup_p50_ms": "setup_ms_p50",
        "setup_p99_ms": "setup_ms_p99",
    },
):
    """Results of the clients of one request class.

    Attributes:
        requests: Number of requests sent.
        answers: Number of answers by their first word.
        migrations: Number of connections that were told to migrate.
        lost_connections: Number of established connections that ended without a migration.
        setup_p50_ms: Median time from a request until its connection was established; None if no
            connection was established.
        setup_p99_ms: 99th percentile of that time; None if no connection was established.
    """

    requests: int
    answers: dict[str, int]
    migrations: int
    lost_connections: int
    setup_p50_ms: float | None
    setup_p99_ms: float | None


@dataclass(slots=True)
class ClientStatistics:
    """Running counts of one request class; see ``ClassOutcome``."""

    requests: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    migrations: int = 0
    lost_connections: int = 0
    setup_times_ms: list[float] = field(default_factory=list)

    def add_setup_time(self, setup_ms: float) -> None:
        """Add the setup time of a connection; times beyond ``MAX_SETUP_TIMES`` are dropped."""
        if len(self.setup_times_ms) < MAX_SETUP_TIMES:
            self.setup_times_ms.append(setup_ms)

    def summarize(self) -> ClassOutcome:
        """Return the counts and the percentiles of the setup times."""
        return ClassOutcome(
            requests=self.requests,
            answers=dict(self.answers),
            migrations=self.migrations,
            lost_connections=self.lost_connections,
            setup_p50_ms=self._setup_percentile_ms(50),
            setup_p99_ms=self._setup_percentile_ms(99),
        )

    def _setup_percentile_ms(self, percent: int) -> float | None:
        if not self.setup_times_ms:
            return None
        ordered = sorted(self.setup_times_ms)
        return round(ordered[len(ordered) * percent // 100], 2)


class ClientOutcomes:
    """Results of all clients of a run.

    Attributes:
        statistics: Counts by request class, for classes with at least one request.
        tenant_answers: Number of answers by first word, for each tenant with answers.
    """

    def __init__(self) -> None:
        self.statistics: dict[str, ClientStatistics] = {}
        self.tenant_answers: dict[str, Counter[str]] = {}

    def statistics_of(self, request_class: str) -> ClientStatistics:
        """Return the counts of a request class, which are created on first use."""
        return self.statistics.setdefault(request_class, ClientStatistics())

    def add_tenant_answer(self, tenant: str, word: str) -> None:
        """Count an answer to a client of a tenant."""
        self.tenant_answers.setdefault(tenant, Counter())[word] += 1

    def summarize_classes(self) -> dict[str, ClassOutcome]:
        """Return the summary of each request class."""
        return {name: counts.summarize() for name, counts in self.statistics.items()}

    def summarize_tenants(self) -> dict[str, dict[str, int]]:
        """Return the number of answers by first word for each tenant, sorted by tenant name."""
        return {name: dict(words) for name, words in sorted(self.tenant_answers.items())}
