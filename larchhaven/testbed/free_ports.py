"""Finds free ports for processes whose ports must be known before they listen."""

from __future__ import annotations

import random
import socket
from pathlib import Path

EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_FIRST_EPHEMERAL_PORT = 32_768
FIRST_UNPRIVILEGED_PORT = 1_024
PORT_RANGE_SIZE = 12_000

_random = random.SystemRandom()
_assigned: set[int] = set()


def _port_range() -> range:
    """Return ports below the ephemeral range, so that the system assigns none of them by itself."""
    try:
        first_ephemeral = int(EPHEMERAL_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        first_ephemeral = DEFAULT_FIRST_EPHEMERAL_PORT
    first = max(first_ephemeral - PORT_RANGE_SIZE, FIRST_UNPRIVILEGED_PORT)
    return range(first, max(first_ephemeral, FIRST_UNPRIVILEGED_PORT + PORT_RANGE_SIZE))


def _is_free(port: int) -> bool:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram_socket,
        socket.socket() as stream_socket,
    ):
        try:
            datagram_socket.bind(("127.0.0.1", port))
            stream_socket.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def find_free_port() -> int:
    """Return a port that was just found free for both UDP and TCP.

    No port is returned twice, as an earlier caller may not have bound its port yet.
    """
    while True:
        port = _random.choice(_port_range())
        if port not in _assigned and _is_free(port):
            _assigned.add(port)
            return port
