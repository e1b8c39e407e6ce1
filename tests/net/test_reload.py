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


@pytest.mark.parametrize("new_discovery", ["answers", "fails", "is not there"])
@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_reload_follows_discovery_and_keeps_established_connections(
    proxy: ProxyProcess, new_discovery: str
) -> None:
    """Guards against an exit on SIGHUP, and an old list version that mutes the new address."""
    client, server = proxy.establish(f"{REQUEST_FIELDS},at=s1")
    old = LineConnection(proxy.discovery.accept()[0])
    assert old.sock.recv(1, socket.MSG_PEEK)  # the call is out before the address changes
    moved = open_listener()
    proxy.configuration["discovery"] = format_address(moved)
    if new_discovery == "is not there":
        address = moved.getsockname()
        moved.close()
    proxy.reload(json.dumps(proxy.configuration))
    assert old.file.read().endswith(b"\r\n\r\n")  # the old watch ends with no more calls
    if new_discovery == "is not there":
        assert "reloaded" in proxy.read_log_line()
        assert "watch failed, retrying" in proxy.read_log_line()
        moved = socket.create_server(address)
        moved.settimeout(TIMEOUT_S)
    if new_discovery == "fails":
        assert answer_watch(LineConnection(moved.accept()[0]), "", "503 Busy").startswith(
            "GET /v1/endpoints HTTP"
        )
    discovery = LineConnection(moved.accept()[0])
    hosts = [
        make_endpoint("s0", proxy.servers[0], "draining"),
        make_endpoint("s1", proxy.servers[1]),
    ]
    complete_list = json.dumps({"seq": 3, "whole": True, "hosts": hosts})
    assert answer_watch(discovery, complete_list).startswith("GET /v1/endpoints HTTP")
    assert discovery.read_line().startswith("GET /v1/endpoints?from=3&hold_ms=")
    others = [proxy.connect_client(make_request_line(REQUEST_FIELDS)) for _ in range(6)]
    for _ in others:
        assert proxy.accept(proxy.servers[1]).read_line()
    client.send_line("still here")
    assert server.read_line() == "still here"


@pytest.mark.parametrize("text", ["", "{", '{"settings":{}}', "gone"])
@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_invalid_configuration_is_one_log_line_and_the_old_one_is_kept(
    proxy: ProxyProcess, text: str
) -> None:
    discovery = LineConnection(proxy.discovery.accept()[0])
    if text == "gone":
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
