"""Any order of open, refuse, reset, move, hand over and the rest brings every gauge back to nothing.

The parts of the proxy run in this process on real sockets, with a clock that the test turns on: what would
take seconds takes none. The garbage collector is off, so that what is closed must be free by itself.
"""

from __future__ import annotations

import contextlib
import gc
import socket
import struct
import weakref
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.item_costs import BUFFER_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.admin.metrics import Metrics
from larchhaven.net.control.connection_limits import ConnectionLimits
from larchhaven.net.control.dispatcher import Dispatcher
from larchhaven.net.control.interfaces import Transport, UpstreamAttempt
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core import event_loop as loop_module
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.net.core.stream import Stream
from larchhaven.net.text_protocol.connection_relay import ConnectionRelay
from larchhaven.net.text_protocol.listener import Listener
from larchhaven.net.text_protocol.upstream_attempt import TextUpstreamAttempt
from larchhaven.routing.events import Endpoint, EndpointListKind, EndpointListUpdate
from larchhaven.routing.settings import RoutingSettings
from tests.routing.builders import BASIC_SETTINGS as PLAIN

BUFFERS = 12
SERVERS = (Endpoint("s0"),)


class Bench:
    """The client's, the dispatcher's and the instance's side in one process."""

    def __init__(
        self, settings: RoutingSettings = PLAIN, servers: tuple[Endpoint, ...] = SERVERS
    ) -> None:
        self.clock = SimpleNamespace(ns=10**12)
        self.real = vars(loop_module)["time"]
        vars(loop_module)["time"] = SimpleNamespace(
            monotonic_ns=lambda: self.clock.ns, time_ns=lambda: self.clock.ns
        )
        self.loop = EventLoop()
        caps = {
            **dict.fromkeys(MemoryPurpose, 1 << 20),
            MemoryPurpose.BUFFERS: BUFFERS * (BUFFER_BYTES + 300),
        }
        self.account = MemoryAccount(caps)
        self.pool = BufferPool(self.account, socket_buffer_bytes=4096)
        notices = RateLimitedLog(self.loop)
        self.dispatcher = Dispatcher(
            self.loop, notices, settings, 1, Metrics.for_classes(["chat"]), self.account
        )
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.setblocking(False)
        self.dispatcher.attach_transport(
            Transport(
                endpoints=self,
                start_attempt=self.begin,
                check_health=lambda host, address: None,
                close_idle_connections=lambda host: None,
                set_watch_enabled=lambda on: None,
                poll_endpoints=lambda: None,
                send_gossip=lambda peer, data: None,
                announce_identity=lambda identity, on: None,
                is_open_elsewhere=lambda identity: False,
            )
        )
        rooms = ConnectionLimits(self.loop, self.account, [1.0], 60)
        self.listener = Listener(
            self.loop,
            self.pool,
            self.dispatcher.requests,
            notices,
            ("127.0.0.1", 0),
            {"chat": 0},
            {},
            60,
            rooms,
        )
        self.listener.open()
        self.list_servers(servers)
        self.loop.on_iteration_end = self.dispatcher.dispatch_events
        self.number = 0
        self.clients: list[socket.socket] = []
        self.instances: list[socket.socket] = []
        self.spin()

    def list_servers(self, servers: tuple[Endpoint, ...]) -> None:
        self.dispatcher.queue_event(EndpointListUpdate(EndpointListKind.COMPLETE, 1, servers))

    def client(self, data: bytes) -> socket.socket:
        """Connect, and send something without a turn of the loop."""
        sock = socket.create_connection(self.listener.address)
        sock.sendall(data)
        sock.setblocking(False)
        self.clients.append(sock)
        return sock

    def found(self) -> list[Any]:
        """Return what is ready now, for ``unseen``."""
        ready: list[Any] = vars(self.loop)["_selector"].select(1)
        return ready

    def unseen(self, but: Sequence[Any] = ()) -> None:
        """Have the next turn find nothing ready but this: the rest has come just after it looked."""
        selector = vars(self.loop)["_selector"]

        def select(timeout: float | None) -> Sequence[Any]:
            del selector.select
            return but

        selector.select = select

    def find_address(self, server_id: str) -> tuple[str, int]:
        address: tuple[str, int] = self.server.getsockname()
        return address

    def drain_notified_at_us(self, server_id: str) -> int | None:
        return None

    def begin(
        self, token: int, payload: bytes, address: tuple[str, int], wait_us: int
    ) -> UpstreamAttempt:
        return TextUpstreamAttempt(
            self.loop,
            self.pool,
            self.dispatcher.attempts,
            token,
            payload,
            address,
            250_000,
            wait_us,
        )

    def spin(self, turns: int = 6, us: int = 100) -> None:
        for _ in range(turns):
            self.clock.ns += us * 1000
            self.loop.skip_next_wait()
            self.loop.run_once()
        with contextlib.suppress(BlockingIOError):
            while True:
                sock, _ = self.server.accept()
                sock.setblocking(False)
                self.instances.append(sock)

    def settled(self) -> None:
        """See that nothing is held any more: commands, streams, buffers, what was charged."""
        self.end()
        assert self.dispatcher.requests.count_requests() == 0
        assert not self.pool.lingering
        assert not self.pool.unread_since_us
        self.pool.release_spares()
        for purpose in (MemoryPurpose.CONNECTIONS, MemoryPurpose.TABLES, MemoryPurpose.BUFFERS):
            assert self.account.charged_bytes(purpose) == 0, purpose
        assert self.account.excess_releases == 0
        assert self.listener.count_awaiting_request() == 0

    def end(self) -> None:
        """Let everybody go, and all deadlines pass."""
        for sock in (*self.clients, *self.instances):
            sock.close()
        self.clients, self.instances = [], []
        for _ in range(40):
            self.spin(4, 500_000)
            for sock in self.instances:
                sock.close()
            self.instances = []

    def close(self) -> None:
        vars(loop_module)["time"] = self.real
        self.listener.stop()
        self.server.close()


LINE = b"OPEN %016x 7f c=chat,d=2000\r\n"
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


class Life(RuleBasedStateMachine):
    """Clients and instances that do whatever they like."""

    def __init__(self) -> None:
        super().__init__()
        gc.collect()
        gc.disable()
        self.bench = Bench()
        self.seen: weakref.WeakSet[Stream] = weakref.WeakSet()

    @rule(
        line=st.sampled_from(
            [LINE, LINE, LINE, b"", b"OPEN half", b"PING\r\n", b"NONSENSE\r\n", b"z" * 5000]
        )
    )
    def arrive(self, line: bytes) -> None:
        bench = self.bench
        bench.number += 1
        sock = socket.create_connection(bench.listener.address)
        sock.setblocking(False)
        sock.sendall(line % bench.number if b"%" in line else line)
        bench.clients.append(sock)
        bench.spin()

    @precondition(lambda self: self.bench.instances)
    @rule(pick=st.integers(0, 99), answer=st.sampled_from(ANSWERS))
    def answer(self, pick: int, answer: bytes) -> None:
        sock = self.bench.instances[pick % len(self.bench.instances)]
        with contextlib.suppress(OSError):
            sock.recv(1 << 16)
        with contextlib.suppress(OSError):
            sock.sendall(answer)
        self.bench.spin()

    @precondition(lambda self: self.bench.instances)
    @rule(pick=st.integers(0, 99))
    def flood(self, pick: int) -> None:
        """The instance sends more than its client reads."""
        sock = self.bench.instances[pick % len(self.bench.instances)]
        for _ in range(20):
            with contextlib.suppress(OSError):
                sock.send(b"x" * 20_000)
            self.bench.spin(2)

    @precondition(lambda self: self.bench.clients)
    @rule(pick=st.integers(0, 99), data=st.sampled_from([b"q\r\n", b"half", b"w" * 30_000]))
    def speak(self, pick: int, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.bench.clients[pick % len(self.bench.clients)].send(data)
        self.bench.spin()

    @rule(pick=st.integers(0, 99), of_clients=st.booleans(), reset=st.booleans())
    def leave(self, pick: int, of_clients: bool, reset: bool) -> None:
        socks = self.bench.clients if of_clients else self.bench.instances
        if socks:
            sock = socks.pop(pick % len(socks))
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            self.bench.spin()

    @rule(what=st.sampled_from(["move", "release", "unread", "adopt"]), pick=st.integers(0, 99))
    def happen(self, what: str, pick: int) -> None:
        bench = self.bench
        sessions = bench.dispatcher.connections.list_connections()
        if what == "adopt":
            self.adopt()
        elif what == "unread":
            for stream in list(bench.pool.unread_since_us)[:1]:
                stream.shed()
        elif sessions:
            request = sessions[pick % len(sessions)]
            if what == "release":
                bench.dispatcher.connections.release_connection(request.request_id)
            elif request.connection is not None:
                request.connection.migrate()
        bench.spin()

    def adopt(self) -> None:
        """Take a connection over, as the younger process of an upgrade does."""
        bench = self.bench
        tcp = [tcp_pair() for _ in range(2)]
        client, instance = (Stream(bench.loop, bench.pool, ours) for ours, _ in tcp)
        bench.clients.append(tcp[0][1])
        bench.instances.append(tcp[1][1])
        bench.number += 1
        spec = RequestSpec(b"", 0, 0, b"%d" % bench.number)
        bench.dispatcher.connections.adopt_connection(
            spec,
            "s0",
            lambda token: ConnectionRelay(
                bench.loop, client, instance, bench.dispatcher.connections, token, b"UP 9"
            ),
        )

    @rule(us=st.sampled_from([1_000, 300_000, 2_000_000]))
    def wait(self, us: int) -> None:
        self.bench.spin(3, us)

    @invariant()
    def caps_hold(self) -> None:
        account = self.bench.account
        assert account.used_bytes(MemoryPurpose.BUFFERS) <= account.cap_bytes(MemoryPurpose.BUFFERS)
        assert account.excess_releases == 0
        for _token, channel in self.bench.loop._channels.items():
            stream = getattr(channel.on_ready, "__self__", None)
            if isinstance(stream, Stream):
                self.seen.add(stream)

    def teardown(self) -> None:
        bench = self.bench
        try:
            bench.settled()
            assert not list(self.seen), "what is closed waits for the garbage collector"
        finally:
            bench.close()
            gc.enable()


TestLife = Life.TestCase
TestLife.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)


def tcp_pair() -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as made:
        theirs = socket.create_connection(made.getsockname())
        ours, _ = made.accept()
    theirs.setblocking(False)
    return ours, theirs


@pytest.fixture
def bench() -> Any:
    made = Bench()
    yield made
    made.end()
    made.close()


def test_half_lines_give_their_buffers_to_one_who_speaks(bench: Bench) -> None:
    """Guards usual clients: at the cap of buffers their whole line waited behind half ones."""
    for _ in range(BUFFERS + 5):
        sock = socket.create_connection(bench.listener.address)
        sock.sendall(b"OPEN half")
        bench.clients.append(sock)
        bench.spin(2)
    usual = socket.create_connection(bench.listener.address)
    usual.sendall(LINE % 1)
    bench.clients.append(usual)
    bench.spin()
    assert bench.dispatcher.requests.count_requests() == 1
    assert bench.clients[0].recv(99) == b"BUSY\r\n"


def test_payload_is_not_kept_while_a_connection_stands(bench: Bench) -> None:
    """Guards memory: a first line of 4 KiB was held for as long as its connection stood."""
    sock = socket.create_connection(bench.listener.address)
    sock.sendall(LINE.replace(b"\r\n", b"," + b"x" * 3_900 + b"=1\r\n") % 1)
    bench.clients.append(sock)
    bench.spin()
    before = bench.account.charged_bytes(MemoryPurpose.TABLES)
    bench.instances[0].send(b"UP 1\r\n")
    bench.spin()
    assert before - bench.account.charged_bytes(MemoryPurpose.TABLES) > 3_900
    assert bench.dispatcher.connections.list_connections()[0].spec.payload == b""
