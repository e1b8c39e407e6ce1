"""Forwarding: attempts at servers, placement, rejections and the deadline of a request."""

from __future__ import annotations

import contextlib

import pytest

from tests.proxy_harness import (
    ProxyProcess,
    make_request_line,
)

REQUEST_FIELDS = "c=chat,d=2000,g=ab"


@pytest.mark.parametrize(
    "answer", ["BUSY", "BUSY x0=0.9", "ERR", "what", "end", "reset", "9" * 5000]
)
def test_failed_attempt_is_closed_before_the_next_begins(proxy: ProxyProcess, answer: str) -> None:
    client = proxy.connect_client(make_request_line(REQUEST_FIELDS))
    first = proxy.accept()
    first.read_line()
    if answer == "end":
        first.close()
    elif answer == "reset":
        first.reset()
    else:
        first.send_line(answer)
    second = proxy.accept()
    if answer not in ("end", "reset"):
        with contextlib.suppress(ConnectionResetError):
            assert first.file.read() == b""
    assert second.read_line().startswith("OPEN 9b1f03aa")
    second.send_line("UP 2")
    assert client.read_line() == "UP 2"


@pytest.mark.parametrize("proxy", [{"server_count": 0}], indirect=True)
def test_request_without_a_server_is_rejected(proxy: ProxyProcess) -> None:
    client = proxy.connect_client(make_request_line("c=chat,d=300,g=ab"))
    assert client.read_line().startswith("BUSY")
    assert client.read_line() == ""


def test_request_that_all_servers_reject_is_rejected_at_once(proxy: ProxyProcess) -> None:
    """The request must not wait until its deadline, here 60 s."""
    client = proxy.connect_client(make_request_line("c=chat,d=60000,g=ab"))
    for _ in proxy.servers:
        server = proxy.accept()
        server.read_line()
        server.send_line("BUSY")
    assert client.read_line().startswith("BUSY")


def test_unresponsive_server_costs_no_more_than_the_deadline(proxy: ProxyProcess) -> None:
    client = proxy.connect_client(make_request_line("c=chat,d=300,g=ab"))
    server = proxy.accept()
    assert client.read_line().startswith("BUSY")
    assert client.read_line() == ""
    server.close()


def test_client_that_disconnects_early_ends_its_attempt(proxy: ProxyProcess) -> None:
    client = proxy.connect_client(make_request_line(REQUEST_FIELDS))
    server = proxy.accept()
    server.read_line()
    client.close()
    assert server.read_line() == ""


@pytest.mark.parametrize("deadline_ms", [3_600_001, 4_294_967, 99_999_999_999])
def test_client_with_a_deadline_of_over_an_hour_is_served(
    proxy: ProxyProcess, deadline_ms: int
) -> None:
    """A long deadline must be reduced, not rejected.

    In deployments whose connections end at the proxy, clients whose connection is older than the
    run send d=4294967. If the proxy answered ``ERR``, each of them would count as lost.
    """
    client = proxy.connect_client(make_request_line(f"c=chat,d={deadline_ms},g=ab,at=s1"))
    server = proxy.accept(proxy.servers[1])
    forwarded_deadline_ms = server.read_line().partition(",d=")[2].partition(",")[0]
    assert 0 < int(forwarded_deadline_ms) <= 3_600_000
    server.send_line("UP 3")
    assert client.read_line() == "UP 3"


@pytest.mark.parametrize(
    "proxy", [{"server_count": 1, "policy_limits": {"probes": True}}], indirect=True
)
@pytest.mark.parametrize(
    "answer", ["PONG x0=0.4,util=0.3,qps=9", "ERR", "BUSY", "NO", "\x00", "end"]
)
def test_any_answer_to_a_health_check_lets_the_request_continue(
    proxy: ProxyProcess, answer: str
) -> None:
    client = proxy.connect_client(make_request_line(REQUEST_FIELDS))
    probe = proxy.accept()
    assert probe.read_line() == "STATS"
    if answer == "end":
        probe.close()
    else:
        probe.send_line(answer)
    server = proxy.accept()
    assert server.read_line().startswith("OPEN ")
    server.send_line("UP 1")
    assert client.read_line() == "UP 1"
