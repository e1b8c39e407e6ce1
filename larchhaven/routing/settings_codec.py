"""Decodes ``RoutingSettings`` from the names that the simulator and the configuration file use.

The simulator sends flat settings, as ``path=value`` pairs; the configuration file nests the same
names. Only this module maps these names to those of the program.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from larchhaven.routing.settings import (
    DeduplicationScope,
    Idempotency,
    OperationCosts,
    RequestClass,
    RoutingSettings,
    SettingsError,
    Tenant,
    WeightSource,
)
from larchhaven.text_fields import FormatError, ValueT, read_number, read_word

IDEMPOTENCY_WORDS = {
    "idempotent": Idempotency.ALWAYS,
    "deduplicated": Idempotency.WITH_KEY,
    "at_most_once": Idempotency.NEVER,
}
SCOPE_WORDS = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
WEIGHT_SOURCE_WORDS = {
    "silent": WeightSource.NONE,
    "nominal": WeightSource.NOMINAL,
    "rough": WeightSource.ESTIMATED,
    "live": WeightSource.LIVE,
}
SUBSCRIPTION_WORDS = {"automatic": False, "subscribe": True}
FLAG_WORDS = {"true": True, "false": False, "1": True, "0": False}
# Load report fields by the names that the simulator uses.
REPORT_FIELDS = {
    "x0": "load_ratio",
    "utilization": "utilization",
    "outstanding": "in_flight",
    "backlog": "queue_length",
    "x1": "backlog_s",
}
ABSENT_WORDS = ("", "-", "null")
POLL_DEADLINE_US = 10_000_000  # default if the settings have none
CONNECT_TIMEOUT_US = 250_000  # default if the settings have none


def decode_flat(text: str) -> RoutingSettings:
    """Decode settings from ``path=value`` pairs separated by spaces.

    Raises:
        FormatError: The text is malformed, or the settings are invalid.
    """
    pairs: dict[str, str] = {}
    for pair in text.split(" "):
        path, equals, value = pair.partition("=")
        if pair and not equals:
            raise FormatError(f"settings as path=value pairs, not {pair!r}")
        pairs[path] = value
    return _decode(_SettingsReader(pairs))


def decode_nested(settings: Mapping[str, object]) -> RoutingSettings:
    """Decode settings from nested objects and lists.

    Raises:
        FormatError: The objects are malformed, or the settings are invalid.
    """
    pairs: dict[str, str] = {}
    for name, value in settings.items():
        _flatten(name, value, pairs)
    return _decode(_SettingsReader(pairs))


def _flatten(path: str, value: object, pairs: dict[str, str]) -> None:
    """Add a nested value to the pairs in its flat form."""
    if isinstance(value, Mapping):
        for name, inner in value.items():
            _flatten(f"{path}.{name}", inner, pairs)
    elif isinstance(value, list) and any(isinstance(item, Mapping) for item in value):
        pairs[f"{path}.count"] = str(len(value))
        for index, item in enumerate(value):
            _flatten(f"{path}.{index}", item, pairs)
    elif isinstance(value, list):
        pairs[path] = ",".join(_flat_word(item) for item in value)
    else:
        pairs[path] = _flat_word(value)


def _flat_word(value: object) -> str:
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


class _SettingsReader:
    """Typed reads of ``path=value`` pairs."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self._pairs = pairs

    def text(self, path: str, default: str | None = None) -> str:
        """Return a value, or the default if it is absent.

        Raises:
            FormatError: The value is absent, and there is no default.
        """
        value = self._pairs.get(path, "")
        if value not in ABSENT_WORDS:
            return value
        if default is None:
            raise FormatError(f"a value for setting {path}, which is missing")
        return default

    def integer(self, path: str, default: int | None = None) -> int:
        """Return an integer; a fraction is rounded."""
        return round(self.number(path, None if default is None else float(default)))

    def number(self, path: str, default: float | None = None) -> float:
        """Return a number."""
        return read_number(self.text(path, None if default is None else repr(default)), path)

    def flag(self, path: str) -> bool:
        """Return a boolean; False if it is absent."""
        return read_word(FLAG_WORDS, self.text(path, "false"), path)

    def word(self, path: str, table: Mapping[str, ValueT], default: str | None = None) -> ValueT:
        """Return the table entry of a word."""
        return read_word(table, self.text(path, default), path)

    def items(self, path: str) -> list[str]:
        """Return the items of a comma-separated list."""
        return [item for item in self.text(path, " ").strip().split(",") if item]

    def number_at(self, path: str, index: int, default: float) -> float:
        """Return one of a list of numbers, or the default if it is absent."""
        items = self.items(path)
        if index >= len(items) or items[index] in ABSENT_WORDS:
            return default
        return read_number(items[index], path)

    def count(self, path: str, default: int | None = None) -> int:
        """Return the number of objects in a list."""
        return self.integer(f"{path}.count", default)


def _decode(reader: _SettingsReader) -> RoutingSettings:
    try:
        return _routing_settings(reader)
    except SettingsError as error:
        raise FormatError(f"valid settings: {error}") from None


def _routing_settings(reader: _SettingsReader) -> RoutingSettings:
    return RoutingSettings(
        classes=tuple(_request_class(reader, i) for i in range(reader.count("services"))),
        proxy_count=reader.integer("instances"),
        proxy_index=reader.integer("index"),
        drain_grace_us=reader.integer("contract.stop_sending_within"),
        slow_start_us=reader.integer("contract.cold"),
        slow_start_initial_fraction=reader.number("contract.cold_from"),
        collapse_multiple=reader.number("contract.tip_multiple"),
        collapse_delay_us=reader.integer("contract.tip_after"),
        max_attempts=reader.integer("policy_limits.most_tries"),
        zone=reader.integer("zone", 0),
        zone_count=max(1, len(reader.items("zones"))),
        timer_resolution_us=reader.integer("tick"),
        tenants=tuple(_tenant(reader, i) for i in range(reader.count("parties", 0))),
        over_quota_priority_factor=reader.number("over_share_worth", 1.0),
        subscribes_to_endpoints=reader.word("discovery", SUBSCRIPTION_WORDS),
        poll_deadline_us=reader.integer("contract.ask_within", POLL_DEADLINE_US),
        response_slack_us=reader.integer("contract.answer_slack", 0),
        can_cancel=reader.flag("policy_limits.cancel"),
        can_hedge=reader.flag("policy_limits.parallel_tries"),
        can_check_health=reader.flag("policy_limits.probes"),
        can_gossip=reader.flag("policy_limits.may_tell"),
        sends_retry_after=reader.flag("policy_limits.retry_after"),
        max_retry_after_us=reader.integer("policy_limits.max_retry_after", 0),
        max_open_connections=reader.integer("policy_limits.max_open", 0),
        connect_timeout_us=reader.integer("policy_limits.connect_timeout", CONNECT_TIMEOUT_US),
        pass_through=reader.text("family_info.mode", "proxy") == "pass",
        idle_park_us=reader.integer("family_info.park", 0),
        has_load_updates=reader.flag("family_info.tells_load"),
        has_delay_updates=reader.flag("family_info.tells_delay"),
        has_affinity_groups=reader.flag("family_info.groups"),
        has_load_hint=bool(reader.text("family_info.hint", " ").strip()),
        weighs_priority_by_load=reader.text("worth_by", "request") == "work",
        weight_source=reader.word("weights", WEIGHT_SOURCE_WORDS, "silent"),
        report_fields=_report_fields(reader),
        costs=_operation_costs(reader),
    )


def _report_fields(reader: _SettingsReader) -> tuple[str, ...]:
    if reader.text("report.how", "silent") == "silent":
        return ()
    return tuple(REPORT_FIELDS.get(name, name) for name in reader.items("report.fields"))


def _request_class(reader: _SettingsReader, index: int) -> RequestClass:
    path = f"services.{index}"
    message_objective_us = reader.number_at("family_info.message_aim", index, 0.0)
    return RequestClass(
        latency_objective_us=reader.integer(f"{path}.aim"),
        deadline_us=reader.integer(f"{path}.deadline"),
        priority_weight=reader.number(f"{path}.credit", 1.0),
        late_priority_weight=reader.number(f"{path}.late_worth", 0.0),
        idempotency=reader.word(f"{path}.repeat", IDEMPOTENCY_WORDS),
        deduplication_scope=reader.word(f"{path}.group", SCOPE_WORDS, "all"),
        deduplication_window_us=reader.integer(f"{path}.window", 0),
        is_long_lived=reader.flag(f"{path}.stream"),
        message_latency_objective_us=round(message_objective_us),
    )


def _tenant(reader: _SettingsReader, index: int) -> Tenant:
    path = f"parties.{index}"
    quota_path = "family_info.tenant_quota_connections"
    return Tenant(
        capacity_fraction=reader.number(f"{path}.share", 0.0),
        rate_limit_per_s=reader.number(f"{path}.allowance_per_s", 0.0),
        connection_quota=reader.number_at(quota_path, index, math.inf),
    )


def _operation_costs(reader: _SettingsReader) -> OperationCosts:
    return OperationCosts(
        health_check=reader.number("prices.probe", 0.0),
        gossip_message=reader.number("prices.peer", 0.0),
        cross_zone=reader.number("prices.cross_zone", 0.0),
        migration=reader.number("prices.moves", 0.0),
        wasted_work=reader.number("prices.waste", 0.0),
        late_failure=reader.number("prices.late_fail", 0.0),
        handshake=reader.number("prices.handshake", 0.0),
    )
