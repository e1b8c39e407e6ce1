"""Settings of small deployments, as the platform hands them out."""

from __future__ import annotations

from typing import Any


def request_class(name: str, aim_ms: int, deadline_ms: int, credit: float) -> dict[str, Any]:
    """Return one request class, whose requests may be repeated."""
    return {
        "name": name,
        "aim": aim_ms * 1000,
        "deadline": deadline_ms * 1000,
        "credit": credit,
        "late_worth": 0.0,
        "repeat": "idempotent",
        "group": "all",
        "window": 5_000_000,
        "stream": True,
    }


def settings(classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return the settings of a deployment like ``sinav-merkez``, with changes to its groups."""
    result: dict[str, Any] = {
        "family": "conn",
        "instances": 1,
        "index": 0,
        "tick": 5000,
        "discovery": "subscribe",
        "zone": 0,
        "zones": ["hall"],
        "kinds": ["plain"],
        "weights": "nominal",
        "worth_by": "request",
        "services": classes,
        "family_info": {
            "mode": "pass",
            "park": 6_000_000,
            "groups": False,
            "message_aim": [100_000.0] * len(classes),
            "tells_load": True,
            "tells_delay": True,
        },
        "contract": {
            "answer_slack": 20_000,
            "ask_within": 10_000_000,
            "cold": 7_100_000,
            "cold_from": 0.33,
            "stop_sending_within": 3_000_000,
            "tip_after": 1_500_000,
            "tip_multiple": 2.5,
        },
        "policy_limits": {
            "cancel": True,
            "connect_timeout": 250_000,
            "max_open": 1_000_000,
            "max_retry_after": 1_500_000,
            "may_tell": False,
            "most_tries": 3,
            "parallel_tries": False,
            "probes": True,
            "retry_after": False,
        },
        "prices": {"moves": 0.016, "probe": 0.002, "cross_zone": 0.01},
        "report": {"how": "pull", "fields": ["utilization", "x0"]},
    }
    for name, value in changes.items():
        result[name] = result[name] | value if isinstance(value, dict) else value
    return result


def configuration(
    settings_: dict[str, Any], discovery: str, known: dict[str, object], listen: str
) -> dict[str, Any]:
    """Return the configuration of one proxy."""
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": settings_,
    }
