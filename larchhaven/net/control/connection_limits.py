"""Whether capacity is left for one more client: bytes by purpose, and descriptors."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import IntEnum

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.admission import Admission, Capacity, find_first_exhausted
from larchhaven.memory.item_costs import REQUEST_BYTES, STREAM_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.core.event_loop import EventLoop

# So many clients may be rejected at a time; no admitted request may use their connections.
RESERVED_REJECTION_SLOTS = 8
# Requests may use this part of the tables; the rest is for what grows between two samples.
REQUEST_TABLES_RATIO = 0.9
# The end of the client and that of its attempt.
_STREAMS_PER_CLIENT = 2


class _CapacityIndex(IntEnum):
    """The position of each capacity in the sequence that is checked."""

    CONNECTIONS = 0
    TABLES = 1
    DESCRIPTORS = 2


_CAPACITY_PURPOSES = {
    _CapacityIndex.CONNECTIONS: MemoryPurpose.CONNECTIONS,
    _CapacityIndex.TABLES: MemoryPurpose.TABLES,
}


class ConnectionLimits:
    """The capacities that a client needs: the connection of its attempt, its request, descriptors.

    Attributes:
        admission: The decision by priority weight.
        max_descriptors: The descriptors that clients and their attempts may use together.
        descriptor_rejections: Requests rejected and clients shed for want of descriptors.
        evict_table_bytes: Called to evict cached entries of the tables, with how many bytes are
            wanted.
    """

    def __init__(
        self,
        loop: EventLoop,
        account: MemoryAccount,
        priority_weights: Sequence[float],
        max_descriptors: int,
    ) -> None:
        """Create the limits.

        Args:
            loop: The event loop, which counts the descriptors in use.
            account: The memory account.
            priority_weights: The priority weight of each request class, by its number.
            max_descriptors: The descriptors that clients and their attempts may use together.
        """
        self._loop = loop
        self._account = account
        self.admission = Admission(priority_weights)
        self.max_descriptors = max_descriptors
        self.descriptor_rejections = 0
        self.evict_table_bytes: Callable[[int], None] = lambda _: None

    def is_exhausted(self, awaiting_request: int, lingering: int) -> bool:
        """Return whether no new client fits.

        Where caps were set below what is in use, a few are accepted all the same: else new clients
        would wait for their rejection until established connections have ended.

        Args:
            awaiting_request: Clients without a request line; each may yet need an attempt.
            lingering: Clients in lingering close.
        """
        if self._loop.socket_count() + awaiting_request >= self.max_descriptors:
            return True
        if awaiting_request + lingering < RESERVED_REJECTION_SLOTS:
            return False
        needed_bytes = (awaiting_request + _STREAMS_PER_CLIENT) * STREAM_BYTES
        return self._account.available_bytes(MemoryPurpose.CONNECTIONS) < needed_bytes

    def count_shed_client(self) -> None:
        """Count a client that was shed, under the capacity that is used to the larger part."""
        connections = self._account.usage(MemoryPurpose.CONNECTIONS)
        sockets = self._loop.socket_count()
        if sockets * connections.cap_bytes >= connections.used_bytes * self.max_descriptors:
            self.descriptor_rejections += 1
        else:
            self._account.count_rejection(MemoryPurpose.CONNECTIONS)

    def try_admit(
        self, request_class: int, size_bytes: int, sheddable: int, is_established: bool
    ) -> bool:
        """Decide whether a request fits; a rejection is counted.

        Args:
            request_class: The number of its class.
            size_bytes: The size of its payload and id. The client's own connection is charged
                already.
            sheddable: Clients that can be shed, whose capacity counts as free.
            is_established: Whether its connection was established before, here or at another
                proxy: it may use the reserve, whatever its class.
        """
        tables_bytes = int(REQUEST_TABLES_RATIO * self._account.cap_bytes(MemoryPurpose.TABLES))
        self._evict_for(REQUEST_BYTES + size_bytes, tables_bytes)
        capacities = self._capacities(REQUEST_BYTES + size_bytes, tables_bytes, sheddable)
        if is_established:
            exhausted = find_first_exhausted(capacities, reserve_ratio=0.0)
        else:
            exhausted = self.admission.find_exhausted(request_class, capacities)
        if exhausted is None:
            return True
        self._count_rejection(_CapacityIndex(exhausted))
        return False

    def _evict_for(self, needed_bytes: int, tables_bytes: int) -> None:
        used_bytes = self._account.used_bytes(MemoryPurpose.TABLES)
        missing_bytes = needed_bytes + used_bytes - tables_bytes
        if missing_bytes > 0:
            self.evict_table_bytes(missing_bytes)

    def _capacities(
        self, request_bytes: int, tables_bytes: int, sheddable: int
    ) -> tuple[Capacity, Capacity, Capacity]:
        """Return the capacities in the order of ``_CapacityIndex``."""
        account = self._account
        reserved_bytes = RESERVED_REJECTION_SLOTS * STREAM_BYTES
        return (
            Capacity(
                total=account.cap_bytes(MemoryPurpose.CONNECTIONS) - reserved_bytes,
                used=account.used_bytes(MemoryPurpose.CONNECTIONS) - sheddable * STREAM_BYTES,
                needed=STREAM_BYTES,
            ),
            Capacity(
                total=tables_bytes,
                used=account.used_bytes(MemoryPurpose.TABLES),
                needed=request_bytes,
            ),
            Capacity(
                total=self.max_descriptors - RESERVED_REJECTION_SLOTS,
                used=self._loop.socket_count() - sheddable,
                needed=1,
            ),
        )

    def _count_rejection(self, exhausted: _CapacityIndex) -> None:
        if exhausted is _CapacityIndex.DESCRIPTORS:
            self.descriptor_rejections += 1
        else:
            self._account.count_rejection(_CAPACITY_PURPOSES[exhausted])
