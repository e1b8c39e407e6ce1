"""Errors of datagrams, and the reasons for rejecting them."""

from __future__ import annotations

from enum import StrEnum

from larchhaven.errors import LarchhavenError


class RejectReason(StrEnum):
    """Reason for rejecting a datagram; the keys of ``refused`` in ``GET /v1/members``."""

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
    """A datagram cannot be decoded or authenticated.

    Attributes:
        reason: The first violation that was found.
    """

    def __init__(self, reason: RejectReason) -> None:
        super().__init__(f"invalid membership datagram: {reason.value}")
        self.reason = reason
