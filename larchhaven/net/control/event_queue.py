"""Queues events for the balancer, which takes them once per event loop iteration."""

from __future__ import annotations

from larchhaven.net.core.event_loop import EventLoop
from larchhaven.routing.events import EndpointListUpdate, Event, GossipReceived
from larchhaven.routing.gossip_messages import SharedLoadReports

# How long events are held back after a process pause. Reading an endpoint list can take several
# iterations.
RESUME_GATHER_US = 20_000


def order_events_after_pause(events: list[Event]) -> list[Event]:
    """Move endpoint lists to the front, and drop outdated load reports.

    Endpoint lists count from the time when they were sent, so they come first. Otherwise, requests
    that arrived at the same time would go to servers that have been removed meanwhile. Load reports
    of other proxies are as old as the pause, so they are dropped.
    """
    lists: list[Event] = []
    others: list[Event] = []
    for event in events:
        if isinstance(event, EndpointListUpdate):
            lists.append(event)
        elif not _is_shared_load_report(event):
            others.append(event)
    return lists + others


def _is_shared_load_report(event: Event) -> bool:
    return isinstance(event, GossipReceived) and isinstance(event.message, SharedLoadReports)


class EventQueue:
    """Holds events in the order in which they occurred.

    Attributes:
        pending: The queued events; only this class modifies the list.
    """

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self.pending: list[Event] = []
        self._gather_until_us = 0  # 0 unless events are held back

    def append(self, event: Event) -> None:
        """Add an event; the balancer takes it at the end of this iteration."""
        self.pending.append(event)

    def gather_after_pause(self) -> None:
        """Hold back events until all input that arrived during a process pause has been read."""
        self._gather_until_us = self._loop.now_us + RESUME_GATHER_US
        # Ensures that an iteration runs at that time.
        self._loop.call_later(RESUME_GATHER_US, lambda: None)

    def take_events(self) -> list[Event]:
        """Remove and return the events that are due; none while they are held back."""
        if self._loop.now_us < self._gather_until_us:
            return []
        events, self.pending = self.pending, []
        if events and self._gather_until_us:
            self._gather_until_us = 0
            return order_events_after_pause(events)
        return events
