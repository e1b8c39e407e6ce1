"""The text protocol: lines of at most 4 KiB that end with CRLF, parsed and encoded without sockets.

A client's first line is its request. Its server answers with ``UP``, which establishes the
connection, or with a line that ends the attempt: ``BUSY``, ``ERR``, ``SYNTAX``, ``MOVE``, ``BYE``.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from larchhaven.errors import LarchhavenError
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core.buffer_pool import Buffer
from larchhaven.routing.events import AttemptResult, LoadReport

MAX_LINE_BYTES = 4096
# Clients that were connected before may say that they wait for longer.
MAX_BUDGET_MS = 3_600_000

LINE_END = b"\r\n"
PING = b"PING" + LINE_END
PONG = b"PONG" + LINE_END
# The answer to a PING while clients are sent away.
NO = b"NO" + LINE_END
STATS = b"STATS" + LINE_END
MOVE = b"MOVE" + LINE_END
ERR = b"ERR" + LINE_END

_MAX_NUMBER_DIGITS = 16
_REQUEST_WORDS = 4
# Loads are in microseconds of work a second.
_CORES_PER_LOAD_UNIT = 1e-6
_LOAD_PREFIX = b"LOAD "

# The names that load reports use on sockets; those without a use here are left out.
_REPORT_FIELDS = {
    b"x0": "load_ratio",
    b"util": "utilization",
    b"inflight": "in_flight",
    b"queue": "queue_length",
    b"x1": "backlog_s",
}
_RESULTS = {
    b"BYE": AttemptResult.OK,
    b"MOVE": AttemptResult.CANCELLED,
    b"ERR": AttemptResult.ERROR,
    b"SYNTAX": AttemptResult.ERROR,
    b"BUSY": AttemptResult.OVERLOADED,
}


class RemoteProtocolError(LarchhavenError):
    """The other side sent a line that the protocol does not allow.

    Attributes:
        reason: What is wrong with it.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Ending:
    """How a server ended an attempt, a connection or a health check.

    Attributes:
        result: The result.
        report: The load report that came with it, if any.
    """

    result: AttemptResult
    report: LoadReport | None = None


def take_line(buffer: Buffer) -> bytes | None:
    """Remove the first line from a buffer.

    Returns:
        The line without its end; None while it is not complete.

    Raises:
        RemoteProtocolError: The line is too long.
    """
    limit = min(buffer.end, buffer.start + MAX_LINE_BYTES)
    end = buffer.data.find(LINE_END, buffer.start, limit)
    if end < 0:
        if len(buffer) >= MAX_LINE_BYTES:
            raise RemoteProtocolError("a line is longer than 4 KiB")
        return None
    line = bytes(buffer.data[buffer.start : end])
    buffer.start = end + len(LINE_END)
    return line


# Requests


def parse_request_line(
    line: bytes, request_classes: Mapping[str, int], tenants: Mapping[str, int]
) -> RequestSpec:
    """Parse ``OPEN id key c=..,t=..,d=..``.

    Args:
        line: The line, without its end.
        request_classes: The numbers of the classes by name.
        tenants: The numbers of the tenants by name; others count as beyond every quota.

    Raises:
        RemoteProtocolError: It is no such line.
    """
    words = line.split(b" ")
    if len(words) != _REQUEST_WORDS or words[0] != b"OPEN":
        raise RemoteProtocolError("the first line is not 'OPEN id key fields'")
    _, identity, key, pairs = words
    fields = _parse_fields(pairs)
    if not identity:
        raise RemoteProtocolError("the id is empty")
    request_class = request_classes.get(_decode(fields.get(b"c", b"")))
    if request_class is None:
        raise RemoteProtocolError("the class is unknown")
    budget_ms = _parse_integer(fields[b"d"], 10, "d") if b"d" in fields else None
    load = fields.get(b"h")
    pinned_server = fields.get(b"at")
    return RequestSpec(
        payload=line,
        identity=identity,
        affinity_key=_parse_integer(key, 16, "the key"),
        class_index=request_class,
        budget_us=None if budget_ms is None else min(budget_ms, MAX_BUDGET_MS) * 1000,
        affinity_group=_parse_integer(fields[b"g"], 16, "g") if b"g" in fields else None,
        load=None if load is None else _parse_share(load, "h") * _CORES_PER_LOAD_UNIT,
        is_retry=_is_set(fields, b"r"),
        is_reconnect=_is_set(fields, b"again"),
        is_mid_flow=_is_set(fields, b"mid"),
        pinned_server_id=_decode(pinned_server) if pinned_server else None,
        tenant_index=tenants.get(_decode(fields.get(b"t", b"")), len(tenants)),
    )


def encode_request_line(line: bytes, budget_us: int) -> bytes:
    """Return a request line with its end, and with ``d`` set to how long this proxy will wait."""
    head, space, fields = line.rpartition(b" ")
    budget = b"d=%d" % max(budget_us // 1000, 1)
    pairs = [budget if pair.startswith(b"d=") else pair for pair in fields.split(b",")]
    return head + space + b",".join(pairs) + LINE_END


def encode_rejection(retry_after_us: int) -> bytes:
    """Return the line that rejects a request, with the time to retry after unless that is 0."""
    if retry_after_us <= 0:
        return b"BUSY" + LINE_END
    retry_after_ms = -(-retry_after_us // 1000)
    return b"BUSY %d" % retry_after_ms + LINE_END


# Answers of servers


def is_acceptance(line: bytes) -> bool:
    """Return whether the server has accepted the connection."""
    return line == b"UP" or line.startswith(b"UP ")


def parse_ending(line: bytes) -> Ending | None:
    """Parse a line by which a server ends an attempt; return None for any other line."""
    word, _, rest = line.partition(b" ")
    result = _RESULTS.get(word)
    return None if result is None else Ending(result, parse_load_report(rest))


def parse_final_line(line: bytes) -> Ending | None:
    """Parse the line by which a server ends an established connection; None for any other line.

    Only ``MOVE`` and ``BYE`` do: what else the server sends then is between it and the client,
    ``ERR`` included.
    """
    if line in {b"MOVE", b"BYE"} or line.startswith(b"BYE "):
        return parse_ending(line)
    return None


def parse_health_check_answer(line: bytes) -> Ending:
    """Parse the answer to a health check."""
    word, _, rest = line.partition(b" ")
    if word == b"PONG":
        return Ending(AttemptResult.OK, parse_load_report(rest))
    if word == b"NO":
        return Ending(AttemptResult.NOT_SENT)
    ending = parse_ending(line)
    if ending is None:
        return Ending(AttemptResult.ERROR)
    if ending.result is AttemptResult.OVERLOADED:
        return ending
    return Ending(AttemptResult.ERROR, ending.report)


def parse_load(line: bytes) -> float | None:
    """Parse ``LOAD X``, in microseconds of work a second.

    Returns:
        The load in cores; None for any other line.
    """
    if not line.startswith(_LOAD_PREFIX):
        return None
    try:
        return _parse_share(line[len(_LOAD_PREFIX) :], "load") * _CORES_PER_LOAD_UNIT
    except RemoteProtocolError:
        return None


def parse_load_report(text: bytes) -> LoadReport | None:
    """Parse ``name=value`` pairs; invalid ones are left out, and None is returned for none."""
    values: dict[str, float] = {}
    for pair in text.split(b","):
        name, _, value = pair.partition(b"=")
        field = _REPORT_FIELDS.get(name.strip())
        if field:
            try:
                values[field] = _parse_share(value, field)
            except RemoteProtocolError:
                continue
    return LoadReport(**values) if values else None


# Fields


def _parse_fields(text: bytes) -> dict[bytes, bytes]:
    fields: dict[bytes, bytes] = {}
    for pair in text.split(b","):
        name, equals, value = pair.partition(b"=")
        if not equals or not name:
            raise RemoteProtocolError("the fields are not name=value pairs")
        fields[name] = value
    return fields


def _parse_integer(text: bytes, base: int, name: str) -> int:
    # int() would take signs, blanks and underscores, none of which the protocol has.
    if not text.isalnum() or len(text) > _MAX_NUMBER_DIGITS:
        raise RemoteProtocolError(f"{name} is not a number")
    try:
        return int(text, base)
    except ValueError:
        raise RemoteProtocolError(f"{name} is not a number") from None


def _parse_share(text: bytes, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0:
        raise RemoteProtocolError(f"{name} is not a number")
    return value


def _is_set(fields: Mapping[bytes, bytes], name: bytes) -> bool:
    return fields.get(name, b"0") not in {b"0", b""}


def _decode(text: bytes) -> str:
    return text.decode("utf-8", "replace")
