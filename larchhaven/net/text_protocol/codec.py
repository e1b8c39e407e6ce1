"""Parsing and encoding of the text protocol, without I/O.

The protocol consists of lines of at most 4 KiB that end with CRLF. A client sends its request as
one line. The server answers with ``UP``, which establishes the connection, or with a line that ends
the attempt: ``BUSY``, ``ERR``, ``SYNTAX``, ``MOVE`` or ``BYE``.
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
# Reconnecting clients may send longer deadlines, which are reduced to this.
MAX_BUDGET_MS = 3_600_000

LINE_END = b"\r\n"
PING = b"PING" + LINE_END
PONG = b"PONG" + LINE_END
# The answer to a PING while the proxy is draining.
NO = b"NO" + LINE_END
STATS = b"STATS" + LINE_END
MOVE = b"MOVE" + LINE_END
ERR = b"ERR" + LINE_END

_MAX_NUMBER_DIGITS = 16
_REQUEST_WORDS = 4
# Loads on the wire are in microseconds of work per second.
_CORES_PER_LOAD_UNIT = 1e-6
_LOAD_PREFIX = b"LOAD "

# Names of load report fields on the wire. Other fields are ignored.
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
    """A client or server sent a line that violates the protocol.

    Attributes:
        reason: Describes the violation.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Ending:
    """How a server ended an attempt, a connection or a health check.

    Attributes:
        result: The outcome.
        report: The load report sent with it, if any.
    """

    result: AttemptResult
    report: LoadReport | None = None


def take_line(buffer: Buffer) -> bytes | None:
    """Remove the first line from a buffer and return it.

    Returns:
        The line without its CRLF; None while it is incomplete.

    Raises:
        RemoteProtocolError: The line is longer than ``MAX_LINE_BYTES``.
    """
    limit = min(buffer.end, buffer.start + MAX_LINE_BYTES)
    end = buffer.data.find(LINE_END, buffer.start, limit)
    if end < 0:
        if len(buffer) >= MAX_LINE_BYTES:
            raise RemoteProtocolError(f"line is longer than {MAX_LINE_BYTES} bytes")
        return None
    line = bytes(buffer.data[buffer.start : end])
    buffer.start = end + len(LINE_END)
    return line


# Requests


def parse_request_line(
    line: bytes, request_classes: Mapping[str, int], tenants: Mapping[str, int]
) -> RequestSpec:
    """Parse a request line, ``OPEN id key c=..,t=..,d=..``.

    Args:
        line: The line without its CRLF.
        request_classes: Request class indexes by name.
        tenants: Tenant indexes by name. A request of any other tenant counts as over quota.

    Raises:
        RemoteProtocolError: The line is not a valid request line.
    """
    words = line.split(b" ")
    if len(words) != _REQUEST_WORDS or words[0] != b"OPEN":
        raise RemoteProtocolError(f"request line is not 'OPEN id key fields': {line!r}")
    _, identity, key, pairs = words
    fields = _parse_fields(pairs)
    if not identity:
        raise RemoteProtocolError("request id is empty")
    request_class = request_classes.get(_decode(fields.get(b"c", b"")))
    if request_class is None:
        raise RemoteProtocolError(f"request class is unknown: c={fields.get(b'c', b'')!r}")
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
        load=None if load is None else _parse_non_negative(load, "h") * _CORES_PER_LOAD_UNIT,
        is_retry=_is_set(fields, b"r"),
        is_reconnect=_is_set(fields, b"again"),
        is_mid_flow=_is_set(fields, b"mid"),
        pinned_server_id=_decode(pinned_server) if pinned_server else None,
        tenant_index=tenants.get(_decode(fields.get(b"t", b"")), len(tenants)),
    )


def encode_request_line(line: bytes, budget_us: int) -> bytes:
    """Encode a request line for a server.

    Args:
        line: The client's request line without its CRLF.
        budget_us: The time left for the attempt, in microseconds. It replaces the value of the
            field ``d``, if there is one.

    Returns:
        The line with its CRLF.
    """
    head, space, fields = line.rpartition(b" ")
    budget = b"d=%d" % max(budget_us // 1000, 1)
    pairs = [budget if pair.startswith(b"d=") else pair for pair in fields.split(b",")]
    return head + space + b",".join(pairs) + LINE_END


def encode_rejection(retry_after_us: int) -> bytes:
    """Encode the line that rejects a request.

    Args:
        retry_after_us: The delay before a retry, in microseconds; 0 if none is given.
    """
    if retry_after_us <= 0:
        return b"BUSY" + LINE_END
    retry_after_ms = -(-retry_after_us // 1000)
    return b"BUSY %d" % retry_after_ms + LINE_END


# Server answers


def is_acceptance(line: bytes) -> bool:
    """Return whether the server accepts the connection with this line."""
    return line == b"UP" or line.startswith(b"UP ")


def parse_ending(line: bytes) -> Ending | None:
    """Parse a line with which a server ends an attempt; return None for any other line."""
    word, _, report_text = line.partition(b" ")
    result = _RESULTS.get(word)
    return None if result is None else Ending(result, parse_load_report(report_text))


def parse_final_line(line: bytes) -> Ending | None:
    """Parse the line with which a server ends an established connection.

    Only ``MOVE`` and ``BYE`` end it. Any other line, even ``ERR``, is payload for the client.

    Returns:
        How the connection ends; None for any other line.
    """
    if line in {b"MOVE", b"BYE"} or line.startswith(b"BYE "):
        return parse_ending(line)
    return None


def parse_health_check_answer(line: bytes) -> Ending:
    """Parse the answer to a health check; any but ``PONG``, ``NO`` and ``BUSY`` is an error."""
    word, _, report_text = line.partition(b" ")
    if word == b"PONG":
        return Ending(AttemptResult.OK, parse_load_report(report_text))
    if word == b"NO":
        return Ending(AttemptResult.NOT_SENT)
    ending = parse_ending(line)
    if ending is None:
        return Ending(AttemptResult.ERROR)
    if ending.result is AttemptResult.OVERLOADED:
        return ending
    return Ending(AttemptResult.ERROR, ending.report)


def parse_load(line: bytes) -> float | None:
    """Parse ``LOAD X``, where X is in microseconds of work per second.

    Returns:
        The load in cores; None for any other line or an invalid X.
    """
    if not line.startswith(_LOAD_PREFIX):
        return None
    try:
        return _parse_non_negative(line[len(_LOAD_PREFIX) :], "load") * _CORES_PER_LOAD_UNIT
    except RemoteProtocolError:
        return None


def parse_load_report(text: bytes) -> LoadReport | None:
    """Parse the ``name=value`` pairs of a load report.

    Returns:
        The report without unknown fields and invalid values; None if no valid field is left.
    """
    values: dict[str, float] = {}
    for pair in text.split(b","):
        name, _, value = pair.partition(b"=")
        field = _REPORT_FIELDS.get(name.strip())
        if field:
            try:
                values[field] = _parse_non_negative(value, field)
            except RemoteProtocolError:
                continue
    return LoadReport(**values) if values else None


# Fields


def _parse_fields(text: bytes) -> dict[bytes, bytes]:
    fields: dict[bytes, bytes] = {}
    for pair in text.split(b","):
        name, equals, value = pair.partition(b"=")
        if not equals or not name:
            raise RemoteProtocolError(f"field is not a name=value pair: {pair!r}")
        fields[name] = value
    return fields


def _parse_integer(text: bytes, base: int, name: str) -> int:
    # int() would also accept signs, spaces and underscores, which the protocol does not allow.
    if not text.isalnum() or len(text) > _MAX_NUMBER_DIGITS:
        raise RemoteProtocolError(
            f"{name} is not a base-{base} number of at most {_MAX_NUMBER_DIGITS} digits: {text!r}"
        )
    try:
        return int(text, base)
    except ValueError:
        raise RemoteProtocolError(f"{name} is not a base-{base} number: {text!r}") from None


def _parse_non_negative(text: bytes, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0:
        raise RemoteProtocolError(f"{name} is not a finite number of at least 0: {text!r}")
    return value


def _is_set(fields: Mapping[bytes, bytes], name: bytes) -> bool:
    return fields.get(name, b"0") not in {b"0", b""}


def _decode(text: bytes) -> str:
    return text.decode("utf-8", "replace")
