"""Messages between the two processes of a hot restart, and their encoding.

On the wire, messages and fields have the names that other versions of the program use. If such a
name differs from the one in this module, it is given as ``tag`` or ``name``.
``tests/test_stored_data.py`` pins the encoded bytes.
"""

from __future__ import annotations

import msgspec

from larchhaven.errors import LarchhavenError
from larchhaven.net.text_protocol.relay_state import RelayState
from larchhaven.routing.events import LoadReport

PROTOCOL_VERSION = 1


class InvalidMessageError(LarchhavenError):
    """A message that cannot be decoded.

    Attributes:
        reason: Why it cannot be decoded.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"invalid message: {reason}")
        self.reason = reason


class RestartHello(msgspec.Struct, tag="Hello"):
    """The first message, sent by the successor."""

    version: int = msgspec.field(name="v")


class ReportRecord(msgspec.Struct):
    """A load report as it is encoded, under the field names that other versions use."""

    load_ratio: float | None = msgspec.field(name="ratio", default=None)
    utilization: float | None = None
    in_flight: float | None = msgspec.field(name="inflight", default=None)
    queue_length: float | None = msgspec.field(name="queue", default=None)
    backlog_s: float | None = None

    @classmethod
    def from_report(cls, report: LoadReport) -> ReportRecord:
        """Return the record that encodes a load report."""
        return cls(
            report.load_ratio,
            report.utilization,
            report.in_flight,
            report.queue_length,
            report.backlog_s,
        )

    def to_report(self) -> LoadReport:
        """Return the load report that this record encodes."""
        return LoadReport(
            self.load_ratio,
            self.utilization,
            self.in_flight,
            self.queue_length,
            self.backlog_s,
        )


class ServerReport(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The latest load report of a server.

    Attributes:
        server_id: The id of the server.
        received_at_us: When the report was received, on the clock that both processes share.
        report: The report.
    """

    server_id: str
    received_at_us: int
    report: ReportRecord


class ExecutionRecord(msgspec.Struct, array_like=True):
    """A request that a server may have executed, and that must not run again.

    Attributes:
        identity_hash: The hash of its identity.
        class_index: The index of its request class.
        sent_at_us: When it was first sent to a server, on the clock that both processes share.
    """

    identity_hash: bytes
    class_index: int
    sent_at_us: int


class SharedState(msgspec.Struct, tag="Known", omit_defaults=True):
    """The predecessor's reply to ``RestartHello``: the state that the successor starts with.

    Attributes:
        version: The protocol version of the predecessor.
        reports: The latest load report of each server.
        identity_hashes: The hashes of the identities of the predecessor's open requests.
        incarnation: The predecessor's incarnation in the membership; 0 if membership is disabled.
        executions: Requests of the predecessor that have ended, and must not run again.
    """

    version: int = msgspec.field(name="v")
    reports: list[ServerReport]
    identity_hashes: list[bytes] = msgspec.field(name="identities")
    incarnation: int = 0
    executions: list[ExecutionRecord] = []


class IdentityChanged(msgspec.Struct, tag="Identity", omit_defaults=True):
    """The sender has opened or closed the request with this identity.

    Attributes:
        identity_hash: The hash of the identity.
        is_open: Whether the request is open now.
        execution: How a closed request may have been executed, if it must not run again.
    """

    identity_hash: bytes = msgspec.field(name="mark")
    is_open: bool = msgspec.field(name="on")
    execution: ExecutionRecord | None = None


class GossipForwarded(msgspec.Struct, tag="Heard"):
    """An encoded gossip message from the sender's balancer."""

    data: bytes


class ConnectionTransfer(msgspec.Struct, tag="Standing"):
    """An established connection, sent with the descriptors of its client's and server's sockets.

    Attributes:
        identity: The identity of its request.
        request_class: The index of its request class.
        server_id: The id of its server.
        relay: The state of the relay between its client and its server.
        key: Its affinity key; None if it has none.
        group: Its affinity group; None if it has none.
        load: The load of the connection, in cores; None if unknown.
        tenant: The index of its tenant.
    """

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


def encode(message: Message) -> bytes:
    """Return a message encoded as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message.

    Raises:
        InvalidMessageError: If the data is not a valid message of this protocol.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        raise InvalidMessageError(str(error)) from None
