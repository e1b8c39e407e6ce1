"""Interfaces between the control plane and the connections of a protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from larchhaven.net.control.executed_identities import Execution
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.routing.events import AttemptResult, LoadReport
from larchhaven.routing.gossip_messages import GossipMessage


class AttemptObserver(Protocol):
    """Receives notifications about the progress of an attempt."""

    def may_send_request(self, request_id: int) -> bool:
        """Return whether the first byte of the request may still be sent to the server."""

    def on_request_sent(self, request_id: int) -> None:
        """Record that the last byte of the request has been written."""

    def on_attempt_established(self, request_id: int) -> None:
        """Handle the acceptance of the connection by the server."""

    def on_attempt_failed(
        self, request_id: int, result: AttemptResult, report: LoadReport | None
    ) -> None:
        """Handle an attempt that ended without a connection."""


class ConnectionObserver(Protocol):
    """Receives notifications about an established connection."""

    def on_load_changed(self, request_id: int, load: float) -> None:
        """Handle a change of the connection's load, in cores."""

    def on_message_answered(self, request_id: int, delay_us: int) -> None:
        """Handle the delay of the server's answer to a message."""

    def on_message_waiting(self, request_id: int, age_us: int) -> None:
        """Handle the current age of the oldest unanswered message."""

    def on_server_unresponsive(self, request_id: int, age_us: int) -> None:
        """Handle a message unanswered for so long that the connection should be migrated."""

    def on_connection_ended(
        self, request_id: int, result: AttemptResult, report: LoadReport | None
    ) -> None:
        """Handle the end of the connection."""


class UpstreamAttempt(Protocol):
    """One attempt of a request at a server."""

    def cancel(self) -> None:
        """Cancel the attempt without notifying the observer."""


class EstablishedConnection(Protocol):
    """A connection between a client and its server."""

    def detach_sockets(self) -> None:
        """Close this process's descriptors after another process took over the connection."""

    def migrate(self) -> None:
        """Ask the client to reconnect, and end both sides of the connection."""

    def end_migration(self) -> None:
        """End both sides of a connection whose migration still waits for the end of a line."""


class ClientConnection(Protocol):
    """A client that waits for its answer.

    Each request ends with exactly one call of ``send_rejection``, ``send_failure`` or
    ``establish_connection``, unless its client disconnects first.
    """

    def read_available(self) -> None:
        """Read the available input, which may be the client's end of stream."""

    def send_rejection(self, retry_after_us: int) -> None:
        """Reject the request, which is safe to retry after this delay; 0 names no delay."""

    def send_failure(self) -> None:
        """Answer that the request failed."""

    def establish_connection(
        self, attempt: UpstreamAttempt, request_id: int, observer: ConnectionObserver
    ) -> EstablishedConnection:
        """Connect the client to the attempt's server, and notify the observer from then on."""


class RequestIntake(Protocol):
    """Accepts the requests of clients."""

    def detect_duplicate_identity(self, spec: RequestSpec) -> bool:
        """Return whether the request must not run because of its identity; count a failure if so.

        Another open request may have the identity, or a server may have executed it before.
        """

    def accept_request(self, client: ClientConnection, spec: RequestSpec) -> int:
        """Accept a request, which gets exactly one final answer; return its id."""

    def reject_request(self, client: ClientConnection, spec: RequestSpec) -> None:
        """Reject a request for which there is no capacity."""

    def on_client_disconnected(self, request_id: int) -> None:
        """Handle a client that disconnected while it waited for its answer."""

    def fail_request(self, request_id: int) -> bool:
        """Fail the request of a client that violates the protocol.

        Returns:
            False if the request was already answered.
        """


class EndpointAddresses(Protocol):
    """Addresses and drain times of servers."""

    def find_address(self, server_id: str) -> tuple[str, int] | None:
        """Return the host and port of a server, or None if it is not listed."""

    def drain_notified_at_us(self, server_id: str) -> int | None:
        """Return when the list first named a server as draining or removed; None if ready."""


@dataclass(slots=True)
class Transport:
    """Functions that execute the actions of the balancer.

    Attributes:
        endpoints: Addresses of servers.
        start_attempt: Starts an attempt, given the request id, the payload, the server's address
            and the timeout in microseconds.
        check_health: Starts a health check, given the server's id and address.
        close_idle_connections: Closes the idle connections to a server.
        set_watch_enabled: Starts or stops the watch on the endpoint list.
        poll_endpoints: Requests the complete endpoint list once.
        send_gossip: Sends a message to the peer with this index, or to all peers if it is None.
        announce_identity: Notifies the other process of a hot restart that a request with this
            identity has been opened (True) or has ended (False), and how it may have been
            executed.
        is_open_elsewhere: Returns whether that process has an open request with this identity.
    """

    endpoints: EndpointAddresses
    start_attempt: Callable[[int, bytes, tuple[str, int], int], UpstreamAttempt]
    check_health: Callable[[str, tuple[str, int]], None]
    close_idle_connections: Callable[[str], None]
    set_watch_enabled: Callable[[bool], None]
    poll_endpoints: Callable[[], None]
    send_gossip: Callable[[int | None, GossipMessage], None]
    announce_identity: Callable[[bytes, bool, Execution | None], None]
    is_open_elsewhere: Callable[[bytes], bool]
