"""Shared fixtures and hooks: the known failures, and a running proxy process."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.known_red import (  # noqa: F401  (pytest finds the hooks by name)
    pytest_collection_modifyitems,
    pytest_configure,
    pytest_terminal_summary,
)
from tests.proxy_harness import ProxyProcess


@pytest.fixture
def proxy(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[ProxyProcess]:
    """Start a proxy process; at the end, check that it did not crash or log a traceback."""
    proxy_process = ProxyProcess(tmp_path, **getattr(request, "param", {}))
    yield proxy_process
    is_alive = proxy_process.process.poll() is None or proxy_process.process.returncode == 0
    log = proxy_process.close()
    assert is_alive, log
    assert "Traceback" not in log, log
