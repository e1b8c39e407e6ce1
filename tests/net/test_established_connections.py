"""Established connections: backpressure, final lines, and either side closing or resetting."""

from __future__ import annotations

import contextlib

import pytest

from tests.proxy_harness import (
    TIMEOUT_S,
    ProxyProcess,
)


def test_large_flow_to_a_slow_reader_arrives_complete(proxy: ProxyProcess) -> None:
    """Backpressure stops a fast sender: nothing is lost, and the proxy buffers a bounded amount."""
    client, server = proxy.establish()
    block = bytes(range(256)) * 16
    server.sock.settimeout(0.3)
    sent = 0
    with contextlib.suppress(TimeoutError):  # the client does not read, so the proxy stops
        while sent < 20_000 * len(block):
            sent += server.sock.send(block)
    assert sent < 20_000 * len(block)
    server.sock.settimeout(TIMEOUT_S)
    received = client.file.read(sent)
    assert received == (block * (sent // len(block) + 1))[:sent]


@pytest.mark.parametrize("final_line", ["BYE", "BYE x0=0.5", "MOVE"])
def test_final_line_and_close_of_the_server_reach_the_client(
    proxy: ProxyProcess, final_line: str
) -> None:
    client, server = proxy.establish()
    server.send_line(final_line)
    server.close()
    assert [client.read_line(), client.read_line()] == [final_line, ""]


def test_final_line_ends_the_connection_even_if_the_server_does_not(proxy: ProxyProcess) -> None:
    client, server = proxy.establish()
    server.send_line("MOVE")
    assert [client.read_line(), client.read_line()] == ["MOVE", ""]
    assert server.read_line() == ""


@pytest.mark.parametrize("line", ["ERR", "BUSY 5", "MOVES", "BYES"])
def test_other_lines_do_not_end_an_established_connection(proxy: ProxyProcess, line: str) -> None:
    """Lines that only resemble a final line are data between the client and the server."""
    client, server = proxy.establish()
    server.send_line(line)
    assert client.read_line() == line
    client.sock.settimeout(0.6)  # after a final line the proxy closes within this time
    with pytest.raises(TimeoutError):
        client.sock.recv(1)
    client.send_line("go on")
    assert server.read_line() == "go on"


@pytest.mark.parametrize("ending", ["end", "reset"])
@pytest.mark.parametrize("closing_side", ["client", "server"])
def test_close_of_one_side_is_forwarded_as_close_and_reset_as_reset(
    proxy: ProxyProcess, closing_side: str, ending: str
) -> None:
    client, server = proxy.establish()
    closing_end, remaining_end = (client, server) if closing_side == "client" else (server, client)
    closing_end.sock.sendall(b"last words\r\nhalf")
    assert remaining_end.read_line() == "last words"
    if ending == "end":
        closing_end.close()
        assert remaining_end.file.read() == b"half"
    else:
        assert remaining_end.file.read(4) == b"half"
        closing_end.reset()
        with pytest.raises(ConnectionResetError):
            remaining_end.file.read()


def test_connection_to_an_unresponsive_server_is_migrated(proxy: ProxyProcess) -> None:
    """A hung server keeps connections open and never answers; its clients are migrated."""
    client, server = proxy.establish()
    client.send_line("are you there")
    assert server.read_line() == "are you there"
    assert [client.read_line(), client.read_line()] == ["MOVE", ""]
    assert server.read_line() == ""
