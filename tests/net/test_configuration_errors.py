"""Configuration errors: at the start, the program prints one line and exits with status 2."""

from __future__ import annotations

import copy
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from larchhaven.net.configuration import decode_configuration
from tests.proxy_harness import (
    ROOT,
    SETTINGS,
)


@pytest.mark.parametrize(
    ("config", "message"),
    [
        (None, "EDGE_CONFIG is not set"),
        ("missing", "cannot be read"),
        ("{", "invalid configuration file"),
        ('{"listen":"127.0.0.1:0"}', "settings"),
        ('{"settings":{},"seed":"1"}', "settings"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, config: str | None, message: str
) -> None:
    path = tmp_path / "config.json"
    if config is not None and config != "missing":
        path.write_text(config)
    assert_rejected_in_one_line(path if config is not None else None, message)


def assert_rejected_in_one_line(path: Path | None, message: str) -> None:
    """Run the program, and check that it exits with status 2 and one line with the message."""
    environment = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
    if path is not None:
        environment["EDGE_CONFIG"] = str(path)
    completed = subprocess.run(
        [sys.executable, "-m", "larchhaven"],
        cwd=ROOT,
        env=environment,
        check=False,
        capture_output=True,
        text=True,
    )
    assert completed.returncode == 2
    assert message in completed.stderr
    assert completed.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("tenants", "quotas", "message"),
    [
        ([{"name": "a", "share": -0.5}], [10], "share must not be negative"),
        ([{"name": "a", "share": 0.5}], [-1], "quota must not be negative"),
        ([{"name": "a", "share": 0.5}], ["many"], "expected"),
        ([{"name": "a", "share": "half"}], [10], "expected"),
    ],
)
def test_invalid_tenant_quota_is_reported_in_one_line(
    tmp_path: Path, tenants: list[dict[str, Any]], quotas: list[Any], message: str
) -> None:
    """Shares and quotas of tenants are validated; the proxy does not start with invalid ones."""
    settings = copy.deepcopy(SETTINGS)
    settings["parties"] = tenants
    settings["family_info"]["tenant_quota_connections"] = quotas
    path = tmp_path / "config.json"
    config = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "settings": settings,
    }
    path.write_text(json.dumps(config))
    assert_rejected_in_one_line(path, message)


@pytest.mark.parametrize("parties", [["a", 3], [{"share": 0.5}], [{"name": "a"}, None], {}, None])
def test_malformed_tenant_entries_are_ignored(parties: Any) -> None:
    """The proxy starts despite malformed entries, and no entry without a name becomes a tenant.

    An entry that is not an object would otherwise end the start with an error, and a tenant without
    a name would match every client that names none.
    """
    raw = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:1",
        "settings": {**SETTINGS, "parties": parties},
    }
    assert set(decode_configuration(json.dumps(raw).encode(), {}).tenant_indexes) <= {"a"}
