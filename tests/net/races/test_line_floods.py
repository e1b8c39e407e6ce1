"""A client that sends small lines at full speed on one connection, and the other clients."""

from __future__ import annotations

import contextlib
import socket
import time

from larchhaven.net.text_protocol.client_connection import MAX_LINES_PER_TURN, TURN_PAUSE_US
from tests.in_process_proxy import REQUEST_LINE, InProcessProxy
from tests.net.races.sockets import forwarded_requests, read

PING = b"PING\r\n"
PONG = b"PONG\r\n"
PING_COUNT = 10_000
LOAD_COUNT = 2_000
SMALL_BUFFER_BYTES = 4_096


def read_all(harness: InProcessProxy, sock: socket.socket, length: int) -> bytes:
    """Read a number of bytes while the proxy runs, or what has come after many iterations."""
    received = b""
    for _ in range(400):
        harness.run(1, TURN_PAUSE_US)
        data = read(sock)
        received += data
        if not data:
            time.sleep(0.001)  # the system delivers data in its own time
        if len(received) >= length:
            break
    return received


def test_one_client_has_a_bounded_share_of_an_iteration(harness: InProcessProxy) -> None:
    """Guards against late answers: hundreds of PINGs were answered before anybody else."""
    sock = harness.connect_client(500 * PING)
    received = b""
    for _ in range(20):
        harness.run(1)
        answers = read(sock)
        assert len(answers) <= MAX_LINES_PER_TURN * len(PONG)
        received += answers
    assert received
    assert received + read_all(harness, sock, 500 * len(PONG) - len(received)) == 500 * PONG


def test_loads_that_arrive_together_are_reported_once(harness: InProcessProxy) -> None:
    """Guards against late answers: each of a thousand loads in one read was reported on its own."""
    client = harness.connect_client(REQUEST_LINE % 1)
    harness.run(4)
    server = harness.server_sockets[0]
    server.send(b"UP 1\r\n")
    harness.run(2)
    reported: list[float] = []
    report = harness.dispatcher.connections.on_load_changed

    def record(request_id: int, load: float) -> None:
        reported.append(load)
        report(request_id, load)

    harness.dispatcher.connections.on_load_changed = record  # type: ignore[method-assign]
    server.setblocking(True)
    loads = b"".join(b"LOAD %d\r\n" % number for number in range(LOAD_COUNT))
    server.sendall(loads)
    received = read_all(harness, client, len(b"UP 1\r\n" + loads))
    assert received == b"UP 1\r\n" + loads
    assert reported[-1] == (LOAD_COUNT - 1) * 1e-6
    assert len(reported) < LOAD_COUNT // 10


def test_request_behind_many_lines_is_forwarded(harness: InProcessProxy) -> None:
    sock = harness.connect_client(100 * PING + REQUEST_LINE % 1)
    assert read_all(harness, sock, 100 * len(PONG)) == 100 * PONG
    harness.run(6)
    assert len(forwarded_requests(harness)) == 1


def test_answers_are_complete_for_a_client_that_reads_late(harness: InProcessProxy) -> None:
    """Guards against answers that are cut or lost while the client's buffers are full."""
    sock = harness.connect_client(b"")
    harness.run(2)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    (client,) = harness.listener._awaiting_request
    client.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    unsent = memoryview(PING_COUNT * PING)
    for _ in range(500):
        with contextlib.suppress(BlockingIOError):
            unsent = unsent[sock.send(unsent) :]
        harness.run(1, 1_000)
    received = b""
    while len(received) < PING_COUNT * len(PONG) and (data := read_all(harness, sock, 1)):
        received += data
        with contextlib.suppress(BlockingIOError):
            unsent = unsent[sock.send(unsent) :]
    assert received == PING_COUNT * PONG
