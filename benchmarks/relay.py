"""What the memory account costs: line round trips and set-ups with and without it, in one run.

    python -m benchmarks.relay [--rounds 15] [--json]

Both ways run the real parts in this process, on loopback sockets: listener, dispatcher, decisions,
attempt and relay. Without the account means one whose methods do nothing. Each round times both
ways, the order drawn anew; the ratio is of the medians of processor time, which other load on the
machine moves less than wall time.
"""

from __future__ import annotations

import argparse
import gc
import json
import random
import socket
import statistics
import time
from typing import Any

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

LINES = 1_500
SETUPS = 250


class NoAccount(MemoryAccount):
    """Grants all and counts nothing."""

    def try_charge(self, purpose: MemoryPurpose, size: int) -> bool:
        """Grant."""
        return True

    def charge(self, purpose: MemoryPurpose, size: int) -> None:
        """Count nothing."""

    def release(self, purpose: MemoryPurpose, size: int) -> None:
        """Count nothing."""


class Way:
    """One proxy's parts, with an exam server and clients in the same process."""

    def __init__(self, account: MemoryAccount) -> None:
        self.loop = loop = EventLoop()
        self.pool = pool = BufferPool(account)
        settings = RoutingSettings(
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
        notices = RateLimitedLog(loop)
        self.dispatcher = dispatcher = Dispatcher(
            loop, notices, settings, 1, Metrics.for_classes(["chat"]), account
        )
        self.server = socket.create_server(("127.0.0.1", 0), backlog=64)
        dispatcher.attach_transport(
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
        rooms = ConnectionLimits(loop, account, [1.0], 1_000)
        self.listener = Listener(
            loop,
            pool,
            dispatcher.requests,
            notices,
            ("127.0.0.1", 0),
            {"chat": 0},
            {},
            1_000,
            rooms,
        )
        self.listener.open()
        dispatcher.queue_event(EndpointListUpdate(EndpointListKind.COMPLETE, 1, (Endpoint("s0"),)))
        loop.on_iteration_end = dispatcher.dispatch_events
        self.number = 0
        self.client, self.instance = self.open()

    def find_address(self, server_id: str) -> tuple[str, int]:
        """Where the exam server is."""
        address: tuple[str, int] = self.server.getsockname()
        return address

    def drain_notified_at_us(self, server_id: str) -> int | None:
        """It never drains."""
        return None

    def begin(
        self, token: int, payload: bytes, address: tuple[str, int], wait_us: int
    ) -> UpstreamAttempt:
        """Begin an execution."""
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

    def turns(self, count: int) -> None:
        """Turn without waiting."""
        for _ in range(count):
            self.loop.skip_next_wait()
            self.loop.run_once()

    def open(self) -> tuple[socket.socket, socket.socket]:
        """Bring up one connection."""
        self.number += 1
        client = socket.create_connection(self.listener.address)
        client.sendall(b"OPEN %016x 7f c=chat,d=2000\r\n" % self.number)
        self.turns(3)
        instance, _ = self.server.accept()
        instance.recv(4096)
        instance.sendall(b"UP 1\r\n")
        self.turns(2)
        assert client.recv(4096) == b"UP 1\r\n"
        return client, instance

    def lines(self) -> float:
        """Pass lines both ways; return microseconds of CPU a round trip."""
        begun = time.process_time()
        for _ in range(LINES):
            self.client.sendall(b"question 1\r\n")
            self.turns(1)
            self.instance.sendall(self.instance.recv(4096))
            self.turns(1)
            self.client.recv(4096)
        return (time.process_time() - begun) / LINES * 1e6

    def setups(self) -> float:
        """Bring connections up and end them; return microseconds of CPU each."""
        begun = time.process_time()
        for _ in range(SETUPS):
            client, instance = self.open()
            client.close()
            self.turns(2)
            instance.close()
            self.turns(1)
        return (time.process_time() - begun) / SETUPS * 1e6


def main() -> None:
    """Measure and print."""
    options = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    options.add_argument("--rounds", type=int, default=15)
    options.add_argument("--json", action="store_true")
    given = options.parse_args()
    caps = dict.fromkeys(MemoryPurpose, 64 << 20)
    ways = {"with": Way(MemoryAccount(caps)), "without": Way(NoAccount(caps))}
    gc.freeze()
    figures: dict[str, dict[str, list[float]]] = {
        what: {w: [] for w in ways} for what in ("lines", "setups")
    }
    for _ in range(given.rounds):
        for name in random.sample(list(ways), 2):
            figures["lines"][name].append(ways[name].lines())
            figures["setups"][name].append(ways[name].setups())
    found: dict[str, Any] = {}
    for what, both in figures.items():
        middle = {name: statistics.median(values) for name, values in both.items()}
        ratio = middle["with"] / middle["without"]
        found[what] = {
            **{f"{n}_us": round(v, 2) for n, v in middle.items()},
            "ratio": round(ratio, 4),
        }
    if given.json:
        print(json.dumps(found))
        return
    for what, row in found.items():
        print(
            f"{what}: {row['with_us']} us with, {row['without_us']} us without:"
            f" {row['ratio']} times"
        )


if __name__ == "__main__":
    main()
