"""What clients were answered, by request class and by tenant, and how long that took."""

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
    """What clients of one request class met.

    Attributes:
        requests: Number of requests sent.
        answers: Number of answers by their first word.
        migrations: Number of connections that were told to migrate.
        lost_connections: Number of established connections that ended without it.
        setup_p50_ms: Median of the time until a connection was established.
        setup_p99_ms: The 99th percentile of it.
    """

    requests: int
    answers: dict[str, int]
    migrations: int
    lost_connections: int
    setup_p50_ms: float | None
    setup_p99_ms: float | None


@dataclass(slots=True)
class ClientStatistics:
    """Counts of one request class while a scenario is played; see ``ClassOutcome``."""

    requests: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    migrations: int = 0
    lost_connections: int = 0
    setup_times_ms: list[float] = field(default_factory=list)

    def add_setup_time(self, setup_ms: float) -> None:
        """Keep how long it took to establish a connection, up to a number of them."""
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
    """What all clients of a run met.

    Attributes:
        statistics: The counts of each request class that sent a request.
        tenant_answers: Answers by their first word, for each tenant that was answered.
    """

    def __init__(self) -> None:
        self.statistics: dict[str, ClientStatistics] = {}
        self.tenant_answers: dict[str, Counter[str]] = {}

    def statistics_of(self, request_class: str) -> ClientStatistics:
        """Return the counts of a request class; there are none at first."""
        return self.statistics.setdefault(request_class, ClientStatistics())

    def add_tenant_answer(self, tenant: str, word: str) -> None:
        """Count an answer to a client of a tenant."""
        self.tenant_answers.setdefault(tenant, Counter())[word] += 1

    def summarize_classes(self) -> dict[str, ClassOutcome]:
        """Return the summary of each request class."""
        return {name: counts.summarize() for name, counts in self.statistics.items()}

    def summarize_tenants(self) -> dict[str, dict[str, int]]:
        """Return the answers of each tenant, tenants in order of their names."""
        return {name: dict(words) for name, words in sorted(self.tenant_answers.items())}
