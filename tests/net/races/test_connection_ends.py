"""Two events that both end a connection, and a migration within a line."""

from __future__ import annotations

import socket

import pytest

from larchhaven.net.graceful_shutdown import POLL_INTERVAL_US, GracefulShutdown
from tests.in_process_proxy import REQUEST_LINE, InProcessProxy
from tests.net.races.sockets import (
    leave,
    read,
)
from tests.routing.builders import BASIC_SETTINGS


def test_answer_is_delivered_despite_unread_input_at_the_close(harness: InProcessProxy) -> None:
    """Guards an answer on the small-descriptor days: what was unread at the close reset it away."""
    sock = harness.connect_client(b"HELLO\r\n")
    harness.run(3)
    assert list(harness.pool.lingering)
    sock.send(b"more\r\n" * 200)
    vars(harness.listener)["_limits"].max_descriptors = 1
    vars(type(harness.listener))["_shed_clients"](harness.listener)
    assert not harness.pool.lingering
    assert read(sock) == b"ERR\r\n."


def establish(harness: InProcessProxy, sent: bytes = b"") -> tuple[socket.socket, socket.socket]:
    """Establish a connection whose server has sent this much more; return both ends."""
    sock = harness.connect_client(REQUEST_LINE % 1)
    harness.run(4)
    server = harness.server_sockets[0]
    server.send(b"UP 5\r\n" + sent)
    harness.run()
    assert read(sock) == b"UP 5\r\n" + sent
    return sock, server


@pytest.mark.parametrize("first", ["move", "BYE"])
def test_migration_and_final_line_in_one_iteration_are_one_end(
    harness: InProcessProxy, first: str
) -> None:
    sock, server = establish(harness)
    server.send(b"BYE\r\n")
    if first == "BYE":
        harness.run(1)
    harness.dispatcher.connections.migrate_all_connections()
    harness.run()
    harness.run(4, 100_000)  # a server is given a moment to end by itself
    assert read(sock) == (b"MOVE\r\n." if first == "move" else b"BYE\r\n.")
    assert harness.dispatcher.requests.count_requests() == 0


@pytest.mark.parametrize("rest", [b"a line\r\n", b"a line\r", b""])
def test_migration_waits_for_the_end_of_a_line_within_a_limit(
    harness: InProcessProxy, rest: bytes
) -> None:
    sock, server = establish(harness, b"half ")
    harness.dispatcher.connections.migrate_all_connections()
    harness.run(2, 200_000)
    assert read(sock) == b""
    server.send(rest)
    harness.run(3, 200_000)
    assert read(sock) == rest + (b"MOVE\r\n." if rest.endswith(b"\n") else b".")
    assert harness.dispatcher.requests.count_requests() == 0


@pytest.mark.parametrize("rest", [b"a line\r\n", b""])
def test_second_stop_signal_waits_for_the_end_of_a_line_within_a_limit(
    harness: InProcessProxy, rest: bytes
) -> None:
    """Guards a connection that ends here: the process exited within a line, without MOVE."""
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
    server.send(rest)
    harness.run(4)
    assert read(sock) == rest + (b"MOVE\r\n." if rest else b"")
    sock.close()
    harness.run(10, 100_000)
    assert not vars(harness.loop)["_is_running"]


@pytest.mark.parametrize("way", ["end", "reset"])
def test_both_sides_end_in_one_iteration(harness: InProcessProxy, way: str) -> None:
    sock, server = establish(harness)
    for end in (sock, server):
        leave(end, harness, way)
    harness.run()
    assert harness.dispatcher.requests.count_requests() == 0
