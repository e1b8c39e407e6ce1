"""Reads the metrics of a running proxy over its admin API."""

from __future__ import annotations

import time
from typing import Any

from tests.proxy_harness import (
    TIMEOUT_S,
    ProxyProcess,
)


def read_metrics(proxy: ProxyProcess) -> dict[str, Any]:
    status, metrics = proxy.call("GET", "/v1/metrics")
    assert status == 200
    return dict(metrics)


def wait_for_metric(proxy: ProxyProcess, name: str, value: object) -> dict[str, Any]:
    """Poll the metrics until the named one has the expected value, and return all of them."""
    until = time.monotonic() + TIMEOUT_S
    while (metrics := read_metrics(proxy))[name] != value:
        assert time.monotonic() < until, f"metric {name} is {metrics[name]}, expected {value}"
    return metrics
