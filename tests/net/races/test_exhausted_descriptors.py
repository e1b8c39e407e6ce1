"""Clients that connect while established connections hold all descriptors."""

from __future__ import annotations

import pytest

from larchhaven.net.control.connection_limits import REJECTION_DESCRIPTORS
from tests.in_process_proxy import REQUEST_LINE, InProcessProxy
from tests.net.races.sockets import read


def establish_more_than_allowed(harness: InProcessProxy, excess: int) -> None:
    """Establish connections, and let them exceed the limit, as after a hot restart."""
    for number in range(3):
        sock = harness.connect_client(REQUEST_LINE % number)
        harness.run(4)
        harness.server_sockets[-1].send(b"UP 5\r\n")
        harness.run()
        assert read(sock) == b"UP 5\r\n"
    vars(harness.listener)["_limits"].max_descriptors = harness.loop.socket_count() - excess


@pytest.mark.parametrize("excess", [0, 2, 5])
def test_request_is_rejected_while_connections_exceed_the_descriptors(
    harness: InProcessProxy, excess: int
) -> None:
    """Guards against requests without an answer: adopted connections may exceed the limit."""
    establish_more_than_allowed(harness, excess)
    clients = [harness.connect_client(REQUEST_LINE % number) for number in range(100, 130)]
    harness.run(40, 10_000)
    for sock in clients:
        assert read(sock) == b"BUSY\r\n."


def test_idle_clients_do_not_keep_a_request_from_its_rejection(harness: InProcessProxy) -> None:
    """Guards against requests without an answer behind a crowd of clients that send nothing."""
    establish_more_than_allowed(harness, 2)
    sockets_before = harness.loop.socket_count()
    idle = [harness.connect_client(b"") for _ in range(4 * REJECTION_DESCRIPTORS)]
    sock = harness.connect_client(REQUEST_LINE % 100)
    for _ in range(100):
        harness.run(1, 10_000)
        assert harness.loop.socket_count() <= sockets_before + REJECTION_DESCRIPTORS
    assert read(sock) == b"BUSY\r\n."
    harness.run(20, 100_000)  # longer than the timeout of a request line
    assert {read(each) for each in idle} == {b"BUSY\r\n.", b"ERR\r\n."}
