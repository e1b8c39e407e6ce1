"""Input that arrives in the iteration of its timeout, or during a pause of the process."""

from __future__ import annotations

from tests.in_process_proxy import REQUEST_LINE, InProcessProxy
from tests.net.races.sockets import (
    forwarded_requests,
    read,
)


def test_request_line_that_arrives_with_its_timeout_is_served(harness: InProcessProxy) -> None:
    sock = harness.connect_client(b"")
    harness.run(3)
    sock.send(REQUEST_LINE % 1)
    harness.clock.ns += 1_999_000_000
    harness.hide_ready_events()
    harness.loop.run_once()  # counts as a pause of the process: no timer runs yet
    harness.hide_ready_events()
    harness.run(1, 2_000)
    harness.run()
    assert len(forwarded_requests(harness)) == 1
    assert read(sock) == b""


def test_after_a_pause_everything_is_read_before_timers_run(harness: InProcessProxy) -> None:
    """A client whose request line arrived during the pause must not time out.

    Only one socket is found ready before the pause. If timers ran before the other sockets are
    read, their requests would fail.
    """
    socks = [harness.connect_client(b"") for _ in range(4)]
    harness.run(3)
    socks[0].send(REQUEST_LINE % 0)
    ready = harness.ready_events()
    for number, sock in enumerate(socks[1:], 1):
        sock.send(REQUEST_LINE % number)
    harness.hide_ready_events(ready)
    harness.run(1, 3_000_000)
    harness.dispatcher._events._gather_until_us = 0  # as if the endpoint list had arrived
    harness.run()
    assert [read(sock) for sock in socks] == [b""] * 4
    assert len(forwarded_requests(harness)) == 4


def test_answer_that_arrives_with_the_timeout_of_its_attempt_counts(
    harness: InProcessProxy,
) -> None:
    sock = harness.connect_client(REQUEST_LINE % 1)
    harness.run(4)
    assert len(forwarded_requests(harness)) == 1
    harness.server_sockets[0].send(b"UP 5\r\n")
    # The attempt times out 0.3 s before the deadline of 2 s, as the latency objective is reserved
    # for another attempt. The clock advances in two steps, as one would count as a process pause.
    for _ in range(2):
        harness.hide_ready_events()
        harness.run(1, 860_000)
    harness.run()
    assert read(sock) == b"UP 5\r\n"
    assert len(harness.server_sockets) == 1
