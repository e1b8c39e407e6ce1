"""Addresses and drain times in the endpoint directory."""

from __future__ import annotations

import pytest

from larchhaven.net.control.endpoint_directory import (
    EndpointDirectory,
    EndpointEntry,
    EndpointListMessage,
    parse_address,
)
from larchhaven.routing.events import EndpointListKind, ServerState


@pytest.mark.parametrize("text", ["", "x", "h:", ":1", "h:-1", "h:99999", "h:²"])
def test_malformed_address_is_none(text: str) -> None:
    assert parse_address(text) is None


def test_directory_remembers_when_a_server_started_to_drain() -> None:
    directory = EndpointDirectory(["a"], ["k"])
    entry = EndpointEntry("s0", "127.0.0.1:7000", "a", "k", started_at_ms=1)
    directory.apply_list(EndpointListKind.COMPLETE, EndpointListMessage(1, [entry], True), 100)
    assert directory.drain_notified_at_us("s0") is None
    assert directory.find_address("s0") == ("127.0.0.1", 7000)
    entry.health = "draining"
    for notified_at_us in (200, 300):
        update = directory.apply_list(
            EndpointListKind.CHANGES, EndpointListMessage(2, [entry]), notified_at_us
        )
        assert directory.drain_notified_at_us("s0") == 200
        assert update.endpoints[0].state is ServerState.DRAINING
    directory.apply_list(EndpointListKind.COMPLETE, EndpointListMessage(3, [], True), 400)
    assert directory.drain_notified_at_us("s0") == 200
    assert directory.find_address("s0") is None
    entry.health = "unknown state"
    assert directory.apply_list(
        EndpointListKind.CHANGES, EndpointListMessage(4, [entry]), 500
    ).endpoints[0].state is (ServerState.DRAINING)
