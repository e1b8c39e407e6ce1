"""A client that disconnects while its request waits, or as its attempt connects."""

from __future__ import annotations

import pytest

from larchhaven.net.core.buffer_pool import Buffer
from larchhaven.routing.events import Endpoint
from tests.in_process_proxy import REQUEST_LINE, InProcessProxy
from tests.net.races.sockets import (
    WAYS_TO_LEAVE,
    fill_buffers,
    forwarded_requests,
    leave,
    read,
)

PAIR = (Endpoint("s0"), Endpoint("s1"))


def acquire_all_buffers(harness: InProcessProxy) -> list[Buffer]:
    return list(iter(harness.pool.acquire, None))


@pytest.mark.parametrize("buffers", ["free", "none left"])
@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
@pytest.mark.parametrize("harness", [{"servers": ()}], indirect=True)
def test_request_of_a_client_that_left_while_it_waited_is_not_forwarded(
    harness: InProcessProxy, way: str, buffers: str
) -> None:
    """Guards servers: a client with a full buffer, or none, left unseen and its request ran."""
    clients = [harness.connect_client(REQUEST_LINE % number) for number in range(3)]
    harness.run(3)
    assert harness.dispatcher.requests.count_requests() == 3
    taken = acquire_all_buffers(harness) if buffers == "none left" else []
    for sock in clients:
        leave(sock, harness, way)
    harness.run(4)
    for buffer in taken:
        harness.pool.release(buffer)
    harness.list_endpoints(PAIR)
    for _ in range(6):
        harness.run(4, 30_000)
    assert forwarded_requests(harness) == []
    assert harness.dispatcher.requests.count_requests() == 0


@pytest.mark.parametrize("way", ["end", "reset", "end behind a line"])
def test_request_of_a_client_that_leaves_as_the_connect_succeeds_is_not_forwarded(
    harness: InProcessProxy, way: str
) -> None:
    """Guards the last moment: the client ends in the iteration that finds the connect ready."""
    sock = harness.connect_client(REQUEST_LINE % 1)
    harness.run(2)
    ready = harness.ready_events()  # the connect is up; nobody has left yet
    leave(sock, harness, way)
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
