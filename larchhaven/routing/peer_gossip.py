"""Gossip between proxies, and between predecessor and successor at a hot restart."""

from __future__ import annotations

from collections.abc import Mapping

from larchhaven.routing.actions import SendGossip
from larchhaven.routing.affinity import StickyTable
from larchhaven.routing.arrival_statistics import ArrivalStatistics
from larchhaven.routing.events import GossipReceived
from larchhaven.routing.gossip_messages import (
    LearnedState,
    ProxyStarted,
    StickyEntries,
    StickyEntryQuery,
)
from larchhaven.routing.migration import Migration
from larchhaven.routing.placement import Placement
from larchhaven.routing.request import Request
from larchhaven.routing.scheduler import Scheduler


class PeerGossip:
    """Exchanges sticky table entries with other proxies, and learned state at a hot restart."""

    def __init__(
        self,
        *,
        proxy_index: int,
        scheduler: Scheduler,
        requests: Mapping[int, Request],
        arrivals: ArrivalStatistics,
        sticky_table: StickyTable,
        migration: Migration,
        placement: Placement,
    ) -> None:
        self._proxy_index = proxy_index
        self._scheduler = scheduler
        self._requests = requests
        self._arrivals = arrivals
        self._sticky_table = sticky_table
        self._migration = migration
        self._placement = placement

    def on_gossip_received(self, event: GossipReceived) -> None:
        """Apply a gossip message, or answer it."""
        message = event.message
        if isinstance(message, StickyEntryQuery):
            self._sticky_table.send_entries(event.sender_index, [message.key_hash])
        elif isinstance(message, ProxyStarted):
            self._answer_start(event.sender_index)
        elif isinstance(message, LearnedState):
            if event.sender_index == self._proxy_index:
                self._restore_learned_state(message)
        elif isinstance(message, StickyEntries):
            for entry in message.entries:
                self._sticky_table.remember(entry.key_hash, entry.server_hash)
            self._placement.resume_mid_flow()

    def _answer_start(self, sender_index: int) -> None:
        requests = self._requests.values()
        established = [request.key_hash for request in requests if request.is_established]
        self._sticky_table.answer_start(sender_index, established)
        if sender_index == self._proxy_index:
            learned = LearnedState(
                self._arrivals.arrival_count,
                self._arrivals.mean_load,
                self._migration.credit,
                tuple(self._arrivals.class_loads),
            )
            self._scheduler.emit(SendGossip(sender_index, learned))

    def _restore_learned_state(self, state: LearnedState) -> None:
        if len(state.class_loads) != len(self._arrivals.class_loads):
            return
        self._migration.credit = state.migration_credit
        self._arrivals.restore(state.mean_load, state.class_loads, int(state.arrival_count))
