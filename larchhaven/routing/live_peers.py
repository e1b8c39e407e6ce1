"""Which proxies are live, as far as this one knows."""

from __future__ import annotations

from larchhaven.routing.events import LivePeersChanged


class LivePeers:
    """The proxies, this one among them, that are not known to be gone.

    Attributes:
        indices: Their indices.
        count: How many they are.
    """

    def __init__(self, proxy_count: int) -> None:
        self.indices = frozenset(range(proxy_count))
        self.count = proxy_count

    def on_live_peers_changed(self, event: LivePeersChanged) -> None:
        """Take over what the membership protocol has found."""
        self.indices = event.proxies
        self.count = len(event.proxies)
