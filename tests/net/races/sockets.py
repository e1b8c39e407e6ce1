"""Helpers for the client and server sockets of the race tests."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable

from larchhaven.memory.item_costs import BUFFER_BYTES
from tests.in_process_proxy import InProcessProxy


def read(sock: socket.socket) -> bytes:
    """Read all available data, followed by ``!`` for a reset or ``.`` for the end of the stream."""
    received = b""
    with contextlib.suppress(BlockingIOError):
        while True:
            try:
                data = sock.recv(BUFFER_BYTES)
            except ConnectionResetError:
                return received + b"!"
            if not data:
                return received + b"."
            received += data
    return received


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def forwarded_requests(harness: InProcessProxy) -> list[bytes]:
    """Return the request lines received by servers."""
    return [line for line in map(read, harness.server_sockets) if line.startswith(b"OPEN ")]


def fill_buffers(sock: socket.socket, harness: InProcessProxy) -> None:
    """Send more data than a buffer holds, unless the proxy closes the connection first."""
    with contextlib.suppress(OSError):  # the proxy answers and closes when its buffer is full
        for _ in range(8):
            with contextlib.suppress(BlockingIOError):
                sock.send(b"z" * 2_000 + b"\r\n")
            harness.run(2)


END: Callable[[socket.socket], object] = socket.socket.close
DISCONNECT_KINDS: dict[
    str, tuple[Callable[[socket.socket, InProcessProxy], object], Callable[[socket.socket], object]]
] = {
    "end": (lambda sock, harness: None, END),
    "half-close": (lambda sock, harness: None, lambda sock: sock.shutdown(socket.SHUT_WR)),
    "reset": (lambda sock, harness: None, reset),
    "end after a line": (lambda sock, harness: sock.send(b"early\r\n"), END),
    "end after full buffers": (fill_buffers, END),
    "reset after full buffers": (fill_buffers, reset),
}


def disconnect(sock: socket.socket, harness: InProcessProxy, kind: str) -> None:
    before, end = DISCONNECT_KINDS[kind]
    before(sock, harness)
    end(sock)
