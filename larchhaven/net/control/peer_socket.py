"""Messages to the other proxies of the tier: UDP datagrams that come late or never."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence

from larchhaven.net.core.event_loop import READ, EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog

MAX_DATAGRAM_BYTES = 256
MAX_READS_PER_WAKEUP = 64

Address = tuple[str, int]


class PeerSocket:
    """Sends to one proxy or to all, and tells from whom a message came."""

    def __init__(
        self,
        loop: EventLoop,
        notices: RateLimitedLog,
        listen: Address,
        peers: Sequence[Address],
        everyone: Address | None,
        heard: Callable[[int, bytes], None],
        shared: bool,
        strange: Callable[[], None],
    ) -> None:
        self._notices = notices
        self._peers = list(peers)
        self._numbers = {address: i for i, address in enumerate(peers)}
        self._everyone = everyone
        self._heard = heard
        self._strange = strange
        self._own = listen
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        if shared:  # with the other process of an upgrade; the younger one gets what comes
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(listen)
        loop.register(self._sock, READ, self._on_ready)

    def send(self, peer_index: int | None, data: bytes) -> None:
        """Send a message to one proxy, or to every other one."""
        if len(data) > MAX_DATAGRAM_BYTES:
            self._notices.warning("message to peers left out", f"{len(data)} bytes")
            return
        if peer_index is not None:
            targets = self._peers[peer_index : peer_index + 1] if peer_index >= 0 else []
        elif self._everyone is not None:
            targets = [self._everyone]
        else:
            targets = [address for address in self._peers if address != self._own]
        for address in targets:
            try:
                self._sock.sendto(data, address)
            except OSError as error:
                self._notices.warning("message to peers lost", str(error))

    def _on_ready(self, _: int) -> None:
        for _turn in range(MAX_READS_PER_WAKEUP):
            try:
                data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                continue  # an earlier datagram was refused at its target
            number = self._numbers.get(sender)
            if number is None or len(data) > MAX_DATAGRAM_BYTES:
                self._strange()
                self._notices.warning("strange datagram", f"{len(data)} bytes from {sender[0]}")
            else:
                self._heard(number, data)
