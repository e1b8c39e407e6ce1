"""The proxy in the test process, shared by the tests of races."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.in_process_proxy import InProcessProxy


@pytest.fixture
def harness(request: pytest.FixtureRequest) -> Iterator[InProcessProxy]:
    """Make the proxy's parts, and assert at the end that everything is released."""
    harness = InProcessProxy(**getattr(request, "param", {}))
    try:
        yield harness
        harness.assert_everything_released()
    finally:
        harness.close()
