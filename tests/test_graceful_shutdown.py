"""The graceful shutdown of the real program: every request is answered before it ends."""

from __future__ import annotations

import json
import os
import select
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.proxy_harness import PATIENCE, ROOT, Proxy, Wire, opening

PLAIN = "c=chat,d=2000,g=ab"
LONG = "c=chat,d=60000,g=ab"  # far beyond the moment at which the platform may kill
ENDS_AT_PROXY = {"family_info": {"mode": "proxy", "park": 0}}


def stop(proxy: Proxy) -> None:
    """Send SIGTERM, and wait until the shutdown has started."""
    proxy.process.send_signal(signal.SIGTERM)
    while "shutdown started" not in (line := proxy.log_line()):
        assert line, "the program ended"


def waiting(proxy: Proxy, fields: str) -> tuple[Wire, Wire]:
    """Send a request to a server that does not answer."""
    client = proxy.client(opening(fields))
    server = proxy.accept()
    assert server.line().startswith("OPEN ")
    return client, server


@pytest.mark.parametrize("proxy", [{}, ENDS_AT_PROXY], indirect=True)
def test_idle_client_is_answered_and_what_it_sends_after_that_is_not_forwarded(
    proxy: Proxy,
) -> None:
    """Guards a request that crosses the end of an idle connection: it was forwarded, and lost."""
    client = proxy.client("PING")
    assert client.line() == "PONG"
    stop(proxy)
    assert [client.line(), client.line()] == ["BUSY", ""]
    client.send(opening(PLAIN))
    assert proxy.process.wait(PATIENCE) == 0
    assert not select.select(proxy.instances, [], [], 0)[0]


@pytest.mark.parametrize("arrives_in", ["queue", "idle"])
def test_request_that_arrives_before_the_lingering_phase_is_served(
    proxy: Proxy, arrives_in: str
) -> None:
    """Guards what waits in the accept queue, or in an idle connection, when its phase is over."""
    idle = proxy.client("PING")
    assert idle.line() == "PONG"
    stop(proxy)
    proxy.process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, proxy.process.pid, os.WSTOPPED | os.WNOWAIT)
    client = proxy.client() if arrives_in == "queue" else idle
    client.send(opening(PLAIN))
    select.select([], [], [], 0.8)  # the phases that accept clients are over when it resumes
    proxy.process.send_signal(signal.SIGCONT)
    server = proxy.accept()
    assert server.line().startswith("OPEN ")
    server.send("UP 1")
    assert client.line() == "UP 1"
    client.close()
    idle.close()
    assert proxy.process.wait(PATIENCE) == 0


@pytest.mark.parametrize("proxy", [{}, ENDS_AT_PROXY, {"held": True}], indirect=True)
def test_request_with_a_deadline_after_the_shutdown_is_answered(proxy: Proxy) -> None:
    """Guards deadlines of over three seconds: the platform kills before them, with the request in flight."""
    client, _server = waiting(proxy, LONG)
    stop(proxy)
    late = None if proxy.held else waiting(proxy, LONG)[0]
    for each in (client, late):
        assert each is None or each.line().split()[0] in ("BUSY", "ERR")
    assert proxy.process.wait(PATIENCE) == 0


@pytest.mark.parametrize("proxy", [{}, ENDS_AT_PROXY], indirect=True)
def test_second_signal_answers_all_requests_and_ends(proxy: Proxy) -> None:
    """Guards requests at a second signal: the process ended at once, without their answers."""
    client, _server = waiting(proxy, LONG)
    established, _ = proxy.opened()
    idle = proxy.client("PING")
    assert idle.line() == "PONG"
    stop(proxy)
    proxy.process.send_signal(signal.SIGTERM)
    assert client.line() == "ERR"
    assert idle.line() == "BUSY"
    ends_here = proxy.configuration["settings"]["family_info"]["mode"] == "proxy"
    assert established.line() == ("MOVE" if ends_here else "")
    assert proxy.process.wait(PATIENCE) == 0


def test_signal_during_the_start_is_handled_once_clients_may_have_connected(
    proxy: Proxy, tmp_path: Path
) -> None:
    """Guards clients that connect as soon as the socket listens: the process died of the signal."""
    path = tmp_path / "second.json"
    path.write_text(json.dumps(proxy.configuration))
    program = (
        "import os, signal, sys\n"
        "from larchhaven.net import proxy as node\n"
        "class Early(node.Listener):\n"
        "    def __init__(self, *given):\n"
        "        super().__init__(*given)\n"
        "        os.kill(os.getpid(), signal.SIGTERM)\n"
        "node.Listener = Early\n"
        "from larchhaven.__main__ import serve\n"
        "sys.exit(serve())\n"
    )
    environment = {**os.environ, "EDGE_CONFIG": str(path), "TMPDIR": str(tmp_path)}
    done = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        env=environment,
        stderr=subprocess.PIPE,
        timeout=PATIENCE,
    )
    assert done.returncode == 0
    assert b"shutdown started" in done.stderr
