"""Parsing and encoding of the text protocol."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchhaven.net.text_protocol import codec
from larchhaven.net.text_protocol.line_counter import LineCounter
from larchhaven.routing.events import AttemptResult, LoadReport

PIECES = st.lists(
    st.sampled_from([b"a", b"\r", b"\n", b"\r\n", b"BYE x0=1", b"\x00\xff" * 200]), max_size=30
)


@pytest.mark.parametrize(
    ("fields", "tenants", "tenant"),
    [
        (b"c=a,t=north", {"south": 0, "north": 1}, 1),
        (b"c=a,t=east", {"south": 0, "north": 1}, 2),  # unknown tenant
        (b"c=a", {"south": 0, "north": 1}, 2),
        (b"c=a,t=north", {}, 0),
        (b"c=a,t=\xff\xfe", {"south": 0}, 1),
    ],
)
def test_tenant_of_a_request(fields: bytes, tenants: dict[str, int], tenant: int) -> None:
    assert codec.parse_request_line(b"OPEN 1 2 " + fields, {"a": 0}, tenants).tenant_index == tenant


@settings(max_examples=200, deadline=None, derandomize=True)
@given(PIECES)
def test_lines_are_found_wherever_the_stream_is_split(pieces: list[bytes]) -> None:
    """MOVE may only be sent between two lines, so a missed line end would corrupt a line."""
    stream = b"".join(pieces)
    at_once, piecewise = LineCounter(), LineCounter()
    heads = [head for piece in pieces for head in piecewise.feed(piece)]
    assert len(at_once.feed(stream)) == len(heads) == stream.count(b"\r\n")
    assert (
        at_once.is_mid_line
        == piecewise.is_mid_line
        == (not stream.endswith(b"\r\n") and bool(stream))
    )
    assert [head[:200] for head in heads] == [line[:200] for line in stream.split(b"\r\n")[:-1]]


@pytest.mark.parametrize(
    ("line", "sent"),
    [
        (b"OPEN 1 2 c=a,d=2000,g=3", b"OPEN 1 2 c=a,d=1234,g=3\r\n"),
        (b"OPEN d=1 2 d=5", b"OPEN d=1 2 d=1234\r\n"),
        (b"OPEN 1 2 c=a,id=7,xd=8", b"OPEN 1 2 c=a,id=7,xd=8\r\n"),
    ],
)
def test_only_the_deadline_of_a_request_line_is_changed(line: bytes, sent: bytes) -> None:
    assert codec.encode_request_line(line, 1_234_567) == sent


@pytest.mark.parametrize(
    ("line", "answer"),
    [
        (
            b"PONG x0=0.4,util=0.3,qps=9",
            (AttemptResult.OK, LoadReport(load_ratio=0.4, utilization=0.3)),
        ),
        (b"PONG", (AttemptResult.OK, None)),
        (b"PONG x0=nan,util=-1,x0", (AttemptResult.OK, None)),
        (b"BUSY", (AttemptResult.OVERLOADED, None)),
        (b"ERR", (AttemptResult.ERROR, None)),
        (b"NO", (AttemptResult.NOT_SENT, None)),
        (b"\xff\x00", (AttemptResult.ERROR, None)),
    ],
)
def test_health_check_answers(line: bytes, answer: tuple[AttemptResult, LoadReport | None]) -> None:
    result, report = answer
    assert codec.parse_health_check_answer(line) == codec.Ending(result, report)


@pytest.mark.parametrize(
    ("line", "load"),
    [(b"LOAD 120000", 0.12), (b"LOAD", None), (b"LOAD x", None), (b"LOADS 1", None)],
)
def test_load_is_reported_in_microseconds_per_second(line: bytes, load: float | None) -> None:
    assert codec.parse_load(line) == load
