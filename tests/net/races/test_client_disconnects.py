"""Clients that disconnect while their request waits, or while its attempt connects."""

from __future__ import annotations

import pytest

from larchhaven.net.core.buffer_pool import Buffer
from larchhaven.routing.events import Endpoint
from tests.in_process_proxy import REQUEST_LINE, InProcessProxy
from tests.net.races.sockets import (
    DISCONNECT_KINDS,
    disconnect,
    fill_buffers,
    forwarded_requests,
    read,
)

PAIR = (Endpoint("s0"), Endpoint("s1"))


def acquire_all_buffers(harness: InProcessProxy) -> list[Buffer]:
    return list(iter(harness.pool.acquire, None))


@pytest.mark.parametrize("buffers", ["free", "none left"])
@pytest.mark.parametrize("kind", DISCONNECT_KINDS)
@pytest.mark.parametrize("harness", [{"servers": ()}], indirect=True)
def test_request_of_a_client_that_disconnected_while_it_waited_is_not_forwarded(
    harness: InProcessProxy, kind: str, buffers: str
) -> None:
    """A server must not execute a request whose client has disconnected.

    If the client's buffer is full, or the pool has no buffer left, the proxy could miss the
    disconnect and forward the request.
    """
    clients = [harness.connect_client(REQUEST_LINE % number) for number in range(3)]
    harness.run(3)
    assert harness.dispatcher.requests.count_requests() == 3
    acquired_buffers = acquire_all_buffers(harness) if buffers == "none left" else []
    for sock in clients:
        disconnect(sock, harness, kind)
    harness.run(4)
    for buffer in acquired_buffers:
        harness.pool.release(buffer)
    harness.publish_endpoints(PAIR)
    for _ in range(6):
        harness.run(4, 30_000)
    assert forwarded_requests(harness) == []
    assert harness.dispatcher.requests.count_requests() == 0


@pytest.mark.parametrize("kind", ["end", "reset", "end after a line"])
def test_request_of_a_client_that_disconnects_as_the_connect_succeeds_is_not_forwarded(
    harness: InProcessProxy, kind: str
) -> None:
    """The client disconnects just after the iteration found the attempt's connect ready.

    The proxy must check the client once more before it sends the request line.
    """
    sock = harness.connect_client(REQUEST_LINE % 1)
    harness.run(2)
    ready = harness.ready_events()  # the connect has succeeded; the client is still connected
    disconnect(sock, harness, kind)
    harness.hide_ready_events(ready)
    harness.run()
    assert forwarded_requests(harness) == []
    assert harness.dispatcher.requests.count_requests() == 0


def test_client_that_fills_the_buffers_and_stays_gets_one_failure(
    harness: InProcessProxy,
) -> None:
    sock = harness.connect_client(REQUEST_LINE % 1)
    harness.run(4)
    assert len(forwarded_requests(harness)) == 1
    fill_buffers(sock, harness)
    assert read(sock) == b"ERR\r\n."
    assert harness.dispatcher.requests.count_requests() == 0
