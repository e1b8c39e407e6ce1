"""State that a proxy keeps for each server."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from larchhaven.routing.events import Endpoint, ServerState

# Load changes kept until a report contains them; there are fewer within the report lag.
MAX_UNREPORTED_CHANGES = 512

# An ejection that ended this long ago no longer lengthens the next one.
EJECTION_RESET_US = 10_000_000

# Load ratio, tie-break and server; a plain tuple, as every placement compares entries.
RankingEntry = tuple[float, float, "Server"]


@dataclass(slots=True, eq=False)
class Server:
    """A server: its entry in the endpoint list, and what this proxy has observed of it.

    Only the module in parentheses changes an attribute.

    Attributes:
        id: Server id in the endpoint list.
        tie_break: Random number that orders exact ties, different at each proxy.
        hash: Short hash of its id, identical at all proxies.
        endpoint: Its last entry in the endpoint list (``endpoint_list``).
        zone: Index of its zone (``endpoint_list``).
        cell: Index of its cell (``endpoint_list``).
        weight: Capacity relative to the other servers (``endpoint_list``).
        state: State in the list, but draining while ejected by operators (``endpoint_list``).
        started_at_us: Start time if it is warming up, 0 if not, -1 before it is listed
            (``endpoint_list``).
        unready_since_us: When it last ceased to be ready (``endpoint_list``).
        ranking_entry: Its entry in the ranking if it is ready (``ranking``).
        slow_until_us: Time until which its messages count as slow (``ranking``).
        full_until_us: Time until which it counts as full after a rejection (``ranking``).
        reported_ratio: Load over capacity in its last report (``load_estimate``).
        reported_at_us: When that report was received (``load_estimate``).
        unreported_load: Sum of load changes by this proxy that no report can contain yet, in cores
            (``load_estimate``).
        unreported_changes: Time and size of each of these changes (``load_estimate``).
        next_rebalance_at_us: Earliest time of the next check for an overload (``migration``).
        migrated_until_us: Time until which reports may not show its last rebalancing yet
            (``migration``).
        ejection_us: Length of the last ejection, before jitter (``outlier_ejection``).
        ejected_until_us: End of the last ejection (``outlier_ejection``).
        warm_at_us: End of its slow start (``slow_start``).
        token_until_us: Warm time at which this proxy's token expires (``slow_start``).
        token_interval_us: Warm time between that token and the next (``slow_start``).
        next_token_at_us: Warm time at which the next token is issued (``slow_start``).
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
