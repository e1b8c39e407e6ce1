"""The live proxies, as reported by the membership protocol."""

from __future__ import annotations

from larchhaven.routing.events import LivePeersChanged


class LivePeers:
    """The proxies not known to have failed or left, including this one.

    Attributes:
        indices: Indices of the live proxies.
        count: Number of live proxies.
    """

    def __init__(self, proxy_count: int) -> None:
        self.indices = frozenset(range(proxy_count))
        self.count = proxy_count

    def on_live_peers_changed(self, event: LivePeersChanged) -> None:
        """Replace the live proxies by those that the membership protocol reports."""
        self.indices = event.proxies
        self.count = len(event.proxies)
