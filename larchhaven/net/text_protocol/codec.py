"""The text protocol: lines of at most 4 KiB that end with CRLF, read and written. No sockets."""

from __future__ import annotations

import math
from collections.abc import Mapping

from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core.buffer_pool import Buffer
from larchhaven.routing.events import AttemptResult, LoadReport

LONGEST = 4096
# A client may wait as long as it likes, and one that stood before the run says that it waits for over an
# hour; no command is held for longer than this.
WAIT_MOST_MS = 3_600_000
END = b"\r\n"
PING = b"PING" + END
PONG = b"PONG" + END
AWAY = b"NO" + END  # the answer to a PING while clients are sent away
STATS = b"STATS" + END
MOVE = b"MOVE" + END
FAILED = b"ERR" + END

# The names that load reports use on sockets; those without a use here are left out.
_REPORT_FIELDS = {
    b"x0": "load_ratio",
    b"util": "utilization",
    b"inflight": "in_flight",
    b"queue": "queue_length",
    b"x1": "backlog_s",
}


class BadLineError(Exception):
    """A line that the protocol does not allow."""


def take_line(buffer: Buffer) -> bytes | None:
    """Take the first line off the buffer, its end left out; None while it is not complete."""
    end = buffer.data.find(END, buffer.start, min(buffer.end, buffer.start + LONGEST))
    if end < 0:
        if len(buffer) >= LONGEST:
            raise BadLineError("a line is longer than 4 KiB")
        return None
    line = bytes(buffer.data[buffer.start : end])
    buffer.start = end + len(END)
    return line


def _whole(text: bytes, base: int, what: str) -> int:
    # int() would take signs, blanks and underscores, none of which the protocol has.
    if not text.isalnum() or len(text) > 16:
        raise BadLineError(f"{what} is not a number")
    try:
        return int(text, base)
    except ValueError:
        raise BadLineError(f"{what} is not a number") from None


def _share(text: bytes, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0:
        raise BadLineError(f"{what} is not a number")
    return value


def _maybe_flag(fields: Mapping[bytes, bytes], name: bytes) -> bool:
    return fields.get(name, b"0") not in (b"0", b"")


def read_opening(
    line: bytes, classes: Mapping[str, int], tenants: Mapping[str, int]
) -> RequestSpec:
    """Read ``OPEN id key c=..,t=..,d=..``; raise BadLineError for anything else.

    Where the settings name tenants, a command of none of them is of no tenant: it is served, and counts as
    traffic past every share.
    """
    parts = line.split(b" ")
    if len(parts) != 4 or parts[0] != b"OPEN":
        raise BadLineError("the first line is not 'OPEN id key fields'")
    fields: dict[bytes, bytes] = {}
    for pair in parts[3].split(b","):
        name, equals, value = pair.partition(b"=")
        if not equals or not name:
            raise BadLineError("the fields are not name=value pairs")
        fields[name] = value
    if not parts[1]:
        raise BadLineError("the id is empty")
    cls = classes.get(fields.get(b"c", b"").decode("utf-8", "replace"))
    if cls is None:
        raise BadLineError("the class is unknown")
    wait_ms = _whole(fields[b"d"], 10, "d") if b"d" in fields else None
    load = fields.get(b"h")
    at = fields.get(b"at")
    return RequestSpec(
        payload=line,
        identity=parts[1],
        affinity_key=_whole(parts[2], 16, "the key"),
        class_index=cls,
        budget_us=None if wait_ms is None else min(wait_ms, WAIT_MOST_MS) * 1000,
        affinity_group=_whole(fields[b"g"], 16, "g") if b"g" in fields else None,
        load=None if load is None else _share(load, "h") * 1e-6,
        is_retry=_maybe_flag(fields, b"r"),
        is_reconnect=_maybe_flag(fields, b"again"),
        is_mid_flow=_maybe_flag(fields, b"mid"),
        pinned_server_id=at.decode("utf-8", "replace") if at else None,
        tenant_index=tenants.get(fields.get(b"t", b"").decode("utf-8", "replace"), len(tenants)),
    )


def with_wait(line: bytes, wait_us: int) -> bytes:
    """Return the first line with its ``d`` set to how long this proxy will wait, and its end."""
    head, space, fields = line.rpartition(b" ")
    wait = b"d=%d" % max(wait_us // 1000, 1)
    pairs = [wait if pair.startswith(b"d=") else pair for pair in fields.split(b",")]
    return head + space + b",".join(pairs) + END


def busy(retry_after_us: int) -> bytes:
    """Refuse, and say when to come again if that is known."""
    return b"BUSY %d" % -(-retry_after_us // 1000) + END if retry_after_us > 0 else b"BUSY" + END


def read_report(text: bytes) -> LoadReport | None:
    """Read ``name=value`` pairs; None if there are none, and fields that make no sense are left out."""
    values: dict[str, float] = {}
    for pair in text.split(b","):
        name, _, value = pair.partition(b"=")
        field = _REPORT_FIELDS.get(name.strip())
        if field:
            try:
                values[field] = _share(value, field)
            except BadLineError:
                continue
    return LoadReport(**values) if values else None


_RESULTS = {
    b"BYE": AttemptResult.OK,
    b"MOVE": AttemptResult.CANCELLED,
    b"ERR": AttemptResult.ERROR,
    b"SYNTAX": AttemptResult.ERROR,
    b"BUSY": AttemptResult.OVERLOADED,
}


def read_ending(line: bytes) -> tuple[AttemptResult, LoadReport | None] | None:
    """Read a line by which an instance ends an execution; None for any other line."""
    word, _, rest = line.partition(b" ")
    result = _RESULTS.get(word)
    return None if result is None else (result, read_report(rest))


def read_last(line: bytes) -> tuple[AttemptResult, LoadReport | None] | None:
    """Read the line by which an instance ends a connection that stands; None for any other line.

    Only these two do: what else the instance says then is between it and the client, ``ERR`` included.
    """
    return read_ending(line) if line in {b"MOVE", b"BYE"} or line.startswith(b"BYE ") else None


def is_up(line: bytes) -> bool:
    """Tell whether the instance has taken the connection."""
    return line == b"UP" or line.startswith(b"UP ")


def read_load(line: bytes) -> float | None:
    """Read ``LOAD X``, microseconds of work a second, as cores; None for any other line."""
    if not line.startswith(b"LOAD "):
        return None
    try:
        return _share(line[5:], "load") * 1e-6
    except BadLineError:
        return None


def read_probe(line: bytes) -> tuple[AttemptResult, LoadReport | None]:
    """Read the answer to a probe."""
    word, _, rest = line.partition(b" ")
    if word == b"PONG":
        return AttemptResult.OK, read_report(rest)
    if word == b"NO":
        return AttemptResult.NOT_SENT, None
    result, report = read_ending(line) or (AttemptResult.ERROR, None)
    return (result if result is AttemptResult.OVERLOADED else AttemptResult.ERROR), report


class LineCounter:
    """Follows the lines of a byte stream that is passed on as it comes, and keeps the beginning of each."""

    __slots__ = ("cr", "head", "midline")

    HEAD = 256

    def __init__(self) -> None:
        self.head = bytearray()
        self.cr = False  # the last byte was a CR, which an LF would make a line's end
        self.midline = False

    def feed(self, data: bytes) -> list[bytes]:
        """Take the next bytes and return the beginnings of the lines that they complete."""
        done: list[bytes] = []
        start = 0
        if self.cr and data.startswith(b"\n"):
            done.append(bytes(self.head).removesuffix(b"\r"))
            self.head.clear()
            start = 1
        while (end := data.find(END, start)) >= 0:
            self._keep(data[start:end])
            done.append(bytes(self.head))
            self.head.clear()
            start = end + len(END)
        self._keep(data[start:])
        if data:
            self.midline = start < len(data)
            self.cr = self.midline and data.endswith(b"\r")
        return done

    def _keep(self, data: bytes) -> None:
        self.head += data[: max(self.HEAD - len(self.head), 0)]
