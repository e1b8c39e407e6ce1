"""The fixture of the race tests: a proxy in the test process."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.in_process_proxy import InProcessProxy


@pytest.fixture
def harness(request: pytest.FixtureRequest) -> Iterator[InProcessProxy]:
    """Create a proxy, and assert after the test that all its resources are released."""
    harness = InProcessProxy(**getattr(request, "param", {}))
    try:
        yield harness
        harness.assert_everything_released()
    finally:
        harness.close()
