"""The codec of gossip messages: a kind byte, followed by the body of the message.

=====  ==========================  =============================================================
Kind   Message                     Body
=====  ==========================  =============================================================
``H``  ``StickyEntries``           entries of a key hash (4 bytes) and a server hash (2 bytes)
``Q``  ``StickyEntryQuery``        a key hash
``S``  ``ProxyStarted``            empty
``L``  ``LearnedState``            doubles (little-endian): three values, then a load per class
``R``  ``SharedLoadReports``       entries of a server hash (2 bytes, big-endian) and a level (1)
=====  ==========================  =============================================================
"""

from __future__ import annotations

import struct

from larchhaven.routing.gossip_messages import (
    GossipMessage,
    LearnedState,
    ProxyStarted,
    ServerLoad,
    SharedLoadReports,
    StickyEntries,
    StickyEntry,
    StickyEntryQuery,
    UnrecognizedMessage,
)

STICKY_ENTRIES = b"H"
STICKY_ENTRY_QUERY = b"Q"
PROXY_STARTED = b"S"
LEARNED_STATE = b"L"
LOAD_REPORTS = b"R"

KEY_HASH_BYTES = 4
SERVER_HASH_BYTES = 2
STICKY_ENTRY_BYTES = KEY_HASH_BYTES + SERVER_HASH_BYTES
SERVER_LOAD = struct.Struct(">HB")
DOUBLE_BYTES = 8
LEARNED_SCALARS = 3  # arrival count, mean load, migration credit


def encode(message: GossipMessage) -> bytes:
    """Encode a message."""
    if isinstance(message, StickyEntries):
        return STICKY_ENTRIES + b"".join(key + server for key, server in message.entries)
    if isinstance(message, SharedLoadReports):
        return LOAD_REPORTS + b"".join(SERVER_LOAD.pack(*entry) for entry in message.entries)
    if isinstance(message, StickyEntryQuery):
        return STICKY_ENTRY_QUERY + message.key_hash
    if isinstance(message, LearnedState):
        return LEARNED_STATE + _encode_learned(message)
    if isinstance(message, ProxyStarted):
        return PROXY_STARTED
    return message.data


def decode(data: bytes) -> GossipMessage:
    """Decode a message.

    A load report whose length is not a multiple of the entry size is decoded as one without
    entries. The receiver counts it as invalid, and likewise each entry for an unknown server.

    Returns:
        The message; ``UnrecognizedMessage`` if the kind is unknown or another body is malformed.
    """
    kind, body = data[:1], data[1:]
    if kind == STICKY_ENTRIES and body and len(body) % STICKY_ENTRY_BYTES == 0:
        return StickyEntries(_decode_sticky_entries(body))
    if kind == LOAD_REPORTS:
        return SharedLoadReports(_decode_server_loads(body))
    if kind == STICKY_ENTRY_QUERY and len(body) == KEY_HASH_BYTES:
        return StickyEntryQuery(body)
    if kind == LEARNED_STATE and _is_learned(body):
        return _decode_learned(body)
    if kind == PROXY_STARTED and not body:
        return ProxyStarted()
    return UnrecognizedMessage(data)


def _decode_sticky_entries(body: bytes) -> tuple[StickyEntry, ...]:
    return tuple(
        StickyEntry(
            body[start : start + KEY_HASH_BYTES],
            body[start + KEY_HASH_BYTES : start + STICKY_ENTRY_BYTES],
        )
        for start in range(0, len(body), STICKY_ENTRY_BYTES)
    )


def _decode_server_loads(body: bytes) -> tuple[ServerLoad, ...]:
    if len(body) % SERVER_LOAD.size:
        return ()
    return tuple(map(ServerLoad._make, SERVER_LOAD.iter_unpack(body)))


def _encode_learned(message: LearnedState) -> bytes:
    scalars = message.arrival_count, message.mean_load, message.migration_credit
    values = *scalars, *message.class_loads
    return struct.pack(f"<{len(values)}d", *values)


def _is_learned(body: bytes) -> bool:
    return len(body) % DOUBLE_BYTES == 0 and len(body) >= LEARNED_SCALARS * DOUBLE_BYTES


def _decode_learned(body: bytes) -> LearnedState:
    arrival_count, mean_load, migration_credit, *class_loads = struct.unpack(
        f"<{len(body) // DOUBLE_BYTES}d", body
    )
    return LearnedState(arrival_count, mean_load, migration_credit, tuple(class_loads))
