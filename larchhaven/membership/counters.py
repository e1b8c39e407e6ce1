"""Counters of the protocol, for operators."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum


class ProtocolCounter(StrEnum):
    """Counted events; the values are the keys of ``counts`` in ``GET /v1/members``."""

    MESSAGES_SENT = "sent"
    MESSAGES_SUPPRESSED = "held back"  # by the message budget
    PROBES_FAILED = "probes failed"
    REFUTATIONS = "accused"  # refuted updates at the local member's current incarnation
    PROCESS_PAUSES = "gaps"
    LATE_TIMERS = "late turns"
    NUMBERS_BEYOND_TABLE = "numbers beyond the table"  # the sender has a longer peer table


ProtocolCounters = Counter[ProtocolCounter]
