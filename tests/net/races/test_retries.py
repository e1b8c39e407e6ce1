"""Retries whose connect may outlast the deduplication window."""

from __future__ import annotations

import errno
import socket
from collections.abc import Iterator
from dataclasses import replace

import pytest

from larchhaven.routing.events import Endpoint
from larchhaven.routing.settings import DeduplicationScope, Idempotency
from tests.in_process_proxy import REQUEST_LINE, InProcessProxy
from tests.net.races.sockets import (
    forwarded_requests,
    read,
    reset,
)
from tests.routing.builders import BASIC_SETTINGS

PAIR = (Endpoint("s0"), Endpoint("s1"))
WINDOW_US = 100_000


def idempotency_cases() -> Iterator[tuple[Idempotency, DeduplicationScope]]:
    yield Idempotency.ALWAYS, DeduplicationScope.ALL
    yield Idempotency.NEVER, DeduplicationScope.ALL
    for scope in DeduplicationScope:
        yield Idempotency.WITH_KEY, scope


def make_harness(
    idempotency: Idempotency,
    scope: DeduplicationScope = DeduplicationScope.ALL,
    second_server: str = "same cell",
) -> InProcessProxy:
    """Return a proxy with one request class and two servers."""
    request_class = replace(
        BASIC_SETTINGS.classes[0],
        idempotency=idempotency,
        deduplication_scope=scope,
        deduplication_window_us=WINDOW_US,
    )
    zone, cell = {"same cell": (0, 0), "other cell": (0, 1), "other zone": (1, 1)}[second_server]
    servers = (PAIR[0], replace(PAIR[1], zone=zone, cell=cell))
    return InProcessProxy(replace(BASIC_SETTINGS, classes=(request_class,)), servers)


@pytest.mark.parametrize("answer", [b"BYE\r\n", b"BYE x0=0.5\r\n"])
def test_request_that_a_server_has_served_to_its_end_is_not_sent_to_another(answer: bytes) -> None:
    """Guards against a request that may run once running twice: BYE says that it has run."""
    harness = make_harness(Idempotency.NEVER)
    try:
        sock = harness.connect_client(REQUEST_LINE % 1)
        harness.run(4)
        harness.server_sockets[0].send(answer)
        harness.run()
        assert len(forwarded_requests(harness)) == 1
        assert read(sock) == b"ERR\r\n."
        harness.assert_everything_released()
    finally:
        harness.close()


@pytest.mark.parametrize("code", [errno.ENOMEM, errno.ENOBUFS, errno.EMFILE, errno.ECONNRESET])
def test_request_that_was_sent_is_not_sent_again_after_any_error(
    monkeypatch: pytest.MonkeyPatch, code: int
) -> None:
    """Guards against a second execution after an error of this process, such as no memory."""
    harness = make_harness(Idempotency.NEVER)

    def fail_to_read(sock: socket.socket, space: memoryview) -> int:
        raise OSError(code, "no more")

    try:
        sock = harness.connect_client(REQUEST_LINE % 1)
        harness.run(4)
        assert read(harness.server_sockets[0]).startswith(b"OPEN ")
        harness.server_sockets[0].send(b"UP 5\r\n")
        with monkeypatch.context() as patch:
            patch.setattr(socket.socket, "recv_into", fail_to_read)
            harness.run(1)
        harness.run()
        assert forwarded_requests(harness) == []
        assert read(sock) == b"ERR\r\n."
        harness.assert_everything_released()
    finally:
        harness.close()


def end_first_attempt(harness: InProcessProxy, answer: bytes) -> None:
    """Let the server of the first attempt give an answer, or reset the connection."""
    server = harness.server_sockets[0]
    assert read(server).startswith(b"OPEN ")
    if answer == b"reset":
        reset(server)
        harness.server_sockets.clear()
    else:
        server.send(answer)


def is_in_scope(scope: DeduplicationScope, second_server: str) -> bool:
    return (
        scope is DeduplicationScope.ALL
        or second_server == "same cell"
        or (scope is DeduplicationScope.ZONE and second_server == "other cell")
    )


@pytest.mark.parametrize("outlasts_window", [False, True])
@pytest.mark.parametrize("second_server", ["same cell", "other cell", "other zone"])
@pytest.mark.parametrize(
    "first_answer", [b"ERR\r\n", b"BUSY\r\n", b"MOVE\r\n", b"BYE\r\n", b"reset"]
)
@pytest.mark.parametrize(("idempotency", "scope"), list(idempotency_cases()))
def test_retry_is_checked_again_when_its_request_line_is_sent(
    idempotency: Idempotency,
    scope: DeduplicationScope,
    first_answer: bytes,
    second_server: str,
    outlasts_window: bool,
) -> None:
    """A request must not be executed twice.

    If the check were made only before the connect, a retry whose connect outlasts the deduplication
    window would be sent all the same.
    """
    harness = make_harness(idempotency, scope, second_server)
    has_key = idempotency is Idempotency.WITH_KEY
    may_retry = (
        first_answer == b"BUSY\r\n"
        or idempotency is Idempotency.ALWAYS
        or (has_key and is_in_scope(scope, second_server) and not outlasts_window)
    )
    try:
        sock = harness.connect_client(REQUEST_LINE % 1)
        harness.run(4)
        end_first_attempt(harness, first_answer)
        harness.run(1)  # the second attempt, if there is one, starts to connect
        harness.run(1, WINDOW_US + 10_000 if outlasts_window else 10_000)
        harness.run(4)
        if may_retry:
            assert len(forwarded_requests(harness)) == 1
            assert read(sock) == b""
        else:
            # A keyed retry without a server in its scope waits for one until the window ends.
            harness.run(4, WINDOW_US)
            assert forwarded_requests(harness) == []
            client_may_retry = has_key and scope is DeduplicationScope.ALL
            assert read(sock) == (b"BUSY\r\n." if client_may_retry else b"ERR\r\n.")
        harness.assert_everything_released()
    finally:
        harness.close()
