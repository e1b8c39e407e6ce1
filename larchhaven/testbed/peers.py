"""Stand-ins for other proxies of the tier: they hear datagrams, and send sensible or senseless ones."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

from larchhaven.testbed.event_record import Recorder

LONGEST = 256
# What a peer may send beside noise: the beginnings of the decision module's own messages, cut or whole.
_WORDS = (b"", b"?", b"!", b"\x00", b"hold", b"A" * LONGEST, b"A" * (LONGEST + 1))


class Peer(asyncio.DatagramProtocol):
    """One other proxy: an address in the list of peers, and nothing behind it."""

    def __init__(self, name: str, recorder: Recorder, rng: random.Random) -> None:
        self.name = name
        self.heard = 0
        self._recorder = recorder
        self._rng = rng
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, port: int) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", port)
        )

    def stop(self) -> None:
        """Listen no more; what is sent here is refused from now on."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, _addr: tuple[str, int]) -> None:
        """Take a datagram; one that is too long voids a run on the platform."""
        self.heard += 1
        if len(data) > LONGEST:
            self._recorder.note("long", server=self.name, amount=float(len(data)))

    def error_received(self, exc: Exception) -> None:
        """Nothing: the proxy may have ended."""

    async def babble(self, rate: float, targets: Callable[[], Sequence[tuple[str, int]]]) -> None:
        """Send datagrams of any content, so many a second, to all proxies."""
        while rate > 0:
            await asyncio.sleep(self._rng.expovariate(rate))
            data = self._rng.choice(_WORDS) + self._rng.randbytes(self._rng.randrange(64))
            for target in targets():
                if self._transport is not None:
                    self._transport.sendto(data, target)
