"""Shared by all tests: the known failures, and a fixture that starts the program."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.known_red import (  # noqa: F401  (pytest finds its hooks here)
    pytest_collection_modifyitems,
    pytest_configure,
    pytest_terminal_summary,
)
from tests.proxy_harness import ProxyProcess


@pytest.fixture
def proxy(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[ProxyProcess]:
    """Start the program, and see at the end that it lives and logged no unexpected error."""
    made = ProxyProcess(tmp_path, **getattr(request, "param", {}))
    yield made
    alive = made.process.poll() is None or made.process.returncode == 0
    log = made.close()
    assert alive, log
    assert "Traceback" not in log, log
