"""The JSON of ``GET /v1/members``; this is the only module that defines its keys."""

from __future__ import annotations

import msgspec


class MemberReport(
    msgspec.Struct,
    rename={
        "learned_ago_s": "since_s",
        "suspectors": "by",
        "protocol_version": "version",
        "started_unix_s": "started",
        "capabilities": "can",
    },
):
    """The state of one member, as this proxy sees it.

    Attributes:
        number: The member's index in the peer table.
        name: Its name; empty until received.
        state: alive, suspect, dead or left.
        learned_ago_s: Time since this proxy learned the state, in seconds.
        incarnation: Its incarnation.
        suspectors: Numbers of the suspectors, or of the members that declared it dead; empty if
            the member reported the state itself.
        zone: Index of its zone. This field and those below are None or empty until received.
        protocol_version: Version of the membership protocol that it uses.
        started_unix_s: Unix time when it started, by its own clock, in seconds.
        capabilities: Names of the capabilities that it supports.
    """

    number: int
    name: str
    state: str
    learned_ago_s: float
    incarnation: int
    suspectors: list[int]
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
    """The membership, as one proxy sees it.

    Attributes:
        is_enabled: Whether the membership is enabled; if not, only ``disabled_reason`` is
            meaningful.
        disabled_reason: Why the membership is disabled.
        own_number: The proxy's index in the peer table.
        incarnation: The proxy's incarnation.
        view_version: Version of the membership view.
        is_synchronized: Whether another member has confirmed the view.
        health_score: Lifeguard's local health score; 0 is healthy.
        present_count: Number of members present.
        agreed_count: Number of members present when all members last agreed.
        table_size: Number of entries in the peer table.
        confidence_ratio: Fraction of the present members that are not suspected.
        partition_side: whole, majority, minority or unknown.
        lost_zones: Indexes of zones that have no present member, but had one when all members last
            agreed.
        members: The state of each member.
        counters: Counters of the membership protocol, by name.
        rejected: Number of rejected datagrams, by reason.
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
    """The report of a proxy whose membership is disabled.

    Attributes:
        is_enabled: False.
        disabled_reason: Why the membership is disabled.
    """

    is_enabled: bool
    disabled_reason: str
