"""The state of a relayed connection that is handed over to another process."""

from __future__ import annotations

import msgspec


class SideState(
    msgspec.Struct,
    rename={"line_head": "head", "ends_with_cr": "cr", "is_mid_line": "midline"},
):
    """The state of one side of a relay.

    Attributes:
        inbox: Bytes received but not forwarded yet.
        outbox: Bytes written but not sent yet.
        line_head: The first bytes of the line in progress.
        ends_with_cr: Whether the last byte received was a CR.
        is_mid_line: Whether a line is in progress.
    """

    inbox: bytes
    outbox: bytes
    line_head: bytes
    ends_with_cr: bool
    is_mid_line: bool


class RelayState(msgspec.Struct, rename={"server": "instance", "unanswered_since_us": "asked"}):
    """The state of a relay, without its file descriptors.

    Attributes:
        client: The client's side.
        server: The server's side.
        unanswered_since_us: When the client's unanswered lines were forwarded, oldest first, on the
            event loop's clock in microseconds.
    """

    client: SideState
    server: SideState
    unanswered_since_us: list[int]
