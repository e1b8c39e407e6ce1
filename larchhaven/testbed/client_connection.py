"""One connection of a stand-in client: the streams, and reading and breaking it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

STREAM_LIMIT_BYTES = 1 << 16
SMALL_STREAM_LIMIT_BYTES = 1024
SMALL_RECEIVE_BUFFER_BYTES = 4096
# Linger on, for no time: close() resets the connection.
_LINGER_FOR_RESET = struct.pack("ii", 1, 0)


class ClientConnection:
    """A connection of a client to a proxy.

    Attributes:
        reader: What the proxy sends.
        writer: What is sent to the proxy.
        was_broken_by_client: Whether ``abort`` has broken it.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.was_broken_by_client = False

    async def read_line(self) -> str:
        """Read a line; an end or a break of the connection is the empty string."""
        try:
            line = await self.reader.readuntil(b"\r\n")
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
            return ""
        return line.decode("latin-1").removesuffix("\r\n")

    def abort(self) -> None:
        """Break the connection off."""
        self.was_broken_by_client = True
        self.writer.transport.abort()

    def reset(self) -> None:
        """Break the connection off with a reset."""
        sock: socket.socket = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_FOR_RESET)
        self.writer.transport.abort()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.close()


async def connect(address: tuple[str, int], *, small_buffers: bool = False) -> ClientConnection:
    """Connect to a proxy.

    Args:
        address: Host and port.
        small_buffers: Whether little of what is not read should fit on this side.

    Raises:
        OSError: The connection failed.
    """
    if not small_buffers:
        streams = await asyncio.open_connection(*address, limit=STREAM_LIMIT_BYTES)
        return ClientConnection(*streams)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(sock, address)
    except OSError:
        sock.close()
        raise
    streams = await asyncio.open_connection(sock=sock, limit=SMALL_STREAM_LIMIT_BYTES)
    return ClientConnection(*streams)
