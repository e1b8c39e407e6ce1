"""Validation of the routing settings."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.routing.builders import BASIC_SETTINGS


def test_invalid_settings_are_rejected() -> None:
    with pytest.raises(ValueError, match="cold_from"):
        replace(BASIC_SETTINGS, slow_start_initial_fraction=0.0)
    with pytest.raises(ValueError, match="index"):
        replace(BASIC_SETTINGS, proxy_index=1)
