"""Records of events that the stand-ins observed: the only input of the invariant checker."""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import StrEnum
from typing import IO

import msgspec


class EventKind(StrEnum):
    """The kind of an observed event; the values appear in record files."""

    # Clients
    REQUEST_SENT = "ask"  # the client has written its request line
    ANSWER_RECEIVED = "answer"  # the detail is the first line; empty if the connection ended
    MIGRATE_RECEIVED = "move"
    CONNECTION_LOST = "end"
    CLIENT_LEFT = "leave"  # the client itself ended the connection

    # Upstream servers
    ATTEMPT_RECEIVED = "sent"  # a request line has arrived
    ESTABLISHED = "up"
    ATTEMPT_REJECTED = "turned"
    ATTEMPT_ENDED = "over"  # the detail is an ``AttemptEnd`` value
    SERVER_STARTED_COLD = "born"
    SERVER_STOPPED = "left"
    INVALID_REQUEST = "strange"

    # Discovery and peers
    HEALTH_PUBLISHED = "told"  # the detail is the health state sent to a proxy
    OVERSIZED_DATAGRAM = "long"

    UNKNOWN = "unknown"  # a kind from another version; the checker skips it

    @classmethod
    def _missing_(cls, _value: object) -> EventKind:
        return cls.UNKNOWN


class AttemptEnd(StrEnum):
    """Which side ended an attempt; the values appear in record files."""

    SERVER = "self"
    PROXY = "proxy"


class EventRecord(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={
        "at_us": "at",
        "request_id": "id",
        "server_name": "server",
        "detail": "text",
        "wait_us": "wait",
    },
):
    """One event that a stand-in observed.

    Attributes:
        at_us: Time of the monotonic clock in microseconds.
        kind: Kind of the event.
        request_id: Identity of the request or connection, if the event concerns one.
        server_name: Name of the upstream server or peer, if the event concerns one.
        detail: A received or sent line, a health state, or which side ended an attempt, depending
            on the kind.
        wait_us: For ``REQUEST_SENT``, the deadline of the request, counted from the event; for
            ``SERVER_STARTED_COLD``, the warm-up time of the server.
        amount: For ``SERVER_STARTED_COLD``, the capacity of the warm server in connections; for
            ``OVERSIZED_DATAGRAM``, the size in bytes.
    """

    at_us: int
    kind: EventKind
    request_id: str = ""
    server_name: str = ""
    detail: str = ""
    wait_us: int = 0
    amount: float = 0.0


def read_clock_us() -> int:
    """Return the time of the monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


class EventRecorder:
    """Passes records to its listeners and, if given a file, appends them to it as JSON lines.

    Attributes:
        listeners: Called with each record, in order.
        counts: Number of records of each kind.
    """

    def __init__(self, file: IO[bytes] | None = None) -> None:
        self._file = file
        self.listeners: list[Callable[[EventRecord], None]] = []
        self.counts: dict[str, int] = {}

    def record(
        self,
        kind: EventKind,
        *,
        request_id: str = "",
        server_name: str = "",
        detail: str = "",
        wait_us: int = 0,
        amount: float = 0.0,
    ) -> None:
        """Record an event that happens now; the arguments are the fields of ``EventRecord``."""
        record = EventRecord(
            read_clock_us(), kind, request_id, server_name, detail, wait_us, amount
        )
        self.counts[kind.value] = self.counts.get(kind.value, 0) + 1
        for notify in self.listeners:
            notify(record)
        if self._file is not None:
            self._file.write(msgspec.json.encode(record) + b"\n")
