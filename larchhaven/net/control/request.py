"""A client's request and its states, from its arrival to the end of its connection."""

from __future__ import annotations

import enum

from larchhaven.errors import LarchhavenError
from larchhaven.memory.item_costs import REQUEST_BYTES
from larchhaven.net.control.interfaces import (
    ClientConnection,
    EstablishedConnection,
    UpstreamAttempt,
)
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core.event_loop import TimerHandle
from larchhaven.routing.events import AttemptEnded, AttemptResult, LoadReport

# Until it is in the table, and until its first attempt.
NO_REQUEST_ID = -1
NO_ATTEMPT_NUMBER = -1


class RequestState(enum.Enum):
    """How far a request has come.

    ===========  ===========  ==================
    State        Next         By
    ===========  ===========  ==================
    WAITING      ATTEMPTING   ``begin_attempt``
    ATTEMPTING   WAITING      ``take_attempt``
    ATTEMPTING   ESTABLISHED  ``establish``
    all          ENDED        ``end``
    ===========  ===========  ==================
    """

    WAITING = "waiting"  # owed an answer
    ATTEMPTING = "attempting"  # owed an answer, with an attempt under way
    ESTABLISHED = "established"  # answered: its client is connected to a server
    ENDED = "ended"  # answered without a connection, abandoned, or its connection has ended


class RequestStateError(LarchhavenError):
    """A request was to leave a state that it is not in.

    Attributes:
        request_id: The request.
        actual: Its state.
        expected: The state in which this may happen.
    """

    def __init__(self, request_id: int, actual: RequestState, expected: RequestState) -> None:
        super().__init__(f"request {request_id} is {actual.value}, not {expected.value}")
        self.request_id = request_id
        self.actual = actual
        self.expected = expected


class Request:
    """A request, and the connection that it becomes.

    Attributes:
        request_id: Its number in the request table.
        state: How far it has come.
        client: Its client while that is owed an answer; None after.
        spec: What it asks for; its payload is dropped once the connection is established.
        load: Load of its connection, in cores.
        deadline_us: When it is to have its answer, by the clock of the event loop.
        deadline_timer: Fails it a little after its deadline.
        attempt_number: Number of its latest attempt, from 0.
        server_id: Server of that attempt.
        attempt_started_us: When that attempt started.
        connection: Its connection, once established.
        charged_bytes: Memory that the account is charged with for it.
    """

    __slots__ = (
        "_attempt",
        "attempt_number",
        "attempt_started_us",
        "charged_bytes",
        "client",
        "connection",
        "deadline_timer",
        "deadline_us",
        "load",
        "request_id",
        "server_id",
        "spec",
        "state",
    )

    def __init__(
        self, client: ClientConnection | None, spec: RequestSpec, deadline_us: int
    ) -> None:
        """Create a request that waits for its answer, or without a client an established one."""
        self.request_id = NO_REQUEST_ID
        self.state = RequestState.ESTABLISHED if client is None else RequestState.WAITING
        self.client = client
        self.spec = spec
        self.load = spec.load
        self.deadline_us = deadline_us
        self.deadline_timer: TimerHandle | None = None
        self.attempt_number = NO_ATTEMPT_NUMBER
        self.server_id = ""
        self.attempt_started_us = 0
        self._attempt: UpstreamAttempt | None = None
        self.connection: EstablishedConnection | None = None
        self.charged_bytes = REQUEST_BYTES + len(spec.payload) + len(spec.identity)

    def is_pending(self) -> bool:
        """Return whether its client is owed an answer."""
        return self.client is not None

    def assign_server(self, server_id: str, now_us: int) -> None:
        """Count an attempt at a server, whether or not it can begin."""
        self._require_state(RequestState.WAITING)
        self.attempt_number += 1
        self.server_id = server_id
        self.attempt_started_us = now_us

    def begin_attempt(self, attempt: UpstreamAttempt) -> None:
        """Take notice that an attempt is under way."""
        self._require_state(RequestState.WAITING)
        self._attempt = attempt
        self.state = RequestState.ATTEMPTING

    def take_attempt(self) -> UpstreamAttempt:
        """Return the attempt under way, which is over: the request waits for the next one."""
        self._require_state(RequestState.ATTEMPTING)
        attempt, self._attempt = self._attempt, None
        assert attempt is not None
        self.state = RequestState.WAITING
        return attempt

    def establish(self) -> tuple[ClientConnection, UpstreamAttempt]:
        """Return the client and the attempt that are to be connected."""
        attempt = self.take_attempt()
        client = self.take_client()
        self.state = RequestState.ESTABLISHED
        return client, attempt

    def take_client(self) -> ClientConnection:
        """Return the client, which gets its one final answer now or has left."""
        client, self.client = self.client, None
        assert client is not None
        return client

    def end(self) -> None:
        """Take notice that it has left the table."""
        self.state = RequestState.ENDED

    def report_attempt_end(
        self,
        result: AttemptResult,
        now_us: int,
        *,
        is_final: bool,
        report: LoadReport | None = None,
    ) -> AttemptEnded:
        """Return the event for the end of the latest attempt, or of the connection it became."""
        latency_us = now_us - self.attempt_started_us
        return AttemptEnded(
            self.request_id,
            self.attempt_number,
            self.server_id,
            result,
            latency_us,
            is_final,
            report,
        )

    def _require_state(self, expected: RequestState) -> None:
        if self.state is not expected:
            raise RequestStateError(self.request_id, self.state, expected)
