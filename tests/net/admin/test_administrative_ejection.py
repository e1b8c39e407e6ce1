"""Administrative ejection: calls of operators, their effect, and what is saved of them."""

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
    """Establish a connection at one of the servers."""
    client = proxy.connect_client(make_request_line(f"{REQUEST_FIELDS},at=s{number}"))
    server = proxy.accept(proxy.servers[number])
    assert server.read_line()
    server.send_line("UP 1")
    assert client.read_line() == "UP 1"
    return client, server


def test_ejected_server_loses_its_clients_and_gets_nothing_until_it_is_reinstated(
    proxy: ProxyProcess,
) -> None:
    """Guards a server before its restart: once ejected it gets no request, its clients migrate."""
    client, server = establish_at(proxy, 0)
    stays = establish_at(proxy, 1)
    for _ in range(2):
        assert proxy.call("POST", "/v1/exam-servers/s0/suspend")[0] == 200
    new_clients = [proxy.connect_client(make_request_line(REQUEST_FIELDS)) for _ in range(8)]
    taken = [proxy.accept(proxy.servers[1]) for _ in new_clients]
    for end in taken:
        assert end.read_line()
        end.send_line("UP 1")
    assert read_metrics(proxy)["members_unavailable"] == 1
    assert [client.read_line(), client.read_line(), server.read_line()] == ["MOVE", "", ""]
    for _ in range(2):
        assert proxy.call("POST", "/v1/exam-servers/s0/resume")[0] == 200
    assert read_metrics(proxy)["members_unavailable"] == 0
    until = time.monotonic() + TIMEOUT_S
    while not select.select([proxy.servers[0]], [], [], 0.1)[0]:
        assert time.monotonic() < until, "it is not used again"
        new_clients.append(proxy.connect_client(make_request_line(REQUEST_FIELDS)))
    stays[0].close()


def test_all_servers_ejected_means_a_rejection_at_once(proxy: ProxyProcess) -> None:
    for number in range(2):
        assert proxy.call("POST", f"/v1/exam-servers/s{number}/suspend")[0] == 200
    assert (
        proxy.connect_client(make_request_line("c=chat,d=3000000,g=ab"))
        .read_line()
        .startswith("BUSY")
    )


@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_server_that_is_gone_may_be_ejected_and_stays_so_when_it_returns(
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


@pytest.mark.parametrize("broken", [None, b"{", b'{"v":9,"hosts":["s0"]}', b"\x00" * 2_000_000])
def test_next_process_knows_the_ejections_unless_their_file_is_broken(
    tmp_path: Path, broken: bytes | None
) -> None:
    """Guards ejections across a hot restart, and the start from whatever the file holds."""
    proxy = ProxyProcess(tmp_path)
    assert proxy.call("POST", "/v1/exam-servers/s0/suspend")[0] == 200
    proxy.close()
    saved = tmp_path / "larchhaven-suspended.json"
    assert b"s0" in saved.read_bytes()
    if broken is not None:
        saved.write_bytes(broken)
    proxy = ProxyProcess(tmp_path)
    assert read_metrics(proxy)["members_unavailable"] == (broken is None)
    assert proxy.call("POST", "/v1/exam-servers/s1/suspend")[0] == 200
    assert (b"s0" in saved.read_bytes()) == (broken is None)
    proxy.close()


def test_ejection_that_cannot_be_saved_is_answered_500(tmp_path: Path) -> None:
    proxy = ProxyProcess(tmp_path)
    (tmp_path / "larchhaven-suspended.new").mkdir()
    assert proxy.call("POST", "/v1/exam-servers/s0/suspend")[0] == 500
    assert read_metrics(proxy)["members_unavailable"] == 0
    proxy.close()
