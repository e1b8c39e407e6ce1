"""The callbacks of a stream, named as in asyncio's protocols."""

from __future__ import annotations

from typing import Protocol


class StreamProtocol(Protocol):
    """Receives the events of a stream; nothing is called after ``connection_lost``."""

    def connection_made(self) -> None:
        """Handle an established connection; called only for streams that connect."""

    def data_received(self) -> None:
        """Handle new data in the inbox."""

    def write_buffer_drained(self) -> None:
        """Continue to write; called when all written data has been sent."""

    def eof_received(self) -> None:
        """Handle the end of the remote end's stream."""

    def connection_lost(self, code: int) -> None:
        """Handle a lost connection or a failed connect; the stream is already closed.

        Args:
            code: The errno of the failure.
        """


class NullProtocol:
    """The protocol of a closed stream, which ignores all events.

    A stream and its protocol refer to each other. This class replaces the protocol to break that
    cycle. Otherwise closed connections would stay in memory until a garbage collection: megabytes
    per minute under load that are not accounted to any memory purpose.
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
