"""The Unix socket on which the two processes of a hot restart meet."""

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
# The longest message: the state of a connection with four full buffers, or the open identities.
MAX_MESSAGE_BYTES = 128 << 10
MAX_MESSAGES_PER_ITERATION = 64
# A connection has a client's and a server's side.
MAX_DESCRIPTORS_PER_MESSAGE = 2


class ChannelClosedError(LarchhavenError):
    """The other process has closed its end."""


class TruncatedMessageError(LarchhavenError):
    """A message is longer than ``MAX_MESSAGE_BYTES`` or carries too many descriptors."""


def close_descriptors(descriptors: Iterable[int]) -> None:
    """Close descriptors that were received and are of no use."""
    for descriptor in descriptors:
        os.close(descriptor)


class ChannelListener(Protocol):
    """Receives the events of a channel."""

    def on_message(
        self, channel: HotRestartChannel, message: Message, descriptors: Sequence[int]
    ) -> None:
        """Handle a message; its descriptors belong to the listener from here on."""

    def on_channel_closed(self, channel: HotRestartChannel, reason: str) -> None:
        """Handle the end of a channel; the reason is empty if the other process closed it."""


class HotRestartChannel:
    """One end of the connection between the two processes.

    Args:
        loop: The event loop.
        sock: The connected socket; the channel owns it from here on.
        listener: Receives the messages and the end.
    """

    def __init__(self, loop: EventLoop, sock: socket.socket, listener: ChannelListener) -> None:
        sock.setblocking(False)
        self._loop = loop
        self._sock = sock
        self._listener = listener
        self._registration = loop.register(sock, READ, self._on_readable)
        self.closed = False

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> bool:
        """Send a whole message, or nothing of it.

        Returns:
            Whether it was sent.
        """
        if self.closed:
            return False
        try:
            socket.send_fds(self._sock, [encode(message)], list(descriptors))
        except OSError:  # its buffer is full, or the other process is gone
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
        for _turn in range(MAX_MESSAGES_PER_ITERATION):
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
    """Return the message of a datagram.

    Raises:
        ChannelClosedError: The other process has closed the channel.
        TruncatedMessageError: The message is longer than is read.
        InvalidMessageError: The bytes are no message.
    """
    if not data:
        raise ChannelClosedError
    if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
        raise TruncatedMessageError("message too long")
    return decode(data)


class HotRestartSocket:
    """The socket file in the directory that the two processes share.

    Args:
        loop: The event loop.
        directory: The shared directory; if it is empty, nothing can be reached or listened to.
    """

    def __init__(self, loop: EventLoop, directory: str) -> None:
        self._loop = loop
        self._directory = directory

    def connect(self) -> socket.socket:
        """Connect to the predecessor.

        Raises:
            OSError: If there is none.
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
        """Listen in place of the predecessor, so that the next process finds this one.

        Args:
            on_accepted: Receives each connection.

        Raises:
            OSError: If the directory cannot hold a socket.
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
            return  # it has gone again
        on_accepted(accepted)

    @contextmanager
    def _short_path(self, name: str) -> Iterator[str]:
        """Name a file by its directory's descriptor: the address of a Unix socket must be short."""
        directory = os.open(self._directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            yield f"/proc/self/fd/{directory}/{name}"
        finally:
            os.close(directory)
