"""Reload of the configuration on SIGHUP."""

from __future__ import annotations

import json
import signal
import socket

import pytest

from tests.proxy_harness import (
    TIMEOUT_S,
    LineConnection,
    ProxyProcess,
    answer_watch,
    format_address,
    make_endpoint,
    make_request_line,
    open_listener,
)

REQUEST_FIELDS = "c=chat,d=2000,g=ab"


@pytest.mark.parametrize("new_discovery", ["answers", "fails", "is absent"])
@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_reload_follows_discovery_and_keeps_established_connections(
    proxy: ProxyProcess, new_discovery: str
) -> None:
    """SIGHUP moves the watch to discovery's new address and keeps established connections.

    Without a handler, SIGHUP would end the process. The first call to the new address must ask for
    the complete list: the list version of the old address may be higher than the new one's, which
    would then report no changes.
    """
    client, server = proxy.establish(f"{REQUEST_FIELDS},at=s1")
    old_watch = LineConnection(proxy.discovery.accept()[0])
    assert old_watch.sock.recv(1, socket.MSG_PEEK)  # the call was sent before the address changes
    new_listener = open_listener()
    proxy.configuration["discovery"] = format_address(new_listener)
    if new_discovery == "is absent":
        address = new_listener.getsockname()
        new_listener.close()
    proxy.reload(json.dumps(proxy.configuration))
    assert old_watch.file.read().endswith(b"\r\n\r\n")  # the old watch ends without another call
    if new_discovery == "is absent":
        assert "reloaded" in proxy.read_log_line()
        assert "watch failed, retrying" in proxy.read_log_line()
        new_listener = socket.create_server(address)
        new_listener.settimeout(TIMEOUT_S)
    if new_discovery == "fails":
        assert answer_watch(LineConnection(new_listener.accept()[0]), "", "503 Busy").startswith(
            "GET /v1/endpoints HTTP"
        )
    discovery = LineConnection(new_listener.accept()[0])
    endpoints = [
        make_endpoint("s0", proxy.servers[0], "draining"),
        make_endpoint("s1", proxy.servers[1]),
    ]
    complete_list = json.dumps({"seq": 3, "whole": True, "hosts": endpoints})
    assert answer_watch(discovery, complete_list).startswith("GET /v1/endpoints HTTP")
    assert discovery.read_line().startswith("GET /v1/endpoints?from=3&hold_ms=")
    new_clients = [proxy.connect_client(make_request_line(REQUEST_FIELDS)) for _ in range(6)]
    for _ in new_clients:
        assert proxy.accept(proxy.servers[1]).read_line()
    client.send_line("still here")
    assert server.read_line() == "still here"


@pytest.mark.parametrize("text", ["", "{", '{"settings":{}}', "deleted"])
@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_invalid_configuration_is_logged_and_the_old_one_stays_in_effect(
    proxy: ProxyProcess, text: str
) -> None:
    discovery = LineConnection(proxy.discovery.accept()[0])
    if text == "deleted":
        proxy.path.unlink()
        proxy.process.send_signal(signal.SIGHUP)
    else:
        proxy.reload(text)
    assert "configuration not reloaded" in proxy.read_log_line()
    complete_list = json.dumps(
        {"seq": 9, "whole": True, "hosts": [make_endpoint("s0", proxy.servers[0])]}
    )
    assert answer_watch(discovery, complete_list).startswith("GET /v1/endpoints?from=7")
    assert discovery.read_line().startswith("GET /v1/endpoints?from=9")
    proxy.establish(f"{REQUEST_FIELDS},at=s0")
    proxy.reload(json.dumps(proxy.configuration))
    assert "configuration reloaded" in proxy.read_log_line()
