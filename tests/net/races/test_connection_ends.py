"""Coinciding events that both end a connection, and migrations in the middle of a line."""

from __future__ import annotations

import socket

import pytest

from larchhaven.memory.item_costs import BUFFER_BYTES
from larchhaven.net.graceful_shutdown import POLL_INTERVAL_US, GracefulShutdown
from tests.in_process_proxy import REQUEST_LINE, InProcessProxy
from tests.net.races.sockets import (
    disconnect,
    read,
)
from tests.routing.builders import BASIC_SETTINGS


def test_answer_is_delivered_despite_unread_input_at_the_close(harness: InProcessProxy) -> None:
    """A client must get its answer even if its lingering connection is shed.

    The connection is shed here because descriptors run out. A close with unread input would reset
    it, and the client would lose the answer.
    """
    sock = harness.connect_client(b"HELLO\r\n")
    harness.run(3)
    assert list(harness.pool.lingering)
    sock.send(b"more\r\n" * 200)
    vars(harness.listener)["_limits"].max_descriptors = 1
    vars(type(harness.listener))["_shed_clients"](harness.listener)
    assert not harness.pool.lingering
    assert read(sock) == b"ERR\r\n."


def establish(harness: InProcessProxy, data: bytes = b"") -> tuple[socket.socket, socket.socket]:
    """Establish a connection whose server sends data with its acceptance; return both sockets."""
    sock = harness.connect_client(REQUEST_LINE % 1)
    harness.run(4)
    server = harness.server_sockets[0]
    server.send(b"UP 5\r\n" + data)
    harness.run()
    assert read(sock) == b"UP 5\r\n" + data
    return sock, server


@pytest.mark.parametrize("first_event", ["move", "BYE"])
def test_migration_and_final_line_in_one_iteration_end_the_connection_once(
    harness: InProcessProxy, first_event: str
) -> None:
    sock, server = establish(harness)
    server.send(b"BYE\r\n")
    if first_event == "BYE":
        harness.run(1)
    harness.dispatcher.connections.migrate_all_connections()
    harness.run()
    harness.run(4, 100_000)  # longer than the server may take to close after its final line
    assert read(sock) == (b"MOVE\r\n." if first_event == "move" else b"BYE\r\n.")
    assert harness.dispatcher.requests.count_requests() == 0


@pytest.mark.parametrize("interval_us", [200_000, 700_000, 1_500_000])
def test_migration_waits_for_the_end_of_a_line_however_slowly_it_comes(
    harness: InProcessProxy, interval_us: int
) -> None:
    """Guards against clients cut off without MOVE while their server still sends a line."""
    sock, server = establish(harness, b"half ")
    harness.dispatcher.connections.migrate_all_connections()
    pieces = [b"of", b" a", b" li", b"ne", b"\r", b"\n"]
    for piece in pieces:
        harness.run(2, interval_us // 2)
        server.send(piece)
    harness.run(2)
    assert read(sock) == b"".join(pieces) + b"MOVE\r\n."
    assert harness.dispatcher.requests.count_requests() == 0


@pytest.mark.parametrize("rest", [b"a line\r", b""])
def test_migration_from_a_server_that_hangs_in_a_line_ends_within_its_limit(
    harness: InProcessProxy, rest: bytes
) -> None:
    """A connection on which a server returns nothing has to end within 7 s."""
    sock, server = establish(harness, b"half ")
    harness.dispatcher.connections.migrate_all_connections()
    harness.run(2, 200_000)
    assert read(sock) == b""
    server.send(rest)
    harness.run(7, 1_000_000)
    assert read(sock) == rest + b"."
    assert harness.dispatcher.requests.count_requests() == 0


@pytest.mark.parametrize(
    ("pieces", "expected"),
    [
        ([b"line\r\nnext "], b"line\r\n"),
        ([b"line\r\nnext\r\nthird "], b"line\r\nnext\r\n"),
        ([b"li", b"ne\r\nnext "], b"line\r\n"),
        ([b"line\r", b"\nnext "], b"line\r\n"),
        ([b"line\r", b"\n\r"], b"line\r\n"),
        ([b"line\r\n\r"], b"line\r\n"),
    ],
)
def test_migration_ends_between_two_lines_although_each_piece_ends_within_a_line(
    harness: InProcessProxy, pieces: list[bytes], expected: bytes
) -> None:
    """Guards against connections cut off in a line, without MOVE, while their server streams."""
    sock, server = establish(harness, b"half ")
    harness.dispatcher.connections.migrate_all_connections()
    for piece in pieces:
        server.send(piece)
        harness.run(2, 100_000)
    assert read(sock) == expected + b"MOVE\r\n."
    assert harness.dispatcher.requests.count_requests() == 0


def test_final_line_that_ends_a_migration_is_not_followed_by_move(
    harness: InProcessProxy,
) -> None:
    """Guards against clients that are told to reconnect although they were served to the end."""
    sock, server = establish(harness, b"half ")
    harness.dispatcher.connections.migrate_all_connections()
    server.send(b"line\r\nBYE x0=0.5\r\n")
    harness.run()
    assert read(sock) == b"line\r\nBYE x0=0.5\r\n."
    assert harness.dispatcher.requests.count_requests() == 0


def accept_nothing(sock: socket.socket, data: bytes) -> int:
    """Replace ``send`` of sockets whose kernel buffers are full."""
    raise BlockingIOError


@pytest.mark.parametrize("has_buffer", [True, False])
@pytest.mark.parametrize("free_bytes", [0, 2, 4, 6])
def test_migration_of_a_client_that_reads_slowly_ends_with_move(
    harness: InProcessProxy, monkeypatch: pytest.MonkeyPatch, free_bytes: int, has_buffer: bool
) -> None:
    """Guards against clients cut off without MOVE because it did not fit into a full buffer."""
    sock, server = establish(harness)
    lines = b"\r\n" * ((BUFFER_BYTES - free_bytes) // 2) if has_buffer else b""
    held = []
    with monkeypatch.context() as patch:
        patch.setattr(socket.socket, "send", accept_nothing)
        for start in range(0, len(lines), 2_000):
            server.sendall(lines[start : start + 2_000])
            harness.run(2)
        while not has_buffer and (buffer := harness.pool.acquire()) is not None:
            held.append(buffer)
        harness.dispatcher.connections.migrate_all_connections()
        server.sendall(b"a later line\r\n")
        harness.run(4, 50_000)
    for buffer in held:
        harness.pool.release(buffer)
    harness.run()
    assert read(sock) == lines + b"MOVE\r\n."
    assert harness.dispatcher.requests.count_requests() == 0


@pytest.mark.parametrize("line_end", [b"a line\r\n", b""])
def test_second_stop_signal_waits_for_the_end_of_a_line_within_a_limit(
    harness: InProcessProxy, line_end: bytes
) -> None:
    """The process must not exit in the middle of a line: the client would get no MOVE."""
    sock, server = establish(harness, b"half ")
    shutdown = GracefulShutdown(
        harness.loop,
        harness.dispatcher.requests,
        harness.dispatcher.connections,
        harness.listener,
        harness.pool,
        harness.dispatcher.queue_event,
        BASIC_SETTINGS,
        shares_socket=False,
    )
    vars(harness.loop)["_is_running"] = True
    shutdown.begin(0)
    shutdown.finish_now()
    harness.run(3, POLL_INTERVAL_US)
    assert vars(harness.loop)["_is_running"]
    server.send(line_end)
    harness.run(4)
    assert read(sock) == line_end + (b"MOVE\r\n." if line_end else b"")
    sock.close()
    harness.run(10, 100_000)
    assert not vars(harness.loop)["_is_running"]


@pytest.mark.parametrize("kind", ["end", "reset"])
def test_both_sides_end_in_one_iteration(harness: InProcessProxy, kind: str) -> None:
    sock, server = establish(harness)
    for either_sock in (sock, server):
        disconnect(either_sock, harness, kind)
    harness.run()
    assert harness.dispatcher.requests.count_requests() == 0
