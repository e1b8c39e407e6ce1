"""Errors of datagrams, and the reasons for rejecting them."""

from __future__ import annotations

from enum import StrEnum

from larchhaven.errors import LarchhavenError


class RejectReason(StrEnum):
    """Rejection reasons; the values are the keys of ``refused`` in ``GET /v1/members``."""

    SIZE = "size"
    PREFIX = "letter"
    FORMAT_VERSION = "version"
    TAG = "tag"
    KIND = "kind"
    STATE_UPDATES = "entries"
    INCARNATION = "incarnation"
    DIGESTS = "digests"
    INFO_UPDATES = "account"
    PEER_TABLE = "table"  # the sender or receiver number does not match the local peer table
    REPLAY = "replayed"


class DatagramError(LarchhavenError):
    """A datagram cannot be decoded or authenticated.

    Attributes:
        reason: The first violation that was found.
    """

    def __init__(self, reason: RejectReason) -> None:
        super().__init__(f"invalid membership datagram: {reason.value}")
        self.reason = reason
