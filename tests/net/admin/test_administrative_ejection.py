"""Administrative ejection: the operators' calls, their effect on clients, and the saved file."""

from __future__ import annotations

import json
import select
import time
from pathlib import Path

import pytest

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


def establish_at(proxy: ProxyProcess, number: int) -> tuple[LineConnection, LineConnection]:
    """Establish a connection to the given server; return the client's and the server's end."""
    client = proxy.connect_client(make_request_line(f"{REQUEST_FIELDS},at=s{number}"))
    server = proxy.accept(proxy.servers[number])
    assert server.read_line()
    server.send_line("UP 1")
    assert client.read_line() == "UP 1"
    return client, server


def test_ejected_server_loses_its_clients_and_gets_no_requests_until_it_is_reinstated(
    proxy: ProxyProcess,
) -> None:
    """Operators eject a server before they restart it, so that no client loses its connection.

    New requests go to the other servers, and the clients of the ejected one migrate.
    """
    client, server = establish_at(proxy, 0)
    unaffected = establish_at(proxy, 1)
    for _ in range(2):
        assert proxy.call("POST", "/v1/exam-servers/s0/suspend")[0] == 200
    new_clients = [proxy.connect_client(make_request_line(REQUEST_FIELDS)) for _ in range(8)]
    attempts = [proxy.accept(proxy.servers[1]) for _ in new_clients]
    for attempt in attempts:
        assert attempt.read_line()
        attempt.send_line("UP 1")
    assert read_metrics(proxy)["members_unavailable"] == 1
    assert [client.read_line(), client.read_line(), server.read_line()] == ["MOVE", "", ""]
    for _ in range(2):
        assert proxy.call("POST", "/v1/exam-servers/s0/resume")[0] == 200
    assert read_metrics(proxy)["members_unavailable"] == 0
    until = time.monotonic() + TIMEOUT_S
    while not select.select([proxy.servers[0]], [], [], 0.1)[0]:
        assert time.monotonic() < until, "no request reached the reinstated server"
        new_clients.append(proxy.connect_client(make_request_line(REQUEST_FIELDS)))
    unaffected[0].close()


def test_request_is_rejected_at_once_if_all_servers_are_ejected(proxy: ProxyProcess) -> None:
    for number in range(2):
        assert proxy.call("POST", f"/v1/exam-servers/s{number}/suspend")[0] == 200
    assert (
        proxy.connect_client(make_request_line("c=chat,d=3000000,g=ab"))
        .read_line()
        .startswith("BUSY")
    )


@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_ejection_of_a_removed_server_applies_when_it_is_listed_again(
    proxy: ProxyProcess,
) -> None:
    discovery = LineConnection(proxy.discovery.accept()[0])
    answer_watch(
        discovery, json.dumps({"seq": 8, "hosts": [make_endpoint("s0", proxy.servers[0], "gone")]})
    )
    wait_for_metric(proxy, "members", 1)
    assert proxy.call("POST", "/v1/exam-servers/s0/suspend")[0] == 200
    answer_watch(
        discovery, json.dumps({"seq": 9, "hosts": [make_endpoint("s0", proxy.servers[0])]})
    )
    assert wait_for_metric(proxy, "members", 2)["members_unavailable"] == 1
    client = proxy.connect_client(make_request_line(REQUEST_FIELDS))
    assert proxy.accept(proxy.servers[1]).read_line()
    client.close()


@pytest.mark.parametrize("invalid", [None, b"{", b'{"v":9,"hosts":["s0"]}', b"\x00" * 2_000_000])
def test_ejections_survive_a_restart_unless_their_file_is_invalid(
    tmp_path: Path, invalid: bytes | None
) -> None:
    """A restarted proxy applies the saved ejections, and starts even if their file is invalid."""
    proxy = ProxyProcess(tmp_path)
    assert proxy.call("POST", "/v1/exam-servers/s0/suspend")[0] == 200
    proxy.close()
    saved = tmp_path / "larchhaven-suspended.json"
    assert b"s0" in saved.read_bytes()
    if invalid is not None:
        saved.write_bytes(invalid)
    proxy = ProxyProcess(tmp_path)
    assert read_metrics(proxy)["members_unavailable"] == (invalid is None)
    assert proxy.call("POST", "/v1/exam-servers/s1/suspend")[0] == 200
    assert (b"s0" in saved.read_bytes()) == (invalid is None)
    proxy.close()


def test_ejection_that_cannot_be_saved_is_answered_500(tmp_path: Path) -> None:
    proxy = ProxyProcess(tmp_path)
    (tmp_path / "larchhaven-suspended.new").mkdir()
    assert proxy.call("POST", "/v1/exam-servers/s0/suspend")[0] == 500
    assert read_metrics(proxy)["members_unavailable"] == 0
    proxy.close()
