"""What a process shares with the other one of a hot restart: its state, and its connections."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence
from typing import Protocol

from larchhaven.gossip import codec
from larchhaven.net.control.interfaces import ConnectionObserver, EstablishedConnection
from larchhaven.net.control.membership_switch import MembershipSwitch
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core.stream import Stream
from larchhaven.net.hot_restart import HotRestart
from larchhaven.net.hot_restart_messages import (
    PROTOCOL_VERSION,
    ConnectionTransfer,
    ReportRecord,
    ServerReport,
    SharedState,
    identity_hash,
)
from larchhaven.net.resources import ProxyResources
from larchhaven.net.text_protocol.connection_relay import ConnectionRelay
from larchhaven.net.text_protocol.relay_state import RelayState
from larchhaven.net.upstream_servers import ReceivedReport
from larchhaven.routing.events import (
    AttemptResult,
    Event,
    GossipReceived,
    HealthCheckCompleted,
)
from larchhaven.routing.settings import RoutingSettings

# A connection that could not be transferred is tried again after this time.
TRANSFER_RETRY_US = 5_000


class TransferableRequest(Protocol):
    """A request with an established connection."""

    @property
    def request_id(self) -> int:
        """Its id in this process."""

    @property
    def spec(self) -> RequestSpec:
        """What its client asked for."""

    @property
    def server_id(self) -> str:
        """Its server."""

    @property
    def load(self) -> float | None:
        """The load of its connection, in cores."""

    @property
    def connection(self) -> EstablishedConnection | None:
        """Its connection; None once that has ended."""


class OpenIdentities(Protocol):
    """The identities of the open requests."""

    def list_identities(self) -> list[bytes]:
        """Return all of them."""


class TransferableConnections(ConnectionObserver, Protocol):
    """The established connections, which may leave this process and come from another one."""

    def list_connections(self) -> Sequence[TransferableRequest]:
        """Return the requests whose connections are established."""

    def release_connection(self, request_id: int) -> None:
        """Let go of a connection that the successor has."""

    def adopt_connection(
        self,
        spec: RequestSpec,
        server_id: str,
        connect: Callable[[int], EstablishedConnection],
    ) -> None:
        """Add a connection of the predecessor, made by ``connect`` of its request id."""


class StateTransfer:
    """Shares the state of this process with the other one, and adopts that one's.

    Args:
        resources: What the parts of the proxy share.
        settings: The settings of the decisions.
        requests: The requests of this process.
        connections: Its established connections.
        queue_event: Takes events for the decisions.
        membership: Is handed over to the successor.
        latest_reports: The latest load reports of this process, by server.
        directory: The directory that the processes share; empty if there is no other process.

    Attributes:
        hot_restart: The channels to the other process.
    """

    def __init__(
        self,
        resources: ProxyResources,
        settings: RoutingSettings,
        requests: OpenIdentities,
        connections: TransferableConnections,
        queue_event: Callable[[Event], None],
        membership: MembershipSwitch,
        latest_reports: dict[str, ReceivedReport],
        directory: str,
    ) -> None:
        self._loop = resources.loop
        self._pool = resources.pool
        self._settings = settings
        self._requests = requests
        self._connections = connections
        self._queue_event = queue_event
        self._membership = membership
        self._latest_reports = latest_reports
        self.hot_restart = HotRestart(
            resources.loop, resources.log, directory, self, resources.account
        )

    def start(self, on_started: Callable[[], None]) -> None:
        """Adopt the state of a predecessor, and wait for a successor.

        Args:
            on_started: Called once the state has arrived, or there is no predecessor.
        """
        self.hot_restart.start(on_started)

    def resume_membership(self) -> None:
        """Take the membership back if the successor has ended."""
        if self._membership.is_handed_over and not self.hot_restart.has_successor:
            self._membership.resume()

    def transfer_connections(self) -> None:
        """Transfer the established connections to the successor, as many as it takes now."""
        if not self.hot_restart.has_successor:
            return
        for request in self._connections.list_connections():
            relay = request.connection
            state = relay.export_state() if isinstance(relay, ConnectionRelay) else None
            if state is None or not isinstance(relay, ConnectionRelay):
                continue  # it is about to end
            transfer = _make_transfer(request, state)
            if not self.hot_restart.transfer_connection(transfer, relay.file_descriptors()):
                # The loop wakes for it, and its iteration tries again.
                self._loop.call_later(TRANSFER_RETRY_US, lambda: None)
                return
            self._connections.release_connection(request.request_id)

    # Callbacks of the hot restart

    def build_shared_state(self) -> SharedState:
        """Return what the successor must know; ejections are in their file."""
        # Our balancer then tells the successor's what it has learnt.
        self.on_gossip_forwarded(codec.PROXY_STARTED)
        reports = [
            ServerReport(
                server_id, received.received_at_us, ReportRecord.from_report(received.report)
            )
            for server_id, received in self._latest_reports.items()
        ]
        identities = self._requests.list_identities()
        hashes = [identity_hash(identity) for identity in identities]
        return SharedState(PROTOCOL_VERSION, reports, hashes, self._membership.hand_over())

    def on_shared_state(self, state: SharedState) -> None:
        """Adopt what the predecessor knows; its reports keep their age."""
        self._membership.take_over(state.incarnation)
        for shared in state.reports:
            age_us = max(self._loop.now_us - shared.received_at_us, 0)
            report = shared.report.to_report()
            self._queue_event(
                HealthCheckCompleted(shared.server_id, AttemptResult.OK, age_us, report)
            )

    def on_gossip_forwarded(self, data: bytes) -> None:
        """Handle a message of the other process's balancer, which has our index."""
        message = codec.decode(data)
        self._queue_event(GossipReceived(self._settings.proxy_index, message))

    def on_connection_transferred(
        self, transfer: ConnectionTransfer, descriptors: Sequence[int]
    ) -> None:
        """Continue a connection of the predecessor."""
        loop, connections = self._loop, self._connections
        client, server = (
            Stream(loop, self._pool, socket.socket(fileno=descriptor)) for descriptor in descriptors
        )
        connections.adopt_connection(
            self._make_spec(transfer),
            transfer.server_id,
            lambda request_id: ConnectionRelay(
                loop, client, server, connections, request_id, transfer.relay
            ),
        )

    def _make_spec(self, transfer: ConnectionTransfer) -> RequestSpec:
        last_class_index = len(self._settings.classes) - 1
        return RequestSpec(
            payload=b"",
            class_index=min(max(transfer.request_class, 0), last_class_index),
            budget_us=0,
            identity=transfer.identity,
            affinity_key=transfer.key,
            affinity_group=transfer.group,
            load=transfer.load,
            tenant_index=transfer.tenant,
        )


def _make_transfer(request: TransferableRequest, state: RelayState) -> ConnectionTransfer:
    spec = request.spec
    return ConnectionTransfer(
        identity=spec.identity,
        request_class=spec.class_index,
        server_id=request.server_id,
        relay=state,
        key=spec.affinity_key,
        group=spec.affinity_group,
        load=request.load,
        tenant=spec.tenant_index,
    )
