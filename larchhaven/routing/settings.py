"""Routing settings of a proxy, given at its start.

Durations are in microseconds, loads in standard cores (seconds of work per second).
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import astuple, dataclass
from enum import Enum, auto

from larchhaven.errors import LarchhavenError


class SettingsError(LarchhavenError, ValueError):
    """The settings are invalid.

    Attributes:
        requirement: The requirement that they violate, in words.
    """

    def __init__(self, requirement: str) -> None:
        super().__init__(requirement)
        self.requirement = requirement


class Idempotency(Enum):
    """Whether a request that may have been executed can be retried safely."""

    ALWAYS = auto()
    WITH_KEY = auto()  # servers in scope discard duplicates by idempotency key
    NEVER = auto()


class DeduplicationScope(Enum):
    """Servers that discard each other's duplicates of a request with an idempotency key."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class WeightSource(Enum):
    """Origin of the weights of listed servers."""

    NONE = auto()
    NOMINAL = auto()
    ESTIMATED = auto()
    LIVE = auto()


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Service objectives and retry rules of one request class.

    Attributes:
        latency_objective_us: Target time to an established connection.
        deadline_us: Time after which an answer has no value.
        priority_weight: Value of a request that is served within its latency objective.
        late_priority_weight: Value of a request that is served later.
        idempotency: Whether a request that may have been executed can be retried.
        deduplication_scope: Servers that may get a retry which needs an idempotency key.
        deduplication_window_us: How long servers remember an idempotency key.
        is_long_lived: Whether a served request becomes an established connection.
        message_latency_objective_us: Target latency of messages on the connection; 0 if unknown.
    """

    latency_objective_us: int
    deadline_us: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Idempotency = Idempotency.ALWAYS
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0
    is_long_lived: bool = True
    message_latency_objective_us: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """Agreed share and limits of one tenant.

    Attributes:
        capacity_fraction: Agreed fraction of the fleet's capacity.
        rate_limit_per_s: Agreed requests per second.
        connection_quota: Open connections over all proxies together; infinite if not set.
    """

    capacity_fraction: float = 0.0
    rate_limit_per_s: float = 0.0
    connection_quota: float = math.inf


@dataclass(frozen=True, slots=True)
class OperationCosts:
    """Costs per unit of each operation, as fractions of the value of one first attempt."""

    health_check: float = 0.0
    gossip_message: float = 0.0
    cross_zone: float = 0.0
    migration: float = 0.0
    wasted_work: float = 0.0
    late_failure: float = 0.0
    handshake: float = 0.0


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Settings of a proxy, given at its start; it observes everything else at run time.

    Attributes:
        classes: Request classes, by index.
        proxy_count: Number of proxies that share the fleet.
        proxy_index: Index of this proxy, from 0.
        drain_grace_us: How long a draining server may still be used.
        slow_start_us: How long a server warms up after a start.
        slow_start_initial_fraction: Fraction of its capacity that a server has at its start.
        collapse_multiple: Overload multiple at which a warming-up server collapses.
        collapse_delay_us: How long that overload has to last.
        max_attempts: Maximum attempts per request, including the first.
        zone: Index of this proxy's zone.
        zone_count: Number of zones.
        timer_resolution_us: Shortest delay of a timer.
        tenants: Tenants, by index.
        over_quota_priority_factor: Factor on the priority weight of a tenant over its quota.
        subscribes_to_endpoints: Whether the proxy has to watch the endpoint list; if not, lists
            are pushed.
        poll_deadline_us: Time after which a proxy is assumed to know the list even without a poll.
        response_slack_us: Extra time after a deadline in which an answer is still accepted.
        can_cancel: Whether an attempt can be cancelled at the server.
        can_hedge: Whether a request may have two attempts in flight at once.
        can_check_health: Whether servers answer health checks.
        can_gossip: Whether proxies may send messages to each other.
        sends_retry_after: Whether rejections state when to retry.
        max_retry_after_us: Longest delay that a rejection may state.
        max_open_connections: Connections that a proxy may hold; 0 if not limited here.
        connect_timeout_us: Timeout for connecting to a server.
        pass_through: Whether packets are passed through, so that connections outlive their proxy.
        idle_park_us: Idle time after which a connection may be parked; 0 for never.
        has_load_updates: Whether servers report the load of individual connections.
        has_delay_updates: Whether message delays on connections are observed.
        has_affinity_groups: Whether clients name a group that is cheaper to keep on one server.
        has_load_hint: Whether clients announce their load.
        weighs_priority_by_load: Whether priority weights are already per unit of load.
        sticky_table_capacity: Connections kept in the sticky table; the oldest are dropped first.
        weight_source: Origin of the weights of listed servers.
        report_fields: Fields of the servers' load reports.
        costs: Costs of operations.

    Raises:
        SettingsError: The settings are invalid.
    """

    classes: tuple[RequestClass, ...]
    proxy_count: int
    proxy_index: int
    drain_grace_us: int
    slow_start_us: int
    slow_start_initial_fraction: float
    collapse_multiple: float
    collapse_delay_us: int
    max_attempts: int
    zone: int = 0
    zone_count: int = 1
    timer_resolution_us: int = 1000
    tenants: tuple[Tenant, ...] = ()
    over_quota_priority_factor: float = 1.0
    subscribes_to_endpoints: bool = False
    poll_deadline_us: int = 10_000_000
    response_slack_us: int = 0
    can_cancel: bool = False
    can_hedge: bool = False
    can_check_health: bool = False
    can_gossip: bool = False
    sends_retry_after: bool = False
    max_retry_after_us: int = 0
    max_open_connections: int = 0
    connect_timeout_us: int = 250_000
    pass_through: bool = False
    idle_park_us: int = 0
    has_load_updates: bool = False
    has_delay_updates: bool = False
    has_affinity_groups: bool = False
    has_load_hint: bool = False
    weighs_priority_by_load: bool = False
    sticky_table_capacity: int = 10_000
    weight_source: WeightSource = WeightSource.NOMINAL
    report_fields: tuple[str, ...] = ()
    costs: OperationCosts = OperationCosts()

    def __post_init__(self) -> None:
        """Reject invalid settings."""
        for holds, requirement in self._requirements():
            if not holds:
                raise SettingsError(requirement)

    def _requirements(self) -> Iterator[tuple[bool, str]]:
        yield bool(self.classes), "services must list at least one request class"
        yield self.proxy_count >= 1, f"instances must be at least 1, not {self.proxy_count}"
        in_range = 0 <= self.proxy_index < max(self.proxy_count, 1)
        yield in_range, f"index must be from 0 to {self.proxy_count - 1}, not {self.proxy_index}"
        yield self.max_attempts >= 1, f"most_tries must be at least 1, not {self.max_attempts}"
        yield (
            0 < self.slow_start_initial_fraction <= 1,
            f"cold_from must be above 0 and at most 1, not {self.slow_start_initial_fraction}",
        )
        yield self.collapse_multiple > 0, f"tip_multiple must be positive: {self.collapse_multiple}"
        shortest_us = min(self.slow_start_us, self.collapse_delay_us, self.drain_grace_us)
        yield (
            shortest_us >= 0,
            f"cold, tip_after, stop_sending_within must not be negative, but one is {shortest_us}",
        )
        positive = self.timer_resolution_us > 0 and self.poll_deadline_us > 0
        yield (
            positive,
            f"tick={self.timer_resolution_us}, ask_within={self.poll_deadline_us} must be positive",
        )
        yield min(astuple(self.costs)) >= 0, "prices must not be negative"
        yield (
            self.over_quota_priority_factor >= 0,
            f"over_share_worth must not be negative, but is {self.over_quota_priority_factor}",
        )
        for tenant in self.tenants:
            yield (
                tenant.capacity_fraction >= 0,
                f"a tenant's share must not be negative, but is {tenant.capacity_fraction}",
            )
            yield (
                tenant.connection_quota >= 0,
                f"a tenant's quota must not be negative, but is {tenant.connection_quota}",
            )
        for request_class in self.classes:
            positive = request_class.latency_objective_us > 0 and request_class.deadline_us > 0
            yield positive, "aim and deadline of each service must be positive"
