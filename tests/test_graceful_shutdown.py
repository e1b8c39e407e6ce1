"""The graceful shutdown of the real program: what it owes at each moment is settled before it ends."""

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
    """Tell the program to stop, and wait until it has heard."""
    proxy.process.send_signal(signal.SIGTERM)
    while "shutdown started" not in (line := proxy.log_line()):
        assert line, "the program ended"


def waiting(proxy: Proxy, fields: str) -> tuple[Wire, Wire]:
    """Bring a command to an instance that does not answer."""
    client = proxy.client(opening(fields))
    instance = proxy.accept()
    assert instance.line().startswith("OPEN ")
    return client, instance


@pytest.mark.parametrize("proxy", [{}, ENDS_AT_PROXY], indirect=True)
def test_resting_client_is_answered_and_what_it_sends_after_that_goes_nowhere(proxy: Proxy) -> None:
    """Guards a request that crosses the end of a resting connection: it was sent on, and lost with us."""
    client = proxy.client("PING")
    assert client.line() == "PONG"
    stop(proxy)
    assert [client.line(), client.line()] == ["BUSY", ""]
    client.send(opening(PLAIN))
    assert proxy.process.wait(PATIENCE) == 0
    assert not select.select(proxy.instances, [], [], 0)[0]


@pytest.mark.parametrize("comes", ["queue", "resting"])
def test_request_that_comes_before_our_end_is_served(proxy: Proxy, comes: str) -> None:
    """Guards what stands in the accept queue, or in a resting connection, when its phase is over."""
    resting = proxy.client("PING")
    assert resting.line() == "PONG"
    stop(proxy)
    proxy.process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, proxy.process.pid, os.WSTOPPED | os.WNOWAIT)
    client = proxy.client() if comes == "queue" else resting
    client.send(opening(PLAIN))
    select.select([], [], [], 0.8)  # the phases that take newcomers are over when it wakes
    proxy.process.send_signal(signal.SIGCONT)
    instance = proxy.accept()
    assert instance.line().startswith("OPEN ")
    instance.send("UP 1")
    assert client.line() == "UP 1"
    client.close()
    resting.close()
    assert proxy.process.wait(PATIENCE) == 0


@pytest.mark.parametrize("proxy", [{}, ENDS_AT_PROXY, {"held": True}], indirect=True)
def test_command_whose_time_is_longer_than_ours_is_answered(proxy: Proxy) -> None:
    """Guards deadlines of over three seconds: the platform kills before them, with the command in flight."""
    client, _instance = waiting(proxy, LONG)
    stop(proxy)
    late = None if proxy.held else waiting(proxy, LONG)[0]
    for each in (client, late):
        assert each is None or each.line().split()[0] in ("BUSY", "ERR")
    assert proxy.process.wait(PATIENCE) == 0


@pytest.mark.parametrize("proxy", [{}, ENDS_AT_PROXY], indirect=True)
def test_second_signal_answers_all_and_ends(proxy: Proxy) -> None:
    """Guards what is owed when somebody is in a hurry: the process ended at once, with all of it."""
    client, _instance = waiting(proxy, LONG)
    standing, _ = proxy.opened()
    resting = proxy.client("PING")
    assert resting.line() == "PONG"
    stop(proxy)
    proxy.process.send_signal(signal.SIGTERM)
    assert client.line() == "ERR"
    assert resting.line() == "BUSY"
    ends_here = proxy.configuration["settings"]["family_info"]["mode"] == "proxy"
    assert standing.line() == ("MOVE" if ends_here else "")
    assert proxy.process.wait(PATIENCE) == 0


def test_signal_during_the_start_is_heeded_once_clients_may_have_come(
    proxy: Proxy, tmp_path: Path
) -> None:
    """Guards those who connect as soon as the socket listens: the process died of the signal."""
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
