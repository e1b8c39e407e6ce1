"""Checks whether memory and file descriptors suffice for one more client."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import IntEnum

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.admission import Admission, Capacity, find_first_exhausted
from larchhaven.memory.item_costs import REQUEST_BYTES, STREAM_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.core.event_loop import EventLoop

# Connections reserved for clients that are being rejected; admitted requests must not use them.
RESERVED_REJECTION_SLOTS = 8
# Clients that may be accepted beyond the descriptors, to be rejected. Idle clients hold such a slot
# for the grace of their request line, so that few slots would let a crowd keep others waiting.
REJECTION_DESCRIPTORS = 32
# Requests may use this share of the table memory; the rest covers growth between two samples.
REQUEST_TABLES_RATIO = 0.9
# One stream to the client and one to the server of its attempt.
_STREAMS_PER_CLIENT = 2


class _CapacityIndex(IntEnum):
    """Position of each capacity in the tuple that admission checks."""

    CONNECTIONS = 0
    TABLES = 1
    DESCRIPTORS = 2


_CAPACITY_PURPOSES = {
    _CapacityIndex.CONNECTIONS: MemoryPurpose.CONNECTIONS,
    _CapacityIndex.TABLES: MemoryPurpose.TABLES,
}


class ConnectionLimits:
    """Limits the resources that a client needs.

    These are memory for the connection of its attempt and for its request, and file descriptors.

    Attributes:
        admission: Admission control by priority weight.
        max_descriptors: Maximum number of descriptors used by clients and their attempts together.
        descriptor_rejections: Number of requests rejected and clients shed because the descriptors
            were exhausted.
        evict_table_bytes: Called with the number of bytes to free by evicting cached table entries.
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
            priority_weights: Priority weights of the request classes, by class index.
            max_descriptors: Maximum number of descriptors used by clients and their attempts
                together.
        """
        self._loop = loop
        self._account = account
        self.admission = Admission(priority_weights)
        self.max_descriptors = max_descriptors
        self.descriptor_rejections = 0
        self.evict_table_bytes: Callable[[int], None] = lambda _: None

    def is_exhausted(self, awaiting_request: int, lingering: int) -> bool:
        """Return whether there is no capacity for a new client.

        If caps were set below the current usage, a few clients are accepted nevertheless.
        Otherwise, new clients would wait for their rejection until established connections end.

        Args:
            awaiting_request: Number of clients whose request line has not arrived; each may still
                need an attempt.
            lingering: Number of clients in lingering close.
        """
        if self._loop.socket_count() + awaiting_request >= self.max_descriptors:
            return True
        if awaiting_request + lingering < RESERVED_REJECTION_SLOTS:
            return False
        needed_bytes = (awaiting_request + _STREAMS_PER_CLIENT) * STREAM_BYTES
        return self._account.available_bytes(MemoryPurpose.CONNECTIONS) < needed_bytes

    def has_rejection_slot(self, awaiting_request: int, lingering: int) -> bool:
        """Return whether a new client may be accepted to be rejected, beyond the capacity.

        Established connections may exceed the limits, for example after they were adopted. Clients
        that were left in the accept queue would have no answer until some of these end.

        Args:
            awaiting_request: Number of clients whose request line has not arrived.
            lingering: Number of clients in lingering close.
        """
        clients = awaiting_request + lingering
        if clients < RESERVED_REJECTION_SLOTS:
            return True
        available_bytes = self._account.available_bytes(MemoryPurpose.CONNECTIONS)
        return clients < REJECTION_DESCRIPTORS and available_bytes >= STREAM_BYTES

    def count_shed_client(self) -> None:
        """Count a shed client under the capacity with the higher utilization."""
        connections = self._account.usage(MemoryPurpose.CONNECTIONS)
        sockets = self._loop.socket_count()
        if sockets * connections.cap_bytes >= connections.used_bytes * self.max_descriptors:
            self.descriptor_rejections += 1
        else:
            self._account.count_rejection(MemoryPurpose.CONNECTIONS)

    def try_admit(
        self, request_class: int, size_bytes: int, sheddable: int, is_established: bool
    ) -> bool:
        """Decide whether to admit a request, and count a rejection.

        Args:
            request_class: Index of the request class.
            size_bytes: Size of the payload and the identity. The client's own connection is
                already charged.
            sheddable: Number of clients that can be shed; their capacity counts as free.
            is_established: Whether the connection was established before, here or at another
                proxy. If so, the request may use the reserve, whatever its class.

        Returns:
            True if the request is admitted.
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
