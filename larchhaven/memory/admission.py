"""Admission control and load shedding: who is admitted, and who is shed, when capacity is scarce.

Capacity is whatever a connection needs that is counted: bytes of *connections* and *tables*,
descriptors. The last part of each is a reserve that only the classes with the highest priority
weight may use.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto


@dataclass(frozen=True, slots=True)
class AdmissionThresholds:
    """The thresholds of admission and load shedding.

    Attributes:
        reserve_ratio: The part of each capacity that is reserved for the highest priority weight.
        unread_us: A client that has read nothing of what was sent for so long may be shed.
        request_line_grace_us: A client that has just connected is not shed within this time.
        kernel_buffers_ratio: While kernel buffers hold more than this part of their cap, clients
            that do not read are shed even when no capacity is exhausted.
        kernel_unread_us: Such a client is shed after so long without reading.
    """

    reserve_ratio: float = 0.08
    unread_us: int = 5_000_000
    request_line_grace_us: int = 50_000
    kernel_buffers_ratio: float = 0.6
    kernel_unread_us: int = 1_000_000


DEFAULT_THRESHOLDS = AdmissionThresholds()


class ShedCandidate(Enum):
    """Which kind of client is shed next, the cheapest to lose first."""

    AWAITING_REQUEST = auto()  # connected and has sent no request line
    LINGERING = auto()  # has its answer and does not close
    NOT_READING = auto()  # is established and does not read


@dataclass(frozen=True, slots=True)
class Capacity:
    """One kind of capacity, in bytes or descriptors.

    Attributes:
        total: How much there is.
        used: How much is in use.
        needed: How much one more request needs.
    """

    total: int
    used: int
    needed: int

    def fits(self, reserve_ratio: float) -> bool:
        """Return whether one more fits beside a reserve of this part of the total."""
        return self.used + self.needed <= self.total - int(self.total * reserve_ratio)


def find_first_exhausted(capacities: Sequence[Capacity], reserve_ratio: float) -> int | None:
    """Return the index of the first capacity without room beside the reserve, if there is one."""
    for index, capacity in enumerate(capacities):
        if not capacity.fits(reserve_ratio):
            return index
    return None


class Admission:
    """Decides whether a new request of a class is admitted.

    Attributes:
        reserve_ratio: The part of each capacity that is reserved for the highest priority weight.
    """

    def __init__(self, priority_weights: Sequence[float]) -> None:
        """Create the decision.

        Args:
            priority_weights: The priority weight of each class, by the class's number.
        """
        self.reserve_ratio = DEFAULT_THRESHOLDS.reserve_ratio
        self._priority_weights = list(priority_weights)
        self._highest_weight = max(priority_weights, default=0.0)

    def find_exhausted(self, request_class: int, capacities: Sequence[Capacity]) -> int | None:
        """Return the index of the first capacity without room for a request; None admits it."""
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
    """Choose which kind of client is shed now.

    Too many clients without a request line are shed even while capacity is left, but for those that
    have just connected: in a surge all connect before any request line arrives.

    Args:
        awaiting_request: The number of clients that have sent no request line.
        oldest_awaiting_since_us: When the oldest of them connected.
        max_awaiting_request: The most of them that are allowed at a time.
        lingering: The number of clients in lingering close.
        unread_since_us: When the client that has not read for longest last read, if any has not.
        now_us: The current time.
        is_exhausted: Whether no new client fits.
        unread_us: A client may be shed after so long without reading.

    Returns:
        The kind of client to shed, if any is to be shed.
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
