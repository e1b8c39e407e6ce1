"""A stand-in client's connection to a proxy: reading lines, closing, aborting and resetting."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

STREAM_LIMIT_BYTES = 1 << 16
SMALL_STREAM_LIMIT_BYTES = 1024
SMALL_RECEIVE_BUFFER_BYTES = 4096
# SO_LINGER enabled with a timeout of 0 s: closing the socket resets the connection.
_LINGER_FOR_RESET = struct.pack("ii", 1, 0)


class ClientConnection:
    """A connection of a client to a proxy.

    Attributes:
        reader: Stream of data from the proxy.
        writer: Stream of data to the proxy.
        was_broken_by_client: Whether ``abort`` was called.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.was_broken_by_client = False

    async def read_line(self) -> str:
        """Read a line.

        Returns:
            The line without its line ending; empty if the connection ended or failed, or if the
            line is longer than the stream's limit.
        """
        try:
            line = await self.reader.readuntil(b"\r\n")
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
            return ""
        return line.decode("latin-1").removesuffix("\r\n")

    def abort(self) -> None:
        """Abort the connection: close it at once, without flushing what was written."""
        self.was_broken_by_client = True
        self.writer.transport.abort()

    def reset(self) -> None:
        """Reset the connection (TCP RST)."""
        sock: socket.socket = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_FOR_RESET)
        self.writer.transport.abort()

    def close(self) -> None:
        """Close the connection; errors of a connection that has already failed are ignored."""
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.close()


async def connect(address: tuple[str, int], *, small_buffers: bool = False) -> ClientConnection:
    """Connect to a proxy.

    Args:
        address: Host and port.
        small_buffers: Whether to use small receive buffers, so that unread data soon backs up
            into the proxy.

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
