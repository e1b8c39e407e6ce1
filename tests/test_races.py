"""Two events at once: each race is forced on real sockets, with a clock that the test advances.

An iteration of the loop runs when a test says so, and what the other sides do between two iterations
has arrived by the next: so a connect takes as long as the test wants, and ends, answers and deadlines
fall into one iteration.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest

from larchhaven.memory.item_costs import BUFFER_BYTES
from larchhaven.net.core.buffer_pool import Buffer
from larchhaven.net.graceful_shutdown import POLL_INTERVAL_US, GracefulShutdown
from larchhaven.routing.events import Endpoint
from larchhaven.routing.settings import DeduplicationScope, Idempotency
from tests.in_process_proxy import REQUEST_LINE, InProcessProxy
from tests.routing.builders import BASIC_SETTINGS

PAIR = (Endpoint("s0"), Endpoint("s1"))
WINDOW_US = 100_000


@pytest.fixture
def harness(request: pytest.FixtureRequest) -> Iterator[InProcessProxy]:
    """Make the proxy's parts, and assert at the end that everything is released."""
    harness = InProcessProxy(**getattr(request, "param", {}))
    try:
        yield harness
        harness.assert_everything_released()
    finally:
        harness.close()


def read(sock: socket.socket) -> bytes:
    """Read all that has come; ``!`` stands for a reset, ``.`` for an end."""
    received = b""
    with contextlib.suppress(BlockingIOError):
        while True:
            try:
                data = sock.recv(BUFFER_BYTES)
            except ConnectionResetError:
                return received + b"!"
            if not data:
                return received + b"."
            received += data
    return received


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def forwarded_requests(harness: InProcessProxy) -> list[bytes]:
    """Return the request lines that servers have received."""
    return [line for line in map(read, harness.server_sockets) if line.startswith(b"OPEN ")]


# A client that leaves while it waits


def fill_buffers(sock: socket.socket, harness: InProcessProxy) -> None:
    """Send more than a buffer holds, as far as it goes."""
    with contextlib.suppress(OSError):  # answered meanwhile, as it should be
        for _ in range(8):
            with contextlib.suppress(BlockingIOError):
                sock.send(b"z" * 2_000 + b"\r\n")
            harness.run(2)


END: Callable[[socket.socket], object] = socket.socket.close
WAYS_TO_LEAVE: dict[
    str, tuple[Callable[[socket.socket, InProcessProxy], object], Callable[[socket.socket], object]]
] = {
    "end": (lambda sock, harness: None, END),
    "half-close": (lambda sock, harness: None, lambda sock: sock.shutdown(socket.SHUT_WR)),
    "reset": (lambda sock, harness: None, reset),
    "end behind a line": (lambda sock, harness: sock.send(b"early\r\n"), END),
    "end behind much": (fill_buffers, END),
    "reset behind much": (fill_buffers, reset),
}


def leave(sock: socket.socket, harness: InProcessProxy, way: str) -> None:
    before, end = WAYS_TO_LEAVE[way]
    before(sock, harness)
    end(sock)


def acquire_all_buffers(harness: InProcessProxy) -> list[Buffer]:
    return list(iter(harness.pool.acquire, None))


@pytest.mark.parametrize("buffers", ["free", "none left"])
@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
@pytest.mark.parametrize("harness", [{"servers": ()}], indirect=True)
def test_request_of_a_client_that_left_while_it_waited_is_not_forwarded(
    harness: InProcessProxy, way: str, buffers: str
) -> None:
    """Guards servers: a client behind a full buffer, or without one, left unseen and its request ran."""
    clients = [harness.connect_client(REQUEST_LINE % number) for number in range(3)]
    harness.run(3)
    assert harness.dispatcher.requests.count_requests() == 3
    taken = acquire_all_buffers(harness) if buffers == "none left" else []
    for sock in clients:
        leave(sock, harness, way)
    harness.run(4)
    for buffer in taken:
        harness.pool.release(buffer)
    harness.list_endpoints(PAIR)
    for _ in range(6):
        harness.run(4, 30_000)
    assert forwarded_requests(harness) == []
    assert harness.dispatcher.requests.count_requests() == 0


@pytest.mark.parametrize("way", ["end", "reset", "end behind a line"])
def test_request_of_a_client_that_leaves_as_the_connect_succeeds_is_not_forwarded(
    harness: InProcessProxy, way: str
) -> None:
    """Guards the last moment: the connect is found ready, then the client ends in the same iteration."""
    sock = harness.connect_client(REQUEST_LINE % 1)
    harness.run(2)
    ready = harness.ready_events()  # the connect is up; nobody has left yet
    leave(sock, harness, way)
    harness.hide_ready_events(ready)
    harness.run()
    assert forwarded_requests(harness) == []
    assert harness.dispatcher.requests.count_requests() == 0


def test_client_that_fills_the_buffers_and_stays_gets_one_failure(
    harness: InProcessProxy,
) -> None:
    sock = harness.connect_client(REQUEST_LINE % 1)
    harness.run(4)
    assert len(forwarded_requests(harness)) == 1
    fill_buffers(sock, harness)
    assert read(sock) == b"ERR\r\n."
    assert harness.dispatcher.requests.count_requests() == 0


# Repeats, when the connect of the second attempt is held across the end of the window


def idempotency_cases() -> Iterator[tuple[Idempotency, DeduplicationScope]]:
    yield Idempotency.ALWAYS, DeduplicationScope.ALL
    yield Idempotency.NEVER, DeduplicationScope.ALL
    for scope in DeduplicationScope:
        yield Idempotency.WITH_KEY, scope


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("other", ["same cell", "other cell", "other zone"])
@pytest.mark.parametrize("first", [b"ERR\r\n", b"BUSY\r\n", b"MOVE\r\n", b"reset"])
@pytest.mark.parametrize(("idempotency", "scope"), list(idempotency_cases()))
def test_whether_a_retry_is_allowed_is_decided_when_its_bytes_are_sent(
    idempotency: Idempotency, scope: DeduplicationScope, first: bytes, other: str, late: bool
) -> None:
    """Guards effects that happen once: the window ended while a connect was under way, and it went out."""
    request_class = replace(
        BASIC_SETTINGS.classes[0],
        idempotency=idempotency,
        deduplication_scope=scope,
        deduplication_window_us=WINDOW_US,
    )
    zone, cell = {"same cell": (0, 0), "other cell": (0, 1), "other zone": (1, 1)}[other]
    servers = (PAIR[0], replace(PAIR[1], zone=zone, cell=cell))
    harness = InProcessProxy(replace(BASIC_SETTINGS, classes=(request_class,)), servers)
    try:
        sock = harness.connect_client(REQUEST_LINE % 1)
        harness.run(4)
        server = harness.server_sockets[0]
        assert read(server).startswith(b"OPEN ")
        if first == b"reset":
            reset(server)
            harness.server_sockets.clear()
        else:
            server.send(first)
        harness.run(1)  # the second attempt, if there is one, begins to connect
        harness.run(1, WINDOW_US + 10_000 if late else 10_000)
        harness.run(4)
        ran = first != b"BUSY\r\n"
        keyed = idempotency is Idempotency.WITH_KEY
        near = (
            scope is DeduplicationScope.ALL
            or other == "same cell"
            or (scope is DeduplicationScope.ZONE and other == "other cell")
        )
        if not ran or idempotency is Idempotency.ALWAYS or (keyed and near and not late):
            assert len(forwarded_requests(harness)) == 1
            assert read(sock) == b""
        else:
            harness.run(
                4, WINDOW_US
            )  # what no server may get waits for one that may, as long as that helps
            assert forwarded_requests(harness) == []
            assert read(sock) == (
                b"BUSY\r\n." if keyed and scope is DeduplicationScope.ALL else b"ERR\r\n."
            )
        harness.assert_everything_released()
    finally:
        harness.close()


# Deadlines


def test_request_line_that_arrives_with_its_timeout_is_served(harness: InProcessProxy) -> None:
    sock = harness.connect_client(b"")
    harness.run(3)
    sock.send(REQUEST_LINE % 1)
    harness.clock.ns += 1_999_000_000
    harness.hide_ready_events()
    harness.loop.run_once()  # a pause: no timer runs yet
    harness.hide_ready_events()
    harness.run(1, 2_000)
    harness.run()
    assert len(forwarded_requests(harness)) == 1
    assert read(sock) == b""


def test_after_a_pause_everything_is_read_before_timers_run(harness: InProcessProxy) -> None:
    """Guards clients whose line had come: those that were not found ready before the pause were failed."""
    socks = [harness.connect_client(b"") for _ in range(4)]
    harness.run(3)
    socks[0].send(REQUEST_LINE % 0)
    ready = harness.ready_events()
    for number, sock in enumerate(socks[1:], 1):
        sock.send(REQUEST_LINE % number)
    harness.hide_ready_events(ready)
    harness.run(1, 3_000_000)
    harness.dispatcher._events._gather_until_us = 0  # the list has been heard
    harness.run()
    assert [read(sock) for sock in socks] == [b""] * 4
    assert len(forwarded_requests(harness)) == 4


def test_answer_that_arrives_with_the_timeout_of_its_attempt_counts(
    harness: InProcessProxy,
) -> None:
    sock = harness.connect_client(REQUEST_LINE % 1)
    harness.run(4)
    assert len(forwarded_requests(harness)) == 1
    harness.server_sockets[0].send(b"UP 5\r\n")
    for _ in range(
        2
    ):  # up to the set-up aim before its deadline, which is 2 s; one iteration would be a pause
        harness.hide_ready_events()
        harness.run(1, 860_000)
    harness.run()
    assert read(sock) == b"UP 5\r\n"
    assert len(harness.server_sockets) == 1


# Ends


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
    harness.run(4, 100_000)  # an server is given a moment to end by itself
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
    """Guards a connection that ends here: the process left before the line was over, and MOVE never came."""
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


ODD = {
    "cut in two": [b"U", b"P 5\r", b"\nrest\r\n"],
    "two at once": [b"UP 5\r\nUP 6\r\n"],
    "failed and then taken": [b"ERR\r\nUP 5\r\n"],
    "a second one later": [b"BUSY\r\n", b"UP 5\r\n"],
    "without an end": [b"UP 5"],
    "binary": [b"\x00\xff\xfe\r\n"],
    "without an end, too long": [b"UP " + b"x" * 3_000, b"x" * 3_000],
}


@pytest.mark.parametrize("ends", ["stays", "end", "reset"])
@pytest.mark.parametrize("odd", ODD)
@pytest.mark.parametrize("harness", [{"servers": PAIR}], indirect=True)
def test_odd_answers_are_forwarded_unchanged_or_not_at_all(
    harness: InProcessProxy, odd: str, ends: str
) -> None:
    """Guards against half a line taken for a complete one, a second attempt beside the first, and a crash."""
    sock = harness.connect_client(REQUEST_LINE % 1)
    harness.run(4)
    server = harness.server_sockets[0]
    read(server)
    for part in ODD[odd]:
        with contextlib.suppress(OSError):  # it was ended already
            server.send(part)
        harness.run(2)
    if ends != "stays":
        leave(server, harness, ends)
        harness.server_sockets.remove(server)
    harness.run()
    whole = b"".join(ODD[odd])
    if odd in ("cut in two", "two at once"):
        received = read(sock)
        assert received.rstrip(b".!") == whole
        assert received.endswith({"stays": b"\n", "end": b".", "reset": b"!"}[ends])
        return
    second = harness.server_sockets[-1]
    if odd == "without an end" and ends == "stays":
        assert second is server
        assert read(sock) == b""
        return
    assert second is not server
    assert read(second).startswith(b"OPEN ")
    second.send(b"UP 7\r\n")
    harness.run()
    assert read(sock) == b"UP 7\r\n"
