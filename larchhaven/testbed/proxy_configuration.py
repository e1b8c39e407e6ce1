"""Builds the configuration that the platform would give a proxy of a deployment."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from larchhaven.testbed.scenario_pb2 import Class, Scenario

DEFAULT_DRAIN_GRACE_MS = 3_000
DEFAULT_LATENCY_OBJECTIVE_MS = 500
DEFAULT_DEADLINE_MS = 2_000
DEFAULT_PRIORITY_WEIGHT = 1.0
DEFAULT_MAX_ATTEMPTS = 3
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024
IDLE_PARK_US = 6_000_000
ANY_LOOPBACK_PORT = "127.0.0.1:0"


def drain_grace_us(scenario: Scenario) -> int:
    """Return how long a draining server may still receive new requests, in microseconds."""
    return int((scenario.drain_grace_ms or DEFAULT_DRAIN_GRACE_MS) * 1000)


def build_proxy_settings(scenario: Scenario, index: int = 0) -> dict[str, Any]:
    """Build the platform's settings for one proxy of a scenario.

    Args:
        scenario: The scenario.
        index: Index of the proxy among the proxies of the deployment.
    """
    classes = list(scenario.classes) or [Scenario().classes.add(name="chat")]
    instances = max(scenario.proxies, 1) + scenario.peers
    return {
        "contract": _build_contract(scenario),
        "discovery": "subscribe",
        "family": "conn",
        "index": index,
        "instances": instances,
        "kinds": ["k"],
        "tick": 5000,
        "zone": 0,
        "zones": ["here"],
        "stages": ["s"],
        "over_share_worth": 0.2,
        "parties": [{"name": m.name, "share": m.share} for m in scenario.members],
        "weights": "nominal",
        "prices": {"moves": 0.016, "probe": 0.002},
        "family_info": _build_family_info(scenario, len(classes)),
        "policy_limits": _build_policy_limits(
            scenario, can_gossip=instances > 1 and not scenario.proxies_keep_silent
        ),
        "report": {"fields": ["x0"], "how": "pull"},
        "services": [_build_service(request_class) for request_class in classes],
    }


def _build_contract(scenario: Scenario) -> dict[str, Any]:
    return {
        "answer_slack": 20000,
        "ask_within": 10000000,
        "cold": 7100000,
        "cold_from": 0.33,
        "stop_sending_within": drain_grace_us(scenario),
        "tip_after": 1500000,
        "tip_multiple": 2.5,
    }


def _build_family_info(scenario: Scenario, class_count: int) -> dict[str, Any]:
    return {
        "message_aim": [100000.0] * class_count,
        "mode": "pass" if scenario.pass_through else "proxy",
        "park": IDLE_PARK_US if scenario.pass_through else 0,
        "tells_delay": True,
        "tells_load": True,
        "tenant_quota_connections": [member.quota for member in scenario.members],
        "groups": True,
        "hint": "",
    }


def _build_policy_limits(scenario: Scenario, *, can_gossip: bool) -> dict[str, Any]:
    return {
        "cancel": True,
        "connect_timeout": 250000,
        "max_retry_after": 1500000,
        "most_tries": scenario.attempts or DEFAULT_MAX_ATTEMPTS,
        "parallel_tries": False,
        "probes": True,
        "retry_after": True,
        "may_tell": can_gossip,
    }


def _build_service(request_class: Class) -> dict[str, Any]:
    return {
        "aim": int((request_class.aim_ms or DEFAULT_LATENCY_OBJECTIVE_MS) * 1000),
        "deadline": int((request_class.deadline_ms or DEFAULT_DEADLINE_MS) * 1000),
        "name": request_class.name,
        "repeat": "idempotent",
        "stream": True,
        "group": "all",
        "window": 5000000,
        "credit": request_class.worth or DEFAULT_PRIORITY_WEIGHT,
        "late_worth": 0.0,
    }


def build_proxy_configuration(
    number: int,
    *,
    seed: int,
    discovery_port: int,
    limits: dict[str, float],
    settings: dict[str, Any],
    endpoints: dict[str, object],
    peers: Sequence[str] = (),
) -> dict[str, Any]:
    """Build the configuration of one proxy process.

    Args:
        number: Number of the proxy; its name is ``n`` and the number.
        seed: Seed of the proxy's random numbers.
        discovery_port: Port of discovery on the loopback address.
        limits: Cores, memory and sockets granted to the proxy.
        settings: The platform's settings.
        endpoints: The initial endpoint list.
        peers: Peer table: addresses of all proxies in order of their numbers; empty for none.
    """
    configuration: dict[str, Any] = {
        "name": f"n{number}",
        "listen": ANY_LOOPBACK_PORT,
        "mgmt": ANY_LOOPBACK_PORT,
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": f"{seed:x}",
        "limits": limits,
        "settings": settings,
        "known": endpoints,
    }
    if peers:
        configuration |= {"peer_listen": peers[number], "peers": list(peers)}
    return configuration


def build_limits(scenario: Scenario) -> dict[str, float]:
    """Return the cores, memory and sockets that a scenario grants each proxy."""
    grant = scenario.grant
    return {
        "cores": 1.0,
        "memory_mb": grant.memory_mb or DEFAULT_MEMORY_MB,
        "sockets": grant.sockets or DEFAULT_SOCKETS,
    }
