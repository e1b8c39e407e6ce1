"""Output actions of the balancer, as small immutable types; durations are in microseconds."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.routing.gossip_messages import GossipMessage


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to a server.

    The attempts of a request are numbered from 0 in the order in which they start.

    Attributes:
        request_id: Id of the request.
        server_id: The server to send it to.
        timeout_us: Time limit of the attempt; 0 if only the deadline of the request limits it.
    """

    request_id: int
    server_id: str
    timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: the request was not served, and the client may safely retry it.

    Attributes:
        request_id: Id of the request.
        retry_after_us: Delay after which the client is advised to retry; 0 for no advice.
    """

    request_id: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: the request failed, and may or may not have been executed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt that is in flight."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class MigrateConnection:
    """Ask the client of an established connection to reconnect."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to a server, which answers with its load report."""

    server_id: str


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a message to one peer, or to all peers if ``peer_index`` is None."""

    peer_index: int | None
    message: GossipMessage


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Request a ``TimerFired`` event after a delay."""

    timer_id: int
    delay_us: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Open the watch on the endpoint list, or close it."""

    is_enabled: bool = True


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this proxy's idle connections to a server."""

    server_id: str


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the operators' log."""

    text: str


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | MigrateConnection
    | CheckHealth
    | SendGossip
    | StartTimer
    | WatchEndpoints
    | PollEndpoints
    | CloseIdleConnections
    | LogMessage
)
