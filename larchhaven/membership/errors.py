"""Why a datagram is rejected."""

from __future__ import annotations

from enum import StrEnum

from larchhaven.errors import LarchhavenError


class RejectReason(StrEnum):
    """Why a datagram is rejected; the values are the keys of ``refused`` in ``GET /v1/members``."""

    SIZE = "size"
    PREFIX = "letter"
    FORMAT_VERSION = "version"
    TAG = "tag"
    KIND = "kind"
    STATE_UPDATES = "entries"
    INCARNATION = "incarnation"
    DIGESTS = "digests"
    INFO_UPDATES = "account"
    PEER_TABLE = "table"  # sender and receiver have different peer tables
    REPLAY = "replayed"


class DatagramError(LarchhavenError):
    """A datagram that no member of this version sends.

    Attributes:
        reason: The first rule that it breaks.
    """

    def __init__(self, reason: RejectReason) -> None:
        super().__init__(f"invalid membership datagram: {reason.value}")
        self.reason = reason
