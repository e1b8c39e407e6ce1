"""The JSON of ``GET /v1/members``: its keys are mapped here, and nowhere else."""

from __future__ import annotations

import msgspec


class MemberReport(
    msgspec.Struct,
    rename={
        "learned_ago_s": "since_s",
        "accusers": "by",
        "protocol_version": "version",
        "started_unix_s": "started",
        "capabilities": "can",
    },
):
    """What is known of one member.

    Attributes:
        number: Its index in the peer table.
        name: Its name; empty until it is known.
        state: alive, suspect, dead or left.
        learned_ago_s: How long ago this was learned, in seconds.
        incarnation: Its incarnation.
        accusers: Who suspects it or declared it dead; empty if the member spoke for itself.
        zone: The index of its zone; this and all below are None or empty until they are known.
        protocol_version: The version of the protocol that its program speaks.
        started_unix_s: When it started, by its own clock.
        capabilities: What its program supports.
    """

    number: int
    name: str
    state: str
    learned_ago_s: float
    incarnation: int
    accusers: list[int]
    zone: int | None = None
    protocol_version: int | None = None
    started_unix_s: int | None = None
    capabilities: list[str] = []


class MembershipReport(
    msgspec.Struct,
    rename={
        "is_enabled": "on",
        "disabled_reason": "why_off",
        "own_number": "me",
        "view_version": "view",
        "is_synchronized": "sure",
        "health_score": "doubt",
        "present_count": "here",
        "agreed_count": "agreed",
        "table_size": "table",
        "confidence_ratio": "confidence",
        "partition_side": "part",
        "lost_zones": "zones_lost",
        "counters": "counts",
        "rejected": "refused",
    },
):
    """What a proxy reports of the membership.

    Attributes:
        is_enabled: Whether the membership is on; if not, only ``disabled_reason`` is meaningful.
        disabled_reason: Why it is off.
        own_number: The proxy's index in the peer table.
        incarnation: The proxy's incarnation.
        view_version: The version of the view.
        is_synchronized: Whether another member has confirmed the view.
        health_score: Lifeguard's local health score, 0 is healthy.
        present_count: How many members are present.
        agreed_count: How many were present when all last agreed.
        table_size: How many entries the peer table has.
        confidence_ratio: The share of present members that are not suspected.
        partition_side: whole, majority, minority or unknown.
        lost_zones: Zones without a present member that had some when all last agreed.
        members: What is known of each member.
        counters: The counters of the protocol.
        rejected: How many datagrams were rejected, by reason.
    """

    is_enabled: bool
    disabled_reason: str = ""
    own_number: int = 0
    incarnation: int = 0
    view_version: int = 0
    is_synchronized: bool = False
    health_score: int = 0
    present_count: int = 0
    agreed_count: int = 0
    table_size: int = 0
    confidence_ratio: float = 0.0
    partition_side: str = "unknown"
    lost_zones: list[int] = []
    members: list[MemberReport] = []
    counters: dict[str, int] = {}
    rejected: dict[str, int] = {}


class MembershipDisabledReport(
    msgspec.Struct, rename={"is_enabled": "on", "disabled_reason": "why_off"}
):
    """What a proxy reports while the membership is off.

    Attributes:
        is_enabled: False.
        disabled_reason: Why it is off.
    """

    is_enabled: bool
    disabled_reason: str
