"""Requests whose id comes again: a request that may run once must not be sent to a server twice."""

from __future__ import annotations

import contextlib
import select
import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.proxy_harness import (
    SETTINGS,
    TIMEOUT_S,
    LineConnection,
    ProxyProcess,
    make_request_line,
)

REQUEST_FIELDS = "c=chat,d=2000,g=ab"
SHORT_DEADLINE_FIELDS = "c=chat,d=500,g=ab"
WINDOW_S = 1.5


def services(repeat: str, group: str = "all") -> list[dict[str, Any]]:
    """Return the request classes with one rule for repeats."""
    changes = {"repeat": repeat, "group": group, "window": int(WINDOW_S * 1e6)}
    return [{**service, **changes} for service in SETTINGS["services"]]


AT_MOST_ONCE = {"services": services("at_most_once")}
IDEMPOTENT = {"services": services("idempotent")}
DEDUPLICATED = {"services": services("deduplicated")}
DEDUPLICATED_IN_ZONE = {"services": services("deduplicated", "zone")}


def send_and_leave(proxy: ProxyProcess, line: str) -> LineConnection:
    """Send a request that reaches a server, and leave before its answer; return the server."""
    client = proxy.connect_client(line)
    server = proxy.accept()
    assert server.read_line().startswith("OPEN ")
    client.close()
    assert server.read_line() == ""  # the proxy has cancelled the attempt
    return server


def assert_not_sent(proxy: ProxyProcess, line: str) -> None:
    """Assert that a request is failed, and that no server gets it."""
    client = proxy.connect_client(line)
    assert client.read_line() == "ERR"
    assert not select.select(proxy.servers, [], [], 0.2)[0]


def assert_sent(proxy: ProxyProcess, line: str) -> None:
    client = proxy.connect_client(line)
    server = proxy.accept()
    assert server.read_line().startswith("OPEN ")
    server.send_line("UP 1")
    assert client.read_line() == "UP 1"


@pytest.mark.parametrize(
    ("proxy", "ending"),
    [
        (AT_MOST_ONCE, "client left"),
        (AT_MOST_ONCE, "server left"),
        (AT_MOST_ONCE, "connection ended"),
        (DEDUPLICATED_IN_ZONE, "client left"),
        (DEDUPLICATED_IN_ZONE, "connection ended"),
    ],
    indirect=["proxy"],
)
def test_request_that_may_have_run_is_not_sent_again(proxy: ProxyProcess, ending: str) -> None:
    """Guards against a second execution when an id comes again after its client has left."""
    line = make_request_line(REQUEST_FIELDS)
    if ending == "client left":
        send_and_leave(proxy, line)
    else:
        client = proxy.connect_client(line)
        server = proxy.accept()
        assert server.read_line().startswith("OPEN ")
        if ending == "connection ended":
            server.send_line("UP 1")
            assert client.read_line() == "UP 1"
        server.close()
        client.read_line()
    assert_not_sent(proxy, line)
    assert_not_sent(proxy, line)
    assert_sent(proxy, make_request_line(REQUEST_FIELDS))


@pytest.mark.parametrize("proxy", [IDEMPOTENT, DEDUPLICATED], indirect=True)
def test_request_whose_repeat_is_harmless_is_sent_again(proxy: ProxyProcess) -> None:
    line = make_request_line(SHORT_DEADLINE_FIELDS)
    send_and_leave(proxy, line)
    assert_sent(proxy, line)


@pytest.mark.parametrize("proxy", [DEDUPLICATED], indirect=True)
def test_request_is_not_sent_again_after_its_deduplication_window(proxy: ProxyProcess) -> None:
    """Guards against a second execution: servers discard repeats only within the window."""
    line = make_request_line(SHORT_DEADLINE_FIELDS)
    send_and_leave(proxy, line)
    time.sleep(WINDOW_S)
    assert_not_sent(proxy, line)


@pytest.mark.parametrize("proxy", [{"server_count": 1, **AT_MOST_ONCE}], indirect=True)
def test_request_that_no_server_has_run_is_sent_again(proxy: ProxyProcess) -> None:
    """A rejection by the server proves that the request was not executed."""
    line = make_request_line(REQUEST_FIELDS)
    client = proxy.connect_client(line)
    server = proxy.accept()
    assert server.read_line().startswith("OPEN ")
    server.send_line("BUSY")
    server.close()
    assert client.read_line().startswith("BUSY")
    time.sleep(2.5)  # a server that was full is not tried for 2 s
    assert_sent(proxy, line)


@pytest.fixture
def predecessor(tmp_path: Path) -> Iterator[ProxyProcess]:
    """Start a process that shares its listening socket with a successor."""
    process = ProxyProcess(tmp_path, inherits_socket=True, services=services("at_most_once"))
    yield process
    assert "Traceback" not in process.close()


@contextlib.contextmanager
def running_successor(predecessor: ProxyProcess) -> Iterator[ProxyProcess]:
    """Start a successor, and end it; check that it has not logged a traceback."""
    successor = predecessor.start_successor()
    try:
        yield successor
    finally:
        successor.process.kill()
        _, log = successor.process.communicate()
    assert "Traceback" not in log


def shut_down(predecessor: ProxyProcess) -> None:
    predecessor.process.send_signal(signal.SIGTERM)
    assert predecessor.process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("left", ["before the successor", "beside the successor"])
def test_request_is_not_sent_again_by_the_other_process_of_a_hot_restart(
    predecessor: ProxyProcess, left: str
) -> None:
    """Guards against a second execution when an id comes again at the other process."""
    line = make_request_line(REQUEST_FIELDS)
    if left == "before the successor":
        send_and_leave(predecessor, line)
    with running_successor(predecessor) as successor:
        if left == "beside the successor":
            send_and_leave(predecessor, line)  # either process may accept the client
        assert_not_sent(predecessor, line)
        shut_down(predecessor)
        assert_not_sent(successor, line)


def test_request_in_flight_at_a_hot_restart_is_not_sent_again(predecessor: ProxyProcess) -> None:
    """Guards against a second execution when the client leaves while the successor starts."""
    line = make_request_line(REQUEST_FIELDS)
    client = predecessor.connect_client(line)
    server = predecessor.accept()
    assert server.read_line().startswith("OPEN ")
    with running_successor(predecessor) as successor:
        predecessor.process.send_signal(signal.SIGTERM)
        client.close()
        assert server.read_line() == ""
        assert predecessor.process.wait(TIMEOUT_S) == 0
        assert_not_sent(successor, line)
