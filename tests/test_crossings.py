"""Two things at once: each crossing is forced on real sockets, with a clock that the test turns on.

A turn of the loop happens when a test says so, and what the other sides do between two turns has come by the
next: so a connect takes as long as the test wants, and ends, answers and deadlines fall into one turn.
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
from tests.routing.builders import BASIC_SETTINGS as PLAIN
from tests.test_leaks import LINE, Bench

PAIR = (Endpoint("s0"), Endpoint("s1"))
WINDOW_US = 100_000


@pytest.fixture
def bench(request: pytest.FixtureRequest) -> Iterator[Bench]:
    """Make the proxy's parts, and see at the end that every gauge is back at nothing."""
    made = Bench(**getattr(request, "param", {}))
    try:
        yield made
        made.settled()
    finally:
        made.close()


def read(sock: socket.socket) -> bytes:
    """Read all that has come; ``!`` stands for a reset, ``.`` for an end."""
    got = b""
    with contextlib.suppress(BlockingIOError):
        while True:
            try:
                data = sock.recv(BUFFER_BYTES)
            except ConnectionResetError:
                return got + b"!"
            if not data:
                return got + b"."
            got += data
    return got


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def sent_on(bench: Bench) -> list[bytes]:
    """Return the first lines that instances have got."""
    return [line for line in map(read, bench.instances) if line.startswith(b"OPEN ")]


# A client that leaves while it waits


def stuff(sock: socket.socket, bench: Bench) -> None:
    """Send more than a buffer holds, as far as it goes."""
    with contextlib.suppress(OSError):  # answered meanwhile, as it should be
        for _ in range(8):
            with contextlib.suppress(BlockingIOError):
                sock.send(b"z" * 2_000 + b"\r\n")
            bench.spin(2)


END: Callable[[socket.socket], object] = socket.socket.close
LEAVES: dict[
    str, tuple[Callable[[socket.socket, Bench], object], Callable[[socket.socket], object]]
] = {
    "end": (lambda sock, bench: None, END),
    "half-close": (lambda sock, bench: None, lambda sock: sock.shutdown(socket.SHUT_WR)),
    "reset": (lambda sock, bench: None, reset),
    "end behind a line": (lambda sock, bench: sock.send(b"early\r\n"), END),
    "end behind much": (stuff, END),
    "reset behind much": (stuff, reset),
}


def leave(sock: socket.socket, bench: Bench, how: str) -> None:
    before, end = LEAVES[how]
    before(sock, bench)
    end(sock)


def empty_pool(bench: Bench) -> list[Buffer]:
    return list(iter(bench.pool.acquire, None))


@pytest.mark.parametrize("buffers", ["free", "none left"])
@pytest.mark.parametrize("how", LEAVES)
@pytest.mark.parametrize("bench", [{"servers": ()}], indirect=True)
def test_command_of_a_client_that_left_while_it_waited_is_not_sent_on(
    bench: Bench, how: str, buffers: str
) -> None:
    """Guards instances: a client behind a full buffer, or without one, left unseen and its command ran."""
    clients = [bench.client(LINE % number) for number in range(3)]
    bench.spin(3)
    assert bench.dispatcher.requests.count_requests() == 3
    taken = empty_pool(bench) if buffers == "none left" else []
    for sock in clients:
        leave(sock, bench, how)
    bench.spin(4)
    for buffer in taken:
        bench.pool.release(buffer)
    bench.list_servers(PAIR)
    for _ in range(6):
        bench.spin(4, 30_000)
    assert sent_on(bench) == []
    assert bench.dispatcher.requests.count_requests() == 0


@pytest.mark.parametrize("how", ["end", "reset", "end behind a line"])
def test_client_that_leaves_as_its_connect_comes_up_has_nothing_sent_on(
    bench: Bench, how: str
) -> None:
    """Guards the last moment: the connect is found ready, then the client ends in the same turn."""
    sock = bench.client(LINE % 1)
    bench.spin(2)
    ready = bench.found()  # the connect is up; nobody has left yet
    leave(sock, bench, how)
    bench.unseen(ready)
    bench.spin()
    assert sent_on(bench) == []
    assert bench.dispatcher.requests.count_requests() == 0


def test_client_that_sends_much_at_once_and_stays_gets_one_failed_answer(bench: Bench) -> None:
    sock = bench.client(LINE % 1)
    bench.spin(4)
    assert len(sent_on(bench)) == 1
    stuff(sock, bench)
    assert read(sock) == b"ERR\r\n."
    assert bench.dispatcher.requests.count_requests() == 0


# Repeats, when the connect of the second attempt is held across the end of the window


def effects() -> Iterator[tuple[Idempotency, DeduplicationScope]]:
    yield Idempotency.ALWAYS, DeduplicationScope.ALL
    yield Idempotency.NEVER, DeduplicationScope.ALL
    for scope in DeduplicationScope:
        yield Idempotency.WITH_KEY, scope


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("other", ["same cell", "other cell", "other zone"])
@pytest.mark.parametrize("first", [b"ERR\r\n", b"BUSY\r\n", b"MOVE\r\n", b"reset"])
@pytest.mark.parametrize(("effect", "scope"), list(effects()))
def test_what_may_be_repeated_is_asked_when_the_bytes_go_out(
    effect: Idempotency, scope: DeduplicationScope, first: bytes, other: str, late: bool
) -> None:
    """Guards effects that happen once: the window ended while a connect was under way, and it went out."""
    cls = replace(
        PLAIN.classes[0],
        idempotency=effect,
        deduplication_scope=scope,
        deduplication_window_us=WINDOW_US,
    )
    zone, cell = {"same cell": (0, 0), "other cell": (0, 1), "other zone": (1, 1)}[other]
    bench = Bench(replace(PLAIN, classes=(cls,)), (PAIR[0], replace(PAIR[1], zone=zone, cell=cell)))
    try:
        sock = bench.client(LINE % 1)
        bench.spin(4)
        instance = bench.instances[0]
        assert read(instance).startswith(b"OPEN ")
        if first == b"reset":
            reset(instance)
            bench.instances.clear()
        else:
            instance.send(first)
        bench.spin(1)  # the second attempt, if there is one, begins to connect
        bench.spin(1, WINDOW_US + 10_000 if late else 10_000)
        bench.spin(4)
        ran = first != b"BUSY\r\n"
        keyed = effect is Idempotency.WITH_KEY
        near = (
            scope is DeduplicationScope.ALL
            or other == "same cell"
            or (scope is DeduplicationScope.ZONE and other == "other cell")
        )
        if not ran or effect is Idempotency.ALWAYS or (keyed and near and not late):
            assert len(sent_on(bench)) == 1
            assert read(sock) == b""
        else:
            bench.spin(
                4, WINDOW_US
            )  # what no server may get waits for one that may, as long as that helps
            assert sent_on(bench) == []
            assert read(sock) == (
                b"BUSY\r\n." if keyed and scope is DeduplicationScope.ALL else b"ERR\r\n."
            )
        bench.settled()
    finally:
        bench.close()


# Deadlines


def test_first_line_that_comes_as_its_time_is_up_is_served(bench: Bench) -> None:
    sock = bench.client(b"")
    bench.spin(3)
    sock.send(LINE % 1)
    bench.clock.ns += 1_999_000_000
    bench.unseen()
    bench.loop.run_once()  # a sleep: nothing is late yet
    bench.unseen()
    bench.spin(1, 2_000)
    bench.spin()
    assert len(sent_on(bench)) == 1
    assert read(sock) == b""


def test_after_a_sleep_everything_is_read_before_anybody_is_late(bench: Bench) -> None:
    """Guards clients whose line had come: those that were not found ready before the sleep were failed."""
    socks = [bench.client(b"") for _ in range(4)]
    bench.spin(3)
    socks[0].send(LINE % 0)
    ready = bench.found()
    for number, sock in enumerate(socks[1:], 1):
        sock.send(LINE % number)
    bench.unseen(ready)
    bench.spin(1, 3_000_000)
    bench.dispatcher._events._gather_until_us = 0  # the list has been heard
    bench.spin()
    assert [read(sock) for sock in socks] == [b""] * 4
    assert len(sent_on(bench)) == 4


def test_answer_that_comes_as_the_time_of_its_execution_is_up_counts(bench: Bench) -> None:
    sock = bench.client(LINE % 1)
    bench.spin(4)
    assert len(sent_on(bench)) == 1
    bench.instances[0].send(b"UP 5\r\n")
    for _ in range(
        2
    ):  # up to the set-up aim before its deadline, which is 2 s; one turn would be a sleep
        bench.unseen()
        bench.spin(1, 860_000)
    bench.spin()
    assert read(sock) == b"UP 5\r\n"
    assert len(bench.instances) == 1


# Ends


def test_answer_outlives_a_close_over_unread_bytes(bench: Bench) -> None:
    """Guards an answer on the small-descriptor days: what was unread at the close reset it away."""
    sock = bench.client(b"HELLO\r\n")
    bench.spin(3)
    assert list(bench.pool.lingering)
    sock.send(b"more\r\n" * 200)
    vars(bench.listener)["_rooms"].max_descriptors = 1
    vars(type(bench.listener))["_make_room"](bench.listener)
    assert not bench.pool.lingering
    assert read(sock) == b"ERR\r\n."


def standing(bench: Bench, said: bytes = b"") -> tuple[socket.socket, socket.socket]:
    """Bring up a connection whose instance has said this much more; return both ends."""
    sock = bench.client(LINE % 1)
    bench.spin(4)
    instance = bench.instances[0]
    instance.send(b"UP 5\r\n" + said)
    bench.spin()
    assert read(sock) == b"UP 5\r\n" + said
    return sock, instance


@pytest.mark.parametrize("first", ["move", "BYE"])
def test_move_and_last_line_in_one_turn_are_one_end(bench: Bench, first: str) -> None:
    sock, instance = standing(bench)
    instance.send(b"BYE\r\n")
    if first == "BYE":
        bench.spin(1)
    bench.dispatcher.connections.migrate_all_connections()
    bench.spin()
    bench.spin(4, 100_000)  # an instance is given a moment to end by itself
    assert read(sock) == (b"MOVE\r\n." if first == "move" else b"BYE\r\n.")
    assert bench.dispatcher.requests.count_requests() == 0


@pytest.mark.parametrize("rest", [b"a line\r\n", b"a line\r", b""])
def test_move_waits_for_the_end_of_a_line_but_not_for_ever(bench: Bench, rest: bytes) -> None:
    sock, instance = standing(bench, b"half ")
    bench.dispatcher.connections.migrate_all_connections()
    bench.spin(2, 200_000)
    assert read(sock) == b""
    instance.send(rest)
    bench.spin(3, 200_000)
    assert read(sock) == rest + (b"MOVE\r\n." if rest.endswith(b"\n") else b".")
    assert bench.dispatcher.requests.count_requests() == 0


@pytest.mark.parametrize("rest", [b"a line\r\n", b""])
def test_second_signal_to_stop_waits_for_the_end_of_a_line_but_not_for_ever(
    bench: Bench, rest: bytes
) -> None:
    """Guards a connection that ends here: the process left before the line was over, and MOVE never came."""
    sock, instance = standing(bench, b"half ")
    shutdown = GracefulShutdown(
        bench.loop,
        bench.dispatcher.requests,
        bench.dispatcher.connections,
        bench.listener,
        bench.pool,
        bench.dispatcher.queue_event,
        PLAIN,
        shares_socket=False,
    )
    vars(bench.loop)["_is_running"] = True
    shutdown.begin(0)
    shutdown.finish_now()
    bench.spin(3, POLL_INTERVAL_US)
    assert vars(bench.loop)["_is_running"]
    instance.send(rest)
    bench.spin(4)
    assert read(sock) == rest + (b"MOVE\r\n." if rest else b"")
    sock.close()
    bench.spin(10, 100_000)
    assert not vars(bench.loop)["_is_running"]


@pytest.mark.parametrize("how", ["end", "reset"])
def test_both_sides_end_in_one_turn(bench: Bench, how: str) -> None:
    sock, instance = standing(bench)
    for end in (sock, instance):
        leave(end, bench, how)
    bench.spin()
    assert bench.dispatcher.requests.count_requests() == 0


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
@pytest.mark.parametrize("bench", [{"servers": PAIR}], indirect=True)
def test_odd_answers_are_passed_on_as_they_are_or_not_at_all(
    bench: Bench, odd: str, ends: str
) -> None:
    """Guards against half a line told as a whole one, a second execution beside the first, and a crash."""
    sock = bench.client(LINE % 1)
    bench.spin(4)
    instance = bench.instances[0]
    read(instance)
    for part in ODD[odd]:
        with contextlib.suppress(OSError):  # it was ended already
            instance.send(part)
        bench.spin(2)
    if ends != "stays":
        leave(instance, bench, ends)
        bench.instances.remove(instance)
    bench.spin()
    whole = b"".join(ODD[odd])
    if odd in ("cut in two", "two at once"):
        got = read(sock)
        assert got.rstrip(b".!") == whole
        assert got.endswith({"stays": b"\n", "end": b".", "reset": b"!"}[ends])
        return
    second = bench.instances[-1]
    if odd == "without an end" and ends == "stays":
        assert second is instance
        assert read(sock) == b""
        return
    assert second is not instance
    assert read(second).startswith(b"OPEN ")
    second.send(b"UP 7\r\n")
    bench.spin()
    assert read(sock) == b"UP 7\r\n"
