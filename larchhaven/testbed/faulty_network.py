"""A faulty network between real processes: delay, loss and cuts, separate for each direction.

The network binds one socket for each ordered pair of processes. The first process of the pair sends
its datagrams for the second one to that socket. The network forwards them from the socket of the
reverse pair, so the receiver sees the address at which it reaches the sender. Faults are therefore
injected outside the processes, and no privileges on the machine are needed.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Collection
from dataclasses import dataclass
from functools import partial

from larchhaven.testbed.free_ports import find_free_port

LOOPBACK = "127.0.0.1"


@dataclass(slots=True)
class NetworkLink:
    """The link from one process to another, in this direction only.

    Attributes:
        is_cut: Whether all datagrams are dropped.
        loss_ratio: Fraction of the datagrams that are dropped at random.
        mean_delay_s: Mean of the exponentially distributed delay; 0 forwards at once.
        duplicate_ratio: Fraction of the datagrams that are delivered twice.
        forwarded: Number of datagrams that were forwarded.
        lost: Number of datagrams that were dropped.
        longest_bytes: Size of the longest datagram sent over the link.
    """

    is_cut: bool = False
    loss_ratio: float = 0.0
    mean_delay_s: float = 0.0
    duplicate_ratio: float = 0.0
    forwarded: int = 0
    lost: int = 0
    longest_bytes: int = 0


class _Endpoint(asyncio.DatagramProtocol):
    """The socket that represents the remote process to the local one."""

    def __init__(self, network: FaultyNetwork, local: int, remote: int) -> None:
        self._network = network
        self._local = local
        self._remote = remote
        self.transport: asyncio.DatagramTransport | None = None

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram of the local process to the remote one."""
        if addr[1] == self._network.ports[self._local]:
            self._network.forward(self._local, self._remote, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: the process may have ended."""


def _return_endpoint(endpoint: _Endpoint) -> _Endpoint:
    return endpoint


class FaultyNetwork:
    """The links between all pairs of processes.

    Attributes:
        ports: UDP port of each process.
        links: The links by source and target process number.
    """

    def __init__(self, size: int, rng: random.Random) -> None:
        self.ports = [find_free_port() for _ in range(size)]
        self.links = {
            (source, target): NetworkLink()
            for source in range(size)
            for target in range(size)
            if source != target
        }
        self._endpoints: dict[tuple[int, int], _Endpoint] = {}
        self._rng = rng

    async def start(self) -> None:
        """Open one socket for each direction of each pair of processes."""
        loop = asyncio.get_running_loop()
        for local, remote in self.links:
            endpoint = _Endpoint(self, local, remote)
            endpoint.transport, _ = await loop.create_datagram_endpoint(
                partial(_return_endpoint, endpoint), (LOOPBACK, 0)
            )
            self._endpoints[local, remote] = endpoint

    def stop(self) -> None:
        """Close all sockets."""
        for endpoint in self._endpoints.values():
            if endpoint.transport is not None:
                endpoint.transport.close()

    def peer_addresses(self, number: int) -> list[str]:
        """Return the peer table of a process; its own entry is the address it listens on."""
        addresses = []
        for peer, process_port in enumerate(self.ports):
            port = process_port
            if peer != number:
                transport = self._endpoints[number, peer].transport
                assert transport is not None
                port = transport.get_extra_info("sockname")[1]
            addresses.append(f"{LOOPBACK}:{port}")
        return addresses

    def forward(self, source: int, target: int, data: bytes) -> None:
        """Forward a datagram, subject to the faults of its link."""
        link = self.links[source, target]
        link.longest_bytes = max(link.longest_bytes, len(data))
        if link.is_cut or self._rng.random() < link.loss_ratio:
            link.lost += 1
            return
        link.forwarded += 1
        copies = 2 if self._rng.random() < link.duplicate_ratio else 1
        for _ in range(copies):
            if link.mean_delay_s:
                delay_s = self._rng.expovariate(1 / link.mean_delay_s)
                loop = asyncio.get_running_loop()
                loop.call_later(delay_s, self._deliver, source, target, data)
            else:
                self._deliver(source, target, data)

    def _deliver(self, source: int, target: int, data: bytes) -> None:
        transport = self._endpoints[target, source].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, (LOOPBACK, self.ports[target]))

    def inject(self, source: int, target: int, data: bytes) -> None:
        """Deliver a forged datagram to the target, sent from the address of the source."""
        self._deliver(source, target, data)

    # Faults

    def cut_links(
        self, sources: Collection[int], targets: Collection[int], *, one_way: bool = False
    ) -> None:
        """Cut all links from the sources to the targets, and back unless ``one_way`` is set."""
        for source, target in self._pairs(sources, targets):
            self.links[source, target].is_cut = True
            if not one_way:
                self.links[target, source].is_cut = True

    def heal_links(self, sources: Collection[int], targets: Collection[int]) -> None:
        """Heal all cuts between the sources and the targets, in both directions."""
        for source, target in self._pairs(sources, targets):
            self.links[source, target].is_cut = False
            self.links[target, source].is_cut = False

    def _pairs(self, sources: Collection[int], targets: Collection[int]) -> list[tuple[int, int]]:
        return [(source, target) for source in sources for target in targets if source != target]

    def set_link_quality(
        self,
        *,
        loss_ratio: float = 0.0,
        mean_delay_s: float = 0.0,
        duplicate_ratio: float = 0.0,
    ) -> None:
        """Set loss, delay and duplication of all links; the defaults clear them. Cuts stay."""
        for link in self.links.values():
            link.loss_ratio = loss_ratio
            link.mean_delay_s = mean_delay_s
            link.duplicate_ratio = duplicate_ratio
