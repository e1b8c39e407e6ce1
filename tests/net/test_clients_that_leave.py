"""Clients that close their connection with much still unread: their requests are not sent on."""

from __future__ import annotations

import os
import select
import signal
import time

import pytest

from tests.proxy_harness import ProxyProcess, make_request_line

REQUEST_FIELDS = "c=chat,d=2000,g=ab"
CLIENTS = 20
SETTLE_S = 0.3
HEALTH_CHECKED = {"policy_limits": {"probes": True}}


@pytest.mark.parametrize("proxy", [{}, {"discovery": "subscribe"}, HEALTH_CHECKED], indirect=True)
@pytest.mark.parametrize("unread_bytes", [0, 1_000, 8_000, 60_000])
@pytest.mark.parametrize("how", ["end", "reset"])
def test_request_of_a_client_that_has_left_is_not_sent_on(
    proxy: ProxyProcess, unread_bytes: int, how: str
) -> None:
    """Guards against requests that run although nobody waits for them any more.

    All that the clients sent, and their end, has arrived before the proxy reads anything.
    """
    os.kill(proxy.process.pid, signal.SIGSTOP)
    os.waitid(os.P_PID, proxy.process.pid, os.WSTOPPED | os.WNOWAIT)
    for _ in range(CLIENTS):
        client = proxy.connect_client(make_request_line(REQUEST_FIELDS))
        client.sock.sendall((unread_bytes // 8) * b"unread\r\n")
        if how == "end":
            client.close()
        else:
            client.reset()
    time.sleep(SETTLE_S)
    os.kill(proxy.process.pid, signal.SIGCONT)
    deadline_s = time.monotonic() + SETTLE_S
    received = []
    while time.monotonic() < deadline_s:
        ready, _, _ = select.select(proxy.servers, [], [], 0.05)
        received += [proxy.accept(listener).read_line() for listener in ready]
    assert not [line for line in received if line.startswith("OPEN ")]
    client = proxy.connect_client(make_request_line(REQUEST_FIELDS))
    while not proxy.accept().read_line().startswith("OPEN "):
        pass
    client.close()
