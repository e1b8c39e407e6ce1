"""Sticky connections: a client returns to the server that holds its connection."""

from __future__ import annotations

import pytest

from tests.proxy_harness import (
    ProxyProcess,
    make_request_line,
)

REQUEST_FIELDS = "c=chat,d=2000,g=ab"


def test_sticky_connection_goes_to_its_server_only(proxy: ProxyProcess) -> None:
    for number in (1, 0, 1):
        client = proxy.connect_client(make_request_line(f"{REQUEST_FIELDS},at=s{number}"))
        server = proxy.accept(proxy.servers[number])
        assert server.read_line().endswith(f"at=s{number}")
        server.send_line("UP 3")
        assert client.read_line() == "UP 3"


@pytest.mark.parametrize("number", [0, 1])
def test_connection_that_arrives_mid_flow_goes_to_its_server(
    proxy: ProxyProcess, number: int
) -> None:
    """A connection that returns after its packets were rerouted would be reset by other servers."""
    client = proxy.connect_client(make_request_line(f"{REQUEST_FIELDS},at=s{number}"))
    server = proxy.accept(proxy.servers[number])
    for _ in range(5):
        server.read_line()
        server.send_line("UP 1")
        assert client.read_line() == "UP 1"
        client.close()
        assert server.read_line() == ""
        client = proxy.connect_client(make_request_line(f"{REQUEST_FIELDS},mid=1"))
        server = proxy.accept(proxy.servers[number])


@pytest.mark.parametrize("proxy", [{"instances": 2}], indirect=True)
@pytest.mark.parametrize("number", [0, 1])
def test_peers_are_notified_and_asked_which_server_holds_a_connection(
    proxy: ProxyProcess, number: int
) -> None:
    """When a proxy exits, packets of its connections reach a proxy that did not place them."""
    assert proxy.peer.recv(300) == b"S"
    proxy.establish(f"{REQUEST_FIELDS},at=s{number}")
    notification, proxy_address = proxy.peer.recvfrom(300)
    unknown = make_request_line(f"{REQUEST_FIELDS},mid=1").replace("7f3a9c21", "00000000")
    client = proxy.connect_client(unknown)
    query = proxy.peer.recv(300)
    assert query[:1] == b"Q"
    assert notification[:1] == b"H"
    assert len(notification) == len(query) + 2
    proxy.peer.sendto(b"H" + query[1:] + notification[-2:], proxy_address)
    server = proxy.accept(proxy.servers[number])
    assert "mid=1" in server.read_line()
    client.close()
