"""The counters of the protocol that operators read."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum


class ProtocolCounter(StrEnum):
    """What is counted; the values are the keys of ``counts`` in ``GET /v1/members``."""

    MESSAGES_SENT = "sent"
    MESSAGES_SUPPRESSED = "held back"  # by the message budget
    PROBES_FAILED = "probes failed"
    ACCUSED = "accused"  # updates that the local member had to refute
    PROCESS_PAUSES = "gaps"
    LATE_TIMERS = "late turns"
    NUMBERS_BEYOND_TABLE = "numbers beyond the table"  # another member has a longer peer table


ProtocolCounters = Counter[ProtocolCounter]
