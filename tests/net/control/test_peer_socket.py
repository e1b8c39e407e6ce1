"""Datagrams between proxies: foreign, oversized and malformed ones are dropped and counted."""

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


def test_datagrams_from_unknown_addresses_and_long_ones_are_counted_and_dropped() -> None:
    loop = EventLoop()
    known, stranger = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    known.bind(("127.0.0.1", 0))
    own = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    own.bind(("127.0.0.1", 0))
    address = own.getsockname()
    own.close()
    received: list[tuple[int, bytes]] = []
    unknown_senders: list[None] = []
    tier = [address, known.getsockname()]
    PeerSocket(
        loop,
        RateLimitedLog(loop),
        address,
        tier,
        None,
        lambda peer, data: received.append((peer, data)),
        False,
        lambda: unknown_senders.append(None),
    )
    for _ in range(3):
        stranger.sendto(PROXY_STARTED, address)
    known.sendto(bytes(MAX_DATAGRAM_BYTES + 1), address)
    # On loopback nothing overtakes what one socket sent before.
    known.sendto(PROXY_STARTED, address)
    for _ in range(200):
        loop.call_later(10_000, lambda: None)
        loop.run_once()
        if received and len(unknown_senders) == 4:
            break
    assert received == [(1, PROXY_STARTED)]
    assert len(unknown_senders) == 4
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
