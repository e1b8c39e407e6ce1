"""State transitions of a request."""

from __future__ import annotations

import pytest

from larchhaven.net.control.interfaces import ConnectionObserver, EstablishedConnection
from larchhaven.net.control.request import Request, RequestState, RequestStateError
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.routing.events import AttemptEnded, AttemptResult

SPEC = RequestSpec(payload=b"x", class_index=0, budget_us=None)


class FakeConnection:
    """Fakes an attempt or a client."""

    def cancel(self) -> None:
        """Do nothing: no attempt is running."""

    def read_available(self) -> None:
        """Do nothing: no input arrives."""

    def send_rejection(self, retry_after_us: int) -> None:
        raise NotImplementedError

    def send_failure(self) -> None:
        raise NotImplementedError

    def establish_connection(
        self, attempt: object, request_id: int, observer: ConnectionObserver
    ) -> EstablishedConnection:
        raise NotImplementedError


def test_request_waits_between_attempts_and_is_established_by_one() -> None:
    client, first_attempt, second_attempt = FakeConnection(), FakeConnection(), FakeConnection()
    request = Request(client, SPEC, deadline_us=100)
    states = [request.state]
    request.assign_server("s0", now_us=1)
    request.begin_attempt(first_attempt)
    states.append(request.state)
    assert request.take_attempt() is first_attempt
    states.append(request.state)
    request.assign_server("s1", now_us=2)
    request.begin_attempt(second_attempt)
    states.append(request.state)
    assert request.attempt_number == 1
    assert request.establish() == (client, second_attempt)
    states.append(request.state)
    assert not request.is_pending()
    assert states == [
        RequestState.WAITING,
        RequestState.ATTEMPTING,
        RequestState.WAITING,
        RequestState.ATTEMPTING,
        RequestState.ESTABLISHED,
    ]


def test_request_without_a_client_is_established_from_the_start() -> None:
    assert Request(None, SPEC, deadline_us=0).state is RequestState.ESTABLISHED


def test_second_concurrent_attempt_is_an_error_that_names_the_states() -> None:
    request = Request(FakeConnection(), SPEC, deadline_us=100)
    request.begin_attempt(FakeConnection())
    with pytest.raises(RequestStateError) as raised:
        request.begin_attempt(FakeConnection())
    assert raised.value.actual is RequestState.ATTEMPTING
    assert raised.value.expected is RequestState.WAITING


def test_request_is_neither_established_without_an_attempt_nor_attempted_after_its_end() -> None:
    request = Request(FakeConnection(), SPEC, deadline_us=100)
    with pytest.raises(RequestStateError):
        request.establish()
    request.end()
    with pytest.raises(RequestStateError):
        request.begin_attempt(FakeConnection())


def test_end_of_an_attempt_is_reported_with_its_server_and_latency() -> None:
    request = Request(FakeConnection(), SPEC, deadline_us=100)
    request.request_id = 7
    request.assign_server("s0", now_us=10)
    event = request.report_attempt_end(AttemptResult.RESET, 25, is_final=False)
    assert event == AttemptEnded(7, 0, "s0", AttemptResult.RESET, 15, False)
