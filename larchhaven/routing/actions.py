"""Actions that the balancer asks for: what is to be done, as small frozen types."""

from __future__ import annotations

from dataclasses import dataclass

from larchhaven.routing.gossip_messages import GossipMessage


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Begin an attempt; the attempts of a request count up from 0 in the order sent."""

    request_id: int
    server_id: str
    timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not served, and a retry does no harm."""

    request_id: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, with no promise about its effect."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class MigrateConnection:
    """End an established connection politely, so that its client reconnects."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Ask a server for its load report."""

    server_id: str


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a message to one other proxy, or to every one if ``peer_index`` is None."""

    peer_index: int | None
    message: GossipMessage


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Ask for a ``TimerFired`` after a while."""

    timer_id: int
    delay_us: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Open the watch on the endpoint list, or close it."""

    is_enabled: bool = True


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Ask once for the complete endpoint list."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this proxy's idle connections to a server."""

    server_id: str


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the operators' log."""

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
