"""Short hashes of affinity keys and server ids, for the sticky table and gossip."""

from __future__ import annotations

from zlib import crc32

CRC32_BYTES = 4
KEY_HASH_BYTES = 4
SERVER_HASH_BYTES = 2


def hash_key(affinity_key: int) -> bytes:
    """Return the short hash of a connection's affinity key."""
    return crc32(str(affinity_key).encode()).to_bytes(CRC32_BYTES, "big")[:KEY_HASH_BYTES]


def hash_server_id(server_id: str) -> bytes:
    """Return the short hash of a server's id, identical at all proxies."""
    return crc32(server_id.encode()).to_bytes(CRC32_BYTES, "big")[:SERVER_HASH_BYTES]


def hash_group(affinity_group: int) -> int:
    """Return the hash of an affinity group, identical at all proxies."""
    return crc32(str(affinity_group).encode())
