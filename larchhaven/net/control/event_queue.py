"""Events gathered until the decisions take them, once in an iteration of the event loop."""

from __future__ import annotations

from larchhaven.net.core.event_loop import EventLoop
from larchhaven.routing.events import EndpointListUpdate, Event, GossipReceived
from larchhaven.routing.gossip_messages import SharedLoadReports

# After a process pause: several iterations may be needed to read an endpoint list.
RESUME_GATHER_US = 20_000


def order_events_after_pause(events: list[Event]) -> list[Event]:
    """Order what was gathered after a process pause by what may be relied on.

    Endpoint lists count from when they were sent, so they come first: requests that arrived in the
    same moment would else go to servers that have left meanwhile. Load reports of other proxies are
    as old as the pause, and are dropped.
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
    """Events in the order in which they happened.

    Attributes:
        pending: The events that wait; only this class changes it.
    """

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self.pending: list[Event] = []
        self._gather_until_us = 0  # 0 unless the process was paused

    def append(self, event: Event) -> None:
        """Add an event, which is handed over at the end of this iteration."""
        self.pending.append(event)

    def gather_after_pause(self) -> None:
        """Hold events back until all that arrived during a process pause has been read."""
        self._gather_until_us = self._loop.now_us + RESUME_GATHER_US
        # Makes sure that there is an iteration then.
        self._loop.call_later(RESUME_GATHER_US, lambda: None)

    def take_events(self) -> list[Event]:
        """Return the events to be handed over now; they leave the queue."""
        if self._loop.now_us < self._gather_until_us:
            return []
        events, self.pending = self.pending, []
        if events and self._gather_until_us:
            self._gather_until_us = 0
            return order_events_after_pause(events)
        return events
