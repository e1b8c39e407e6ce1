"""Graceful shutdown of the running program: every request is answered before it ends."""

from __future__ import annotations

import json
import os
import select
import signal
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from larchhaven.net.graceful_shutdown import (
    KILL_GRACE_US,
    MAX_AWAITED_DEADLINE_US,
    compute_deadlines,
)
from tests.proxy_harness import (
    ROOT,
    SETTINGS,
    TIMEOUT_S,
    LineConnection,
    ProxyProcess,
    make_request_line,
)
from tests.routing.builders import BASIC_SETTINGS

REQUEST_FIELDS = "c=chat,d=2000,g=ab"
LONG_DEADLINE_FIELDS = "c=chat,d=60000,g=ab"  # expires after the platform kills the process
DRAIN_LIMIT_S = 4.05  # an operator's drain is over after 4 s, by the operators' page
ENDS_AT_PROXY = {"family_info": {"mode": "proxy", "park": 0}}


def start_shutdown(proxy: ProxyProcess) -> None:
    """Send SIGTERM and wait until the shutdown has started."""
    proxy.process.send_signal(signal.SIGTERM)
    while "shutdown started" not in (line := proxy.read_log_line()):
        assert line, "the program ended before it logged 'shutdown started'"


def send_pending_request(proxy: ProxyProcess, fields: str) -> tuple[LineConnection, LineConnection]:
    """Send a request that its server leaves unanswered; return the client's and server's ends."""
    client = proxy.connect_client(make_request_line(fields))
    server = proxy.accept()
    assert server.read_line().startswith("OPEN ")
    return client, server


@pytest.mark.parametrize("proxy", [{}, ENDS_AT_PROXY], indirect=True)
def test_idle_client_is_rejected_and_its_later_request_is_not_forwarded(
    proxy: ProxyProcess,
) -> None:
    """A request may cross the rejection of its idle client on the wire.

    If it were forwarded, it would be lost when the process ends. Its client, which receives BUSY,
    may also have sent it to another proxy already.
    """
    client = proxy.connect_client("PING")
    assert client.read_line() == "PONG"
    start_shutdown(proxy)
    assert [client.read_line(), client.read_line()] == ["BUSY", ""]
    client.send_line(make_request_line(REQUEST_FIELDS))
    assert proxy.process.wait(TIMEOUT_S) == 0
    assert not select.select(proxy.servers, [], [], 0)[0]


@pytest.mark.parametrize("arrives_in", ["queue", "idle"])
def test_request_that_arrives_before_the_lingering_phase_is_served(
    proxy: ProxyProcess, arrives_in: str
) -> None:
    """A pause of the process may outlast the phases in which clients are accepted.

    Requests that arrived meanwhile, in the accept queue or on an idle connection, must still be
    read and served when it resumes.
    """
    idle = proxy.connect_client("PING")
    assert idle.read_line() == "PONG"
    start_shutdown(proxy)
    proxy.process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, proxy.process.pid, os.WSTOPPED | os.WNOWAIT)
    client = proxy.connect_client() if arrives_in == "queue" else idle
    client.send_line(make_request_line(REQUEST_FIELDS))
    select.select([], [], [], 0.8)  # paused until the phases that accept clients are over
    proxy.process.send_signal(signal.SIGCONT)
    server = proxy.accept()
    assert server.read_line().startswith("OPEN ")
    server.send_line("UP 1")
    assert client.read_line() == "UP 1"
    client.close()
    idle.close()
    assert proxy.process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("proxy", [{}, ENDS_AT_PROXY, {"inherits_socket": True}], indirect=True)
def test_request_with_a_deadline_after_the_shutdown_is_answered(proxy: ProxyProcess) -> None:
    """The platform kills the process before a deadline of more than three seconds expires.

    A request with such a deadline must therefore be answered before its deadline.
    """
    client, _server = send_pending_request(proxy, LONG_DEADLINE_FIELDS)
    start_shutdown(proxy)
    late_client = (
        None if proxy.inherited_socket else send_pending_request(proxy, LONG_DEADLINE_FIELDS)[0]
    )
    for pending_client in (client, late_client):
        assert pending_client is None or pending_client.read_line().split()[0] in ("BUSY", "ERR")
    assert proxy.process.wait(TIMEOUT_S) == 0


def services_with_deadline(deadline_us: int) -> list[dict[str, Any]]:
    return [{**service, "deadline": deadline_us} for service in SETTINGS["services"]]


@pytest.mark.parametrize(
    "proxy",
    [
        {"inherits_socket": inherits, "services": services_with_deadline(deadline_us)}
        for inherits in (False, True)
        for deadline_us in (1_200_000, 4_800_000)
    ],
    indirect=True,
)
def test_request_is_answered_before_the_platform_kills_the_process(proxy: ProxyProcess) -> None:
    """Guards against requests that are lost, as the process still waits when it is killed."""
    client, _server = send_pending_request(proxy, LONG_DEADLINE_FIELDS)
    signalled_s = time.monotonic()
    start_shutdown(proxy)
    deadline_us = proxy.configuration["settings"]["services"][0]["deadline"]
    kill_us = min(deadline_us, MAX_AWAITED_DEADLINE_US) + KILL_GRACE_US
    assert client.read_line().split()[0] in ("BUSY", "ERR")
    assert time.monotonic() - signalled_s < kill_us / 1e6
    assert proxy.process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("shares_socket", [False, True])
@pytest.mark.parametrize("longest_ms", [200, 1_200, 3_000, 3_549, 3_551, 4_800, 60_000])
def test_all_deadlines_of_the_shutdown_are_before_the_kill(
    longest_ms: int, shares_socket: bool
) -> None:
    """The platform counts the longest deadline as 3 s if it is longer, in an upgrade as well."""
    longest_us = longest_ms * 1000
    request_class = replace(BASIC_SETTINGS.classes[0], deadline_us=longest_us)
    settings = replace(BASIC_SETTINGS, classes=(request_class,))
    deadlines = compute_deadlines(settings, shares_socket)
    kill_us = min(longest_us, 3_000_000) + 700_000
    assert deadlines.answers_us < kill_us
    assert deadlines.migrations_us < kill_us
    assert deadlines.end_us is None or deadlines.answers_us < deadlines.end_us < kill_us


@pytest.mark.parametrize("proxy", [{}, ENDS_AT_PROXY], indirect=True)
def test_second_signal_answers_all_requests_and_ends(proxy: ProxyProcess) -> None:
    """A second signal ends the process early, but not before every request has its answer."""
    client, _server = send_pending_request(proxy, LONG_DEADLINE_FIELDS)
    established, _ = proxy.establish()
    idle = proxy.connect_client("PING")
    assert idle.read_line() == "PONG"
    start_shutdown(proxy)
    proxy.process.send_signal(signal.SIGTERM)
    assert client.read_line() == "ERR"
    assert idle.read_line() == "BUSY"
    ends_at_proxy = proxy.configuration["settings"]["family_info"]["mode"] == "proxy"
    assert established.read_line() == ("MOVE" if ends_at_proxy else "")
    assert proxy.process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("proxy", [ENDS_AT_PROXY], indirect=True)
def test_server_that_hangs_in_a_line_does_not_hold_up_the_shutdown(proxy: ProxyProcess) -> None:
    """Guards against a process that still holds connections when the platform kills it."""
    client, server = proxy.establish()
    server.sock.sendall(b"half ")
    assert client.file.read(5) == b"half "
    start_shutdown(proxy)
    started_s = time.monotonic()
    deadline_us = max(each["deadline"] for each in proxy.configuration["settings"]["services"])
    kill_us = min(deadline_us, MAX_AWAITED_DEADLINE_US) + KILL_GRACE_US
    assert client.file.read() == b""
    assert time.monotonic() - started_s < kill_us / 1e6
    client.close()
    server.close()
    assert proxy.process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("hangs", ["before the call", "behind a later line"])
@pytest.mark.parametrize("proxy", [ENDS_AT_PROXY], indirect=True)
def test_server_that_hangs_in_a_line_does_not_hold_up_an_operators_drain(
    proxy: ProxyProcess, hangs: str
) -> None:
    """Guards against clients that are still held 4 s after an operator's drain."""
    client, server = proxy.establish()
    if hangs == "before the call":
        server.sock.sendall(b"half ")
        assert client.file.read(5) == b"half "
    called_s = time.monotonic()
    assert proxy.call("POST", "/v1/proxy/drain")[0] == 200
    if hangs == "behind a later line":
        client.send_line("hello")
        assert server.read_line() == "hello"
        server.sock.sendall(b"first\r\nhalf ")
    client.file.read()
    assert time.monotonic() - called_s < DRAIN_LIMIT_S
    assert proxy.process.poll() is None


@pytest.mark.parametrize("proxy", [ENDS_AT_PROXY], indirect=True)
def test_connection_in_a_line_survives_a_drain_that_is_revoked(proxy: ProxyProcess) -> None:
    """Guards against a late end of the drain's migrations, when the proxy is active again."""
    assert proxy.call("POST", "/v1/proxy/drain")[0] == 200
    assert proxy.call("POST", "/v1/proxy/activate")[0] == 200
    client, server = proxy.establish()
    server.sock.sendall(b"half ")
    assert client.file.read(5) == b"half "
    assert not select.select([client.sock], [], [], DRAIN_LIMIT_S)[0]
    server.send_line("line")
    assert client.read_line() == "line"


def test_signal_that_arrives_after_the_socket_listens_is_handled_gracefully(
    proxy: ProxyProcess, tmp_path: Path
) -> None:
    """A signal during the start shuts the proxy down gracefully once the socket listens.

    Clients may have connected by then. If the handlers were installed later, the signal would kill
    the process and its clients would lose their connections.
    """
    path = tmp_path / "second.json"
    path.write_text(json.dumps(proxy.configuration))
    program = (
        "import os, signal, sys\n"
        "from larchhaven.net import proxy as proxy_module\n"
        "class SignalledListener(proxy_module.Listener):\n"
        "    def __init__(self, *arguments):\n"
        "        super().__init__(*arguments)\n"
        "        os.kill(os.getpid(), signal.SIGTERM)\n"
        "proxy_module.Listener = SignalledListener\n"
        "from larchhaven.__main__ import serve\n"
        "sys.exit(serve())\n"
    )
    environment = {**os.environ, "EDGE_CONFIG": str(path), "TMPDIR": str(tmp_path)}
    completed = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        env=environment,
        check=False,
        stderr=subprocess.PIPE,
        timeout=TIMEOUT_S,
    )
    assert completed.returncode == 0
    assert b"shutdown started" in completed.stderr


def test_shutdown_serves_new_requests_and_keeps_established_connections(
    proxy: ProxyProcess,
) -> None:
    client, server = proxy.establish()
    proxy.process.send_signal(signal.SIGTERM)
    late_client, late_server = proxy.establish()
    client.send_line("still here")
    assert server.read_line() == "still here"
    for established in (client, late_client):
        established.close()
    assert [server.read_line(), late_server.read_line()] == ["", ""]
    server.close()
    late_server.close()
    assert proxy.process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("proxy", [{"family_info": {"mode": "proxy", "park": 0}}], indirect=True)
def test_shutdown_migrates_connections_that_end_at_the_proxy(proxy: ProxyProcess) -> None:
    pairs = [proxy.establish() for _ in range(4)]
    proxy.process.send_signal(signal.SIGTERM)
    assert [[client.read_line(), client.read_line()] for client, _ in pairs] == [["MOVE", ""]] * 4
    assert proxy.process.wait(TIMEOUT_S) == 0
