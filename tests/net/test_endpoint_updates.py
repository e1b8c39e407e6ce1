"""Endpoint updates: the watch on the endpoint list, and the effect of its events."""

from __future__ import annotations

import json
import select
import time

import pytest

from tests.proxy_harness import (
    SETTINGS,
    LineConnection,
    ProxyProcess,
    answer_watch,
    make_endpoint,
    make_request_line,
)

REQUEST_FIELDS = "c=chat,d=2000,g=ab"


@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_watch_is_renewed_and_its_events_are_applied(proxy: ProxyProcess) -> None:
    discovery = LineConnection(proxy.discovery.accept()[0])
    draining = make_endpoint("s0", proxy.servers[0], "draining")
    update = json.dumps({"seq": 8, "whole": False, "hosts": [draining]})
    assert answer_watch(discovery, update).startswith("GET /v1/endpoints?from=7&hold_ms=")
    assert discovery.read_line().startswith("GET /v1/endpoints?from=8&hold_ms=")
    while discovery.read_line():
        pass
    clients = [proxy.connect_client(make_request_line(REQUEST_FIELDS)) for _ in range(6)]
    for _ in clients:
        assert proxy.accept(proxy.servers[1]).read_line()
    complete_list = json.dumps(
        {"seq": 9, "whole": True, "hosts": [make_endpoint("s0", proxy.servers[0])]}
    )
    discovery.sock.sendall(
        f"HTTP/1.1 200 OK\r\nContent-Length: {len(complete_list)}\r\n\r\n{complete_list}".encode()
    )
    assert discovery.read_line().startswith("GET /v1/endpoints?from=9&hold_ms=")
    client = proxy.connect_client(make_request_line(f"{REQUEST_FIELDS},at=s0"))
    assert proxy.accept(proxy.servers[0]).read_line()
    client.close()


LONG_DEADLINE_SERVICES = [
    {**service, "aim": 40_000_000, "deadline": 60_000_000} for service in SETTINGS["services"]
]


@pytest.mark.parametrize("proxy", [{"services": LONG_DEADLINE_SERVICES}], indirect=True)
def test_endpoint_list_is_received_before_the_first_attempt(proxy: ProxyProcess) -> None:
    """Requests that arrive at the start wait for the first response of discovery.

    The proxy counts as already notified of any change since the configured list. Without the wait,
    a request could be sent to a draining server whose drain grace is over.
    """
    clients = [proxy.connect_client(make_request_line("c=chat,d=50000,g=ab")) for _ in range(4)]
    ping_client = proxy.connect_client("PING")
    # The first PONG shows that earlier input was read, the second that an iteration is complete.
    assert ping_client.read_line() == "PONG"
    ping_client.send_line("PING")
    assert ping_client.read_line() == "PONG"
    assert not select.select(proxy.servers, [], [], 0)[0]
    update = json.dumps(
        {"seq": 8, "whole": False, "hosts": [make_endpoint("s0", proxy.servers[0], "draining")]}
    )
    assert "hold_ms=0" in answer_watch(LineConnection(proxy.discovery.accept()[0]), update)
    for _ in clients:
        assert proxy.accept(proxy.servers[1]).read_line()


def test_first_list_of_a_slow_discovery_is_waited_for(proxy: ProxyProcess) -> None:
    """Guards against requests to drained servers after a restart, as each poll is given up."""
    discovery = LineConnection(proxy.discovery.accept()[0])
    draining = make_endpoint("s0", proxy.servers[0], "draining")
    time.sleep(1.6)  # discovery may need up to 2 s
    answer_watch(discovery, json.dumps({"seq": 8, "whole": False, "hosts": [draining]}))
    assert discovery.read_line().startswith("GET /v1/endpoints?from=8&hold_ms=8000")
    clients = [proxy.connect_client(make_request_line(REQUEST_FIELDS)) for _ in range(6)]
    for _ in clients:
        assert proxy.accept(proxy.servers[1]).read_line()


@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_clients_of_a_draining_server_are_migrated(proxy: ProxyProcess) -> None:
    """Clients migrate when their server drains, before it exits and disconnects them."""
    connections = []
    for number in (0, 1, 0):
        client = proxy.connect_client(make_request_line(f"{REQUEST_FIELDS},at=s{number}"))
        server = proxy.accept(proxy.servers[number])
        server.read_line()
        server.send_line("UP 1")
        assert client.read_line() == "UP 1"
        connections.append((client, server))
    update = json.dumps({"seq": 8, "hosts": [make_endpoint("s0", proxy.servers[0], "draining")]})
    answer_watch(LineConnection(proxy.discovery.accept()[0]), update)
    for client, server in (connections[0], connections[2]):
        assert [client.read_line(), client.read_line(), server.read_line()] == ["MOVE", "", ""]
    client, server = connections[1]
    client.send_line("still here")
    assert server.read_line() == "still here"


@pytest.mark.parametrize(
    ("body", "status"),
    [
        ("", "503 Service Unavailable"),
        ("{", "200 OK"),
        ('{"seq":"x","hosts":[]}', "200 OK"),
        ('{"seq":8,"hosts":[{"host":1}]}', "200 OK"),
        ("\xff\x00", "200 OK"),
        ("", "what is this"),
    ],
)
@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_invalid_response_of_discovery_is_retried_and_the_list_is_kept(
    proxy: ProxyProcess, body: str, status: str
) -> None:
    answer_watch(LineConnection(proxy.discovery.accept()[0]), body, status)
    next_watch = LineConnection(proxy.discovery.accept()[0])
    assert next_watch.read_line().startswith("GET /v1/endpoints?from=7&hold_ms=")
    next_watch.reset()
    client = proxy.connect_client(make_request_line(REQUEST_FIELDS))
    assert proxy.accept().read_line()
    client.close()
    assert LineConnection(proxy.discovery.accept()[0]).read_line()
