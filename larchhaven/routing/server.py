"""What a proxy knows of one server."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from larchhaven.routing.events import Endpoint, ServerState

# Load changes that a report may not contain yet; more do not fit in the lag of a report.
MAX_UNREPORTED_CHANGES = 512

# An ejection that ended this long ago no longer counts against a server.
EJECTION_RESET_US = 10_000_000

# Place in the ranking: ratio, tie-break, server. Plain tuples, as all placement compares them.
RankingEntry = tuple[float, float, "Server"]


@dataclass(slots=True, eq=False)
class Server:
    """One server: what the endpoint list says of it, and what this proxy has seen.

    The module that owns a group of fields is the only one that changes them.

    Attributes:
        id: Its name.
        tie_break: Orders exact ties at random, differently at each proxy.
        hash: Short for its id, the same at all proxies.
        endpoint: What the list last said (``endpoint_list``, as all up to ``unready_since_us``).
        zone: Index of its zone.
        cell: Index of its cell.
        weight: Its capacity, relative to the others.
        state: Whether it may be used.
        started_at_us: When it started if it is warming up, 0 if not, -1 before it is listed.
        unready_since_us: When the list first said that it drains or is gone.
        ranking_entry: Its place among the ready servers, if it is one (``ranking``).
        slow_until_us: Its messages count as slow until then (``ranking``).
        full_until_us: It counts as full until then, as it rejected a request (``ranking``).
        reported_ratio: Load over capacity as last reported (``load_estimate``).
        reported_at_us: When that report came (``load_estimate``).
        unreported_load: Own changes that no report can contain yet (``load_estimate``).
        unreported_changes: The time and size of each of these (``load_estimate``).
        next_rebalance_at_us: No health check because of an overload before (``migration``).
        migrated_until_us: Migrations do not show in reports before (``migration``).
        ejection_us: Length of the last ejection, before jitter (``outlier_ejection``).
        ejected_until_us: When the last ejection ends (``outlier_ejection``).
        warm_at_us: When its slow start ends (``slow_start``).
        token_until_us: Warm time until which this proxy's token is valid (``slow_start``).
        token_interval_us: Warm time between that one and the next (``slow_start``).
        next_token_at_us: Warm time at which the next one comes (``slow_start``).
    """

    id: str
    tie_break: float
    hash: bytes
    endpoint: Endpoint
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    state: ServerState = ServerState.REMOVED
    started_at_us: int = -1
    unready_since_us: int = 0
    ranking_entry: RankingEntry | None = None
    slow_until_us: int = 0
    full_until_us: int = 0
    reported_ratio: float | None = None
    reported_at_us: int = 0
    unreported_load: float = 0.0
    unreported_changes: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_UNREPORTED_CHANGES)
    )
    next_rebalance_at_us: int = 0
    migrated_until_us: int = 0
    ejection_us: int = 0
    ejected_until_us: int = -EJECTION_RESET_US
    warm_at_us: int = 0
    token_until_us: float = 0.0
    token_interval_us: float = 0.0
    next_token_at_us: float = 0.0
