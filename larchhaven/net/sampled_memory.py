"""Memory that is not charged item by item, but counted as a whole at each sample."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larchhaven.memory import item_costs
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.control.endpoint_directory import EndpointDirectory
from larchhaven.net.control.executed_identities import ExecutedIdentities
from larchhaven.net.resources import ProxyResources

_STICKY_ENTRIES_SOURCE = "sticky entries"


class RequestGauge(Protocol):
    """Counts the open requests."""

    last_arrival_us: int  # 0 until the first request
    executed_identities: ExecutedIdentities  # requests that must not run again

    def count_requests(self) -> int:
        """Return the number of open requests, including established connections."""


class EvictableStickyTable(Protocol):
    """The sticky table of the balancer."""

    def count_sticky_entries(self) -> int:
        """Return the number of entries."""

    def evict_sticky_entries(self, count: int) -> None:
        """Evict the given number of oldest entries."""


class SampledMemory:
    """Counts the memory of tables at each sample, and evicts sticky entries to free memory.

    Args:
        resources: The shared resources of the proxy.
        requests: Counts the open requests.
        sticky_table: The sticky table, whose entries may be evicted.
        endpoints: The endpoint list.
        count_membership_bytes: Returns the memory of the membership in bytes.
    """

    def __init__(
        self,
        resources: ProxyResources,
        requests: RequestGauge,
        sticky_table: EvictableStickyTable,
        endpoints: EndpointDirectory,
        count_membership_bytes: Callable[[], int],
    ) -> None:
        self._loop = resources.loop
        self._log = resources.log
        self._account = resources.account
        self._requests = requests
        self._sticky_table = sticky_table
        self._endpoints = endpoints
        resources.accounting.sampled_sources = {
            (MemoryPurpose.TABLES, "first request"): self._count_first_request_bytes,
            (MemoryPurpose.TABLES, "timers"): self._count_timer_bytes,
            (MemoryPurpose.TABLES, "executed requests"): requests.executed_identities.count_bytes,
            (MemoryPurpose.TABLES, "servers"): self._count_server_bytes,
            (MemoryPurpose.TABLES, "remembered servers"): self._count_remembered_server_bytes,
            (MemoryPurpose.TABLES, _STICKY_ENTRIES_SOURCE): self._count_sticky_entry_bytes,
            (MemoryPurpose.PEERS, "members"): count_membership_bytes,
            (MemoryPurpose.LOG, "log events"): self._count_log_bytes,
        }

    def evict_table_bytes(self, size_bytes: int) -> None:
        """Evict the oldest sticky entries, which are only hints, to free a number of bytes."""
        self._sticky_table.evict_sticky_entries(size_bytes // item_costs.STICKY_ENTRY_BYTES + 1)
        self._account.set_sampled_bytes(
            MemoryPurpose.TABLES, _STICKY_ENTRIES_SOURCE, self._count_sticky_entry_bytes()
        )

    def _count_first_request_bytes(self) -> int:
        return item_costs.FIRST_REQUEST_BYTES if self._requests.last_arrival_us else 0

    def _count_timer_bytes(self) -> int:
        """Count the timers that are not charged to requests."""
        charged = item_costs.TIMERS_PER_REQUEST * self._requests.count_requests()
        return item_costs.TIMER_BYTES * max(self._loop.timer_count() - charged, 0)

    def _count_server_bytes(self) -> int:
        return self._endpoints.count_listed() * item_costs.SERVER_BYTES

    def _count_remembered_server_bytes(self) -> int:
        return self._endpoints.count_remembered() * item_costs.REMEMBERED_SERVER_BYTES

    def _count_sticky_entry_bytes(self) -> int:
        return self._sticky_table.count_sticky_entries() * item_costs.STICKY_ENTRY_BYTES

    def _count_log_bytes(self) -> int:
        return self._log.event_count() * item_costs.LOG_EVENT_BYTES
