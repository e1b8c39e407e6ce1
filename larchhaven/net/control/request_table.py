"""Table of the open requests; each gets one final answer, and uses memory until it ends."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.control.executed_identities import (
    ExecutedIdentities,
    Execution,
    identity_hash,
)
from larchhaven.net.control.interfaces import ClientConnection, ConnectionObserver
from larchhaven.net.control.open_identities import IdentityExchange, OpenIdentities
from larchhaven.net.control.request import Request, RequestState
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.metrics import Metrics, RequestOutcomes
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.net.core.slot_table import SlotTable
from larchhaven.routing.actions import FailRequest, RejectRequest
from larchhaven.routing.events import AttemptResult, ClientDisconnected, Event, RequestArrived
from larchhaven.routing.settings import RoutingSettings


class RequestTable:
    """The open requests, by id.

    A request is added by ``add_request``, and removed by ``remove_request`` however it ends. Its
    client is answered by ``answer_rejected``, ``answer_failed`` or ``answer_established`` when the
    balancer has decided. Otherwise, the request fails at its deadline, or because its client
    violates the protocol.

    Args:
        loop: The event loop.
        log: Receives warnings about requests that the balancer did not answer in time.
        settings: The routing settings.
        metrics: Counts requests and their outcomes.
        account: Memory account that is charged for requests.
        queue_event: Queues events for the balancer.
        admit_arrival: Passes arrivals to the balancer, possibly after holding them back.

    Attributes:
        find_request: Returns the open request with this id, or None if it has ended.
        executed_identities: The requests that servers may have executed, and must not again.
        last_arrival_us: When the latest request arrived, by the clock of the event loop; 0 before
            the first one.
    """

    def __init__(
        self,
        loop: EventLoop,
        log: RateLimitedLog,
        settings: RoutingSettings,
        metrics: Metrics,
        account: MemoryAccount,
        queue_event: Callable[[Event], None],
        admit_arrival: Callable[[RequestArrived], None],
    ) -> None:
        self._loop = loop
        self._log = log
        self._settings = settings
        self._metrics = metrics
        self._outcomes = metrics.outcomes_by_class()
        self._account = account
        self._queue_event = queue_event
        self._admit_arrival = admit_arrival
        self._requests: SlotTable[Request] = SlotTable()
        # Bound directly to save a method call, as it is called for each message of a connection.
        self.find_request = self._requests.get
        self._identities = OpenIdentities()
        self.executed_identities = ExecutedIdentities(settings.classes, account)
        # Set at shutdown: every request must be answered by this time.
        self._answer_deadline_us: int | None = None
        self.last_arrival_us = 0

    def attach_identity_exchange(self, exchange: IdentityExchange) -> None:
        """Set the exchange that announces request identities to the other process."""
        self._identities.attach_exchange(exchange)

    # Table entries

    def count_requests(self) -> int:
        """Return the number of open requests, established connections included."""
        return len(self._requests)

    def list_identities(self) -> list[bytes]:
        """Return the identities of the open requests."""
        return self._identities.list_identities()

    def list_established(self) -> list[Request]:
        """Return the requests whose connections are established."""
        return [
            request
            for _request_id, request in self._requests.items()
            if request.connection is not None
        ]

    def find_remaining_budget_us(self, request_id: int) -> int | None:
        """Return the time to a request's deadline; None if no client waits for its answer."""
        request = self.find_request(request_id)
        if request is None or not request.is_pending():
            return None
        return max(request.deadline_us - self._loop.now_us, 0)

    def add_request(self, request: Request) -> int:
        """Add a request; return its id."""
        request_id = request.request_id = self._requests.add(request)
        self._account.charge(MemoryPurpose.TABLES, request.charged_bytes)
        self._metrics.active_requests += 1
        self._identities.register_identity(request.spec.identity, request_id)
        return request_id

    def remove_request(self, request_id: int) -> Request | None:
        """Remove a request in any state; return it, or None if it had already ended."""
        request = self._requests.remove(request_id)
        if request is None:
            return None
        self._loop.cancel(request.deadline_timer)
        self._metrics.active_requests -= 1
        self._account.release(MemoryPurpose.TABLES, request.charged_bytes)
        execution = self._record_execution(request)
        self._identities.release_identity(request.spec.identity, request_id, execution)
        request.end()
        return request

    def _record_execution(self, request: Request) -> Execution | None:
        """Remember a request that a server may have executed, and that must not run again."""
        identity = request.spec.identity
        if request.sent_at_us is None or not identity:
            return None
        execution = Execution(request.spec.class_index, request.sent_at_us)
        if not self.executed_identities.is_relevant(execution):
            return None
        self.executed_identities.record(identity_hash(identity), execution)
        return execution

    # Clients

    def detect_duplicate_identity(self, spec: RequestSpec) -> bool:
        """Return whether the request must not run because of its identity; count a failure if so.

        A server would reject a duplicate of an open request, which would cost a connection and make
        the server look faulty. A request that a server may have executed must not run again. A
        connection that continues mid-flow, or was established before, is not a duplicate: the
        earlier request may be what remains of its connection.
        """
        if spec.is_mid_flow or spec.pinned_server_id is not None:
            return False
        is_duplicate = self._identities.is_open(spec.identity) or not self._may_execute(spec)
        self._outcomes[spec.class_index].failed += is_duplicate
        return is_duplicate

    def _may_execute(self, spec: RequestSpec) -> bool:
        """Return whether a request may be sent until its deadline, as far as earlier ones go."""
        deadline_us = self._loop.now_us + self._find_budget_us(spec)
        return self.executed_identities.may_execute(spec.identity, deadline_us)

    def _find_budget_us(self, spec: RequestSpec) -> int:
        if spec.budget_us is None:
            return self._settings.classes[spec.class_index].deadline_us
        return spec.budget_us

    def accept_request(self, client: ClientConnection, spec: RequestSpec) -> int:
        """Accept a request, which gets exactly one final answer; return its id."""
        now_us = self._loop.now_us
        self.last_arrival_us = now_us
        budget_us = self._find_budget_us(spec)
        if self._answer_deadline_us is not None:
            budget_us = max(min(budget_us, self._answer_deadline_us - now_us), 0)
        request = Request(client, spec, now_us + budget_us)
        request_id = self.add_request(request)
        self._start_deadline_timer(request, budget_us + self._settings.response_slack_us)
        arrival = RequestArrived(
            request_id,
            spec.class_index,
            budget_us,
            spec.tenant_index,
            affinity_key=spec.affinity_key,
            load=spec.load,
            affinity_group=spec.affinity_group,
            is_retry=spec.is_retry,
            is_mid_flow=spec.is_mid_flow,
            is_reconnect=spec.is_reconnect,
            pinned_server_id=spec.pinned_server_id,
        )
        self._admit_arrival(arrival)
        return request_id

    def reject_request(self, client: ClientConnection, spec: RequestSpec) -> None:
        """Reject a request for which there is no capacity, without involving the balancer."""
        self._outcomes[spec.class_index].rejected += 1
        client.send_rejection(self._settings.max_retry_after_us)

    def on_client_disconnected(self, request_id: int) -> None:
        """End the request of a client that disconnected while it waited for its answer."""
        request = self.find_request(request_id)
        if request is not None and request.is_pending():
            self._queue_event(ClientDisconnected(request_id))
            self._end_pending(request)

    def fail_request(self, request_id: int) -> bool:
        """Fail a request, and report to the balancer that its client disconnected.

        Returns:
            False if the request was already answered.
        """
        request = self.find_request(request_id)
        if request is None or not request.is_pending():
            return False
        client = self._end_pending(request)
        self._queue_event(ClientDisconnected(request_id))
        self._find_outcomes(request).failed += 1
        client.send_failure()
        return True

    # Deadlines

    def set_answer_deadline(self, deadline_us: int) -> None:
        """Limit the deadlines of all requests at shutdown; the limit may be the current time."""
        self._answer_deadline_us = deadline_us
        for _request_id, request in list(self._requests.items()):
            if request.is_pending() and request.deadline_us > deadline_us:
                request.deadline_us = deadline_us
                self._loop.cancel(request.deadline_timer)
                self._start_deadline_timer(request, deadline_us - self._loop.now_us)

    def _start_deadline_timer(self, request: Request, delay_us: int) -> None:
        """Ensure that the request is answered even if the balancer misses the deadline."""
        request.deadline_timer = self._loop.call_later(
            delay_us, partial(self._on_deadline, request.request_id)
        )

    def _on_deadline(self, request_id: int) -> None:
        if self.fail_request(request_id):
            self._log.warning("request failed at its deadline", f"request {request_id}")

    # Final answers from the balancer

    def answer_rejected(self, action: RejectRequest) -> None:
        """Answer that a request is rejected and safe to retry."""
        request = self.find_request(action.request_id)
        if request is None or not request.is_pending():
            return
        client = self._end_pending(request)
        self._find_outcomes(request).rejected += 1
        client.send_rejection(min(action.retry_after_us, self._settings.max_retry_after_us))

    def answer_failed(self, action: FailRequest) -> None:
        """Answer that a request failed."""
        request = self.find_request(action.request_id)
        if request is None or not request.is_pending():
            return
        client = self._end_pending(request)
        self._find_outcomes(request).failed += 1
        client.send_failure()

    def answer_established(self, request: Request, observer: ConnectionObserver) -> None:
        """Connect a client to the server that has accepted its request."""
        client, attempt = request.establish()
        self._loop.cancel(request.deadline_timer)
        self._find_outcomes(request).completed += 1
        self._release_payload(request)
        request.connection = client.establish_connection(attempt, request.request_id, observer)

    def _release_payload(self, request: Request) -> None:
        payload_bytes = len(request.spec.payload)
        self._account.release(MemoryPurpose.TABLES, payload_bytes)
        request.charged_bytes -= payload_bytes
        request.spec.drop_payload()

    def _end_pending(self, request: Request) -> ClientConnection:
        """End a request whose client waits for an answer, and its attempt; return the client."""
        client = request.take_client()
        attempt = request.take_attempt() if request.state is RequestState.ATTEMPTING else None
        self.remove_request(request.request_id)
        if attempt is not None:
            attempt.cancel()
            self._queue_event(
                request.report_attempt_end(
                    AttemptResult.CANCELLED, self._loop.now_us, is_final=True
                )
            )
        return client

    def _find_outcomes(self, request: Request) -> RequestOutcomes:
        return self._outcomes[request.spec.class_index]
