"""All resources are released after any sequence of connects, rejections, resets and migrations.

Connections are also handed over as in a hot restart. The garbage collector is disabled, so closed
objects must be freed by reference counting alone.
"""

from __future__ import annotations

import contextlib
import gc
import socket
import struct
import weakref
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core.stream import Stream
from larchhaven.net.text_protocol.connection_relay import ConnectionRelay
from tests.in_process_proxy import BUFFER_COUNT, REQUEST_LINE, InProcessProxy

ANSWERS = (
    b"UP 1\r\n",
    b"BUSY\r\n",
    b"ERR\r\n",
    b"BYE x0=0.1\r\n",
    b"MOVE\r\n",
    b"echo\r\n",
    b"half",
    b"y" * 5000,
)


class ConnectionLifecycle(RuleBasedStateMachine):
    """Clients, servers and the proxy act on connections in any order."""

    def __init__(self) -> None:
        super().__init__()
        gc.collect()
        gc.disable()
        self.harness = InProcessProxy()
        self.seen_streams: weakref.WeakSet[Stream] = weakref.WeakSet()

    @rule(
        line=st.sampled_from(
            [
                REQUEST_LINE,
                REQUEST_LINE,
                REQUEST_LINE,
                b"",
                b"OPEN half",
                b"PING\r\n",
                b"NONSENSE\r\n",
                b"z" * 5000,
            ]
        )
    )
    def connect_client(self, line: bytes) -> None:
        harness = self.harness
        harness.request_number += 1
        sock = socket.create_connection(harness.listener.address)
        sock.setblocking(False)
        sock.sendall(line % harness.request_number if b"%" in line else line)
        harness.client_sockets.append(sock)
        harness.run()

    @precondition(lambda self: self.harness.server_sockets)
    @rule(pick=st.integers(0, 99), answer=st.sampled_from(ANSWERS))
    def answer(self, pick: int, answer: bytes) -> None:
        sock = self.harness.server_sockets[pick % len(self.harness.server_sockets)]
        with contextlib.suppress(OSError):
            sock.recv(1 << 16)
        with contextlib.suppress(OSError):
            sock.sendall(answer)
        self.harness.run()

    @precondition(lambda self: self.harness.server_sockets)
    @rule(pick=st.integers(0, 99))
    def flood_client(self, pick: int) -> None:
        """The server sends more than its client reads."""
        sock = self.harness.server_sockets[pick % len(self.harness.server_sockets)]
        for _ in range(20):
            with contextlib.suppress(OSError):
                sock.send(b"x" * 20_000)
            self.harness.run(2)

    @precondition(lambda self: self.harness.client_sockets)
    @rule(pick=st.integers(0, 99), data=st.sampled_from([b"q\r\n", b"half", b"w" * 30_000]))
    def send_to_server(self, pick: int, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.harness.client_sockets[pick % len(self.harness.client_sockets)].send(data)
        self.harness.run()

    @rule(pick=st.integers(0, 99), is_client=st.booleans(), reset=st.booleans())
    def disconnect(self, pick: int, is_client: bool, reset: bool) -> None:
        socks = self.harness.client_sockets if is_client else self.harness.server_sockets
        if socks:
            sock = socks.pop(pick % len(socks))
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            self.harness.run()

    @rule(action=st.sampled_from(["migrate", "release", "shed", "adopt"]), pick=st.integers(0, 99))
    def end_or_adopt_connection(self, action: str, pick: int) -> None:
        harness = self.harness
        connections = harness.dispatcher.connections.list_connections()
        if action == "adopt":
            self.adopt()
        elif action == "shed":
            for stream in list(harness.pool.unread_since_us)[:1]:
                stream.shed()
        elif connections:
            request = connections[pick % len(connections)]
            if action == "release":
                harness.dispatcher.connections.release_connection(request.request_id)
            elif request.connection is not None:
                request.connection.migrate()
        harness.run()

    def adopt(self) -> None:
        """Take over a connection, as the successor does in a hot restart."""
        harness = self.harness
        pairs = [tcp_pair() for _ in range(2)]
        client, server = (Stream(harness.loop, harness.pool, ours) for ours, _ in pairs)
        harness.client_sockets.append(pairs[0][1])
        harness.server_sockets.append(pairs[1][1])
        harness.request_number += 1
        spec = RequestSpec(b"", 0, 0, b"%d" % harness.request_number)
        harness.dispatcher.connections.adopt_connection(
            spec,
            "s0",
            lambda request_id: ConnectionRelay(
                harness.loop, client, server, harness.dispatcher.connections, request_id, b"UP 9"
            ),
        )

    @rule(step_us=st.sampled_from([1_000, 300_000, 2_000_000]))
    def wait(self, step_us: int) -> None:
        self.harness.run(3, step_us)

    @invariant()
    def caps_hold(self) -> None:
        account = self.harness.account
        assert account.used_bytes(MemoryPurpose.BUFFERS) <= account.cap_bytes(MemoryPurpose.BUFFERS)
        assert account.excess_releases == 0
        channels = dict(self.harness.loop._channels.items())
        for channel in channels.values():
            stream = getattr(channel.on_ready, "__self__", None)
            if isinstance(stream, Stream):
                self.seen_streams.add(stream)

    def teardown(self) -> None:
        harness = self.harness
        try:
            harness.assert_everything_released()
            assert not list(self.seen_streams), "closed streams not freed by reference counting"
        finally:
            harness.close()
            gc.enable()


TestConnectionLifecycle = ConnectionLifecycle.TestCase
TestConnectionLifecycle.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)


def tcp_pair() -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    theirs.setblocking(False)
    return ours, theirs


@pytest.fixture
def harness() -> Any:
    harness = InProcessProxy()
    yield harness
    harness.disconnect_all()
    harness.close()


def test_incomplete_lines_are_shed_for_a_complete_one(harness: InProcessProxy) -> None:
    """At the buffer cap, incomplete request lines must not keep a complete one waiting.

    The proxy sheds the clients with incomplete lines, which would otherwise hold all buffers.
    """
    for _ in range(BUFFER_COUNT + 5):
        sock = socket.create_connection(harness.listener.address)
        sock.sendall(b"OPEN half")
        harness.client_sockets.append(sock)
        harness.run(2)
    complete = socket.create_connection(harness.listener.address)
    complete.sendall(REQUEST_LINE % 1)
    harness.client_sockets.append(complete)
    harness.run()
    assert harness.dispatcher.requests.count_requests() == 1
    assert harness.client_sockets[0].recv(99) == b"BUSY\r\n"


def test_payload_is_released_once_the_connection_is_established(harness: InProcessProxy) -> None:
    """Otherwise a request line of 4 KiB stays in memory for as long as its connection lasts."""
    sock = socket.create_connection(harness.listener.address)
    sock.sendall(REQUEST_LINE.replace(b"\r\n", b"," + b"x" * 3_900 + b"=1\r\n") % 1)
    harness.client_sockets.append(sock)
    harness.run()
    before = harness.account.charged_bytes(MemoryPurpose.TABLES)
    harness.server_sockets[0].send(b"UP 1\r\n")
    harness.run()
    assert before - harness.account.charged_bytes(MemoryPurpose.TABLES) > 3_900
    assert harness.dispatcher.connections.list_connections()[0].spec.payload == b""
