"""Server answers that are split, repeated, malformed or incomplete."""

from __future__ import annotations

import contextlib

import pytest

from larchhaven.routing.events import Endpoint
from tests.in_process_proxy import REQUEST_LINE, InProcessProxy
from tests.net.races.sockets import (
    disconnect,
    read,
)

PAIR = (Endpoint("s0"), Endpoint("s1"))


UNUSUAL_ANSWERS = {
    "split": [b"U", b"P 5\r", b"\nrest\r\n"],
    "two at once": [b"UP 5\r\nUP 6\r\n"],
    "failed, then accepted": [b"ERR\r\nUP 5\r\n"],
    "rejected, accepted later": [b"BUSY\r\n", b"UP 5\r\n"],
    "no line end": [b"UP 5"],
    "binary": [b"\x00\xff\xfe\r\n"],
    "no line end, too long": [b"UP " + b"x" * 3_000, b"x" * 3_000],
}


@pytest.mark.parametrize("server_end", ["stays", "end", "reset"])
@pytest.mark.parametrize("answer", UNUSUAL_ANSWERS)
@pytest.mark.parametrize("harness", [{"servers": PAIR}], indirect=True)
def test_unusual_answers_are_forwarded_unchanged_or_not_at_all(
    harness: InProcessProxy, answer: str, server_end: str
) -> None:
    """A partial line must not count as an answer, and attempts must not overlap.

    Binary and oversized answers must not crash the proxy.
    """
    sock = harness.connect_client(REQUEST_LINE % 1)
    harness.run(4)
    server = harness.server_sockets[0]
    read(server)
    for piece in UNUSUAL_ANSWERS[answer]:
        with contextlib.suppress(OSError):  # the proxy may have closed the connection
            server.send(piece)
        harness.run(2)
    if server_end != "stays":
        disconnect(server, harness, server_end)
        harness.server_sockets.remove(server)
    harness.run()
    complete_answer = b"".join(UNUSUAL_ANSWERS[answer])
    if answer in ("split", "two at once"):
        received = read(sock)
        assert received.rstrip(b".!") == complete_answer
        assert received.endswith({"stays": b"\n", "end": b".", "reset": b"!"}[server_end])
        return
    latest_server = harness.server_sockets[-1]
    if answer == "no line end" and server_end == "stays":
        assert latest_server is server
        assert read(sock) == b""
        return
    assert latest_server is not server
    assert read(latest_server).startswith(b"OPEN ")
    latest_server.send(b"UP 7\r\n")
    harness.run()
    assert read(sock) == b"UP 7\r\n"
