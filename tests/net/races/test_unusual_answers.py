"""Answers of a server that are split, repeated, malformed or incomplete."""

from __future__ import annotations

import contextlib

import pytest

from larchhaven.routing.events import Endpoint
from tests.in_process_proxy import REQUEST_LINE, InProcessProxy
from tests.net.races.sockets import (
    leave,
    read,
)

PAIR = (Endpoint("s0"), Endpoint("s1"))


UNUSUAL_ANSWERS = {
    "cut in two": [b"U", b"P 5\r", b"\nrest\r\n"],
    "two at once": [b"UP 5\r\nUP 6\r\n"],
    "failed and then taken": [b"ERR\r\nUP 5\r\n"],
    "a second one later": [b"BUSY\r\n", b"UP 5\r\n"],
    "without an end": [b"UP 5"],
    "binary": [b"\x00\xff\xfe\r\n"],
    "without an end, too long": [b"UP " + b"x" * 3_000, b"x" * 3_000],
}


@pytest.mark.parametrize("ends", ["stays", "end", "reset"])
@pytest.mark.parametrize("answer", UNUSUAL_ANSWERS)
@pytest.mark.parametrize("harness", [{"servers": PAIR}], indirect=True)
def test_unusual_answers_are_forwarded_unchanged_or_not_at_all(
    harness: InProcessProxy, answer: str, ends: str
) -> None:
    """Guards against a partial line taken as complete, a concurrent attempt, and a crash."""
    sock = harness.connect_client(REQUEST_LINE % 1)
    harness.run(4)
    server = harness.server_sockets[0]
    read(server)
    for part in UNUSUAL_ANSWERS[answer]:
        with contextlib.suppress(OSError):  # it was ended already
            server.send(part)
        harness.run(2)
    if ends != "stays":
        leave(server, harness, ends)
        harness.server_sockets.remove(server)
    harness.run()
    complete_answer = b"".join(UNUSUAL_ANSWERS[answer])
    if answer in ("cut in two", "two at once"):
        received = read(sock)
        assert received.rstrip(b".!") == complete_answer
        assert received.endswith({"stays": b"\n", "end": b".", "reset": b"!"}[ends])
        return
    second = harness.server_sockets[-1]
    if answer == "without an end" and ends == "stays":
        assert second is server
        assert read(sock) == b""
        return
    assert second is not server
    assert read(second).startswith(b"OPEN ")
    second.send(b"UP 7\r\n")
    harness.run()
    assert read(sock) == b"UP 7\r\n"
