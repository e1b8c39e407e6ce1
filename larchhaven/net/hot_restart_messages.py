"""Messages between the two processes of a hot restart, and their encoding.

The wire names are those that other versions know: the ``tag`` of a message and the ``name`` of a
field differ from the names used here. ``tests/test_stored_data.py`` pins the bytes.
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec

from larchhaven.errors import LarchhavenError
from larchhaven.net.text_protocol.relay_state import RelayState
from larchhaven.routing.events import LoadReport

PROTOCOL_VERSION = 1
IDENTITY_HASH_BYTES = 8


class InvalidMessageError(LarchhavenError):
    """A message that cannot be decoded.

    Attributes:
        reason: Why it cannot be decoded.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"invalid message: {reason}")
        self.reason = reason


class RestartHello(msgspec.Struct, tag="Hello"):
    """The successor's first message."""

    version: int = msgspec.field(name="v")


class ReportRecord(msgspec.Struct):
    """A load report, with the field names that other versions know."""

    load_ratio: float | None = msgspec.field(name="ratio", default=None)
    utilization: float | None = None
    in_flight: float | None = msgspec.field(name="inflight", default=None)
    queue_length: float | None = msgspec.field(name="queue", default=None)
    backlog_s: float | None = None

    @classmethod
    def from_report(cls, report: LoadReport) -> ReportRecord:
        """Return the record of a report."""
        return cls(
            report.load_ratio,
            report.utilization,
            report.in_flight,
            report.queue_length,
            report.backlog_s,
        )

    def to_report(self) -> LoadReport:
        """Return the report."""
        return LoadReport(
            self.load_ratio,
            self.utilization,
            self.in_flight,
            self.queue_length,
            self.backlog_s,
        )


class ServerReport(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The latest load report of a server, with its time on the clock that both processes share."""

    server_id: str
    received_at_us: int
    report: ReportRecord


class SharedState(msgspec.Struct, tag="Known"):
    """The predecessor's answer to ``RestartHello``: what the successor starts with.

    Attributes:
        version: The protocol version of the predecessor.
        reports: The latest load reports.
        identity_hashes: The hashes of the identities of its open requests.
        incarnation: Its incarnation in the membership; 0 if membership was off.
    """

    version: int = msgspec.field(name="v")
    reports: list[ServerReport]
    identity_hashes: list[bytes] = msgspec.field(name="identities")
    incarnation: int = 0


class IdentityChanged(msgspec.Struct, tag="Identity"):
    """A request of the sender was opened or closed."""

    identity_hash: bytes = msgspec.field(name="mark")
    is_open: bool = msgspec.field(name="on")


class GossipForwarded(msgspec.Struct, tag="Heard"):
    """An encoded gossip message from the other process's balancer."""

    data: bytes


class ConnectionTransfer(msgspec.Struct, tag="Standing"):
    """An established connection, sent with its client's and its server's descriptor."""

    identity: bytes
    request_class: int = msgspec.field(name="cls")
    server_id: str = msgspec.field(name="host")
    relay: RelayState
    key: int | None = None
    group: int | None = None
    load: float | None = None
    tenant: int = 0


Message = RestartHello | SharedState | IdentityChanged | GossipForwarded | ConnectionTransfer
_decoder = msgspec.msgpack.Decoder(Message)


def identity_hash(identity: bytes) -> bytes:
    """Return the hash that stands for a request's identity, which may be as long as a line."""
    return blake2b(identity, digest_size=IDENTITY_HASH_BYTES).digest()


def encode(message: Message) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message.

    Raises:
        InvalidMessageError: If the data is not a message of this protocol.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        raise InvalidMessageError(str(error)) from None
