"""A client's request and its states, from arrival to the end of its connection."""

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

# Values before a request is added to the table, and before its first attempt.
NO_REQUEST_ID = -1
NO_ATTEMPT_NUMBER = -1


class RequestState(enum.Enum):
    """State of a request, with these transitions.

    ===========  ===========  ==================
    State        Next state   Method
    ===========  ===========  ==================
    WAITING      ATTEMPTING   ``begin_attempt``
    ATTEMPTING   WAITING      ``take_attempt``
    ATTEMPTING   ESTABLISHED  ``establish``
    any          ENDED        ``end``
    ===========  ===========  ==================
    """

    WAITING = "waiting"  # the client waits for its answer; no attempt is running
    ATTEMPTING = "attempting"  # the client waits for its answer; an attempt is running
    ESTABLISHED = "established"  # answered; the client is connected to a server
    ENDED = "ended"  # answered without a connection, abandoned, or connection ended


class RequestStateError(LarchhavenError):
    """An operation on a request requires another state than the request is in.

    Attributes:
        request_id: Id of the request.
        actual: State of the request.
        expected: State that the operation requires.
    """

    def __init__(self, request_id: int, actual: RequestState, expected: RequestState) -> None:
        super().__init__(
            f"request {request_id} is in state {actual.value}, expected {expected.value}"
        )
        self.request_id = request_id
        self.actual = actual
        self.expected = expected


class Request:
    """A request, and the connection that is established for it.

    Attributes:
        request_id: Id in the request table.
        state: State of the request.
        client: The client while it waits for its answer; None afterwards.
        spec: Parameters of the request; the payload is dropped once the connection is established.
        load: Load of the connection, in cores; None if unknown.
        deadline_us: When the answer is due, by the clock of the event loop.
        deadline_timer: Fails the request shortly after its deadline.
        attempt_number: Number of the latest attempt, starting from 0.
        server_id: Server of the latest attempt.
        attempt_started_us: When the latest attempt started, by the clock of the event loop.
        sent_at_us: When the request was first sent to a server that may have executed it; None if
            there is no such server.
        connection: The connection; None until it is established.
        charged_bytes: Memory charged to the account for this request.
    """

    __slots__ = (
        "_attempt",
        "_executed_attempt_number",
        "attempt_number",
        "attempt_started_us",
        "charged_bytes",
        "client",
        "connection",
        "deadline_timer",
        "deadline_us",
        "load",
        "request_id",
        "sent_at_us",
        "server_id",
        "spec",
        "state",
    )

    def __init__(
        self, client: ClientConnection | None, spec: RequestSpec, deadline_us: int
    ) -> None:
        """Create a request that waits for its answer, or an established one if client is None."""
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
        self.sent_at_us: int | None = None
        self._executed_attempt_number = NO_ATTEMPT_NUMBER
        self._attempt: UpstreamAttempt | None = None
        self.connection: EstablishedConnection | None = None
        self.charged_bytes = REQUEST_BYTES + len(spec.payload) + len(spec.identity)

    def is_pending(self) -> bool:
        """Return whether the client still waits for its answer."""
        return self.client is not None

    def assign_server(self, server_id: str, now_us: int) -> None:
        """Count an attempt at a server, whether or not it can be started."""
        self._require_state(RequestState.WAITING)
        self.attempt_number += 1
        self.server_id = server_id
        self.attempt_started_us = now_us

    def begin_attempt(self, attempt: UpstreamAttempt) -> None:
        """Record that an attempt has started."""
        self._require_state(RequestState.WAITING)
        self._attempt = attempt
        self.state = RequestState.ATTEMPTING

    def note_sent(self, now_us: int) -> None:
        """Record that the latest attempt has sent the request: its server may execute it."""
        if self.sent_at_us is None:
            self.sent_at_us = now_us
            self._executed_attempt_number = self.attempt_number

    def note_not_executed(self) -> None:
        """Record that the server of the latest attempt has not executed the request."""
        if self._executed_attempt_number == self.attempt_number:
            self.sent_at_us = None
            self._executed_attempt_number = NO_ATTEMPT_NUMBER

    def take_attempt(self) -> UpstreamAttempt:
        """Remove and return the running attempt; the request waits for the next one."""
        self._require_state(RequestState.ATTEMPTING)
        attempt, self._attempt = self._attempt, None
        assert attempt is not None
        self.state = RequestState.WAITING
        return attempt

    def establish(self) -> tuple[ClientConnection, UpstreamAttempt]:
        """Mark the request as established; return the client and the attempt to connect."""
        attempt = self.take_attempt()
        client = self.take_client()
        self.state = RequestState.ESTABLISHED
        return client, attempt

    def take_client(self) -> ClientConnection:
        """Remove and return the client, which is answered now or has disconnected."""
        client, self.client = self.client, None
        assert client is not None
        return client

    def end(self) -> None:
        """Mark the request as ended, when it is removed from the table."""
        self.state = RequestState.ENDED

    def report_attempt_end(
        self,
        result: AttemptResult,
        now_us: int,
        *,
        is_final: bool,
        report: LoadReport | None = None,
    ) -> AttemptEnded:
        """Return the event for the end of the latest attempt, or of its connection."""
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
