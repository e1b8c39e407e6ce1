"""One side of a relayed connection: its stream, the lines it has sent, and its events."""

from __future__ import annotations

from typing import Protocol

from larchhaven.net.core.stream import Stream
from larchhaven.net.text_protocol.line_counter import LineCounter
from larchhaven.net.text_protocol.relay_state import SideState


class SideEvents(Protocol):
    """The relay, as its two sides see it."""

    def forward(self, side: RelaySide) -> None:
        """Forward the data received from one side, as far as the other accepts it now."""

    def on_side_ended(self, side: RelaySide) -> None:
        """Handle the end of a side's stream."""

    def on_side_lost(self, side: RelaySide) -> None:
        """Handle the loss of a side's connection."""


class RelaySide:
    """One side of a relay, which passes the events of its stream on to the relay.

    Attributes:
        relay: The relay.
        other: The opposite side.
        stream: The stream to the client or the server.
        line_counter: Tracks the lines forwarded from this side.
    """

    __slots__ = ("line_counter", "other", "relay", "stream")

    other: RelaySide

    def __init__(self, relay: SideEvents, stream: Stream) -> None:
        self.relay = relay
        self.stream = stream
        self.line_counter = LineCounter()
        stream.protocol = self

    def release(self) -> None:
        """Break the reference cycle between the relay and its sides."""
        del self.relay, self.other

    def export_state(self) -> SideState:
        """Return the state that another process needs to continue this side."""
        inbox = self.stream.inbox
        return SideState(
            inbox=bytes(inbox.readable()) if inbox is not None else b"",
            outbox=self.stream.pending_data(),
            line_head=bytes(self.line_counter.head),
            ends_with_cr=self.line_counter.ends_with_cr,
            is_mid_line=self.line_counter.is_mid_line,
        )

    def restore(self, state: SideState) -> None:
        """Continue from the state of another process."""
        self.stream.write(state.outbox)
        self.stream.prefill(state.inbox)
        self.line_counter.head[:] = state.line_head
        self.line_counter.ends_with_cr = state.ends_with_cr
        self.line_counter.is_mid_line = state.is_mid_line

    def connection_made(self) -> None:
        """Do nothing: the connection is already established."""

    def data_received(self) -> None:
        """Forward the received data."""
        self.relay.forward(self)

    def write_buffer_drained(self) -> None:
        """Forward the data that the other side held back."""
        self.relay.forward(self.other)

    def eof_received(self) -> None:
        """Forward the end of the stream."""
        self.relay.on_side_ended(self)

    def connection_lost(self, code: int) -> None:
        """Forward the loss of the connection."""
        self.relay.on_side_lost(self)
