"""A request, from its arrival to its final answer or to the end of the connection it became."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, auto

from larchhaven.routing.server import Server
from larchhaven.routing.settings import RequestClass


class RequestState(IntEnum):
    """How far a request has come; an integer, as it is a key at each transition."""

    WAITING = auto()  # no attempt is in flight; it waits for a server, or is being placed
    ATTEMPTING = auto()  # an attempt is in flight, the answer is still owed
    ESTABLISHED = auto()  # answered: its connection is established
    ABANDONED = auto()  # nothing is owed any more, but an attempt is still in flight
    CLOSING = auto()  # its connection is to end: migrated, or the client left
    CLOSED = auto()


_WHEN_ESTABLISHED = {
    RequestState.ATTEMPTING: RequestState.ESTABLISHED,
    RequestState.ABANDONED: RequestState.CLOSING,
}
_WHEN_ATTEMPT_ENDED = {
    RequestState.ATTEMPTING: RequestState.WAITING,
    RequestState.ESTABLISHED: RequestState.WAITING,
    RequestState.ABANDONED: RequestState.CLOSED,
    RequestState.CLOSING: RequestState.CLOSED,
}
_WHEN_CLOSED = {
    RequestState.WAITING: RequestState.CLOSED,
    RequestState.ATTEMPTING: RequestState.ABANDONED,
    RequestState.ESTABLISHED: RequestState.CLOSING,
}


@dataclass(slots=True, eq=False)
class Request:
    """A request, and the connection it becomes.

    The methods are its transitions; an event that means nothing in a state leaves it as it is.
    The module named behind an attribute is the only other one that changes it.

    Attributes:
        id: Its number.
        class_index: Its class, by index into the settings.
        request_class: What is promised for that class.
        deadline_us: When its final answer is due.
        load: Load of its connection, in cores; an estimate until reported (``attempts``).
        key_hash: Short hash of its affinity key; empty if it has none.
        is_mid_flow: Whether its connection was established through another proxy.
        group_hash: Hash of its affinity group, if it has one.
        pinned_server_id: The only server that will do, if there is one.
        tenant_index: Its tenant, by index into the settings.
        state: How far it has come.
        attempt_count: Attempts begun so far.
        attempt_in_flight: The number of the attempt in flight, if there is one.
        server: Where the last attempt went.
        first_executed_on: Where an attempt may have been executed first, if one may (``retries``).
        first_executed_at_us: When that was (``retries``).
        tried_servers: Servers at which an attempt failed (``retries``).
        suspected_outliers: Servers that failed fast; the request may be at fault instead
            (``attempts``).
        pending_checks: Health checks that it waits for (``health_checks``).
        checked_servers: Servers that were checked for it (``health_checks``).
        wait_count: Waits begun or ended, so that a stale timer does not end a later one
            (``placement``).
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
        """Enter ``ATTEMPTING`` at a server."""
        self.state = RequestState.ATTEMPTING
        self.attempt_in_flight = self.attempt_count
        self.attempt_count += 1
        self.server = server

    def establish(self) -> None:
        """Note that the attempt in flight became a connection."""
        self.state = _WHEN_ESTABLISHED.get(self.state, self.state)

    def end_attempt(self) -> None:
        """Note that the attempt in flight has ended, or the connection it became."""
        self.state = _WHEN_ATTEMPT_ENDED.get(self.state, self.state)
        self.attempt_in_flight = None

    def close(self) -> None:
        """Note that nothing is owed any more; an attempt in flight has still to end."""
        self.state = _WHEN_CLOSED.get(self.state, self.state)
