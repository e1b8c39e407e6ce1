"""The codec of the simulator's text lines: decodes lines to events and encodes actions as lines.

A line is a name and its fields, separated by single spaces; ``-`` stands for an absent field. The
tables in this module are the only place that maps the simulator's vocabulary to larchhaven's own.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable, Iterable, Sequence

from larchhaven.gossip import codec as gossip_codec
from larchhaven.routing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    MigrateConnection,
    PollEndpoints,
    RejectRequest,
    SendGossip,
    StartAttempt,
    StartTimer,
    WatchEndpoints,
)
from larchhaven.routing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
    ConnectionRestored,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HealthCheckCompleted,
    LoadReport,
    MessageDelayObserved,
    RequestArrived,
    ServerState,
    TimerFired,
)
from larchhaven.routing.settings_codec import REPORT_FIELDS
from larchhaven.text_fields import (
    FormatError,
    InvalidFieldError,
    read_int,
    read_number,
    read_word,
)

STATE_WORDS = {
    "on": ServerState.READY,
    "fading": ServerState.DRAINING,
    "off": ServerState.REMOVED,
}
LIST_KIND_WORDS = {
    "changes": EndpointListKind.CHANGES,
    "all": EndpointListKind.COMPLETE,
    "remembered": EndpointListKind.CACHED,
    "refused": EndpointListKind.FAILED,
}
RESULT_WORDS = {
    "GOOD": AttemptResult.OK,
    "BAD": AttemptResult.ERROR,
    "FULL": AttemptResult.OVERLOADED,
    "LATE": AttemptResult.TIMEOUT,
    "NOCONN": AttemptResult.UNREACHABLE,
    "RST": AttemptResult.RESET,
    "CXL": AttemptResult.CANCELLED,
    "NOP": AttemptResult.NOT_SENT,
}
FLAG_WORDS = {"0": False, "1": True}
ABSENT = "-"
CORES_PER_MICROCORE = 1e-6
US_PER_MS = 1000
LOAD_HINT = 1  # values of the field "what" of a hint_update line
DELAY_HINT = 2


class UnexpectedLineError(FormatError):
    """A line has the wrong name or the wrong number of fields for its position."""


def check_field_count(line: Sequence[str], field_names: str) -> None:
    """Check that a line has as many fields as expected.

    Args:
        line: The line, split at spaces.
        field_names: The names of the expected fields, separated by spaces.

    Raises:
        UnexpectedLineError: The line has more or fewer fields.
    """
    if len(line) != len(field_names.split()) + 1:
        raise UnexpectedLineError(f"'{line[0]} {field_names}', found {len(line) - 1} fields")


def decode_event(line: Sequence[str]) -> Event:
    """Decode one event line.

    The host itself reads the lines that delimit batches and proxies, and ``view`` lines.

    Args:
        line: The line, split at spaces.

    Raises:
        FormatError: The line is not an event, or one of its fields is invalid.
    """
    entry = _EVENT_DECODERS.get(line[0])
    if entry is None:
        raise UnexpectedLineError(f"an event, not {line[0]!r}")
    decode, field_names = entry
    if len(line) != _EVENT_LINE_LENGTHS[line[0]]:
        check_field_count(line, field_names)
    return decode(line)


def decode_endpoint_list(line: Sequence[str], take_line: Callable[[], str]) -> EndpointListUpdate:
    """Decode an endpoint list: a ``view`` line and the ``server`` lines that follow it.

    Args:
        line: The ``view`` line, split at spaces.
        take_line: Returns the next line of the input.

    Raises:
        FormatError: One of the lines has the wrong name, or one of its fields is invalid.
    """
    check_field_count(line, "kind revision members_list")
    _, kind, revision, members_list = line
    list_kind = read_word(LIST_KIND_WORDS, kind, "kind")
    count = _int_or_zero(members_list, "members_list")
    if count < 0:
        raise InvalidFieldError("members_list", "0 or more", count)
    endpoints = tuple(_decode_endpoint(take_line().split(" ")) for _ in range(count))
    return EndpointListUpdate(list_kind, _int_or_zero(revision, "revision"), endpoints)


def decode_integer(text: str) -> int:
    """Decode a clock value, a batch number or a random seed.

    Raises:
        InvalidFieldError: The text is not an integer.
    """
    return read_int(text, "clock value, batch number or seed")


def decode_proxy_index(line: Sequence[str]) -> int:
    """Return the proxy index of a ``context`` line.

    Raises:
        FormatError: The line has the wrong number of fields, or the index is not an integer.
    """
    check_field_count(line, "i")
    return read_int(line[1], "i")


def encode_actions(actions: Iterable[Action]) -> list[str]:
    """Encode actions as the lines of a reply, one line for each action."""
    return [_ACTION_ENCODERS[type(action)](action) for action in actions]


def _optional_int(text: str, field: str) -> int | None:
    return None if text == ABSENT else read_int(text, field)


def _int_or_zero(text: str, field: str) -> int:
    return 0 if text == ABSENT else read_int(text, field)


def _flag(text: str, field: str) -> bool:
    return False if text == ABSENT else read_word(FLAG_WORDS, text, field)


def _optional_load(text: str) -> float | None:
    return None if text == ABSENT else read_number(text, "effort") * CORES_PER_MICROCORE


def _optional_report(text: str) -> LoadReport | None:
    if text in (ABSENT, ""):
        return None
    values: dict[str, float] = {}
    for pair in text.split(","):
        name, colon, value = pair.partition(":")
        if not colon:
            raise FormatError(f"telemetry to be name:value pairs, not {pair!r}")
        field = REPORT_FIELDS.get(name)
        if field and value != ABSENT:
            values[field] = read_number(value, f"telemetry {name}")
    return LoadReport(**values)


def _decode_bytes(text: str) -> bytes:
    if text == ABSENT:
        return b""
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error:
        raise FormatError(f"data to be base64, not {text!r}") from None


def _decode_request_arrived(line: Sequence[str]) -> RequestArrived:
    _, op_id, profile, customer, affinity, budget, effort, group, retry, stray, reconnect = line
    return RequestArrived(
        request_id=read_int(op_id, "op_id"),
        class_index=read_int(profile, "profile"),
        budget_us=read_int(budget, "budget"),
        tenant_index=_int_or_zero(customer, "customer"),
        affinity_key=_optional_int(affinity, "affinity"),
        load=_optional_load(effort),
        affinity_group=_optional_int(group, "group"),
        is_retry=_flag(retry, "is_retry"),
        is_mid_flow=_flag(stray, "stray"),
        is_reconnect=_flag(reconnect, "reconnect"),
    )


def _decode_connection_restored(line: Sequence[str]) -> ConnectionRestored:
    _, op_id, budget, stray, profile, effort, reconnect, *remaining = line
    affinity, customer, server, retry, group = remaining
    arrival = RequestArrived(
        request_id=read_int(op_id, "op_id"),
        class_index=read_int(profile, "profile"),
        budget_us=_int_or_zero(budget, "budget"),
        tenant_index=_int_or_zero(customer, "customer"),
        affinity_key=_optional_int(affinity, "affinity"),
        load=_optional_load(effort),
        affinity_group=_optional_int(group, "group"),
        is_retry=_flag(retry, "is_retry"),
        is_mid_flow=_flag(stray, "stray"),
        is_reconnect=_flag(reconnect, "reconnect"),
    )
    return ConnectionRestored(arrival, server)


def _decode_timer_fired(line: Sequence[str]) -> TimerFired:
    _, key_back = line
    return TimerFired(read_int(key_back, "key_back"))


def _decode_health_check(line: Sequence[str]) -> HealthCheckCompleted:
    _, reason, server, time_taken, telemetry = line
    return HealthCheckCompleted(
        server_id=server,
        result=read_word(RESULT_WORDS, reason, "reason"),
        latency_us=_int_or_zero(time_taken, "time_taken"),
        report=_optional_report(telemetry),
    )


def _decode_gossip(line: Sequence[str]) -> GossipReceived:
    _, source, data = line
    return GossipReceived(read_int(source, "src"), gossip_codec.decode(_decode_bytes(data)))


def _decode_hint(line: Sequence[str]) -> ConnectionLoadChanged | MessageDelayObserved:
    _, op_id, leg, level_text, what, server = line
    request_id = read_int(op_id, "op_id")
    attempt = read_int(leg, "leg")
    level = read_number(level_text, "level")
    kind = read_int(what, "what")
    if kind == LOAD_HINT:
        return ConnectionLoadChanged(request_id, attempt, server, level * CORES_PER_MICROCORE)
    if kind == DELAY_HINT:
        return MessageDelayObserved(request_id, attempt, server, level * US_PER_MS)
    raise InvalidFieldError("what", "1 or 2", kind)


def _decode_client_disconnected(line: Sequence[str]) -> ClientDisconnected:
    _, op_id = line
    return ClientDisconnected(read_int(op_id, "op_id"))


def _decode_attempt_ended(line: Sequence[str]) -> AttemptEnded:
    _, op_id, leg, server, reason, time_taken, finished, telemetry = line
    return AttemptEnded(
        request_id=read_int(op_id, "op_id"),
        attempt=read_int(leg, "leg"),
        server_id=server,
        result=read_word(RESULT_WORDS, reason, "reason"),
        latency_us=_int_or_zero(time_taken, "time_taken"),
        is_final=_flag(finished, "finished"),
        report=_optional_report(telemetry),
    )


def _decode_connection_established(line: Sequence[str]) -> ConnectionEstablished:
    _, op_id, leg, server, time_taken = line
    return ConnectionEstablished(
        request_id=read_int(op_id, "op_id"),
        attempt=read_int(leg, "leg"),
        server_id=server,
        latency_us=_int_or_zero(time_taken, "time_taken"),
    )


def _decode_endpoint(line: Sequence[str]) -> Endpoint:
    if line[0] != "server":
        raise UnexpectedLineError(f"a 'server' line of the endpoint list, not {line[0]!r}")
    check_field_count(line, "cluster weight started_at dc readiness machine server")
    _, cluster, weight, started_at, zone, readiness, machine, server = line
    return Endpoint(
        server_id=server,
        state=read_word(STATE_WORDS, readiness, "readiness"),
        weight=1.0 if weight == ABSENT else read_number(weight, "weight"),
        zone=_int_or_zero(zone, "dc"),
        cell=_int_or_zero(cluster, "cluster"),
        hardware_kind=_int_or_zero(machine, "machine"),
        started_at_us=_int_or_zero(started_at, "started_at"),
    )


_EventDecoder = Callable[[Sequence[str]], Event]
_EVENT_DECODERS: dict[str, tuple[_EventDecoder, str]] = {
    "submit": (
        _decode_request_arrived,
        "op_id profile customer affinity budget effort group is_retry stray reconnect",
    ),
    "resumed": (
        _decode_connection_restored,
        "op_id budget stray profile effort reconnect affinity customer server is_retry group",
    ),
    "wakeup": (_decode_timer_fired, "key_back"),
    "echo": (_decode_health_check, "reason server time_taken telemetry"),
    "from_peer": (_decode_gossip, "src data"),
    "hint_update": (_decode_hint, "op_id leg level what server"),
    "aborted": (_decode_client_disconnected, "op_id"),
    "ended": (
        _decode_attempt_ended,
        "op_id leg server reason time_taken finished telemetry",
    ),
    "streaming": (_decode_connection_established, "op_id leg server time_taken"),
}
_EVENT_LINE_LENGTHS = {
    name: len(field_names.split()) + 1 for name, (_, field_names) in _EVENT_DECODERS.items()
}


def _encode_gossip(action: SendGossip) -> str:
    peer = "*" if action.peer_index is None else action.peer_index
    data = gossip_codec.encode(action.message)
    return f"signal {peer} {base64.b64encode(data).decode() or ABSENT}"


_ACTION_ENCODERS: dict[type, Callable[..., str]] = {
    StartAttempt: lambda a: f"place {a.request_id} {a.timeout_us} {a.server_id}",
    RejectRequest: lambda a: f"push_back {a.request_id} {a.retry_after_us}",
    FailRequest: lambda a: f"report_failure {a.request_id}",
    CancelAttempt: lambda a: f"stop_attempt {a.request_id} {a.attempt}",
    MigrateConnection: lambda a: f"move {a.request_id}",
    CheckHealth: lambda a: f"inspect {a.server_id}",
    SendGossip: _encode_gossip,
    StartTimer: lambda a: f"after {a.timer_id} {a.delay_us}",
    WatchEndpoints: lambda a: f"stream_changes {int(a.is_enabled)}",
    PollEndpoints: lambda _: "query_all",
    CloseIdleConnections: lambda a: f"close {a.server_id}",
    LogMessage: lambda a: f"trace {' '.join(a.text.split())}",
}
