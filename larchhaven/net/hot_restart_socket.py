"""The Unix socket through which the two processes of a hot restart communicate."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Protocol

from larchhaven.errors import LarchhavenError
from larchhaven.net.core.event_loop import READ, EventLoop
from larchhaven.net.hot_restart_messages import InvalidMessageError, Message, decode, encode

SOCKET_NAME = "larchhaven-upgrade.sock"
ACCEPT_BACKLOG = 4
# The longest messages: a connection with four full buffers, or the hashes of all open identities.
MAX_MESSAGE_BYTES = 128 << 10
MAX_MESSAGES_PER_ITERATION = 64
# One for the client's socket and one for the server's.
MAX_DESCRIPTORS_PER_MESSAGE = 2


class ChannelClosedError(LarchhavenError):
    """The other process has closed its end of the channel."""


class TruncatedMessageError(LarchhavenError):
    """A message is longer than ``MAX_MESSAGE_BYTES``, or its descriptors were not all received."""


def close_descriptors(descriptors: Iterable[int]) -> None:
    """Close received descriptors that are not used."""
    for descriptor in descriptors:
        os.close(descriptor)


class ChannelListener(Protocol):
    """Receives the events of a channel."""

    def on_message(
        self, channel: HotRestartChannel, message: Message, descriptors: Sequence[int]
    ) -> None:
        """Handle a message; the listener becomes the owner of its descriptors."""

    def on_channel_closed(self, channel: HotRestartChannel, reason: str) -> None:
        """Handle a closed channel; the reason is empty if the other process closed it."""


class HotRestartChannel:
    """One end of the connection between the two processes.

    Args:
        loop: The event loop.
        sock: The connected socket; the channel becomes its owner.
        listener: Receives the messages, and is notified when the channel is closed.

    Attributes:
        closed: Whether this end is closed.
    """

    def __init__(self, loop: EventLoop, sock: socket.socket, listener: ChannelListener) -> None:
        sock.setblocking(False)
        self._loop = loop
        self._sock = sock
        self._listener = listener
        self._registration = loop.register(sock, READ, self._on_readable)
        self.closed = False

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> bool:
        """Send a message, completely or not at all.

        Returns:
            Whether it was sent.
        """
        if self.closed:
            return False
        try:
            socket.send_fds(self._sock, [encode(message)], list(descriptors))
        except OSError:  # the socket buffer is full, or the other process has exited
            return False
        return True

    def close(self, reason: str = "") -> None:
        """Close this end and notify the listener."""
        if not self.closed:
            self.closed = True
            self._loop.unregister(self._registration)
            self._sock.close()
            self._listener.on_channel_closed(self, reason)

    def _on_readable(self, _: int) -> None:
        for _index in range(MAX_MESSAGES_PER_ITERATION):
            try:
                message, descriptors = self._receive()
            except BlockingIOError:
                return
            except (OSError, LarchhavenError) as error:
                self.close(str(error))
                return
            self._listener.on_message(self, message, descriptors)
            if self.closed:
                return

    def _receive(self) -> tuple[Message, list[int]]:
        data, descriptors, flags, _address = socket.recv_fds(
            self._sock, MAX_MESSAGE_BYTES, MAX_DESCRIPTORS_PER_MESSAGE
        )
        try:
            return _decode_datagram(data, flags), descriptors
        except (ChannelClosedError, TruncatedMessageError, InvalidMessageError):
            close_descriptors(descriptors)
            raise


def _decode_datagram(data: bytes, flags: int) -> Message:
    """Return the message in a datagram.

    Raises:
        ChannelClosedError: If the data is empty: the other process has closed the channel.
        TruncatedMessageError: If the message was longer than the read buffer, or not all of its
            descriptors could be received.
        InvalidMessageError: If the data is not a valid message.
    """
    if not data:
        raise ChannelClosedError
    if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
        raise TruncatedMessageError(
            f"message truncated: longer than {MAX_MESSAGE_BYTES} bytes,"
            " or not all of its descriptors could be received"
        )
    return decode(data)


class HotRestartSocket:
    """The socket file in the directory that both processes share.

    Args:
        loop: The event loop.
        directory: The shared directory; if it is empty, ``connect`` and ``listen`` fail.
    """

    def __init__(self, loop: EventLoop, directory: str) -> None:
        self._loop = loop
        self._directory = directory

    def connect(self) -> socket.socket:
        """Connect to the predecessor.

        Raises:
            OSError: If there is no predecessor.
        """
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with self._short_path(SOCKET_NAME) as path:
                sock.connect(path)
        except OSError:
            sock.close()
            raise
        return sock

    def listen(self, on_accepted: Callable[[socket.socket], None]) -> None:
        """Replace the predecessor's socket file, so that the successor connects to this one.

        Args:
            on_accepted: Called with the socket of each connection.

        Raises:
            OSError: If the socket file cannot be created.
        """
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        temporary_name = f"{SOCKET_NAME}.{os.getpid()}"
        try:
            with self._short_path(temporary_name) as path:
                sock.bind(path)
            sock.listen(ACCEPT_BACKLOG)
            directory = Path(self._directory)
            (directory / temporary_name).rename(directory / SOCKET_NAME)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self._loop.register(sock, READ, lambda _: self._accept(sock, on_accepted))

    def _accept(self, sock: socket.socket, on_accepted: Callable[[socket.socket], None]) -> None:
        try:
            accepted, _address = sock.accept()
        except OSError:
            return  # the connecting process has given up
        on_accepted(accepted)

    @contextmanager
    def _short_path(self, name: str) -> Iterator[str]:
        """Yield a path through the directory's descriptor: Unix socket paths must be short."""
        directory = os.open(self._directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            yield f"/proc/self/fd/{directory}/{name}"
        finally:
            os.close(directory)
