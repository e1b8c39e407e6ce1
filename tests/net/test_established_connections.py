"""Established connections: backpressure, final lines, and the end of either side."""

from __future__ import annotations

import contextlib

import pytest

from tests.proxy_harness import (
    TIMEOUT_S,
    ProxyProcess,
)


def test_large_flow_to_a_slow_reader_arrives_complete(proxy: ProxyProcess) -> None:
    """Guards the backpressure: what one side does not read is neither lost nor buffered at will."""
    client, server = proxy.establish()
    block = bytes(range(256)) * 16
    server.sock.settimeout(0.3)
    sent = 0
    with contextlib.suppress(TimeoutError):  # the proxy takes no more: the client does not read yet
        while sent < 20_000 * len(block):
            sent += server.sock.send(block)
    assert sent < 20_000 * len(block)
    server.sock.settimeout(TIMEOUT_S)
    got = client.file.read(sent)
    assert got == (block * (sent // len(block) + 1))[:sent]


@pytest.mark.parametrize("last", ["BYE", "BYE x0=0.5", "MOVE"])
def test_final_line_and_close_of_the_server_reach_the_client(
    proxy: ProxyProcess, last: str
) -> None:
    client, server = proxy.establish()
    server.send_line(last)
    server.close()
    assert [client.read_line(), client.read_line()] == [last, ""]


def test_final_line_ends_the_connection_even_if_the_server_does_not(proxy: ProxyProcess) -> None:
    client, server = proxy.establish()
    server.send_line("MOVE")
    assert [client.read_line(), client.read_line()] == ["MOVE", ""]
    assert server.read_line() == ""


@pytest.mark.parametrize("line", ["ERR", "BUSY 5", "MOVES", "BYES"])
def test_other_lines_do_not_end_an_established_connection(proxy: ProxyProcess, line: str) -> None:
    """Guards lines between client and server that only resemble those for the proxy."""
    client, server = proxy.establish()
    server.send_line(line)
    assert client.read_line() == line
    client.sock.settimeout(0.6)  # after a last line the end would come within this time
    with pytest.raises(TimeoutError):
        client.sock.recv(1)
    client.send_line("go on")
    assert server.read_line() == "go on"


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("who", ["client", "server"])
def test_close_or_reset_of_one_side_is_passed_on_as_such(
    proxy: ProxyProcess, who: str, how: str
) -> None:
    client, server = proxy.establish()
    leaving, left = (client, server) if who == "client" else (server, client)
    leaving.sock.sendall(b"last words\r\nhalf")
    assert left.read_line() == "last words"
    if how == "end":
        leaving.close()
        assert left.file.read() == b"half"
    else:
        assert left.file.read(4) == b"half"
        leaving.reset()
        with pytest.raises(ConnectionResetError):
            left.file.read()


def test_connection_to_an_unresponsive_server_is_migrated(proxy: ProxyProcess) -> None:
    """Guards connections on a hung server, which keeps them open and never answers."""
    client, server = proxy.establish()
    client.send_line("are you there")
    assert server.read_line() == "are you there"
    assert [client.read_line(), client.read_line()] == ["MOVE", ""]
    assert server.read_line() == ""
