"""Identities of open requests."""

from __future__ import annotations

import pytest

from larchhaven.net.control.executed_identities import Execution
from larchhaven.net.control.open_identities import OpenIdentities


class FakeExchange:
    """Fakes the other process of a hot restart."""

    def __init__(self) -> None:
        self.announced: list[tuple[bytes, bool]] = []

    def announce_identity(
        self, identity: bytes, is_open: bool, execution: Execution | None, /
    ) -> None:
        self.announced.append((identity, is_open))

    def is_open_elsewhere(self, identity: bytes, /) -> bool:
        return identity == b"elsewhere"


@pytest.fixture
def exchange() -> FakeExchange:
    return FakeExchange()


@pytest.fixture
def identities(exchange: FakeExchange) -> OpenIdentities:
    open_identities = OpenIdentities()
    open_identities.attach_exchange(exchange)
    return open_identities


def test_identity_is_open_until_its_request_ends_or_while_open_in_the_other_process(
    identities: OpenIdentities, exchange: FakeExchange
) -> None:
    identities.register_identity(b"a", 1)
    assert identities.is_open(b"a")
    assert identities.is_open(b"elsewhere")
    assert identities.list_identities() == [b"a"]
    identities.release_identity(b"a", 1)
    assert not identities.is_open(b"a")
    assert exchange.announced == [(b"a", True), (b"a", False)]


def test_identity_stays_open_when_an_earlier_request_with_it_ends(
    identities: OpenIdentities, exchange: FakeExchange
) -> None:
    identities.register_identity(b"a", 1)
    identities.register_identity(b"a", 2)
    identities.release_identity(b"a", 1)
    assert identities.is_open(b"a")
    assert exchange.announced == [(b"a", True), (b"a", True)]


def test_request_without_an_identity_is_not_tracked(
    identities: OpenIdentities, exchange: FakeExchange
) -> None:
    identities.register_identity(b"", 1)
    identities.release_identity(b"", 1)
    assert not identities.is_open(b"")
    assert exchange.announced == []
