"""Admission control and load shedding: whom to admit and whom to shed when capacity is scarce.

The capacities are the counted resources that a connection needs: bytes of the purposes
*connections* and *tables*, and descriptors. A share of each capacity is reserved for the request
classes with the highest priority weight.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto


@dataclass(frozen=True, slots=True)
class AdmissionThresholds:
    """The thresholds of admission and load shedding.

    Attributes:
        reserve_ratio: The fraction of each capacity reserved for the highest priority weight.
        unread_us: A client may be shed if it has not read any pending data for this time.
        request_line_grace_us: A client is not shed within this time after it connects, so that its
            request line can arrive.
        kernel_buffers_ratio: While kernel buffers exceed this fraction of their cap, clients that
            do not read are shed even if no capacity is exhausted.
        kernel_unread_us: The time without reading after which such a client is shed.
    """

    reserve_ratio: float = 0.08
    unread_us: int = 5_000_000
    request_line_grace_us: int = 50_000
    kernel_buffers_ratio: float = 0.6
    kernel_unread_us: int = 1_000_000


DEFAULT_THRESHOLDS = AdmissionThresholds()


class ShedCandidate(Enum):
    """The kind of client to shed next; the kinds that are cheapest to lose come first."""

    AWAITING_REQUEST = auto()  # connected, but has not sent a request line
    LINGERING = auto()  # has received its answer, but does not close the connection
    NOT_READING = auto()  # established, but does not read


@dataclass(frozen=True, slots=True)
class Capacity:
    """One kind of capacity, in bytes or descriptors.

    Attributes:
        total: The total amount.
        used: The amount in use.
        needed: The amount that one more request needs.
    """

    total: int
    used: int
    needed: int

    def fits(self, reserve_ratio: float) -> bool:
        """Return whether one more request fits without using the reserve."""
        return self.used + self.needed <= self.total - int(self.total * reserve_ratio)


def find_first_exhausted(capacities: Sequence[Capacity], reserve_ratio: float) -> int | None:
    """Return the index of the first capacity without room outside its reserve, or None."""
    for index, capacity in enumerate(capacities):
        if not capacity.fits(reserve_ratio):
            return index
    return None


class Admission:
    """Decides whether to admit a new request, by its request class.

    Attributes:
        reserve_ratio: The fraction of each capacity reserved for the highest priority weight.
    """

    def __init__(self, priority_weights: Sequence[float]) -> None:
        """Create an admission control with the default reserve.

        Args:
            priority_weights: The priority weights, by index of the request class.
        """
        self.reserve_ratio = DEFAULT_THRESHOLDS.reserve_ratio
        self._priority_weights = list(priority_weights)
        self._highest_weight = max(priority_weights, default=0.0)

    def find_exhausted(self, request_class: int, capacities: Sequence[Capacity]) -> int | None:
        """Return the index of the first capacity without room for a request; None if admitted."""
        reserve_ratio = 0.0 if self._may_use_reserve(request_class) else self.reserve_ratio
        return find_first_exhausted(capacities, reserve_ratio)

    def _may_use_reserve(self, request_class: int) -> bool:
        if not 0 <= request_class < len(self._priority_weights):
            return False
        return self._priority_weights[request_class] >= self._highest_weight


def choose_shed_candidate(
    *,
    awaiting_request: int,
    oldest_awaiting_since_us: int,
    max_awaiting_request: int,
    lingering: int,
    unread_since_us: int | None,
    now_us: int,
    is_exhausted: bool,
    unread_us: int = DEFAULT_THRESHOLDS.unread_us,
) -> ShedCandidate | None:
    """Choose which kind of client to shed now.

    Above the maximum, clients without a request line are shed even while capacity is left, unless
    they have just connected: in a surge all clients connect before any request line arrives.

    Args:
        awaiting_request: The number of clients that have not sent a request line.
        oldest_awaiting_since_us: When the oldest of these clients connected.
        max_awaiting_request: The maximum number of these clients.
        lingering: The number of clients in lingering close.
        unread_since_us: When the longest unread client last read; None if all clients read.
        now_us: The current time.
        is_exhausted: Whether there is no capacity for another client.
        unread_us: The time without reading after which a client may be shed.

    Returns:
        The kind of client to shed, or None.
    """
    grace_ends_us = oldest_awaiting_since_us + DEFAULT_THRESHOLDS.request_line_grace_us
    is_awaiting_sheddable = awaiting_request > 0 and now_us >= grace_ends_us
    if awaiting_request > max_awaiting_request:
        return ShedCandidate.AWAITING_REQUEST if is_awaiting_sheddable else None
    if not is_exhausted:
        return None
    if lingering:
        return ShedCandidate.LINGERING
    if unread_since_us is not None and now_us >= unread_since_us + unread_us:
        return ShedCandidate.NOT_READING
    return ShedCandidate.AWAITING_REQUEST if is_awaiting_sheddable else None
