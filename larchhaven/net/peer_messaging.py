"""Datagrams between proxies: gossip between their balancers, and the membership protocol."""

from __future__ import annotations

from collections.abc import Callable

from larchhaven.gossip import codec
from larchhaven.gossip.shared_health_checks import uses_shared_checks
from larchhaven.net.configuration import ProxyConfiguration
from larchhaven.net.control.membership_switch import MembershipSwitch
from larchhaven.net.control.peer_socket import PeerSocket
from larchhaven.net.core.metrics import Metrics
from larchhaven.net.resources import ProxyResources
from larchhaven.routing.events import Event, GossipReceived
from larchhaven.routing.gossip_messages import GossipMessage, is_peer_message


class PeerMessaging:
    """Exchanges datagrams with the other proxies.

    Args:
        resources: The resources shared by the proxy's components.
        config: The configuration.
        queue_event: Queues an event for the balancer.
        set_live_peers: Called with the indexes of the proxies that are presumed present.
        metrics: Counts invalid messages.
        shares_socket: Whether the other process of a hot restart may use the same address.

    Attributes:
        membership: Enables and disables the membership protocol of this proxy.
        forward_gossip: Forwards each gossip message to the other process of a hot restart.
    """

    def __init__(
        self,
        resources: ProxyResources,
        config: ProxyConfiguration,
        queue_event: Callable[[Event], None],
        set_live_peers: Callable[[frozenset[int]], None],
        metrics: Metrics,
        shares_socket: bool,
    ) -> None:
        self._queue_event = queue_event
        self._metrics = metrics
        self._own_index = config.settings.proxy_index
        self._socket: PeerSocket | None = None
        if config.peer_listen_address is not None:
            self._socket = PeerSocket(
                resources.loop,
                resources.log,
                config.peer_listen_address,
                config.peer_addresses,
                config.peer_broadcast_address,
                self._on_datagram,
                shares_socket,
                self._count_invalid_message,
            )
        self.forward_gossip: Callable[[bytes], None] = lambda _: None
        self.membership = MembershipSwitch(
            resources.loop, config, self._send_datagram, uses_shared_checks(config.settings)
        )
        self.membership.on_present_changed = set_live_peers

    def send_gossip(self, peer_index: int | None, message: GossipMessage) -> None:
        """Send a gossip message to the proxy with this index, or to all proxies if it is None.

        Every message is also forwarded to the other process of a hot restart, which has the index
        of this proxy.
        """
        data = codec.encode(message)
        if self._socket is not None and peer_index != self._own_index:
            self._socket.send(peer_index, data)
        self.forward_gossip(data)

    def _send_datagram(self, peer_index: int, data: bytes) -> None:
        if self._socket is not None:
            self._socket.send(peer_index, data)

    def _on_datagram(self, sender_index: int, data: bytes) -> None:
        if self.membership.handle_datagram(sender_index, data):
            return
        message = codec.decode(data)
        if is_peer_message(message):
            self._queue_event(GossipReceived(sender_index, message))
        else:
            self._count_invalid_message()

    def _count_invalid_message(self) -> None:
        self._metrics.invalid_peer_messages += 1
