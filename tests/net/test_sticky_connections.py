"""Sticky connections: a client returns to the server that holds its connection."""

from __future__ import annotations

import pytest

from tests.proxy_harness import (
    Proxy,
    opening,
)

REQUEST_FIELDS = "c=chat,d=2000,g=ab"


def test_sticky_connection_goes_to_its_server_only(proxy: Proxy) -> None:
    for number in (1, 0, 1):
        client = proxy.client(opening(f"{REQUEST_FIELDS},at=s{number}"))
        server = proxy.accept(proxy.instances[number])
        assert server.line().endswith(f"at=s{number}")
        server.send("UP 3")
        assert client.line() == "UP 3"


@pytest.mark.parametrize("number", [0, 1])
def test_connection_that_arrives_mid_flow_goes_to_its_server(proxy: Proxy, number: int) -> None:
    """Guards a connection whose packets were rerouted and return: others would reset it."""
    client = proxy.client(opening(f"{REQUEST_FIELDS},at=s{number}"))
    server = proxy.accept(proxy.instances[number])
    for _ in range(5):
        server.line()
        server.send("UP 1")
        assert client.line() == "UP 1"
        client.close()
        assert server.line() == ""
        client = proxy.client(opening(f"{REQUEST_FIELDS},mid=1"))
        server = proxy.accept(proxy.instances[number])


@pytest.mark.parametrize("proxy", [{"instances": 2}], indirect=True)
@pytest.mark.parametrize("number", [0, 1])
def test_peers_are_notified_and_asked_which_server_holds_a_connection(
    proxy: Proxy, number: int
) -> None:
    """Guards connections whose proxy ends: their packets reach one that did not place them."""
    assert proxy.peer.recv(300) == b"S"
    proxy.opened(f"{REQUEST_FIELDS},at=s{number}")
    notification, proxy_address = proxy.peer.recvfrom(300)
    unknown = opening(f"{REQUEST_FIELDS},mid=1").replace("7f3a9c21", "00000000")
    client = proxy.client(unknown)
    query = proxy.peer.recv(300)
    assert query[:1] == b"Q"
    assert notification[:1] == b"H"
    assert len(notification) == len(query) + 2
    proxy.peer.sendto(b"H" + query[1:] + notification[-2:], proxy_address)
    server = proxy.accept(proxy.instances[number])
    assert "mid=1" in server.line()
    client.close()
