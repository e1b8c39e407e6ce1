"""The settings that the decisions of a proxy go by, as given at its start.

Durations are microseconds, loads are standard cores (seconds of work per second).
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import astuple, dataclass
from enum import Enum, auto

from larchhaven.errors import LarchhavenError


class SettingsError(LarchhavenError, ValueError):
    """Settings that no balancer could follow.

    Attributes:
        requirement: What the settings have to meet, in words.
    """

    def __init__(self, requirement: str) -> None:
        super().__init__(requirement)
        self.requirement = requirement


class Idempotency(Enum):
    """Whether a request that may have run can be sent again without harm."""

    ALWAYS = auto()
    WITH_KEY = auto()  # servers in scope discard duplicates by the idempotency key
    NEVER = auto()


class DeduplicationScope(Enum):
    """Which servers discard each other's duplicates of a request with an idempotency key."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class WeightSource(Enum):
    """What the weight of a listed server stands for."""

    NONE = auto()
    NOMINAL = auto()
    ESTIMATED = auto()
    LIVE = auto()


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What is promised for one class of request.

    Attributes:
        latency_objective_us: Time to an established connection that is aimed for.
        deadline_us: Time after which an answer earns nothing.
        priority_weight: What a request served in time is worth.
        late_priority_weight: What one served after its objective is worth.
        idempotency: Whether an attempt that may have run allows another.
        deduplication_scope: Where another attempt may go if it needs an idempotency key.
        deduplication_window_us: How long servers remember an idempotency key.
        is_long_lived: Whether a served request becomes an established connection.
        message_latency_objective_us: The same aim for messages on the connection; 0 if unknown.
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
    """One tenant's share of the fleet.

    Attributes:
        capacity_fraction: The part of the fleet's capacity that was agreed.
        rate_limit_per_s: Requests a second that were agreed.
        connection_quota: Open connections over all proxies together; infinite if none was given.
    """

    capacity_fraction: float = 0.0
    rate_limit_per_s: float = 0.0
    connection_quota: float = math.inf


@dataclass(frozen=True, slots=True)
class OperationCosts:
    """What operations cost, as a fraction of the value of one first attempt for each unit."""

    health_check: float = 0.0
    gossip_message: float = 0.0
    cross_zone: float = 0.0
    migration: float = 0.0
    wasted_work: float = 0.0
    late_failure: float = 0.0
    handshake: float = 0.0


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """What is given to a proxy at its start; everything else it has to observe.

    Attributes:
        classes: The classes of request, by index.
        proxy_count: How many proxies share the fleet.
        proxy_index: Which of them this one is, from 0.
        drain_grace_us: How long a draining server may still be used.
        slow_start_us: How long a restarted server warms up.
        slow_start_initial_fraction: Its capacity at the start, as a part of the whole.
        collapse_multiple: Overload of a warming-up server at which it collapses.
        collapse_delay_us: How long the overload has to last.
        max_attempts: Attempts for one request, the first included.
        zone: The zone of this proxy.
        zone_count: How many zones there are.
        timer_resolution_us: The shortest timer.
        tenants: The tenants, by index.
        over_quota_priority_factor: Factor on the priority weight of a tenant past its quota.
        subscribes_to_endpoints: Whether endpoint lists come only to those who watch.
        poll_deadline_us: How long a list may go unasked before it counts as known.
        response_slack_us: Extra time after a deadline in which an answer is still accepted.
        can_cancel: Whether an attempt can be cancelled at the server.
        can_hedge: Whether a request may have two attempts at once.
        can_check_health: Whether servers answer health checks.
        can_gossip: Whether proxies may send messages to each other.
        sends_retry_after: Whether rejections carry advice when to retry.
        max_retry_after_us: The longest such advice.
        max_open_connections: Connections that a proxy may hold; 0 if not limited here.
        connect_timeout_us: How long connecting to a server may take.
        pass_through: Whether packets pass through, so that connections outlive their proxy.
        idle_park_us: Idle time after which a connection may be parked; 0 for never.
        has_load_updates: Whether servers report the load of single connections.
        has_delay_updates: Whether the delay of messages on connections is seen.
        has_affinity_groups: Whether clients name a group that is cheaper to keep together.
        has_load_hint: Whether clients give a hint of their load.
        weighs_priority_by_load: Whether priority weights are already per unit of load.
        sticky_table_capacity: Connections whose server is remembered, the latest first.
        weight_source: What the weights of listed servers stand for.
        report_fields: The fields that servers report.
        costs: What operations cost.

    Raises:
        SettingsError: No balancer could follow them.
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
        """Reject settings that no balancer could follow."""
        for holds, requirement in self._requirements():
            if not holds:
                raise SettingsError(requirement)

    def _requirements(self) -> Iterator[tuple[bool, str]]:
        yield bool(self.classes), "settings name no request class"
        yield self.proxy_count >= 1, "instances must be at least 1"
        in_range = 0 <= self.proxy_index < max(self.proxy_count, 1)
        yield in_range, "index must lie between 0 and instances - 1"
        yield self.max_attempts >= 1, "max_attempts must be at least 1"
        yield 0 < self.slow_start_initial_fraction <= 1, "cold_from must lie in (0, 1]"
        yield self.collapse_multiple > 0, "tip_multiple must be positive"
        shortest_us = min(self.slow_start_us, self.collapse_delay_us, self.drain_grace_us)
        yield shortest_us >= 0, "spans must not be negative"
        positive = self.timer_resolution_us > 0 and self.poll_deadline_us > 0
        yield positive, "tick_us and ask_within_us must be positive"
        yield min(astuple(self.costs)) >= 0, "prices must not be negative"
        yield self.over_quota_priority_factor >= 0, "over_share_worth must not be negative"
        for tenant in self.tenants:
            yield tenant.capacity_fraction >= 0, "a tenant's share must not be negative"
            yield tenant.connection_quota >= 0, "a tenant's quota must not be negative"
        for request_class in self.classes:
            positive = request_class.latency_objective_us > 0 and request_class.deadline_us > 0
            yield positive, "aims must be positive"
