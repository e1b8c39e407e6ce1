"""Sends datagrams to the other proxies and receives theirs; any may be late or lost."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable, Sequence

from larchhaven.net.core.event_loop import READ, EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog

MAX_DATAGRAM_BYTES = 256
MAX_READS_PER_WAKEUP = 64

Address = tuple[str, int]


class PeerSocket:
    """The UDP socket of this proxy, and the addresses of its peers.

    Args:
        loop: The event loop.
        log: Receives warnings about datagrams that are dropped or not sent.
        own_address: Address to listen on.
        peers: Addresses of all proxies by index, including this one.
        broadcast_address: Address that reaches all other proxies; None to send to each of them.
        on_datagram: Called with the index of the sender and the datagram.
        is_shared: Whether the other process of a hot restart listens on the same address; the
            newer process receives the datagrams.
        on_invalid_datagram: Called for each datagram that is dropped.
    """

    def __init__(
        self,
        loop: EventLoop,
        log: RateLimitedLog,
        own_address: Address,
        peers: Sequence[Address],
        broadcast_address: Address | None,
        on_datagram: Callable[[int, bytes], None],
        is_shared: bool,
        on_invalid_datagram: Callable[[], None],
    ) -> None:
        self._log = log
        self._peers = list(peers)
        self._peer_indexes = {address: index for index, address in enumerate(peers)}
        self._broadcast_address = broadcast_address
        self._on_datagram = on_datagram
        self._on_invalid_datagram = on_invalid_datagram
        self._own_address = own_address
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        if is_shared:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(own_address)
        loop.register(self._sock, READ, self._on_readable)

    def send(self, peer_index: int | None, data: bytes) -> None:
        """Send a datagram to one peer, or to all if ``peer_index`` is None."""
        if len(data) > MAX_DATAGRAM_BYTES:
            self._log.warning(
                "datagram too long, not sent", f"{len(data)} bytes, limit {MAX_DATAGRAM_BYTES}"
            )
            return
        for address in self._find_targets(peer_index):
            try:
                self._sock.sendto(data, address)
            except OSError as error:
                self._log.warning("datagram not sent", str(error))

    def _find_targets(self, peer_index: int | None) -> Iterable[Address]:
        if peer_index is None:
            if self._broadcast_address is not None:
                return (self._broadcast_address,)
            return [address for address in self._peers if address != self._own_address]
        if 0 <= peer_index < len(self._peers):
            return (self._peers[peer_index],)
        return ()

    def _on_readable(self, _events: int) -> None:
        for _read in range(MAX_READS_PER_WAKEUP):
            try:
                # One byte more than allowed, to detect datagrams that are too long.
                data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                continue  # an earlier datagram was refused by its receiver
            self._receive(data, sender)

    def _receive(self, data: bytes, sender: Address) -> None:
        peer_index = self._peer_indexes.get(sender)
        if peer_index is None:
            self._drop("datagram from unknown address dropped", data, sender)
        elif len(data) > MAX_DATAGRAM_BYTES:
            self._drop("datagram too long, dropped", data, sender)
        else:
            self._on_datagram(peer_index, data)

    def _drop(self, reason: str, data: bytes, sender: Address) -> None:
        self._on_invalid_datagram()
        self._log.warning(reason, f"{len(data)} bytes from {sender[0]}")
