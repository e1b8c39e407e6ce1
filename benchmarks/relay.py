"""Processor time of memory accounting, for line round trips and connection set-ups.

    python -m benchmarks.relay [--rounds 15] [--json]

Two proxies run in this process on loopback sockets, with the real listener, dispatcher, balancer,
upstream attempt and relay. One proxy has a real memory account. The account of the other proxy
counts no bytes. Each round times both in random order. The result is the ratio of the medians of
processor time, which depends less on other load of the machine than wall time.
"""

from __future__ import annotations

import argparse
import gc
import random
import socket
import statistics
import time
from enum import StrEnum

import msgspec

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.control.connection_limits import ConnectionLimits
from larchhaven.net.control.dispatcher import Dispatcher
from larchhaven.net.control.interfaces import Transport, UpstreamAttempt
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.metrics import Metrics
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.net.text_protocol.listener import Listener
from larchhaven.net.text_protocol.upstream_attempt import TextUpstreamAttempt
from larchhaven.routing.events import Endpoint, EndpointListKind, EndpointListUpdate
from larchhaven.routing.settings import RequestClass, RoutingSettings

LINE_ROUND_TRIPS = 1_500
CONNECTION_SETUPS = 250
CONNECT_TIMEOUT_US = 250_000
ACCEPT_BACKLOG = 64
RECEIVE_BYTES = 4_096
MAX_DESCRIPTORS = 1_000
# High enough that no charge is rejected.
CAP_BYTES = 64 << 20

LOOPBACK = ("127.0.0.1", 0)
REQUEST_LINE = b"OPEN %016x 7f c=chat,d=2000\r\n"
ESTABLISHED_LINE = b"UP 1\r\n"
MESSAGE_LINE = b"question 1\r\n"

SETTINGS = RoutingSettings(
    classes=(RequestClass(latency_objective_us=300_000, deadline_us=2_000_000),),
    proxy_count=1,
    proxy_index=0,
    drain_grace_us=3_000_000,
    slow_start_us=7_000_000,
    slow_start_initial_fraction=0.33,
    collapse_multiple=2.5,
    collapse_delay_us=1_500_000,
    max_attempts=3,
    has_load_updates=True,
)


class Operation(StrEnum):
    """The timed operations; the values are keys of the JSON output."""

    LINE_ROUND_TRIP = "lines"
    CONNECTION_SETUP = "setups"


class Comparison(msgspec.Struct):
    """Median processor times per operation with and without accounting, and their ratio."""

    with_us: float
    without_us: float
    ratio: float


class NullAccount(MemoryAccount):
    """A memory account that grants every charge and counts nothing."""

    def try_charge(self, purpose: MemoryPurpose, size: int) -> bool:
        """Grant the charge."""
        return True

    def charge(self, purpose: MemoryPurpose, size: int) -> None:
        """Count nothing."""

    def release(self, purpose: MemoryPurpose, size: int) -> None:
        """Count nothing."""


class BenchmarkProxy:
    """The components of one proxy, with a server and clients in the same process."""

    def __init__(self, account: MemoryAccount) -> None:
        """Start the proxy with one established connection.

        Args:
            account: The memory account that the components charge.
        """
        self.loop = EventLoop()
        self.pool = BufferPool(account)
        self.log = RateLimitedLog(self.loop)
        metrics = Metrics.for_classes(["chat"])
        self.dispatcher = Dispatcher(self.loop, self.log, SETTINGS, 1, metrics, account)
        self.server_listener = socket.create_server(LOOPBACK, backlog=ACCEPT_BACKLOG)
        self.dispatcher.attach_transport(self._make_transport())
        self.listener = self._make_listener(account)
        self.listener.open()
        self.dispatcher.queue_event(
            EndpointListUpdate(EndpointListKind.COMPLETE, 1, (Endpoint("s0"),))
        )
        self.loop.on_iteration_end = self.dispatcher.dispatch_events
        self.request_number = 0
        self.client, self.server = self.establish_connection()

    def _make_transport(self) -> Transport:
        """Return a transport whose only working operation is starting attempts."""
        return Transport(
            endpoints=self,
            start_attempt=self.start_attempt,
            check_health=lambda server_id, address: None,
            close_idle_connections=lambda server_id: None,
            set_watch_enabled=lambda on: None,
            poll_endpoints=lambda: None,
            send_gossip=lambda peer, data: None,
            announce_identity=lambda identity, is_open, execution: None,
            is_open_elsewhere=lambda identity: False,
        )

    def _make_listener(self, account: MemoryAccount) -> Listener:
        """Return the listener for client connections."""
        limits = ConnectionLimits(self.loop, account, [1.0], MAX_DESCRIPTORS)
        return Listener(
            self.loop,
            self.pool,
            self.dispatcher.requests,
            self.log,
            LOOPBACK,
            {"chat": 0},
            {},
            MAX_DESCRIPTORS,
            limits,
        )

    def find_address(self, server_id: str) -> tuple[str, int]:
        """Return the address of the only server."""
        address: tuple[str, int] = self.server_listener.getsockname()
        return address

    def drain_notified_at_us(self, server_id: str) -> int | None:
        """Return None: the server never drains."""
        return None

    def start_attempt(
        self, request_id: int, payload: bytes, address: tuple[str, int], timeout_us: int
    ) -> UpstreamAttempt:
        """Start an attempt on the server."""
        return TextUpstreamAttempt(
            self.loop,
            self.pool,
            self.dispatcher.attempts,
            request_id,
            payload,
            address,
            CONNECT_TIMEOUT_US,
            timeout_us,
        )

    def run_iterations(self, count: int) -> None:
        """Run iterations of the event loop without waiting."""
        for _ in range(count):
            self.loop.skip_next_wait()
            self.loop.run_once()

    def establish_connection(self) -> tuple[socket.socket, socket.socket]:
        """Establish a connection through the proxy.

        Returns:
            The client's socket and the server's.
        """
        self.request_number += 1
        client = socket.create_connection(self.listener.address)
        client.sendall(REQUEST_LINE % self.request_number)
        self.run_iterations(3)
        server, _ = self.server_listener.accept()
        server.recv(RECEIVE_BYTES)
        server.sendall(ESTABLISHED_LINE)
        self.run_iterations(2)
        assert client.recv(RECEIVE_BYTES) == ESTABLISHED_LINE
        return client, server

    def measure_line_round_trips(self) -> float:
        """Relay lines in both directions; return the processor time per round trip in µs."""
        started_s = time.process_time()
        for _ in range(LINE_ROUND_TRIPS):
            self.client.sendall(MESSAGE_LINE)
            self.run_iterations(1)
            self.server.sendall(self.server.recv(RECEIVE_BYTES))
            self.run_iterations(1)
            self.client.recv(RECEIVE_BYTES)
        return (time.process_time() - started_s) / LINE_ROUND_TRIPS * 1e6

    def measure_connection_setups(self) -> float:
        """Establish and close connections; return the processor time per connection in µs."""
        started_s = time.process_time()
        for _ in range(CONNECTION_SETUPS):
            client, server = self.establish_connection()
            client.close()
            self.run_iterations(2)
            server.close()
            self.run_iterations(1)
        return (time.process_time() - started_s) / CONNECTION_SETUPS * 1e6


class Samples:
    """The measured times of one proxy, in microseconds per operation."""

    def __init__(self) -> None:
        """Start without samples."""
        self.times_us: dict[Operation, list[float]] = {operation: [] for operation in Operation}

    def add_round(self, proxy: BenchmarkProxy) -> None:
        """Time both operations once."""
        self.times_us[Operation.LINE_ROUND_TRIP].append(proxy.measure_line_round_trips())
        self.times_us[Operation.CONNECTION_SETUP].append(proxy.measure_connection_setups())

    def median_us(self, operation: Operation) -> float:
        """Return the median time of an operation."""
        return statistics.median(self.times_us[operation])


def run_rounds(round_count: int) -> dict[Operation, Comparison]:
    """Time a proxy with the account and one without it, in a random order each round."""
    caps = dict.fromkeys(MemoryPurpose, CAP_BYTES)
    with_account = BenchmarkProxy(MemoryAccount(caps))
    without_account = BenchmarkProxy(NullAccount(caps))
    gc.freeze()
    samples = {with_account: Samples(), without_account: Samples()}
    for _ in range(round_count):
        for proxy in random.sample(list(samples), len(samples)):
            samples[proxy].add_round(proxy)
    return {
        operation: compare_medians(
            samples[with_account].median_us(operation),
            samples[without_account].median_us(operation),
        )
        for operation in Operation
    }


def compare_medians(with_us: float, without_us: float) -> Comparison:
    """Return both medians, rounded, with their ratio."""
    return Comparison(round(with_us, 2), round(without_us, 2), round(with_us / without_us, 4))


def main() -> None:
    """Time the operations and print the comparisons."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=15)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    comparisons = run_rounds(options.rounds)
    if options.json:
        print(msgspec.json.encode(comparisons).decode())
        return
    for operation, row in comparisons.items():
        print(f"{operation}: {row.with_us} us with, {row.without_us} us without: {row.ratio} times")


if __name__ == "__main__":
    main()
