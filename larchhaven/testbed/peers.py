"""Stand-ins for other proxies: they receive datagrams and send random ones."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

from larchhaven.testbed.event_record import EventKind, EventRecorder

MAX_DATAGRAM_BYTES = 256
MAX_RANDOM_SUFFIX_BYTES = 64
# Prefixes of random datagrams: none, unknown message kinds, and data of at least the maximum size.
_PREFIXES = (
    b"",
    b"?",
    b"!",
    b"\x00",
    b"hold",
    b"A" * MAX_DATAGRAM_BYTES,
    b"A" * (MAX_DATAGRAM_BYTES + 1),
)


class PeerStandIn(asyncio.DatagramProtocol):
    """A stand-in for one proxy: an address in the peer table without a real proxy behind it.

    Attributes:
        name: Its name in records.
        received_datagrams: Number of datagrams received.
    """

    def __init__(self, name: str, recorder: EventRecorder, rng: random.Random) -> None:
        self.name = name
        self.received_datagrams = 0
        self._recorder = recorder
        self._rng = rng
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, port: int) -> None:
        """Listen on a port of the loopback address."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", port)
        )

    def stop(self) -> None:
        """Stop listening; datagrams sent here are refused from now on."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, _addr: tuple[str, int]) -> None:
        """Count a datagram, and record it if it is larger than the platform allows."""
        self.received_datagrams += 1
        if len(data) > MAX_DATAGRAM_BYTES:
            self._recorder.record(
                EventKind.OVERSIZED_DATAGRAM, server_name=self.name, amount=float(len(data))
            )

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: the proxy may have ended."""

    async def send_random_datagrams(
        self, datagrams_per_second: float, targets: Callable[[], Sequence[tuple[str, int]]]
    ) -> None:
        """Send random datagrams to all targets until cancelled.

        Args:
            datagrams_per_second: Mean rate to each target; at 0 nothing is sent.
            targets: Returns the current addresses of the proxies.
        """
        while datagrams_per_second > 0:
            await asyncio.sleep(self._rng.expovariate(datagrams_per_second))
            prefix = self._rng.choice(_PREFIXES)
            suffix_bytes = self._rng.randrange(MAX_RANDOM_SUFFIX_BYTES)
            data = prefix + self._rng.randbytes(suffix_bytes)
            for target in targets():
                if self._transport is not None:
                    self._transport.sendto(data, target)
