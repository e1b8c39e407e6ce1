"""Transfers state and established connections between the two processes of a hot restart."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence
from typing import Protocol

from larchhaven.gossip import codec
from larchhaven.net.control.executed_identities import (
    ExecutedIdentities,
    Execution,
    identity_hash,
)
from larchhaven.net.control.interfaces import ConnectionObserver, EstablishedConnection
from larchhaven.net.control.membership_switch import MembershipSwitch
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core.stream import Stream
from larchhaven.net.hot_restart import HotRestart
from larchhaven.net.hot_restart_messages import (
    PROTOCOL_VERSION,
    ConnectionTransfer,
    ExecutionRecord,
    ReportRecord,
    ServerReport,
    SharedState,
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

# Delay before the transfer is retried after a connection could not be sent.
TRANSFER_RETRY_US = 5_000
# Number of executed requests that the successor is notified of at its start, the latest ones. They
# have to fit into one message, together with the identities of the open requests.
MAX_SHARED_EXECUTIONS = 1_500


class TransferableRequest(Protocol):
    """A request with an established connection."""

    @property
    def request_id(self) -> int:
        """The id of the request in this process."""

    @property
    def spec(self) -> RequestSpec:
        """The parameters of the request."""

    @property
    def server_id(self) -> str:
        """The id of the server that the client is connected to."""

    @property
    def load(self) -> float | None:
        """The load of the connection, in cores; None if unknown."""

    @property
    def connection(self) -> EstablishedConnection | None:
        """The connection; None once it has ended."""


class RequestIdentities(Protocol):
    """The identities of requests.

    Attributes:
        executed_identities: The requests that servers may have executed, and must not again.
    """

    executed_identities: ExecutedIdentities

    def list_identities(self) -> list[bytes]:
        """Return the identities of all open requests."""


class TransferableConnections(ConnectionObserver, Protocol):
    """The established connections, which can be transferred to and from another process."""

    def list_connections(self) -> Sequence[TransferableRequest]:
        """Return the requests whose connections are established."""

    def release_connection(self, request_id: int) -> None:
        """Release a connection that the successor has taken over."""

    def adopt_connection(
        self,
        spec: RequestSpec,
        server_id: str,
        connect: Callable[[int], EstablishedConnection],
    ) -> None:
        """Add a connection of the predecessor.

        Args:
            spec: The parameters of its request, without the payload.
            server_id: The id of its server.
            connect: Makes the connection, given the id of its request in this process.
        """


class StateTransfer:
    """Adopts the predecessor's state and connections, and hands its own over to the successor.

    Args:
        resources: The resources shared by the proxy's components.
        settings: The routing settings.
        requests: The identities of the requests of this process.
        connections: The established connections of this process.
        queue_event: Queues an event for the balancer.
        membership: The membership, which is handed over to the successor.
        latest_reports: The latest load reports of this process, by server id.
        directory: The directory that both processes share; empty to disable hot restarts.

    Attributes:
        hot_restart: The channels to the predecessor and the successor.
    """

    def __init__(
        self,
        resources: ProxyResources,
        settings: RoutingSettings,
        requests: RequestIdentities,
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
        """Request the state of the predecessor, if there is one, and listen for a successor.

        Args:
            on_started: Called once the predecessor's state has arrived or timed out, or there is no
                predecessor.
        """
        self.hot_restart.start(on_started)

    def resume_membership(self) -> None:
        """Resume the membership if it was handed over to a successor that has exited."""
        if self._membership.is_handed_over and not self.hot_restart.has_successor:
            self._membership.resume()

    def transfer_connections(self) -> None:
        """Transfer established connections to the successor, as many as it accepts now."""
        if not self.hot_restart.has_successor:
            return
        for request in self._connections.list_connections():
            relay = request.connection
            state = relay.export_state() if isinstance(relay, ConnectionRelay) else None
            if state is None or not isinstance(relay, ConnectionRelay):
                continue  # the connection is about to end
            transfer = _make_transfer(request, state)
            if not self.hot_restart.transfer_connection(transfer, relay.file_descriptors()):
                # The timer only wakes the loop: this method runs at the end of each iteration.
                self._loop.call_later(TRANSFER_RETRY_US, lambda: None)
                return
            self._connections.release_connection(request.request_id)

    # HotRestartListener callbacks

    def build_shared_state(self) -> SharedState:
        """Return the state that the successor starts with.

        Administrative ejections are not included: the successor reads them from their file.
        """
        # Makes this process's balancer send its state to the successor's as gossip.
        self.on_gossip_forwarded(codec.PROXY_STARTED)
        reports = [
            ServerReport(
                server_id, received.received_at_us, ReportRecord.from_report(received.report)
            )
            for server_id, received in self._latest_reports.items()
        ]
        identities = self._requests.list_identities()
        hashes = [identity_hash(identity) for identity in identities]
        executions = [
            ExecutionRecord(hashed, execution.class_index, execution.sent_at_us)
            for hashed, execution in self._requests.executed_identities.latest(
                MAX_SHARED_EXECUTIONS
            )
        ]
        return SharedState(
            PROTOCOL_VERSION, reports, hashes, self._membership.hand_over(), executions
        )

    def on_shared_state(self, state: SharedState) -> None:
        """Adopt the state of the predecessor; its load reports keep their age."""
        self._membership.take_over(state.incarnation)
        for record in reversed(state.executions):  # the latest one last, as it is forgotten last
            self.on_executed_elsewhere(record)
        for shared in state.reports:
            age_us = max(self._loop.now_us - shared.received_at_us, 0)
            report = shared.report.to_report()
            self._queue_event(
                HealthCheckCompleted(shared.server_id, AttemptResult.OK, age_us, report)
            )

    def on_executed_elsewhere(self, record: ExecutionRecord) -> None:
        """Remember a request that ended in the other process, and must not run again."""
        execution = Execution(record.class_index, record.sent_at_us)
        self._requests.executed_identities.record(record.identity_hash, execution)

    def on_gossip_forwarded(self, data: bytes) -> None:
        """Handle gossip from the balancer of the other process, which has the same proxy index."""
        message = codec.decode(data)
        self._queue_event(GossipReceived(self._settings.proxy_index, message))

    def on_connection_transferred(
        self, transfer: ConnectionTransfer, descriptors: Sequence[int]
    ) -> None:
        """Take over a connection of the predecessor."""
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
