"""Request lines: what a client sends first, and what it is answered when that is invalid."""

from __future__ import annotations

import contextlib
import socket
import time
from pathlib import Path

import pytest

from tests.proxy_harness import (
    Proxy,
    opening,
)

REQUEST_FIELDS = "c=chat,d=2000,g=ab"


def test_ping_is_answered_and_a_request_line_may_follow(proxy: Proxy) -> None:
    client = proxy.client("PING")
    assert client.line() == "PONG"
    client.send("PING")
    assert client.line() == "PONG"
    client.send(opening(REQUEST_FIELDS))
    assert proxy.accept().line().startswith("OPEN 9b1f03aa")


def test_request_line_is_forwarded_with_only_its_deadline_changed(proxy: Proxy) -> None:
    request_line = opening("c=chat,d=2000,g=ab,x-new=5")
    client = proxy.client(request_line)
    server = proxy.accept()
    head, _, fields = server.line().rpartition(" ")
    assert head == request_line.rpartition(" ")[0]
    pairs = [pair.split("=") for pair in fields.split(",")]
    assert [pair for pair in pairs if pair[0] != "d"] == [
        ["c", "chat"],
        ["g", "ab"],
        ["x-new", "5"],
    ]
    assert pairs[1][0] == "d"
    assert 0 < int(pairs[1][1]) <= 2000
    server.send("UP some receipt")
    assert client.line() == "UP some receipt"
    for number in range(3):
        client.send(f"question {number}")
        assert server.line() == f"question {number}"
        server.send("LOAD 120000")
        server.send(f"answer {number}")
        assert [client.line(), client.line()] == ["LOAD 120000", f"answer {number}"]


def test_split_and_pipelined_bytes_reach_the_server_complete(proxy: Proxy) -> None:
    client = proxy.client()
    for byte in f"{opening(REQUEST_FIELDS)}\r\n".encode():
        client.sock.sendall(bytes([byte]))
    client.sock.sendall(b"early\r\nbin\x00\xff\xfe")
    server = proxy.accept()
    assert server.line().startswith("OPEN ")
    server.sock.sendall(b"U")
    server.sock.sendall(b"P 1\r\nhi\r\n")
    assert [client.line(), client.line()] == ["UP 1", "hi"]
    assert server.file.read(13) == b"early\r\nbin\x00\xff\xfe"


@pytest.mark.parametrize(
    "request_line",
    [
        b"HELLO\r\n",
        b"\r\n",
        b"OPEN 1 2\r\n",
        b"OPEN 1 2 c=none,d=1\r\n",
        b"OPEN 1 zz c=chat,d=1\r\n",
        b"OPEN 1 2 c=chat,d=-5\r\n",
        b"OPEN 1 2 c=chat,d=x\r\n",
        b"OPEN 1 2 c\r\n",
        b"\x00\xff\xfe\r\n",
        b"OPEN 1 2 c=chat,d=99999999999999999999999999999999999\r\n",
        b"x" * 4096,
        b"x" * 20000,
        b"OPEN 1 22222222222222222 c=chat,d=5\r\n",
        b"OPEN 1 2 c=chat,h=nan\r\n",
        "OPEN 1 2 c=çay,d=5\r\n".encode(),
        b"STATS\r\n",
    ],
)
def test_invalid_request_line_is_answered_with_one_error_and_closed(
    proxy: Proxy, request_line: bytes
) -> None:
    client = proxy.client()
    client.sock.sendall(request_line)
    assert client.line() == "ERR"
    assert client.line() == ""
    assert proxy.client("PING").line() == "PONG"


def test_client_that_sends_no_request_line_gets_an_error_and_is_closed(proxy: Proxy) -> None:
    client = proxy.client()
    assert [client.line(), client.line()] == ["ERR", ""]


def read_resident_mb(proxy: Proxy) -> float:
    status = Path(f"/proc/{proxy.process.pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


def test_answer_reaches_a_client_that_sends_much_before_it_reads(proxy: Proxy) -> None:
    """Guards the answer to a request line of many megabytes, which a TCP reset would discard."""
    client = proxy.client()
    for _ in range(10):  # over the second that a quiet client has to read its answer
        client.sock.sendall(b"x" * 6_000_000)
        time.sleep(0.15)
    assert [client.line(), client.line()] == ["ERR", ""]
    assert read_resident_mb(proxy) < 60


def test_duplicate_identity_is_rejected_and_reaches_no_server(proxy: Proxy) -> None:
    """Guards servers: they answer ERR to a duplicate request, and would be counted as failing."""
    request_line = opening(REQUEST_FIELDS)
    client = proxy.client(request_line)
    server = proxy.accept()
    second = proxy.client(request_line.replace("7f3a9c21", "00000000"))
    assert [second.line(), second.line()] == ["ERR", ""]
    server.send("UP 1")
    assert client.line() == "UP 1"
    third = proxy.client(request_line)
    assert [third.line(), third.line()] == ["ERR", ""]
    client.close()
    assert server.line().startswith("OPEN")
    assert server.line() == ""
    again = proxy.client(request_line)
    assert proxy.accept().line().startswith("OPEN")
    again.close()


@pytest.mark.parametrize("proxy", [{"sockets": 160}], indirect=True)
@pytest.mark.parametrize("data", ["", "PING\r\n", "OPEN half", "HELLO\r\n"])
def test_idle_clients_do_not_keep_other_clients_out(proxy: Proxy, data: str) -> None:
    """Guards normal clients, which waited behind silent ones until these timed out after 10 s."""
    idle_clients = [proxy.client() for _ in range(300)]
    for wire in idle_clients:
        with contextlib.suppress(OSError):  # some have had to give way already
            wire.sock.sendall(data.encode())
    client, server = proxy.opened("c=chat,d=1000,g=ab")
    client.send("still here")
    assert server.line() == "still here"
    assert idle_clients[0].file.read() in (
        b"",
        b"BUSY\r\n",
        b"ERR\r\n",
        b"PONG\r\nBUSY\r\n",
        b"PONG\r\nERR\r\n",
    )


def test_proxy_listens_on_the_configured_address_only(proxy: Proxy) -> None:
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.2", proxy.address[1]))
