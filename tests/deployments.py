"""Random deployments: the possible values of each parameter, and a seeded draw from them.

Tests over these deployments show that the program does not depend on the values of one deployment.
To cover another kind of deployment, extend ``RANGES``.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from larchhaven.routing.events import Endpoint
from larchhaven.routing.settings import OperationCosts, RequestClass, RoutingSettings, Tenant

SECOND_US = 1_000_000
RANGES: dict[str, tuple[Any, ...]] = {
    "proxies": (1, 1, 2, 3, 5, 12, 40),
    "servers": (1, 2, 5, 12, 30, 200),
    "cores": (0.5, 2.0, 4.0, 16.0),  # cores of a server; each deployment has two sizes
    "zones": (1, 1, 2, 3),
    "classes": (1, 1, 2, 4, 6),
    "tenants": (0, 0, 1, 2, 5),
    "quota": (0.0, 3.0, 40.0, float("inf")),  # connections of a tenant
    "over_quota_priority_factor": (0.0, 0.2, 1.0),
    "cost": (0.0, 0.002, 0.5),  # cost of a health check, a migration, a cross-zone request
    "can_check_health": (True, True, False),
    "can_gossip": (True, False),
    "can_cancel": (True, False),
    "sends_retry_after": (True, False),
    "has_load_updates": (True, False),
    "report_fields": (
        ("load_ratio",),
        ("utilization",),
        ("queue_length",),
        ("queue_length", "backlog_s"),
        (),
    ),
    "max_attempts": (1, 3, 4, 10),
    "drain_grace_s": (0.5, 2.0, 3.0, 10.0),
    "slow_start_s": (0.0, 4.0, 15.0),
    "initial_fraction": (0.05, 0.35, 1.0),
    "collapse_multiple": (2.0, 3.0, 5.0),
    "objective_ms": (50, 300, 2000),
    "deadline_objectives": (1.0, 4.0),  # the deadline, as a multiple of the latency objective
    "lifetime_s": (5.0, 60.0, 300.0, 3000.0),
    "connections_per_core": (5.0, 25.0, 150.0),  # connections that use a whole core
    "groups": (0, 0, 3, 30),
    "timer_resolution_us": (1_000, 5_000, 20_000),
    "load": (0.3, 0.6, 1.1),  # offered load, as a fraction of the total server capacity
    "fault": ("none", "drain", "crash", "silent", "restart", "all full"),
}

# Fields of ``OperationCosts`` whose values are drawn from the range "cost".
COST_FIELDS = ("health_check", "migration", "cross_zone")
# Parameters that are fields of ``RoutingSettings`` under the same name.
SETTINGS_FIELDS = (
    "can_check_health",
    "can_gossip",
    "can_cancel",
    "sends_retry_after",
    "has_load_updates",
    "max_attempts",
    "timer_resolution_us",
)


@dataclass(frozen=True)
class Deployment:
    """A drawn deployment.

    Attributes:
        settings: The routing settings of its proxies.
        servers: Its upstream servers.
        parameters: All parameters, including those that the proxies do not know.
    """

    settings: RoutingSettings
    servers: tuple[Endpoint, ...]
    parameters: dict[str, Any]


def draw_deployment(seed: int, **fixed: Any) -> Deployment:
    """Draw a deployment at random.

    Args:
        seed: Seed of the draw.
        fixed: Parameters of ``RANGES`` that get these values instead of drawn ones.
    """
    assert set(fixed) <= set(RANGES), f"unknown parameters: {set(fixed) - set(RANGES)}"
    rng = random.Random(seed)
    parameters = {name: rng.choice(values) for name, values in RANGES.items()} | fixed
    settings = _draw_settings(rng, parameters)
    sizes = rng.choices(RANGES["cores"], k=2)
    servers = tuple(
        Endpoint(f"h{i}", weight=sizes[i % 2], zone=i % parameters["zones"], cell=i // 4)
        for i in range(parameters["servers"])
    )
    return Deployment(settings, servers, parameters)


def _draw_settings(rng: random.Random, parameters: dict[str, Any]) -> RoutingSettings:
    costs = dict(zip(COST_FIELDS, rng.choices(RANGES["cost"], k=len(COST_FIELDS)), strict=True))
    classes = _draw_classes(rng, parameters)
    share = 1 / max(parameters["tenants"], 1)
    return RoutingSettings(
        classes=classes,
        proxy_count=parameters["proxies"],
        proxy_index=0,
        drain_grace_us=int(parameters["drain_grace_s"] * SECOND_US),
        slow_start_us=int(parameters["slow_start_s"] * SECOND_US),
        slow_start_initial_fraction=parameters["initial_fraction"],
        collapse_multiple=parameters["collapse_multiple"],
        collapse_delay_us=SECOND_US * 3 // 2,
        zone_count=parameters["zones"],
        tenants=(Tenant(share, connection_quota=parameters["quota"]),) * parameters["tenants"],
        over_quota_priority_factor=parameters["over_quota_priority_factor"],
        max_retry_after_us=SECOND_US if parameters["sends_retry_after"] else 0,
        response_slack_us=20_000,
        pass_through=rng.random() < 0.5,
        has_affinity_groups=parameters["groups"] > 0,
        report_fields=parameters["report_fields"],
        costs=OperationCosts(**costs),
        **{name: parameters[name] for name in SETTINGS_FIELDS},
    )


def _draw_classes(rng: random.Random, parameters: dict[str, Any]) -> tuple[RequestClass, ...]:
    min_objective_us = parameters["objective_ms"] * 1000
    objectives_us = [
        int(min_objective_us * rng.uniform(1, 3)) for _ in range(parameters["classes"])
    ]
    return tuple(
        RequestClass(
            objective_us,
            int(objective_us * parameters["deadline_objectives"]),
            priority_weight=rng.choice((0.0, 1.0, 5.0)),
        )
        for objective_us in objectives_us
    )
