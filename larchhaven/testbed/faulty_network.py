"""A network between real processes: each pair's link by itself, both ways apart, with delay, loss and cuts.

Every process has addresses of its own for all others: a socket of the network stands at each, and passes what
comes from the one on to the other, from the address under which the other knows the one. So what is done to a
link is done outside the processes, and needs no rights on the machine.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Collection
from dataclasses import dataclass
from functools import partial

from larchhaven.testbed.proxy_process import free_port

HERE = "127.0.0.1"


@dataclass(slots=True)
class Link:
    """One way from one process to another."""

    cut: bool = False
    loss: float = 0.0
    delay_s: float = 0.0  # mean of an exponential part
    doubled: float = 0.0
    passed: int = 0
    lost: int = 0
    longest: int = 0


class _Post(asyncio.DatagramProtocol):
    """Where one process sends to another, and from where it hears of that other."""

    def __init__(self, network: Network, near: int, far: int) -> None:
        self._network = network
        self.near = near
        self.far = far
        self.transport: asyncio.DatagramTransport | None = None

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take what the near process sends to the far one."""
        if addr[1] == self._network.ports[self.near]:
            self._network.carry(self.near, self.far, data)

    def error_received(self, exc: Exception) -> None:
        """Nothing: the process may have ended."""


def _itself(post: _Post) -> _Post:
    return post


class Network:
    """The links between so many processes."""

    def __init__(self, size: int, rng: random.Random) -> None:
        self.ports = [free_port() for _ in range(size)]
        self.links = {(a, b): Link() for a in range(size) for b in range(size) if a != b}
        self._posts: dict[tuple[int, int], _Post] = {}
        self._rng = rng

    async def start(self) -> None:
        """Open a socket for each end of each pair."""
        loop = asyncio.get_running_loop()
        for near, far in self.links:
            post = _Post(self, near, far)
            post.transport, _ = await loop.create_datagram_endpoint(
                partial(_itself, post), (HERE, 0)
            )
            self._posts[near, far] = post

    def stop(self) -> None:
        """Close all."""
        for post in self._posts.values():
            if post.transport is not None:
                post.transport.close()

    def peers(self, number: int) -> list[str]:
        """Return a process's table of peers: its own place is its own address."""
        found = []
        for other in range(len(self.ports)):
            port = self.ports[number]
            if other != number:
                transport = self._posts[number, other].transport
                assert transport is not None
                port = transport.get_extra_info("sockname")[1]
            found.append(f"{HERE}:{port}")
        return found

    def carry(self, source: int, target: int, data: bytes) -> None:
        """Pass a datagram on, or not."""
        link, rng = self.links[source, target], self._rng
        link.longest = max(link.longest, len(data))
        if link.cut or rng.random() < link.loss:
            link.lost += 1
            return
        link.passed += 1
        for _ in range(2 if rng.random() < link.doubled else 1):
            if link.delay_s:
                delay = rng.expovariate(1 / link.delay_s)
                asyncio.get_running_loop().call_later(delay, self._hand, source, target, data)
            else:
                self._hand(source, target, data)

    def _hand(self, source: int, target: int, data: bytes) -> None:
        transport = self._posts[target, source].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, (HERE, self.ports[target]))

    def forge(self, source: int, target: int, data: bytes) -> None:
        """Send something to a process as if another had."""
        self._hand(source, target, data)

    # What is done to links

    def cut(
        self, sources: Collection[int], targets: Collection[int], one_way: bool = False
    ) -> None:
        """Cut all links from these to those, and back unless it is one way."""
        self._set(sources, targets, True, one_way)

    def heal(self, sources: Collection[int], targets: Collection[int]) -> None:
        """Let everything pass again, both ways."""
        self._set(sources, targets, False, False)

    def _set(
        self, sources: Collection[int], targets: Collection[int], cut: bool, one_way: bool
    ) -> None:
        for a in sources:
            for b in targets:
                if a != b:
                    self.links[a, b].cut = cut
                    if not one_way:
                        self.links[b, a].cut = cut

    def weather(self, *, loss: float = 0.0, delay_s: float = 0.0, doubled: float = 0.0) -> None:
        """Change all links at once."""
        for link in self.links.values():
            link.loss, link.delay_s, link.doubled = loss, delay_s, doubled
