"""Events that the balancer takes: what happened, as small frozen types.

Times and durations are microseconds on the caller's clock; loads are standard cores (seconds of
work per second). A server is named by an opaque string, a request by an opaque number.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from larchhaven.routing.gossip_messages import GossipMessage


class ServerState(Enum):
    """What the endpoint list says of a server."""

    READY = auto()
    DRAINING = auto()
    REMOVED = auto()


class EndpointListKind(Enum):
    """What a watch event carries."""

    CHANGES = auto()
    COMPLETE = auto()
    CACHED = auto()  # the list that the process was started with
    FAILED = auto()  # the watch or the poll failed; there is no list


class AttemptResult(Enum):
    """How an attempt or a health check ended."""

    OK = auto()
    ERROR = auto()
    OVERLOADED = auto()  # the server was full and rejected it
    TIMEOUT = auto()
    UNREACHABLE = auto()
    RESET = auto()
    CANCELLED = auto()
    NOT_SENT = auto()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's load report; a field that was not sent is None.

    Attributes:
        load_ratio: Load over capacity.
        utilization: Busy fraction of the server, used where there is no ``load_ratio``.
        in_flight: Requests that the server works on.
        queue_length: Requests that wait there.
        backlog_s: Work that waits there, in seconds.
    """

    load_ratio: float | None = None
    utilization: float | None = None
    in_flight: float | None = None
    queue_length: float | None = None
    backlog_s: float | None = None


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server as the endpoint list names it.

    Attributes:
        server_id: Its name.
        state: Whether it may be used.
        weight: Its capacity, relative to the others.
        zone: Index of its zone.
        cell: Index of its cell, the smallest scope of deduplication.
        hardware_kind: Index of its kind of machine.
        started_at_us: When it started, if it is warming up; 0 if it is not.
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
    """A watch event: the endpoint list, or changes of it, or that calling for it failed."""

    kind: EndpointListKind
    version: int = 0
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request, which is owed exactly one final answer.

    Attributes:
        request_id: Its number, until the final answer or the end of its connection.
        class_index: Its class, by index into the settings.
        budget_us: Time left until its deadline.
        tenant_index: Its tenant, by index into the settings; past the last for none.
        affinity_key: Key of its connection, by which it is found again mid-flow.
        load: Load that the client announces.
        affinity_group: Group of clients that are cheaper to keep on one server.
        is_retry: Whether the client has tried before.
        is_mid_flow: Whether its connection was established through another proxy.
        is_reconnect: Whether its client had a connection before.
        pinned_server_id: The server that holds it already; no other will do.
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
    """A connection that is established through this proxy already at its start."""

    arrival: RequestArrived
    server_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the balancer started has come due."""

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
    """A message from another proxy."""

    sender_index: int
    message: GossipMessage


@dataclass(frozen=True, slots=True)
class ConnectionLoadChanged:
    """An established connection now has this load."""

    request_id: int
    attempt: int
    server_id: str
    load: float


@dataclass(frozen=True, slots=True)
class MessageDelayObserved:
    """A message on an established connection now takes this long at its server."""

    request_id: int
    attempt: int
    server_id: str
    delay_us: float


@dataclass(frozen=True, slots=True)
class ServerUnresponsive:
    """The server of an established connection has been silent for so long that it is to move."""

    request_id: int
    attempt: int
    server_id: str
    silent_us: int


@dataclass(frozen=True, slots=True)
class ProxyDraining:
    """The proxy is to give up its connections within a time; 0 withdraws that."""

    within_us: int


@dataclass(frozen=True, slots=True)
class AdministrativeEjection:
    """Operators take a server out whatever the endpoint list says, or let it serve again."""

    server_id: str
    is_ejected: bool


@dataclass(frozen=True, slots=True)
class LivePeersChanged:
    """Which proxies, this one among them, are not known to be gone; before the first, all."""

    proxies: frozenset[int]


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client left; nothing is owed any more."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ConnectionEstablished:
    """The connection is established, and stays with this attempt until it ends."""

    request_id: int
    attempt: int
    server_id: str
    latency_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How one attempt ended; ``is_final`` says that no answer is owed any more."""

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
