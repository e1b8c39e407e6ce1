"""Datagrams between proxies: what is foreign, too long or not in our form is dropped and counted."""

from __future__ import annotations

import socket

from larchhaven.gossip.codec import (
    LEARNED_STATE,
    PROXY_STARTED,
    STICKY_ENTRIES,
    STICKY_ENTRY_QUERY,
    decode,
)
from larchhaven.net.control.peer_socket import MAX_DATAGRAM_BYTES, PeerSocket
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.routing.gossip_messages import is_peer_message


def test_datagrams_from_unknown_addresses_and_long_ones_are_counted_and_not_heard() -> None:
    loop = EventLoop()
    known, stranger = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    known.bind(("127.0.0.1", 0))
    own = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    own.bind(("127.0.0.1", 0))
    address = own.getsockname()
    own.close()
    heard: list[tuple[int, bytes]] = []
    strange: list[None] = []
    tier = [address, known.getsockname()]
    PeerSocket(
        loop,
        RateLimitedLog(loop),
        address,
        tier,
        None,
        lambda peer, data: heard.append((peer, data)),
        False,
        lambda: strange.append(None),
    )
    for _ in range(3):
        stranger.sendto(PROXY_STARTED, address)
    known.sendto(bytes(MAX_DATAGRAM_BYTES + 1), address)
    known.sendto(
        PROXY_STARTED, address
    )  # on loopback nothing overtakes what one socket sent before
    for _ in range(200):
        loop.call_later(10_000, lambda: None)
        loop.run_once()
        if heard and len(strange) == 4:
            break
    assert heard == [(1, PROXY_STARTED)]
    assert len(strange) == 4
    for sock in (known, stranger):
        sock.close()


def test_messages_of_each_kind_are_judged_by_their_size() -> None:
    good = (
        PROXY_STARTED,
        STICKY_ENTRY_QUERY + b"abcd",
        STICKY_ENTRIES + b"abcdef",
        STICKY_ENTRIES + bytes(252),
        b"R",
        b"R123",
    )
    bad = (
        b"",
        PROXY_STARTED + b"x",
        STICKY_ENTRY_QUERY,
        STICKY_ENTRY_QUERY + b"abcde",
        STICKY_ENTRIES,
        STICKY_ENTRIES + b"abcde",
        LEARNED_STATE + bytes(56),
        b"x",
    )
    assert all(is_peer_message(decode(data)) for data in good)
    assert not any(is_peer_message(decode(data)) for data in bad)
