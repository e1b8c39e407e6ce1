"""What a test does with the sockets of clients and servers."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable

from larchhaven.memory.item_costs import BUFFER_BYTES
from tests.in_process_proxy import InProcessProxy


def read(sock: socket.socket) -> bytes:
    """Read all that has come; ``!`` stands for a reset, ``.`` for an end."""
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
    """Return the request lines that servers have received."""
    return [line for line in map(read, harness.server_sockets) if line.startswith(b"OPEN ")]


def fill_buffers(sock: socket.socket, harness: InProcessProxy) -> None:
    """Send more than a buffer holds, as far as it goes."""
    with contextlib.suppress(OSError):  # answered meanwhile, as it should be
        for _ in range(8):
            with contextlib.suppress(BlockingIOError):
                sock.send(b"z" * 2_000 + b"\r\n")
            harness.run(2)


END: Callable[[socket.socket], object] = socket.socket.close
WAYS_TO_LEAVE: dict[
    str, tuple[Callable[[socket.socket, InProcessProxy], object], Callable[[socket.socket], object]]
] = {
    "end": (lambda sock, harness: None, END),
    "half-close": (lambda sock, harness: None, lambda sock: sock.shutdown(socket.SHUT_WR)),
    "reset": (lambda sock, harness: None, reset),
    "end behind a line": (lambda sock, harness: sock.send(b"early\r\n"), END),
    "end behind much": (fill_buffers, END),
    "reset behind much": (fill_buffers, reset),
}


def leave(sock: socket.socket, harness: InProcessProxy, way: str) -> None:
    before, end = WAYS_TO_LEAVE[way]
    before(sock, harness)
    end(sock)
