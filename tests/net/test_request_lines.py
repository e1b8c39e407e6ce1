"""Request lines, and the answers to invalid ones."""

from __future__ import annotations

import contextlib
import socket
import time
from pathlib import Path

import pytest

from tests.proxy_harness import (
    ProxyProcess,
    make_request_line,
)

REQUEST_FIELDS = "c=chat,d=2000,g=ab"


def test_ping_is_answered_and_a_request_line_may_follow(proxy: ProxyProcess) -> None:
    client = proxy.connect_client("PING")
    assert client.read_line() == "PONG"
    client.send_line("PING")
    assert client.read_line() == "PONG"
    client.send_line(make_request_line(REQUEST_FIELDS))
    assert proxy.accept().read_line().startswith("OPEN 9b1f03aa")


def test_request_line_is_forwarded_with_only_its_deadline_changed(proxy: ProxyProcess) -> None:
    request_line = make_request_line("c=chat,d=2000,g=ab,x-new=5")
    client = proxy.connect_client(request_line)
    server = proxy.accept()
    head, _, fields = server.read_line().rpartition(" ")
    assert head == request_line.rpartition(" ")[0]
    pairs = [pair.split("=") for pair in fields.split(",")]
    assert [pair for pair in pairs if pair[0] != "d"] == [
        ["c", "chat"],
        ["g", "ab"],
        ["x-new", "5"],
    ]
    assert pairs[1][0] == "d"
    assert 0 < int(pairs[1][1]) <= 2000
    server.send_line("UP some receipt")
    assert client.read_line() == "UP some receipt"
    for number in range(3):
        client.send_line(f"question {number}")
        assert server.read_line() == f"question {number}"
        server.send_line("LOAD 120000")
        server.send_line(f"answer {number}")
        assert [client.read_line(), client.read_line()] == ["LOAD 120000", f"answer {number}"]


def test_split_and_pipelined_bytes_reach_the_server_complete(proxy: ProxyProcess) -> None:
    client = proxy.connect_client()
    for byte in f"{make_request_line(REQUEST_FIELDS)}\r\n".encode():
        client.sock.sendall(bytes([byte]))
    client.sock.sendall(b"early\r\nbin\x00\xff\xfe")
    server = proxy.accept()
    assert server.read_line().startswith("OPEN ")
    server.sock.sendall(b"U")
    server.sock.sendall(b"P 1\r\nhi\r\n")
    assert [client.read_line(), client.read_line()] == ["UP 1", "hi"]
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
    proxy: ProxyProcess, request_line: bytes
) -> None:
    client = proxy.connect_client()
    client.sock.sendall(request_line)
    assert client.read_line() == "ERR"
    assert client.read_line() == ""
    assert proxy.connect_client("PING").read_line() == "PONG"


def test_client_that_sends_no_request_line_gets_an_error_and_is_closed(proxy: ProxyProcess) -> None:
    client = proxy.connect_client()
    assert [client.read_line(), client.read_line()] == ["ERR", ""]


def read_resident_mb(proxy: ProxyProcess) -> float:
    status = Path(f"/proc/{proxy.process.pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


def test_answer_reaches_a_client_that_sends_megabytes_before_it_reads(proxy: ProxyProcess) -> None:
    """Closing with unread input would cause a TCP reset, which discards the answer."""
    client = proxy.connect_client()
    for _ in range(10):  # longer than the 1 s without input that ends a lingering close
        client.sock.sendall(b"x" * 6_000_000)
        time.sleep(0.15)
    assert [client.read_line(), client.read_line()] == ["ERR", ""]
    assert read_resident_mb(proxy) < 60


def test_duplicate_identity_is_rejected_and_reaches_no_server(proxy: ProxyProcess) -> None:
    """If a duplicate were forwarded, its server would answer ERR and be counted as failing."""
    request_line = make_request_line(REQUEST_FIELDS)
    client = proxy.connect_client(request_line)
    server = proxy.accept()
    second = proxy.connect_client(request_line.replace("7f3a9c21", "00000000"))
    assert [second.read_line(), second.read_line()] == ["ERR", ""]
    server.send_line("UP 1")
    assert client.read_line() == "UP 1"
    third = proxy.connect_client(request_line)
    assert [third.read_line(), third.read_line()] == ["ERR", ""]
    client.close()
    assert server.read_line().startswith("OPEN")
    assert server.read_line() == ""
    fourth = proxy.connect_client(request_line)
    assert proxy.accept().read_line().startswith("OPEN")
    fourth.close()


@pytest.mark.parametrize("proxy", [{"max_sockets": 160}], indirect=True)
@pytest.mark.parametrize("data", ["", "PING\r\n", "OPEN half", "HELLO\r\n"])
def test_idle_clients_do_not_keep_other_clients_out(proxy: ProxyProcess, data: str) -> None:
    """Without load shedding, new clients would wait until the idle ones time out after 10 s."""
    idle_clients = [proxy.connect_client() for _ in range(300)]
    for idle_client in idle_clients:
        with contextlib.suppress(OSError):  # some are shed already
            idle_client.sock.sendall(data.encode())
    client, server = proxy.establish("c=chat,d=1000,g=ab")
    client.send_line("still here")
    assert server.read_line() == "still here"
    assert idle_clients[0].file.read() in (
        b"",
        b"BUSY\r\n",
        b"ERR\r\n",
        b"PONG\r\nBUSY\r\n",
        b"PONG\r\nERR\r\n",
    )


def test_proxy_listens_on_the_configured_address_only(proxy: ProxyProcess) -> None:
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.2", proxy.address[1]))
