"""What the control plane and a protocol's connections know of each other, as narrow interfaces."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.routing.events import AttemptResult, LoadReport
from larchhaven.routing.gossip_messages import GossipMessage


class AttemptObserver(Protocol):
    """Is notified of the progress of an attempt."""

    def may_send_request(self, request_id: int) -> bool:
        """Return whether the first byte may still be sent to the server."""

    def on_request_sent(self, request_id: int) -> None:
        """Take notice that the last byte of the request is written."""

    def on_attempt_established(self, request_id: int) -> None:
        """Take notice that the server has accepted the connection."""

    def on_attempt_failed(
        self, request_id: int, result: AttemptResult, report: LoadReport | None
    ) -> None:
        """Take notice that the attempt ended without a connection."""


class ConnectionObserver(Protocol):
    """Is notified of the life of an established connection."""

    def on_load_changed(self, request_id: int, load: float) -> None:
        """Take notice of the connection's new load, in cores."""

    def on_message_answered(self, request_id: int, delay_us: int) -> None:
        """Take notice of how long the server took for an answer."""

    def on_message_waiting(self, request_id: int, age_us: int) -> None:
        """Take notice of how long the oldest message has gone unanswered."""

    def on_server_unresponsive(self, request_id: int, age_us: int) -> None:
        """Take notice that a message is unanswered for so long that the connection is to move."""

    def on_connection_ended(
        self, request_id: int, result: AttemptResult, report: LoadReport | None
    ) -> None:
        """Take notice of how the connection ended."""


class UpstreamAttempt(Protocol):
    """One attempt of a request at a server."""

    def cancel(self) -> None:
        """Give up; the observer is not notified."""


class EstablishedConnection(Protocol):
    """A connection between a client and its server."""

    def detach_sockets(self) -> None:
        """Close this process's descriptors; another process has taken the connection over."""

    def migrate(self) -> None:
        """Ask the client to reconnect, and end both sides."""


class ClientConnection(Protocol):
    """A client that waits for its answer.

    Each request ends in exactly one call of ``send_rejection``, ``send_failure`` or
    ``establish_connection``, unless its client disconnects first.
    """

    def read_available(self) -> None:
        """Read what has arrived, as it may be the client's end of stream."""

    def send_rejection(self, retry_after_us: int) -> None:
        """Answer that a retry does no harm, after this time if it is not 0."""

    def send_failure(self) -> None:
        """Answer that the request failed."""

    def establish_connection(
        self, attempt: UpstreamAttempt, request_id: int, observer: ConnectionObserver
    ) -> EstablishedConnection:
        """Connect the client to the attempt's server; from then on the observer is notified."""


class RequestIntake(Protocol):
    """Accepts the requests of clients."""

    def detect_duplicate_identity(self, spec: RequestSpec) -> bool:
        """Return whether another open request has this identity, and count a failure if so."""

    def accept_request(self, client: ClientConnection, spec: RequestSpec) -> int:
        """Take a request over, which gets one final answer; return its id."""

    def reject_request(self, client: ClientConnection, spec: RequestSpec) -> None:
        """Reject a request for which there is no capacity."""

    def on_client_disconnected(self, request_id: int) -> None:
        """Take notice that a client has left while it waited."""

    def fail_request(self, request_id: int) -> bool:
        """Fail the request of a client that breaks the protocol; False if it was answered."""


class EndpointAddresses(Protocol):
    """Where servers are reached, and which are draining."""

    def find_address(self, server_id: str) -> tuple[str, int] | None:
        """Return host and port of a server; None if it is not listed."""

    def drain_notified_at_us(self, server_id: str) -> int | None:
        """Return when the list first named it as draining or removed; None while it is ready."""


@dataclass(slots=True)
class Transport:
    """What the actions of the decisions are carried out by.

    Attributes:
        endpoints: Addresses of servers.
        start_attempt: Starts an attempt: request id, payload, address, timeout in microseconds.
        check_health: Starts a health check of a server at an address.
        close_idle_connections: Closes the idle connections to a server.
        set_watch_enabled: Opens or closes the watch on the endpoint list.
        poll_endpoints: Asks once for the complete endpoint list.
        send_gossip: Sends a message to one peer by index, or to all if that is None.
        announce_identity: Notifies the other process of a hot restart that an identity is open, or
            is not any more.
        is_open_elsewhere: Returns whether that process has an open request of an identity.
    """

    endpoints: EndpointAddresses
    start_attempt: Callable[[int, bytes, tuple[str, int], int], UpstreamAttempt]
    check_health: Callable[[str, tuple[str, int]], None]
    close_idle_connections: Callable[[str], None]
    set_watch_enabled: Callable[[bool], None]
    poll_endpoints: Callable[[], None]
    send_gossip: Callable[[int | None, GossipMessage], None]
    announce_identity: Callable[[bytes, bool], None]
    is_open_elsewhere: Callable[[bytes], bool]
