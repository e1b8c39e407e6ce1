"""What a stream calls when something happens, as in asyncio's protocols."""

from __future__ import annotations

from typing import Protocol


class StreamProtocol(Protocol):
    """The user of a stream; after ``connection_lost`` nothing more is called."""

    def connection_made(self) -> None:
        """The connection is established (only for streams that connect)."""

    def data_received(self) -> None:
        """The inbox holds more."""

    def write_buffer_drained(self) -> None:
        """All that was written has been sent."""

    def eof_received(self) -> None:
        """The other side sends no more."""

    def connection_lost(self, code: int) -> None:
        """The connection is lost, or was never established; the stream is closed already.

        Args:
            code: The errno.
        """


class NullProtocol:
    """The protocol of a closed stream.

    A stream and its protocol refer to each other. Without this, closed connections would wait for
    the garbage collector: megabytes in a busy minute that no purpose explained.
    """

    def connection_made(self) -> None:
        """Do nothing."""

    def data_received(self) -> None:
        """Do nothing."""

    def write_buffer_drained(self) -> None:
        """Do nothing."""

    def eof_received(self) -> None:
        """Do nothing."""

    def connection_lost(self, code: int) -> None:
        """Do nothing."""


NULL_PROTOCOL = NullProtocol()
