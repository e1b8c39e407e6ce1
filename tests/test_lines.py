"""The text protocol and the tables, without sockets."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.item_costs import BUFFER_OVERHEAD_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.control.endpoint_directory import (
    EndpointDirectory,
    EndpointEntry,
    EndpointListMessage,
    parse_address,
)
from larchhaven.net.core.buffer_pool import BUFFER_BYTES, Buffer, BufferPool
from larchhaven.net.core.slot_table import SlotTable
from larchhaven.net.text_protocol import codec as lines
from larchhaven.routing.events import AttemptResult, EndpointListKind, LoadReport, ServerState

PIECES = st.lists(
    st.sampled_from([b"a", b"\r", b"\n", b"\r\n", b"BYE x0=1", b"\x00\xff" * 200]), max_size=30
)


@pytest.mark.parametrize(
    ("fields", "members", "tenant"),
    [
        (b"c=a,t=north", {"south": 0, "north": 1}, 1),
        (b"c=a,t=east", {"south": 0, "north": 1}, 2),  # none of them
        (b"c=a", {"south": 0, "north": 1}, 2),
        (b"c=a,t=north", {}, 0),
        (b"c=a,t=\xff\xfe", {"south": 0}, 1),
    ],
)
def test_member_of_a_command(fields: bytes, members: dict[str, int], tenant: int) -> None:
    assert lines.read_opening(b"OPEN 1 2 " + fields, {"a": 0}, members).tenant_index == tenant


@settings(max_examples=200, deadline=None, derandomize=True)
@given(PIECES)
def test_lines_are_counted_alike_however_they_are_split(pieces: list[bytes]) -> None:
    """Guards the gap between two lines, where alone a MOVE may be written."""
    whole = b"".join(pieces)
    at_once, bit_by_bit = lines.LineCounter(), lines.LineCounter()
    found = [head for piece in pieces for head in bit_by_bit.feed(piece)]
    assert len(at_once.feed(whole)) == len(found) == whole.count(b"\r\n")
    assert at_once.midline == bit_by_bit.midline == (not whole.endswith(b"\r\n") and bool(whole))
    assert [head[:200] for head in found] == [part[:200] for part in whole.split(b"\r\n")[:-1]]


@pytest.mark.parametrize(
    ("line", "sent"),
    [
        (b"OPEN 1 2 c=a,d=2000,g=3", b"OPEN 1 2 c=a,d=1234,g=3\r\n"),
        (b"OPEN d=1 2 d=5", b"OPEN d=1 2 d=1234\r\n"),
        (b"OPEN 1 2 c=a,id=7,xd=8", b"OPEN 1 2 c=a,id=7,xd=8\r\n"),
    ],
)
def test_only_the_wait_is_changed(line: bytes, sent: bytes) -> None:
    assert lines.with_wait(line, 1_234_567) == sent


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
def test_probe_answers(line: bytes, answer: tuple[AttemptResult, LoadReport | None]) -> None:
    assert lines.read_probe(line) == answer


@pytest.mark.parametrize(
    ("line", "load"),
    [(b"LOAD 120000", 0.12), (b"LOAD", None), (b"LOAD x", None), (b"LOADS 1", None)],
)
def test_load_is_told_in_microseconds_a_second(line: bytes, load: float | None) -> None:
    assert lines.read_load(line) == load


@pytest.mark.parametrize("text", ["", "x", "h:", ":1", "h:-1", "h:99999", "h:²"])
def test_strange_addresses_are_none(text: str) -> None:
    assert parse_address(text) is None


def test_stale_token_reaches_nobody() -> None:
    table: SlotTable[str] = SlotTable()
    first = table.add("first")
    assert table.remove(first) == "first"
    assert table.remove(first) is None
    second = table.add("second")
    assert second != first
    assert table.get(first) is None
    assert table.get(second) == "second"
    assert len(table) == 1
    assert table.get(1 << 60) is None


def test_buffer_that_comes_back_wakes_all_that_wait() -> None:
    """Guards against a stream that waits for ever behind one that was closed while it waited."""
    pool = BufferPool(
        MemoryAccount(
            {
                **dict.fromkeys(MemoryPurpose, 0),
                MemoryPurpose.BUFFERS: BUFFER_BYTES + BUFFER_OVERHEAD_BYTES,
            }
        )
    )
    only = pool.acquire()
    assert isinstance(only, Buffer)
    assert pool.acquire() is None
    woken: list[int] = []
    pool.call_when_available(lambda: woken.append(1))
    pool.call_when_available(lambda: woken.append(2))
    pool.release(only)
    assert woken == [1, 2]
    assert pool.acquire() is only


def test_directory_keeps_since_when_an_instance_is_to_be_left_alone() -> None:
    directory = EndpointDirectory(["a"], ["k"])
    entry = EndpointEntry("s0", "127.0.0.1:7000", "a", "k", started_at_ms=1)
    directory.apply_list(EndpointListKind.COMPLETE, EndpointListMessage(1, [entry], True), 100)
    assert directory.drain_notified_at_us("s0") is None
    assert directory.find_address("s0") == ("127.0.0.1", 7000)
    entry.health = "draining"
    for now in (200, 300):
        told = directory.apply_list(EndpointListKind.CHANGES, EndpointListMessage(2, [entry]), now)
        assert directory.drain_notified_at_us("s0") == 200
        assert told.endpoints[0].state is ServerState.DRAINING
    directory.apply_list(EndpointListKind.COMPLETE, EndpointListMessage(3, [], True), 400)
    assert directory.drain_notified_at_us("s0") == 200
    assert directory.find_address("s0") is None
    entry.health = "what is this"
    assert directory.apply_list(
        EndpointListKind.CHANGES, EndpointListMessage(4, [entry]), 500
    ).endpoints[0].state is (ServerState.DRAINING)
