"""SIGTERM: new requests are still served, and established connections kept or migrated."""

from __future__ import annotations

import signal

import pytest

from tests.proxy_harness import (
    PATIENCE,
    Proxy,
)


def test_shutdown_serves_new_requests_and_keeps_established_connections(proxy: Proxy) -> None:
    client, server = proxy.opened()
    proxy.process.send_signal(signal.SIGTERM)
    late, late_server = proxy.opened()
    client.send("still here")
    assert server.line() == "still here"
    for end in (client, late):
        end.close()
    assert [server.line(), late_server.line()] == ["", ""]
    server.close()
    late_server.close()
    assert proxy.process.wait(PATIENCE) == 0


@pytest.mark.parametrize("proxy", [{"family_info": {"mode": "proxy", "park": 0}}], indirect=True)
def test_shutdown_migrates_connections_that_end_at_the_proxy(proxy: Proxy) -> None:
    ends = [proxy.opened() for _ in range(4)]
    proxy.process.send_signal(signal.SIGTERM)
    assert [[client.line(), client.line()] for client, _ in ends] == [["MOVE", ""]] * 4
    assert proxy.process.wait(PATIENCE) == 0
