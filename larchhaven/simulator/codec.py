"""The text wire: lines to events, actions to lines, and start-up options to Settings. No decisions."""

from __future__ import annotations

import base64
import binascii
import math
from collections.abc import Callable, Iterable, Mapping
from typing import TypeVar

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
from larchhaven.routing.settings import (
    DeduplicationScope,
    Idempotency,
    OperationCosts,
    RequestClass,
    RoutingSettings,
    Tenant,
    WeightSource,
)

T = TypeVar("T")


class WireError(Exception):
    """A line that the wire does not allow, with what was expected in its place."""


_EFFECTS = {
    "idempotent": Idempotency.ALWAYS,
    "deduplicated": Idempotency.WITH_KEY,
    "at_most_once": Idempotency.NEVER,
}
_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
_STATES = {"on": ServerState.READY, "fading": ServerState.DRAINING, "off": ServerState.REMOVED}
_LISTS = {
    "changes": EndpointListKind.CHANGES,
    "all": EndpointListKind.COMPLETE,
    "remembered": EndpointListKind.CACHED,
    "refused": EndpointListKind.FAILED,
}
_RESULTS = {
    "GOOD": AttemptResult.OK,
    "BAD": AttemptResult.ERROR,
    "FULL": AttemptResult.OVERLOADED,
    "LATE": AttemptResult.TIMEOUT,
    "NOCONN": AttemptResult.UNREACHABLE,
    "RST": AttemptResult.RESET,
    "CXL": AttemptResult.CANCELLED,
    "NOP": AttemptResult.NOT_SENT,
}
_WEIGHTS = {
    "silent": WeightSource.NONE,
    "nominal": WeightSource.NOMINAL,
    "rough": WeightSource.ESTIMATED,
    "live": WeightSource.LIVE,
}
_REPORT_FIELDS = {
    "x0": "load_ratio",
    "utilization": "utilization",
    "outstanding": "in_flight",
    "backlog": "queue_length",
    "x1": "backlog_s",
}
_BOOLS = {"0": False, "1": True}
_ABSENT = ("", "-", "null")
_MICRO = 1e-6


def _word(table: dict[str, T], text: str, what: str) -> T:
    try:
        return table[text]
    except KeyError:
        raise WireError(f"expected {what} to be one of {', '.join(table)}, not {text!r}") from None


def _int(text: str, what: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise WireError(f"expected {what} to be a whole number, not {text!r}") from None


def _number(text: str, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if value - value != 0:  # true of NaN and of both infinities
        raise WireError(f"expected {what} to be a number, not {text!r}")
    return value


def _maybe_int(text: str, what: str) -> int | None:
    return None if text == "-" else _int(text, what)


def _int_or_0(text: str, what: str) -> int:
    return 0 if text == "-" else _int(text, what)


def _flag(text: str, what: str) -> bool:
    return False if text == "-" else _word(_BOOLS, text, what)


def _load(text: str) -> float | None:
    return None if text == "-" else _number(text, "effort") * _MICRO


def _report(text: str) -> LoadReport | None:
    if text in ("-", ""):
        return None
    values: dict[str, float] = {}
    for pair in text.split(","):
        name, colon, value = pair.partition(":")
        if not colon:
            raise WireError(f"expected telemetry as name:value pairs, not {pair!r}")
        field = _REPORT_FIELDS.get(name)
        if field and value != "-":
            values[field] = _number(value, f"telemetry {name}")
    return LoadReport(**values)


def _bytes(text: str) -> bytes:
    if text == "-":
        return b""
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error:
        raise WireError(f"expected base64 data, not {text!r}") from None


def _submit(p: list[str]) -> Event:
    return RequestArrived(
        _int(p[1], "op_id"),
        _int(p[2], "profile"),
        _int(p[5], "budget"),
        _int_or_0(p[3], "customer"),
        _maybe_int(p[4], "affinity"),
        _load(p[6]),
        _maybe_int(p[7], "group"),
        _flag(p[8], "is_retry"),
        _flag(p[9], "stray"),
        _flag(p[10], "reconnect"),
    )


def _resumed(p: list[str]) -> Event:
    arrival = RequestArrived(
        _int(p[1], "op_id"),
        _int(p[4], "profile"),
        _int_or_0(p[2], "budget"),
        _int_or_0(p[8], "customer"),
        _maybe_int(p[7], "affinity"),
        _load(p[5]),
        _maybe_int(p[11], "group"),
        _flag(p[10], "is_retry"),
        _flag(p[3], "stray"),
        _flag(p[6], "reconnect"),
    )
    return ConnectionRestored(arrival, p[9])


def _wakeup(p: list[str]) -> Event:
    return TimerFired(_int(p[1], "key_back"))


def _echo(p: list[str]) -> Event:
    return HealthCheckCompleted(
        p[2], _word(_RESULTS, p[1], "reason"), _int_or_0(p[3], "time_taken"), _report(p[4])
    )


def _from_peer(p: list[str]) -> Event:
    return GossipReceived(_int(p[1], "src"), gossip_codec.decode(_bytes(p[2])))


def _hint_update(p: list[str]) -> Event:
    request, attempt, level = _int(p[1], "op_id"), _int(p[2], "leg"), _number(p[3], "level")
    what = _int(p[4], "what")
    if what == 1:
        return ConnectionLoadChanged(request, attempt, p[5], level * _MICRO)
    if what == 2:
        return MessageDelayObserved(request, attempt, p[5], level * 1000)
    raise WireError(f"expected what to be 1 or 2, not {what}")


def _aborted(p: list[str]) -> Event:
    return ClientDisconnected(_int(p[1], "op_id"))


def _ended(p: list[str]) -> Event:
    return AttemptEnded(
        _int(p[1], "op_id"),
        _int(p[2], "leg"),
        p[3],
        _word(_RESULTS, p[4], "reason"),
        _int_or_0(p[5], "time_taken"),
        _flag(p[6], "finished"),
        _report(p[7]),
    )


def _streaming(p: list[str]) -> Event:
    return ConnectionEstablished(
        _int(p[1], "op_id"), _int(p[2], "leg"), p[3], _int_or_0(p[4], "time_taken")
    )


_EVENTS: dict[str, tuple[Callable[[list[str]], Event], str]] = {
    "submit": (
        _submit,
        "op_id profile customer affinity budget effort group is_retry stray reconnect",
    ),
    "resumed": (
        _resumed,
        "op_id budget stray profile effort reconnect affinity customer server is_retry group",
    ),
    "wakeup": (_wakeup, "key_back"),
    "echo": (_echo, "reason server time_taken telemetry"),
    "from_peer": (_from_peer, "src data"),
    "hint_update": (_hint_update, "op_id leg level what server"),
    "aborted": (_aborted, "op_id"),
    "ended": (_ended, "op_id leg server reason time_taken finished telemetry"),
    "streaming": (_streaming, "op_id leg server time_taken"),
}
_SIZES = {name: len(fields.split()) + 1 for name, (_, fields) in _EVENTS.items()}


def expect_fields(parts: list[str], fields: str) -> None:
    """Raise unless the line holds its name and exactly these fields."""
    if len(parts) != len(fields.split()) + 1:
        raise WireError(f"expected '{parts[0]} {fields}', found {len(parts) - 1} fields")


def decode_event(parts: list[str]) -> Event:
    """Turn one split line into an event; view, context and the like are the adapter's."""
    entry = _EVENTS.get(parts[0])
    if entry is None:
        raise WireError(f"expected an event, not {parts[0]!r}")
    if len(parts) != _SIZES[parts[0]]:
        raise WireError(f"expected '{parts[0]} {entry[1]}', found {len(parts) - 1} fields")
    return entry[0](parts)


def decode_view(parts: list[str], take_line: Callable[[], str]) -> EndpointListUpdate:
    """Turn a view line and the server lines after it into a fleet list."""
    expect_fields(parts, "kind revision members_list")
    kind = _word(_LISTS, parts[1], "kind")
    count = _int_or_0(parts[3], "members_list")
    if count < 0:
        raise WireError(f"expected members_list to be 0 or more, not {count}")
    entries = tuple(_decode_server(take_line().split(" ")) for _ in range(count))
    return EndpointListUpdate(kind, _int_or_0(parts[2], "revision"), entries)


def _decode_server(parts: list[str]) -> Endpoint:
    if parts[0] != "server":
        raise WireError(f"expected a 'server' line of the view, not {parts[0]!r}")
    expect_fields(parts, "cluster weight started_at dc readiness machine server")
    return Endpoint(
        parts[7],
        _word(_STATES, parts[5], "readiness"),
        1.0 if parts[2] == "-" else _number(parts[2], "weight"),
        _int_or_0(parts[4], "dc"),
        _int_or_0(parts[1], "cluster"),
        _int_or_0(parts[6], "machine"),
        _int_or_0(parts[3], "started_at"),
    )


def decode_now(text: str) -> int:
    """Read a clock value or a batch number."""
    return _int(text, "a clock value or a batch number")


def decode_instance(parts: list[str]) -> int:
    """Read the instance number of a context line."""
    expect_fields(parts, "i")
    return _int(parts[1], "i")


class _Options:
    """Typed reads of path=value pairs."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self.pairs = pairs

    def text(self, path: str, default: str | None = None) -> str:
        """Read a value; an empty or absent one is its default, or an error without one."""
        value = self.pairs.get(path, "")
        if value in _ABSENT:
            if default is None:
                raise WireError(f"expected the setting {path}, which is missing")
            return default
        return value

    def whole(self, path: str, default: int | None = None) -> int:
        """Read a whole number; settings may write one with a fraction."""
        return round(self.number(path, None if default is None else float(default)))

    def number(self, path: str, default: float | None = None) -> float:
        """Read a number."""
        return _number(self.text(path, None if default is None else repr(default)), path)

    def flag(self, path: str, default: bool = False) -> bool:
        """Read a true or false."""
        text = self.text(path, str(default).lower())
        return _word({"true": True, "false": False, "1": True, "0": False}, text, path)

    def word(self, path: str, table: dict[str, T], default: str | None = None) -> T:
        """Read one of a set of words."""
        return _word(table, self.text(path, default), path)

    def items(self, path: str) -> list[str]:
        """Read plain values joined by commas."""
        return [item for item in self.text(path, " ").strip().split(",") if item]

    def count(self, path: str, default: int | None = None) -> int:
        """Read the length of a list of objects."""
        return self.whole(f"{path}.count", default)


def _number_at(items: list[str], i: int, what: str, default: float = 0.0) -> float:
    """Read one of a list of numbers; one that is not stated is the default."""
    return default if i >= len(items) or items[i] in _ABSENT else _number(items[i], what)


def decode_settings(text: str) -> RoutingSettings:
    """Turn the options of an open_instance line into Settings."""
    pairs: dict[str, str] = {}
    for pair in text.split(" "):
        path, equals, value = pair.partition("=")
        if pair and not equals:
            raise WireError(f"expected options as path=value pairs, not {pair!r}")
        pairs[path] = value
    return _settings(_Options(pairs))


def decode_nested_settings(settings: Mapping[str, object]) -> RoutingSettings:
    """Turn the same settings, as nested objects and lists, into Settings."""
    pairs: dict[str, str] = {}
    for name, value in settings.items():
        _flatten(name, value, pairs)
    return _settings(_Options(pairs))


def _flatten(path: str, value: object, pairs: dict[str, str]) -> None:
    """Write a nested value as the wire writes it, as path=value pairs."""
    if isinstance(value, Mapping):
        for name, inner in value.items():
            _flatten(f"{path}.{name}", inner, pairs)
    elif isinstance(value, list) and any(isinstance(item, Mapping) for item in value):
        pairs[f"{path}.count"] = str(len(value))
        for i, item in enumerate(value):
            _flatten(f"{path}.{i}", item, pairs)
    elif isinstance(value, list):
        pairs[path] = ",".join(_plain(item) for item in value)
    else:
        pairs[path] = _plain(value)


def _plain(value: object) -> str:
    if value is None or isinstance(value, bool):
        return {None: "null", True: "true", False: "false"}[value]
    return str(value).replace(" ", "_").replace(",", "_")


def _settings(o: _Options) -> RoutingSettings:
    aims = o.items("family_info.message_aim")
    quotas = o.items("family_info.tenant_quota_connections")
    classes = []
    for i in range(o.count("services")):
        at = f"services.{i}"
        classes.append(
            RequestClass(
                o.whole(f"{at}.aim"),
                o.whole(f"{at}.deadline"),
                o.number(f"{at}.credit", 1.0),
                o.number(f"{at}.late_worth", 0.0),
                o.word(f"{at}.repeat", _EFFECTS),
                o.word(f"{at}.group", _SCOPES, "all"),
                o.whole(f"{at}.window", 0),
                o.flag(f"{at}.stream"),
                round(_number_at(aims, i, "family_info.message_aim")),
            )
        )
    tenants = tuple(
        Tenant(
            o.number(f"parties.{i}.share", 0.0),
            o.number(f"parties.{i}.allowance_per_s", 0.0),
            _number_at(quotas, i, "family_info.tenant_quota_connections", math.inf),
        )
        for i in range(o.count("parties", 0))
    )
    how = o.text("report.how", "silent")
    names = () if how == "silent" else tuple(o.items("report.fields"))
    costs = OperationCosts(
        health_check=o.number("prices.probe", 0.0),
        gossip_message=o.number("prices.peer", 0.0),
        cross_zone=o.number("prices.cross_zone", 0.0),
        migration=o.number("prices.moves", 0.0),
        wasted_work=o.number("prices.waste", 0.0),
        late_failure=o.number("prices.late_fail", 0.0),
        handshake=o.number("prices.handshake", 0.0),
    )
    try:
        return RoutingSettings(
            classes=tuple(classes),
            proxy_count=o.whole("instances"),
            proxy_index=o.whole("index"),
            drain_grace_us=o.whole("contract.stop_sending_within"),
            slow_start_us=o.whole("contract.cold"),
            slow_start_initial_fraction=o.number("contract.cold_from"),
            collapse_multiple=o.number("contract.tip_multiple"),
            collapse_delay_us=o.whole("contract.tip_after"),
            max_attempts=o.whole("policy_limits.most_tries"),
            zone=o.whole("zone", 0),
            zone_count=max(1, len(o.items("zones"))),
            timer_resolution_us=o.whole("tick"),
            tenants=tenants,
            over_quota_priority_factor=o.number("over_share_worth", 1.0),
            subscribes_to_endpoints=o.word("discovery", {"automatic": False, "subscribe": True}),
            poll_deadline_us=o.whole("contract.ask_within", 10_000_000),
            response_slack_us=o.whole("contract.answer_slack", 0),
            can_cancel=o.flag("policy_limits.cancel"),
            can_hedge=o.flag("policy_limits.parallel_tries"),
            can_check_health=o.flag("policy_limits.probes"),
            can_gossip=o.flag("policy_limits.may_tell"),
            sends_retry_after=o.flag("policy_limits.retry_after"),
            max_retry_after_us=o.whole("policy_limits.max_retry_after", 0),
            max_open_connections=o.whole("policy_limits.max_open", 0),
            connect_timeout_us=o.whole("policy_limits.connect_timeout", 250_000),
            pass_through=o.text("family_info.mode", "proxy") == "pass",
            idle_park_us=o.whole("family_info.park", 0),
            has_load_updates=o.flag("family_info.tells_load"),
            has_delay_updates=o.flag("family_info.tells_delay"),
            has_affinity_groups=o.flag("family_info.groups"),
            has_load_hint=bool(o.text("family_info.hint", " ").strip()),
            weighs_priority_by_load=o.text("worth_by", "request") == "work",
            weight_source=o.word("weights", _WEIGHTS, "silent"),
            report_fields=tuple(_REPORT_FIELDS.get(name, name) for name in names),
            costs=costs,
        )
    except ValueError as error:
        raise WireError(f"expected settings that make sense: {error}") from None


def _encode_gossip(action: SendGossip) -> str:
    peer = "*" if action.peer_index is None else action.peer_index
    data = gossip_codec.encode(action.message)
    return f"signal {peer} {base64.b64encode(data).decode() or '-'}"


_ENCODERS: dict[type, Callable[..., str]] = {
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


def encode_actions(actions: Iterable[Action]) -> list[str]:
    """Turn actions into lines of a reply."""
    return [_ENCODERS[type(action)](action) for action in actions]
