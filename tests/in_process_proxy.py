"""A proxy in the test process, on real sockets and with a clock that the test advances.

Tests do not wait for timeouts. They run each iteration of the event loop themselves, and whatever
clients and servers do between two iterations has arrived by the next one.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.item_costs import BUFFER_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.control.connection_limits import ConnectionLimits
from larchhaven.net.control.dispatcher import Dispatcher
from larchhaven.net.control.interfaces import Transport, UpstreamAttempt
from larchhaven.net.core import event_loop as loop_module
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.metrics import Metrics
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.net.text_protocol.listener import Listener
from larchhaven.net.text_protocol.upstream_attempt import TextUpstreamAttempt
from larchhaven.routing.events import Endpoint, EndpointListKind, EndpointListUpdate
from larchhaven.routing.settings import RoutingSettings
from tests.routing.builders import BASIC_SETTINGS

BUFFER_COUNT = 12
MAX_DESCRIPTORS = 60
SERVERS = (Endpoint("s0"),)


class InProcessProxy:
    """The components of a proxy in one process with its clients and servers."""

    def __init__(
        self, settings: RoutingSettings = BASIC_SETTINGS, servers: tuple[Endpoint, ...] = SERVERS
    ) -> None:
        self.clock = SimpleNamespace(ns=10**12)
        self.real_time = vars(loop_module)["time"]
        vars(loop_module)["time"] = SimpleNamespace(
            monotonic_ns=lambda: self.clock.ns, time_ns=lambda: self.clock.ns
        )
        self.loop = EventLoop()
        caps = {
            **dict.fromkeys(MemoryPurpose, 1 << 20),
            MemoryPurpose.BUFFERS: BUFFER_COUNT * (BUFFER_BYTES + 300),
        }
        self.account = MemoryAccount(caps)
        self.pool = BufferPool(self.account, socket_buffer_bytes=4096)
        event_log = RateLimitedLog(self.loop)
        self.dispatcher = Dispatcher(
            self.loop, event_log, settings, 1, Metrics.for_classes(["chat"]), self.account
        )
        self.server_listener = socket.create_server(("127.0.0.1", 0))
        self.server_listener.setblocking(False)
        self.dispatcher.attach_transport(
            Transport(
                endpoints=self,
                start_attempt=self.start_attempt,
                check_health=lambda server_id, address: None,
                close_idle_connections=lambda server_id: None,
                set_watch_enabled=lambda is_enabled: None,
                poll_endpoints=lambda: None,
                send_gossip=lambda peer, data: None,
                announce_identity=lambda identity, is_open, execution: None,
                is_open_elsewhere=lambda identity: False,
            )
        )
        limits = ConnectionLimits(self.loop, self.account, [1.0], MAX_DESCRIPTORS)
        self.listener = Listener(
            self.loop,
            self.pool,
            self.dispatcher.requests,
            event_log,
            ("127.0.0.1", 0),
            {"chat": 0},
            {},
            MAX_DESCRIPTORS,
            limits,
        )
        self.listener.open()
        self.publish_endpoints(servers)
        self.loop.on_iteration_end = self.dispatcher.dispatch_events
        self.request_number = 0
        self.client_sockets: list[socket.socket] = []
        self.server_sockets: list[socket.socket] = []
        self.run()

    def publish_endpoints(self, servers: tuple[Endpoint, ...]) -> None:
        self.dispatcher.queue_event(EndpointListUpdate(EndpointListKind.COMPLETE, 1, servers))

    def connect_client(self, data: bytes) -> socket.socket:
        """Connect a client and send its data, without running an iteration of the loop."""
        sock = socket.create_connection(self.listener.address)
        sock.sendall(data)
        sock.setblocking(False)
        self.client_sockets.append(sock)
        return sock

    def ready_events(self) -> list[Any]:
        """Return the events that are ready now, for ``hide_ready_events``."""
        ready: list[Any] = vars(self.loop)["_selector"].select(1)
        return ready

    def hide_ready_events(self, visible: Sequence[Any] = ()) -> None:
        """Limit the events of the next iteration, as if the others arrived just after its select.

        Args:
            visible: The events that the iteration sees.
        """
        selector = vars(self.loop)["_selector"]

        def select(timeout: float | None) -> Sequence[Any]:
            del selector.select
            return visible

        selector.select = select

    def find_address(self, server_id: str) -> tuple[str, int]:
        address: tuple[str, int] = self.server_listener.getsockname()
        return address

    def drain_notified_at_us(self, server_id: str) -> int | None:
        return None

    def start_attempt(
        self, request_id: int, payload: bytes, address: tuple[str, int], budget_us: int
    ) -> UpstreamAttempt:
        return TextUpstreamAttempt(
            self.loop,
            self.pool,
            self.dispatcher.attempts,
            request_id,
            payload,
            address,
            250_000,
            budget_us,
        )

    def run(self, iterations: int = 6, step_us: int = 100) -> None:
        """Advance the clock and run the loop repeatedly, then accept connections to the servers.

        Args:
            iterations: The number of iterations.
            step_us: How far the clock advances before each iteration, in microseconds.
        """
        for _ in range(iterations):
            self.clock.ns += step_us * 1000
            self.loop.skip_next_wait()
            self.loop.run_once()
        with contextlib.suppress(BlockingIOError):
            while True:
                sock, _ = self.server_listener.accept()
                sock.setblocking(False)
                self.server_sockets.append(sock)

    def assert_everything_released(self) -> None:
        """Assert that no request, stream, buffer or charge is left."""
        self.disconnect_all()
        assert self.dispatcher.requests.count_requests() == 0
        assert not self.pool.lingering
        assert not self.pool.unread_since_us
        self.pool.release_spares()
        for purpose in (MemoryPurpose.CONNECTIONS, MemoryPurpose.TABLES, MemoryPurpose.BUFFERS):
            assert self.account.charged_bytes(purpose) == 0, purpose
        assert self.account.excess_releases == 0
        assert self.listener.count_awaiting_request() == 0

    def disconnect_all(self) -> None:
        """Disconnect all clients and servers, and let all timers expire."""
        for sock in (*self.client_sockets, *self.server_sockets):
            sock.close()
        self.client_sockets, self.server_sockets = [], []
        for _ in range(40):
            self.run(4, 500_000)
            for sock in self.server_sockets:
                sock.close()
            self.server_sockets = []

    def close(self) -> None:
        vars(loop_module)["time"] = self.real_time
        self.listener.stop()
        self.server_listener.close()


REQUEST_LINE = b"OPEN %016x 7f c=chat,d=2000\r\n"
