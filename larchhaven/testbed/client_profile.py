"""What the clients of one group do, with the defaults of a scenario filled in."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from larchhaven.testbed.scenario_pb2 import Terminals

DEFAULT_REQUEST_CLASS = "chat"
DEFAULT_MEAN_STAY_S = 10.0
DEFAULT_MESSAGE_INTERVAL_S = 2.0
DEFAULT_PATIENCE_MS = 2_000
DEFAULT_MIN_RECONNECT_DELAY_S = 0.05
DEFAULT_MAX_RECONNECT_DELAY_S = 1.7
DEFAULT_FLOOD_BYTES = 2_000_000
DEFAULT_REQUEST_ID_BYTES = 16


class ClientBehavior(IntEnum):
    """How a client behaves; the values are those of a scenario's ``habit``."""

    USUAL = Terminals.USUAL
    NEVER_READ = Terminals.NEVER_READ
    SILENT = Terminals.SILENT
    SLOW_LINES = Terminals.SLOW_LINES
    HALF_REQUEST_LINE = Terminals.HALF_COMMAND
    ENDLESS_LINE = Terminals.ENDLESS
    RESETS = Terminals.RESETS
    CUT_REQUEST_LINE = Terminals.CUT

    @property
    def completes_request_line(self) -> bool:
        """Whether the client sends a complete request line and reads the answer."""
        return self in _COMPLETE_BEHAVIORS


_COMPLETE_BEHAVIORS = frozenset(
    {ClientBehavior.USUAL, ClientBehavior.NEVER_READ, ClientBehavior.RESETS}
)


@dataclass(frozen=True, slots=True)
class ClientProfile:
    """One group of clients.

    Attributes:
        request_class: Name of the class of their requests.
        behavior: How they behave.
        arrivals_per_second: Mean rate of arrivals; 0 if only events make them arrive.
        mean_stay_s: Mean time for which a client stays.
        message_interval_s: Time between two messages on an established connection.
        patience_ms: Deadline that a request states.
        retries: Further attempts after a rejection.
        min_reconnect_delay_s: Least pause before a client connects again.
        max_reconnect_delay_s: Longest pause before a client connects again.
        group_size: Clients that share one group identity.
        flood_bytes: Bytes of a flood or of an endless line.
        request_id_bytes: Length of a request's identity.
        tenant: Name of the scenario's member to which they belong; empty for none.
    """

    request_class: str
    behavior: ClientBehavior
    arrivals_per_second: float
    mean_stay_s: float
    message_interval_s: float
    patience_ms: int
    retries: int
    min_reconnect_delay_s: float
    max_reconnect_delay_s: float
    group_size: int
    flood_bytes: int
    request_id_bytes: int
    tenant: str


def read_request_class(group: Terminals) -> str:
    """Return the class of a group's requests; the field's name is a keyword of Python."""
    name: str = getattr(group, "class")
    return name or DEFAULT_REQUEST_CLASS


def make_client_profile(group: Terminals) -> ClientProfile:
    """Read a scenario's group of clients and fill in its defaults."""
    return ClientProfile(
        request_class=read_request_class(group),
        behavior=ClientBehavior(group.habit),
        arrivals_per_second=group.arrivals_per_second,
        mean_stay_s=group.stay_seconds or DEFAULT_MEAN_STAY_S,
        message_interval_s=group.message_seconds or DEFAULT_MESSAGE_INTERVAL_S,
        patience_ms=int(group.patience_ms or DEFAULT_PATIENCE_MS),
        retries=group.retries,
        min_reconnect_delay_s=group.gap_least_ms / 1000 or DEFAULT_MIN_RECONNECT_DELAY_S,
        max_reconnect_delay_s=group.gap_most_ms / 1000 or DEFAULT_MAX_RECONNECT_DELAY_S,
        group_size=group.group_size or 1,
        flood_bytes=group.bytes or DEFAULT_FLOOD_BYTES,
        request_id_bytes=group.id_bytes or DEFAULT_REQUEST_ID_BYTES,
        tenant=group.member,
    )
