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
    peer_socket, foreign_socket = (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)
    )
    peer_socket.bind(("127.0.0.1", 0))
    reserved_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    reserved_socket.bind(("127.0.0.1", 0))
    own_address = reserved_socket.getsockname()
    reserved_socket.close()
    received: list[tuple[int, bytes]] = []
    dropped: list[None] = []
    peers = [own_address, peer_socket.getsockname()]
    PeerSocket(
        loop,
        RateLimitedLog(loop),
        own_address,
        peers,
        None,
        lambda peer, data: received.append((peer, data)),
        False,
        lambda: dropped.append(None),
    )
    for _ in range(3):
        foreign_socket.sendto(PROXY_STARTED, own_address)
    peer_socket.sendto(bytes(MAX_DATAGRAM_BYTES + 1), own_address)
    # Loopback preserves the order of datagrams from one socket.
    peer_socket.sendto(PROXY_STARTED, own_address)
    for _ in range(200):
        loop.call_later(10_000, lambda: None)
        loop.run_once()
        if received and len(dropped) == 4:
            break
    assert received == [(1, PROXY_STARTED)]
    assert len(dropped) == 4
    for sock in (peer_socket, foreign_socket):
        sock.close()


def test_messages_of_each_kind_are_validated_by_their_size() -> None:
    valid = (
        PROXY_STARTED,
        STICKY_ENTRY_QUERY + b"abcd",
        STICKY_ENTRIES + b"abcdef",
        STICKY_ENTRIES + bytes(252),
        b"R",
        b"R123",
    )
    invalid = (
        b"",
        PROXY_STARTED + b"x",
        STICKY_ENTRY_QUERY,
        STICKY_ENTRY_QUERY + b"abcde",
        STICKY_ENTRIES,
        STICKY_ENTRIES + b"abcde",
        LEARNED_STATE + bytes(56),
        b"x",
    )
    assert all(is_peer_message(decode(data)) for data in valid)
    assert not any(is_peer_message(decode(data)) for data in invalid)
