"""Input events of the balancer, as small immutable types.

Times and durations are in microseconds on the caller's clock. Loads are in standard cores (seconds
of work per second). Server ids are opaque strings, request ids opaque numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from larchhaven.routing.gossip_messages import GossipMessage


class ServerState(Enum):
    """The state of a server in the endpoint list."""

    READY = auto()
    DRAINING = auto()
    REMOVED = auto()


class EndpointListKind(Enum):
    """What an endpoint list update contains."""

    CHANGES = auto()
    COMPLETE = auto()
    CACHED = auto()  # the list that was given to the process at its start
    FAILED = auto()  # the watch or the poll failed; the update contains no list


class AttemptResult(Enum):
    """How an attempt or a health check ended."""

    OK = auto()
    ERROR = auto()
    OVERLOADED = auto()  # the server was full and rejected the request
    TIMEOUT = auto()
    UNREACHABLE = auto()
    RESET = auto()
    CANCELLED = auto()
    NOT_SENT = auto()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's load report; fields that the server did not send are None.

    Attributes:
        load_ratio: Load over capacity.
        utilization: Busy fraction of the server, used if there is no ``load_ratio``.
        in_flight: Number of requests that the server is processing.
        queue_length: Number of requests in the server's queue.
        backlog_s: Work in the server's queue, in seconds.
    """

    load_ratio: float | None = None
    utilization: float | None = None
    in_flight: float | None = None
    queue_length: float | None = None
    backlog_s: float | None = None


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list.

    Attributes:
        server_id: Id of the server.
        state: Whether the server is ready, draining or removed.
        weight: Capacity relative to the other servers.
        zone: Index of the server's zone.
        cell: Index of the server's cell, the smallest scope of deduplication.
        hardware_kind: Index of the server's hardware kind.
        started_at_us: Start time of a server that is warming up; 0 for any other server.
    """

    server_id: str
    state: ServerState = ServerState.READY
    weight: float = 1.0
    zone: int = 0
    cell: int = 0
    hardware_kind: int = 0
    started_at_us: int = 0


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The complete endpoint list, changes to it, or the failure of a watch or poll."""

    kind: EndpointListKind
    version: int = 0
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request from a client, which must get exactly one final answer.

    Attributes:
        request_id: Id of the request, valid until its final answer or the end of its connection.
        class_index: Index of the request class in the settings.
        budget_us: Time left until the deadline.
        tenant_index: Index of the tenant in the settings; any higher index means no tenant.
        affinity_key: Key of the connection, by which its server is found again mid-flow.
        load: Load that the client announces, if any.
        affinity_group: Group of clients that cost less if they share a server, if any.
        is_retry: Whether the client has sent this request before.
        is_mid_flow: Whether the connection is already established, possibly through another proxy.
        is_reconnect: Whether the client was connected before.
        pinned_server_id: The only server that may be used, as it already holds the connection;
            None if any server may be used.
    """

    request_id: int
    class_index: int
    budget_us: int
    tenant_index: int = 0
    affinity_key: int | None = None
    load: float | None = None
    affinity_group: int | None = None
    is_retry: bool = False
    is_mid_flow: bool = False
    is_reconnect: bool = False
    pinned_server_id: str | None = None


@dataclass(frozen=True, slots=True)
class ConnectionRestored:
    """A connection that was already established through this proxy when the process started."""

    arrival: RequestArrived
    server_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the balancer started has expired."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    """The result of one health check."""

    server_id: str
    result: AttemptResult
    latency_us: int
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A message from another proxy, or from the predecessor or successor at a hot restart."""

    sender_index: int
    message: GossipMessage


@dataclass(frozen=True, slots=True)
class ConnectionLoadChanged:
    """The load of an established connection changed."""

    request_id: int
    attempt: int
    server_id: str
    load: float


@dataclass(frozen=True, slots=True)
class MessageDelayObserved:
    """The delay of a message on an established connection, answered or still pending."""

    request_id: int
    attempt: int
    server_id: str
    delay_us: float


@dataclass(frozen=True, slots=True)
class ServerUnresponsive:
    """A message has been unanswered for ``silent_us``, and its connection must be migrated."""

    request_id: int
    attempt: int
    server_id: str
    silent_us: int


@dataclass(frozen=True, slots=True)
class ProxyDraining:
    """The proxy must migrate its connections within a duration; 0 ends the drain."""

    within_us: int


@dataclass(frozen=True, slots=True)
class AdministrativeEjection:
    """Operators eject a server regardless of the endpoint list, or lift its ejection."""

    server_id: str
    is_ejected: bool


@dataclass(frozen=True, slots=True)
class LivePeersChanged:
    """The live proxies: all, including this one, that are not known to have failed or left."""

    proxies: frozenset[int]


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client disconnected; its request needs no answer any more."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ConnectionEstablished:
    """An attempt established its connection; the attempt lasts until the connection ends."""

    request_id: int
    attempt: int
    server_id: str
    latency_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt, or the connection that it established, ended.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        server_id: Server of the attempt.
        result: How the attempt ended.
        latency_us: Time since the start of the attempt.
        is_final: Whether the request needs no answer any more, so that it is not retried.
        report: Load report that came with the answer, if any.
    """

    request_id: int
    attempt: int
    server_id: str
    result: AttemptResult
    latency_us: int
    is_final: bool
    report: LoadReport | None = None


Event = (
    EndpointListUpdate
    | RequestArrived
    | ConnectionRestored
    | TimerFired
    | HealthCheckCompleted
    | GossipReceived
    | ConnectionLoadChanged
    | MessageDelayObserved
    | ServerUnresponsive
    | ProxyDraining
    | AdministrativeEjection
    | LivePeersChanged
    | ClientDisconnected
    | ConnectionEstablished
    | AttemptEnded
)
