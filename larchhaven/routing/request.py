"""A request, from its arrival to its final answer or the end of its connection."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, auto

from larchhaven.routing.server import Server
from larchhaven.routing.settings import RequestClass


class RequestState(IntEnum):
    """State of a request; an integer for fast lookups in the transition tables."""

    WAITING = auto()  # no attempt is in flight; waits for a server, or is being placed
    ATTEMPTING = auto()  # an attempt is in flight, and the answer is still owed
    ESTABLISHED = auto()  # answered, and its connection is established
    ABANDONED = auto()  # no answer is owed any more, but an attempt is still in flight
    CLOSING = auto()  # its connection is ending: migrated, or the client left
    CLOSED = auto()


_ESTABLISH_TRANSITIONS = {
    RequestState.ATTEMPTING: RequestState.ESTABLISHED,
    RequestState.ABANDONED: RequestState.CLOSING,
}
_END_ATTEMPT_TRANSITIONS = {
    RequestState.ATTEMPTING: RequestState.WAITING,
    RequestState.ESTABLISHED: RequestState.WAITING,
    RequestState.ABANDONED: RequestState.CLOSED,
    RequestState.CLOSING: RequestState.CLOSED,
}
_CLOSE_TRANSITIONS = {
    RequestState.WAITING: RequestState.CLOSED,
    RequestState.ATTEMPTING: RequestState.ABANDONED,
    RequestState.ESTABLISHED: RequestState.CLOSING,
}


@dataclass(slots=True, eq=False)
class Request:
    """A request, and the connection it becomes.

    The methods are the state transitions; one that does not apply in a state leaves it unchanged.
    A module in parentheses is the only other one that changes the attribute.

    Attributes:
        id: Number of the request.
        class_index: Index of its class in the settings.
        request_class: Settings of that class.
        deadline_us: Time at which its final answer is due.
        load: Load of its connection in cores, estimated until reported (``attempts``).
        key_hash: Short hash of its affinity key; empty if it has none.
        is_mid_flow: Whether its connection is already established, possibly through another proxy.
        group_hash: Hash of its affinity group, if it has one.
        pinned_server_id: The only server that it may go to, if it is pinned to one.
        tenant_index: Index of its tenant in the settings.
        state: Current state.
        attempt_count: Attempts started so far.
        attempt_in_flight: Number of the attempt that is in flight or became the connection, if any.
        server: Server of the last attempt.
        first_executed_on: Server that may have executed it first, if any (``retries``).
        first_executed_at_us: Start of that attempt (``retries``).
        tried_servers: Servers on which an attempt ended (``retries``).
        suspected_outliers: Servers that failed fast; the request may be at fault instead
            (``attempts``).
        pending_checks: Number of health checks that it waits for (``health_checks``).
        checked_servers: Servers that were health-checked for it (``health_checks``).
        wait_count: Number of starts and ends of waits, so that a stale timer does not end a later
            wait (``placement``).
    """

    id: int
    class_index: int
    request_class: RequestClass
    deadline_us: int
    load: float
    key_hash: bytes = b""
    is_mid_flow: bool = False
    group_hash: int | None = None
    pinned_server_id: str | None = None
    tenant_index: int = 0
    state: RequestState = RequestState.WAITING
    attempt_count: int = 0
    attempt_in_flight: int | None = None
    server: Server | None = None
    first_executed_on: Server | None = None
    first_executed_at_us: int = 0
    tried_servers: list[Server] = field(default_factory=list)
    suspected_outliers: list[Server] = field(default_factory=list)
    pending_checks: int = 0
    checked_servers: list[Server] = field(default_factory=list)
    wait_count: int = 0

    @property
    def is_established(self) -> bool:
        """Whether its connection was established and has not ended."""
        return self.state is RequestState.ESTABLISHED or self.state is RequestState.CLOSING

    def begin_attempt(self, server: Server | None) -> None:
        """Record the start of an attempt on a server."""
        self.state = RequestState.ATTEMPTING
        self.attempt_in_flight = self.attempt_count
        self.attempt_count += 1
        self.server = server

    def establish(self) -> None:
        """Record that the attempt in flight became a connection."""
        self.state = _ESTABLISH_TRANSITIONS.get(self.state, self.state)

    def end_attempt(self) -> None:
        """Record the end of the attempt in flight, or of the connection it became."""
        self.state = _END_ATTEMPT_TRANSITIONS.get(self.state, self.state)
        self.attempt_in_flight = None

    def close(self) -> None:
        """Record that no answer is owed any more; an attempt in flight still has to end."""
        self.state = _CLOSE_TRANSITIONS.get(self.state, self.state)
