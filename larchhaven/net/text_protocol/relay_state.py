"""What another process needs to go on with a relayed connection, as it is handed over."""

from __future__ import annotations

import msgspec


class SideState(
    msgspec.Struct,
    rename={"line_head": "head", "ends_with_cr": "cr", "is_mid_line": "midline"},
):
    """One side of a relay.

    Attributes:
        inbox: Bytes received and not forwarded.
        outbox: Bytes to be sent.
        line_head: The beginning of the line in progress.
        ends_with_cr: Whether the last byte received was a CR.
        is_mid_line: Whether a line is in progress.
    """

    inbox: bytes
    outbox: bytes
    line_head: bytes
    ends_with_cr: bool
    is_mid_line: bool


class RelayState(msgspec.Struct, rename={"server": "instance", "unanswered_since_us": "asked"}):
    """A relay, without its descriptors.

    Attributes:
        client: The client's side.
        server: The server's side.
        unanswered_since_us: When each line of the client came that has no answer yet.
    """

    client: SideState
    server: SideState
    unanswered_since_us: list[int]
