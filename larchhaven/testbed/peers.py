"""Stand-ins for other proxies: they receive datagrams and send valid or random ones."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

from larchhaven.testbed.event_record import EventKind, EventRecorder

MAX_DATAGRAM_BYTES = 256
MAX_RANDOM_SUFFIX_BYTES = 64
# Beginnings of real messages, cut or complete, beside noise.
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
    """One other proxy: an address in the list of peers with nothing behind it.

    Attributes:
        name: Name in records.
        received_datagrams: Number of datagrams received.
    """

    def __init__(self, name: str, recorder: EventRecorder, rng: random.Random) -> None:
        self.name = name
        self.received_datagrams = 0
        self._recorder = recorder
        self._rng = rng
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, port: int) -> None:
        """Listen at a port of the loopback address."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", port)
        )

    def stop(self) -> None:
        """Stop listening; datagrams sent here are refused from now on."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, _addr: tuple[str, int]) -> None:
        """Count a datagram, and record one that is larger than the platform allows."""
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
        """Send datagrams of random content to all targets until cancelled.

        Args:
            datagrams_per_second: Mean rate to each target; 0 sends nothing.
            targets: Returns the present addresses of the proxies.
        """
        while datagrams_per_second > 0:
            await asyncio.sleep(self._rng.expovariate(datagrams_per_second))
            prefix = self._rng.choice(_PREFIXES)
            suffix_bytes = self._rng.randrange(MAX_RANDOM_SUFFIX_BYTES)
            data = prefix + self._rng.randbytes(suffix_bytes)
            for target in targets():
                if self._transport is not None:
                    self._transport.sendto(data, target)
