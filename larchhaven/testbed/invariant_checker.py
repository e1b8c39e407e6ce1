"""Checks the invariants of the proxies from records alone, without sockets, files or a clock.

The checker processes records as they arrive. It drops a request once the request can no longer
violate an invariant, so memory stays bounded in runs of any length.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from larchhaven.testbed.event_record import AttemptEnd, EventKind, EventRecord
from larchhaven.testbed.invariants import Invariant, InvariantLimits, Violation, ViolationLog

FINISHED_REQUEST_RETENTION_US = 10_000_000
ESTABLISHED_ANSWER = "UP"
ENDED_WITHOUT_ANSWER = "end"
CLIENT_LEFT_FIRST = "left"


@dataclass(slots=True)
class _Request:
    """A client's request and, once it is established, its connection."""

    answer_due_us: int = 0
    answer: str = ""
    was_migrated: bool = False
    attempts_since_us: dict[str, int] = field(default_factory=dict)  # pending, by server
    superseded_at_us: dict[str, int] = field(default_factory=dict)  # by server
    confirmations: set[str] = field(default_factory=set)  # UP lines that servers sent
    established_server: str = ""
    was_ended_by_server: bool = False

    @property
    def is_established(self) -> bool:
        return self.answer.startswith(ESTABLISHED_ANSWER)


@dataclass(slots=True)
class _Server:
    """The state of an upstream server as far as the records show it."""

    draining_since_us: int | None = None  # when this was first published to a proxy
    has_stopped: bool = False  # its connections may end without a migration
    attempts: int = 0
    started_cold_at_us: int | None = None
    warm_up_us: int = 0
    capacity: float = 0.0
    overloaded_since_us: int | None = None


class InvariantChecker:
    """Processes records in order of time and collects violations.

    Attributes:
        limits: Limits of the invariants.
        log: Violations found so far.
    """

    def __init__(self, limits: InvariantLimits | None = None) -> None:
        self.limits = limits or InvariantLimits()
        self.log = ViolationLog()
        self._requests: dict[str, _Request] = {}
        self._servers: dict[str, _Server] = {}
        self._finished: deque[tuple[int, str]] = deque()  # time in us, request
        self._handlers: dict[EventKind, Callable[[EventRecord], None]] = {
            EventKind.REQUEST_SENT: self._on_request_sent,
            EventKind.ANSWER_RECEIVED: self._on_answer_received,
            EventKind.MIGRATE_RECEIVED: self._on_migrate_received,
            EventKind.CONNECTION_LOST: self._on_connection_lost,
            EventKind.CLIENT_LEFT: self._on_client_left,
            EventKind.ATTEMPT_RECEIVED: self._on_attempt_received,
            EventKind.ESTABLISHED: self._on_established,
            EventKind.ATTEMPT_REJECTED: self._on_attempt_ended,
            EventKind.ATTEMPT_ENDED: self._on_attempt_ended,
            EventKind.OVERSIZED_DATAGRAM: self._on_oversized_datagram,
            EventKind.HEALTH_PUBLISHED: self._on_health_published,
            EventKind.SERVER_STARTED_COLD: self._on_server_started_cold,
            EventKind.SERVER_STOPPED: self._on_server_stopped,
        }

    @property
    def violations(self) -> list[Violation]:
        """The violations kept so far."""
        return self.log.violations

    def handle(self, record: EventRecord) -> None:
        """Process the next record."""
        handler = self._handlers.get(record.kind)
        if handler is not None:
            handler(record)
        self._forget_finished(record.at_us - FINISHED_REQUEST_RETENTION_US)

    def finish(self, at_us: int) -> list[Violation]:
        """End the run: report each overdue request without an answer.

        Args:
            at_us: Time of the end of the run, or of the last record.

        Returns:
            The violations that were kept.
        """
        for name, request in self._requests.items():
            is_due = request.answer_due_us + self.limits.slack_us < at_us
            if request.answer_due_us and not request.answer and is_due:
                self.log.add(Invariant.ONE_ANSWER, at_us, f"request {name} was never answered")
        return self.violations

    def _forget_finished(self, until_us: int) -> None:
        while self._finished and self._finished[0][0] < until_us:
            _, name = self._finished.popleft()
            request = self._requests.get(name)
            if request is None or request.attempts_since_us:
                continue
            if request.answer or not request.answer_due_us:
                del self._requests[name]

    def _request_of(self, record: EventRecord) -> _Request:
        return self._requests.setdefault(record.request_id, _Request())

    def _server_of(self, record: EventRecord) -> _Server:
        return self._servers.setdefault(record.server_name, _Server())

    def _mark_finished(self, record: EventRecord) -> None:
        self._finished.append((record.at_us, record.request_id))

    def _report(self, invariant: Invariant, record: EventRecord, description: str) -> None:
        self.log.add(invariant, record.at_us, description)

    # Clients

    def _on_request_sent(self, record: EventRecord) -> None:
        self._request_of(record).answer_due_us = record.at_us + record.wait_us

    def _on_answer_received(self, record: EventRecord) -> None:
        request = self._request_of(record)
        name = record.request_id
        if request.answer:
            text = f"request {name} was answered twice: {request.answer}, then {record.detail}"
            self._report(Invariant.ONE_ANSWER, record, text)
        request.answer = record.detail or ENDED_WITHOUT_ANSWER
        late_us = record.at_us - request.answer_due_us
        if not record.detail:
            self._report(
                Invariant.ONE_ANSWER, record, f"connection of {name} ended without an answer"
            )
        elif late_us > self.limits.slack_us:
            text = f"request {name} was answered {late_us // 1000} ms after its deadline"
            self._report(Invariant.ONE_ANSWER, record, text)
        if not request.is_established:
            self._mark_finished(record)
        elif record.detail not in request.confirmations:
            text = f"request {name} was answered {record.detail!r}, which no server sent"
            self._report(Invariant.ONE_ANSWER, record, text)

    def _on_migrate_received(self, record: EventRecord) -> None:
        self._request_of(record).was_migrated = True

    def _on_connection_lost(self, record: EventRecord) -> None:
        request = self._request_of(record)
        server = self._servers.get(request.established_server)
        is_expected = (
            request.was_migrated
            or request.was_ended_by_server
            or server is None
            or server.has_stopped
        )
        if request.is_established and not is_expected:
            server_name = request.established_server
            text = f"connection {record.request_id} to {server_name} ended without MOVE"
            self._report(Invariant.MIGRATE_BEFORE_LOSS, record, text)
        self._mark_finished(record)

    def _on_client_left(self, record: EventRecord) -> None:
        self._mark_finished(record)
        request = self._request_of(record)
        request.answer = request.answer or CLIENT_LEFT_FIRST

    # Upstream servers

    def _on_attempt_received(self, record: EventRecord) -> None:
        self._check_one_execution(record)
        server = self._server_of(record)
        self._check_drain(server, record)
        server.attempts += 1
        self._check_slow_start(server, record)

    def _check_one_execution(self, record: EventRecord) -> None:
        request = self._request_of(record)
        for server_name, since_us in request.attempts_since_us.items():
            overlaps = record.at_us - since_us > self.limits.attempt_overlap_us
            if overlaps and server_name != record.server_name:
                # The proxy ends the old attempt first, but its server may see that end later.
                request.superseded_at_us[server_name] = record.at_us
        if len(request.attempts_since_us) > 1:
            servers = ", ".join(request.attempts_since_us)
            text = f"request {record.request_id} has attempts at several servers at once: {servers}"
            self._report(Invariant.ONE_EXECUTION, record, text)
        request.attempts_since_us[record.server_name] = record.at_us

    def _check_drain(self, server: _Server, record: EventRecord) -> None:
        if server.draining_since_us is None:
            return
        late_us = record.at_us - server.draining_since_us - self.limits.drain_grace_us
        if late_us > self.limits.slack_us:
            arrival = f"request {record.request_id} reached draining {record.server_name}"
            text = f"{arrival} {late_us // 1000} ms after the drain grace"
            self._report(Invariant.DRAIN, record, text)

    def _on_established(self, record: EventRecord) -> None:
        request = self._request_of(record)
        request.confirmations.add(record.detail)
        request.established_server = record.server_name
        request.was_ended_by_server = False

    def _on_attempt_ended(self, record: EventRecord) -> None:
        request = self._request_of(record)
        if request.attempts_since_us.pop(record.server_name, None) is None:
            return
        superseded_at_us = request.superseded_at_us.pop(record.server_name, None)
        if superseded_at_us is not None:
            overlap_us = record.at_us - superseded_at_us
            if overlap_us > self.limits.attempt_overlap_us:
                text = f"request {record.request_id} was at two servers for {overlap_us // 1000} ms"
                self._report(Invariant.ONE_EXECUTION, record, text)
        if request.established_server == record.server_name:
            request.was_ended_by_server = record.detail == AttemptEnd.SERVER
        self._mark_finished(record)
        server = self._server_of(record)
        server.attempts -= 1
        self._check_slow_start(server, record)

    def _on_server_stopped(self, record: EventRecord) -> None:
        self._server_of(record).has_stopped = True

    def _on_server_started_cold(self, record: EventRecord) -> None:
        server = self._server_of(record)
        server.started_cold_at_us = record.at_us
        server.warm_up_us = record.wait_us
        server.capacity = record.amount
        server.has_stopped = False
        server.overloaded_since_us = None

    def _check_slow_start(self, server: _Server, record: EventRecord) -> None:
        if server.started_cold_at_us is None:
            return
        age_us = record.at_us - server.started_cold_at_us
        if age_us >= server.warm_up_us:
            return
        cold_fraction = self.limits.cold_capacity_fraction
        current_fraction = cold_fraction + (1 - cold_fraction) * (age_us / server.warm_up_us)
        if server.attempts <= self.limits.overload_multiple * current_fraction * server.capacity:
            server.overloaded_since_us = None
        elif server.overloaded_since_us is None:
            server.overloaded_since_us = record.at_us
        elif record.at_us - server.overloaded_since_us > self.limits.overload_us:
            text = f"{record.server_name} has {server.attempts} connections while in slow start"
            self._report(Invariant.SLOW_START, record, text)
            server.overloaded_since_us = record.at_us

    # Discovery and peers

    def _on_oversized_datagram(self, record: EventRecord) -> None:
        text = f"{record.server_name} received a datagram of {record.amount:.0f} bytes"
        self._report(Invariant.DATAGRAM_SIZE, record, text)

    def _on_health_published(self, record: EventRecord) -> None:
        server = self._server_of(record)
        if record.detail == "ready":
            server.draining_since_us = None
        elif server.draining_since_us is None:
            server.draining_since_us = record.at_us
