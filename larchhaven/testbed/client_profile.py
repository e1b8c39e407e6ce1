"""The behavior of a group of clients, with defaults for fields that its scenario leaves out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from larchhaven.testbed.scenario_pb2 import Terminals

DEFAULT_REQUEST_CLASS = "chat"
DEFAULT_MEAN_STAY_S = 10.0
DEFAULT_MESSAGE_INTERVAL_S = 2.0
DEFAULT_REQUEST_DEADLINE_MS = 2_000
DEFAULT_MIN_RECONNECT_DELAY_S = 0.05
DEFAULT_MAX_RECONNECT_DELAY_S = 1.7
DEFAULT_FLOOD_BYTES = 2_000_000
DEFAULT_REQUEST_ID_BYTES = 16


class ClientBehavior(IntEnum):
    """How a client behaves; the values are those of the scenario field ``habit``."""

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
    """The behavior of one group of clients.

    Attributes:
        request_class: Name of the request class of their requests.
        behavior: How they behave.
        arrivals_per_second: Mean arrival rate; 0 if clients arrive only through events.
        mean_stay_s: Mean time for which a client stays.
        message_interval_s: Time between two messages on an established connection.
        request_deadline_ms: Deadline stated in each request.
        retries: How often a client may retry after a rejection.
        min_reconnect_delay_s: Shortest delay before a client connects again.
        max_reconnect_delay_s: Longest delay before a client connects again.
        group_size: Number of clients in an affinity group.
        flood_bytes: Size of the flood that a client requests, or of the endless line it sends.
        request_id_bytes: Length of a request's identity.
        tenant: Name of their tenant, a ``member`` of the scenario; empty for none.
    """

    request_class: str
    behavior: ClientBehavior
    arrivals_per_second: float
    mean_stay_s: float
    message_interval_s: float
    request_deadline_ms: int
    retries: int
    min_reconnect_delay_s: float
    max_reconnect_delay_s: float
    group_size: int
    flood_bytes: int
    request_id_bytes: int
    tenant: str


def read_request_class(group: Terminals) -> str:
    """Return the request class of a group; its field is named ``class``, a Python keyword."""
    name: str = getattr(group, "class")
    return name or DEFAULT_REQUEST_CLASS


def make_client_profile(group: Terminals) -> ClientProfile:
    """Build the profile of a scenario's client group, with defaults for missing fields."""
    return ClientProfile(
        request_class=read_request_class(group),
        behavior=ClientBehavior(group.habit),
        arrivals_per_second=group.arrivals_per_second,
        mean_stay_s=group.stay_seconds or DEFAULT_MEAN_STAY_S,
        message_interval_s=group.message_seconds or DEFAULT_MESSAGE_INTERVAL_S,
        request_deadline_ms=int(group.patience_ms or DEFAULT_REQUEST_DEADLINE_MS),
        retries=group.retries,
        min_reconnect_delay_s=group.gap_least_ms / 1000 or DEFAULT_MIN_RECONNECT_DELAY_S,
        max_reconnect_delay_s=group.gap_most_ms / 1000 or DEFAULT_MAX_RECONNECT_DELAY_S,
        group_size=group.group_size or 1,
        flood_bytes=group.bytes or DEFAULT_FLOOD_BYTES,
        request_id_bytes=group.id_bytes or DEFAULT_REQUEST_ID_BYTES,
        tenant=group.member,
    )
