"""The admin API of the running program, and the effect of its calls on clients."""

from __future__ import annotations

import contextlib
import json
import socket
from pathlib import Path

import pytest

from larchhaven.net.admin.http_api import MAX_CALL_BYTES, MAX_CALLERS
from tests.net.admin.metrics_reader import read_metrics, wait_for_metric
from tests.proxy_harness import (
    TIMEOUT_S,
    LineConnection,
    ProxyProcess,
    answer_watch,
    make_endpoint,
    make_request_line,
)

REQUEST_FIELDS = "c=chat,d=2000,g=ab"


def call_raw(proxy: ProxyProcess, *segments: bytes) -> bytes:
    """Send the segments on one connection and return all that is received until it ends."""
    with socket.create_connection(proxy.admin_address, timeout=TIMEOUT_S) as caller:
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        received = b""
        try:
            for segment in segments:
                caller.sendall(segment)
            while block := caller.recv(65536):
                received += block
        except (ConnectionResetError, BrokenPipeError):
            pass
        return received


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/v1/readyz", 200),
        ("GET", "/v1/readyz?verbose=1", 200),
        ("POST", "/v1/readyz", 405),
        ("GET", "/v1/metrics", 200),
        ("PUT", "/v1/metrics", 405),
        ("GET", "/v1/proxy/drain", 405),
        ("GET", "/v1/exam-servers/s0/suspend", 405),
        ("POST", "/v1/exam-servers/nobody/suspend", 404),
        ("POST", "/v1/exam-servers/nobody/resume", 404),
        ("GET", "/", 404),
        ("GET", "/v1/readyz/x", 404),
        ("POST", "/v1/proxy/stop", 404),
    ],
)
def test_path_and_method_determine_the_status(
    proxy: ProxyProcess, method: str, path: str, status: int
) -> None:
    assert proxy.call(method, path)[0] == status


@pytest.mark.parametrize("proxy", [{"server_count": 0}], indirect=True)
def test_proxy_without_servers_is_not_ready(proxy: ProxyProcess) -> None:
    assert proxy.call("GET", "/v1/readyz")[0] == 503


@pytest.mark.parametrize(
    "segments",
    [
        [b"GARBAGE\r\n\r\n"],
        [b"GET\r\n\r\n"],
        [b"\x00" * 500],
        [b"GET / HTTP/1.1\r\nA: " + b"x" * MAX_CALL_BYTES],
        [b"POST /v1/proxy/drain HTTP/1.1\r\nContent-Length: -5\r\n\r\n"],
        [b"POST /v1/proxy/drain HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", b"x" * 1_000_000],
    ],
)
def test_malformed_or_oversized_call_is_rejected_and_changes_nothing(
    proxy: ProxyProcess, segments: list[bytes]
) -> None:
    assert call_raw(proxy, *segments)[:10] in (b"", b"HTTP/1.1 4")
    assert proxy.connect_client("PING").read_line() == "PONG"
    assert proxy.call("GET", "/v1/readyz")[0] == 200


def test_only_the_first_call_is_answered_even_if_sent_in_pieces(
    proxy: ProxyProcess,
) -> None:
    text = b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
    segments = [text[i : i + 7] for i in range(0, len(text), 7)]
    received = call_raw(proxy, *segments, b"POST /v1/proxy/drain HTTP/1.1\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.count(b"HTTP/1.1") == 1
    assert proxy.connect_client("PING").read_line() == "PONG"


@pytest.mark.parametrize("proxy", [{"max_sockets": 128}], indirect=True)
def test_call_is_answered_despite_many_incomplete_calls_and_idle_clients(
    proxy: ProxyProcess,
) -> None:
    """Operators can call at full load: the API has descriptors and buffers of its own.

    If it shared them with clients, idle clients could use them up and lock operators out.
    """
    idle_clients = [proxy.connect_client() for _ in range(200)]
    callers = [socket.create_connection(proxy.admin_address) for _ in range(2 * MAX_CALLERS)]
    for caller in callers:
        caller.sendall(b"GET /v1/rea")
    assert proxy.call("GET", "/v1/readyz")[0] == 200
    callers[0].settimeout(TIMEOUT_S)
    with contextlib.suppress(ConnectionResetError):
        assert callers[0].recv(1) == b""  # the oldest call was closed to make room
    for sock in (*callers, *(client.sock for client in idle_clients)):
        sock.close()


@pytest.mark.parametrize(
    ("proxy", "migrates"),
    [({}, False), ({"family_info": {"mode": "proxy", "park": 0}}, True)],
    indirect=["proxy"],
    ids=["pass_through", "ends_at_proxy"],
)
def test_draining_proxy_fails_ping_and_still_serves_new_clients(
    proxy: ProxyProcess, migrates: bool
) -> None:
    """A drain shows in PING at once; connections migrate only if they end at the proxy."""
    ping_client = proxy.connect_client("PING")
    assert ping_client.read_line() == "PONG"
    client, server = proxy.establish()
    for _ in range(2):  # a repeated call changes nothing
        assert proxy.call("POST", "/v1/proxy/drain")[0] == 200
    ping_client.send_line("PING")
    assert ping_client.read_line() not in ("PONG", "")
    assert proxy.connect_client("PING").read_line() != "PONG"
    proxy.establish()
    if migrates:
        assert [client.read_line(), client.read_line()] == ["MOVE", ""]
    assert proxy.call("POST", "/v1/proxy/activate")[0] == 200
    assert proxy.connect_client("PING").read_line() == "PONG"
    if not migrates:
        client.send_line("still here")
        assert server.read_line() == "still here"


def test_activation_cancels_migrations_that_are_still_to_come(tmp_path: Path) -> None:
    proxy = ProxyProcess(tmp_path, family_info={"mode": "proxy"})
    pairs = [proxy.establish() for _ in range(6)]
    proxy.call("POST", "/v1/proxy/drain")
    proxy.call("POST", "/v1/proxy/activate")
    client = proxy.connect_client(make_request_line(REQUEST_FIELDS))
    assert proxy.accept().read_line()
    remaining = 0
    for established, _ in pairs:
        established.sock.settimeout(0.7)
        try:
            established.read_line()
        except TimeoutError:
            remaining += 1
    assert remaining >= 4  # by now, an uncancelled drain would have migrated all
    client.close()
    proxy.close()


def test_metrics_count_every_outcome_and_attempt_once(proxy: ProxyProcess) -> None:
    """The metrics agree with what clients and servers observe: none is missed or counted twice."""
    no_outcomes = {"completed": 0, "rejected": 0, "failed": 0}
    metrics = read_metrics(proxy)
    assert metrics["downstream_requests"] == {"chat": no_outcomes, "exam": no_outcomes}
    assert (metrics["upstream_requests"], metrics["pending"], metrics["members"]) == (0, 0, 2)
    expected = {"chat": dict(no_outcomes), "exam": dict(no_outcomes)}
    attempts = 0
    established = [proxy.establish() for _ in range(3)]
    expected["chat"]["completed"], attempts = 3, 3
    leaving_client = proxy.connect_client(make_request_line("c=exam,d=60000,g=ab"))
    pending_server = proxy.accept()
    attempts += bool(pending_server.read_line())
    for number in range(2):  # the first finds all servers full, so the second is rejected at once
        client = proxy.connect_client(make_request_line(f"c=exam,d={60_000 + number},g=ab"))
        for _ in proxy.servers if number == 0 else ():
            server = proxy.accept()
            attempts += bool(server.read_line())
            server.send_line("BUSY")
        assert client.read_line().startswith("BUSY")
        expected["exam"]["rejected"] += 1
    assert wait_for_metric(proxy, "pending", 4)["upstream_requests"] == attempts
    leaving_client.close()
    for client, _ in established[:2]:
        client.close()
    metrics = wait_for_metric(proxy, "pending", 1)
    assert metrics["downstream_requests"] == expected
    assert metrics["upstream_requests"] == attempts


def test_duplicate_identity_counts_as_failed_and_reloads_are_counted(proxy: ProxyProcess) -> None:
    request_line = make_request_line(REQUEST_FIELDS)
    client = proxy.connect_client(request_line)
    assert proxy.accept().read_line()
    assert proxy.connect_client(request_line).read_line() == "ERR"
    proxy.reload("{}")
    wait_for_metric(proxy, "config_reload_errors", 1)
    proxy.reload(json.dumps(proxy.configuration))
    metrics = wait_for_metric(proxy, "config_reloads", 1)
    assert metrics["downstream_requests"]["chat"]["failed"] == 1
    client.close()


@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_metrics_count_listed_and_unavailable_servers(proxy: ProxyProcess) -> None:
    assert [read_metrics(proxy)[name] for name in ("members", "members_unavailable")] == [2, 0]
    discovery = LineConnection(proxy.discovery.accept()[0])
    changes = {"seq": 8, "hosts": [make_endpoint("s0", proxy.servers[0], "draining")]}
    answer_watch(discovery, json.dumps(changes))
    assert wait_for_metric(proxy, "members_unavailable", 1)["members"] == 2
    answer_watch(
        discovery, json.dumps({"seq": 9, "hosts": [make_endpoint("s0", proxy.servers[0], "gone")]})
    )
    assert wait_for_metric(proxy, "members", 1)["members_unavailable"] == 0
