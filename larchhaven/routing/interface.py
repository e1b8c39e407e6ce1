"""The public interface of the decision module: settings, events and actions.

Times are microseconds on the caller's clock; loads are standard cores (seconds of work per second).
A server is named by an opaque string, a request by an opaque number.
"""

from __future__ import annotations

import math
from dataclasses import astuple, dataclass
from enum import Enum, auto


class Effect(Enum):
    """What running a request twice does."""

    SAFE = auto()
    KEYED = auto()
    UNSAFE = auto()


class Scope(Enum):
    """Which servers discard each other's duplicates of a keyed request."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class State(Enum):
    """What the fleet list says of a server."""

    READY = auto()
    DRAINING = auto()
    GONE = auto()


class ListKind(Enum):
    """What a fleet list event carries."""

    CHANGES = auto()
    COMPLETE = auto()
    REMEMBERED = auto()
    FAILED = auto()


class Result(Enum):
    """How an attempt or a probe ended."""

    OK = auto()
    ERROR = auto()
    FULL = auto()
    TIMEOUT = auto()
    UNREACHABLE = auto()
    RESET = auto()
    CANCELLED = auto()
    NOT_SENT = auto()


class Weights(Enum):
    """What the weight of a listed server stands for."""

    NONE = auto()
    NOMINAL = auto()
    ROUGH = auto()
    LIVE = auto()


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What the site promises for one class of request."""

    aim_us: int
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window_us: int = 0
    stream: bool = True
    message_aim_us: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant's share of the fleet; a quota that is not told is never reached."""

    share: float = 0.0
    allowance_per_s: float = 0.0
    quota_connections: float = math.inf  # open connections over all instances together


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the result, as fractions, for each unit per first try."""

    probe: float = 0.0
    peer: float = 0.0
    cross_zone: float = 0.0
    moves: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0
    handshake: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What an instance is told at its start; everything else it has to observe."""

    classes: tuple[RequestClass, ...]
    instances: int
    index: int
    drain_grace_us: int
    cold_us: int
    cold_from: float
    tip_multiple: float
    tip_after_us: int
    max_attempts: int
    zone: int = 0
    zones: int = 1
    tick_us: int = 1000
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    subscribe: bool = False
    ask_within_us: int = 10_000_000
    answer_slack_us: int = 0
    can_cancel: bool = False
    parallel_tries: bool = False
    can_probe: bool = False
    can_tell: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    max_open: int = 0
    connect_timeout_us: int = 250_000
    pass_through: bool = False
    park_us: int = 0
    tells_load: bool = False
    tells_delay: bool = False
    shared_groups: bool = False
    has_hint: bool = False
    worth_by_work: bool = False
    holders_most: int = 10_000  # connections whose server is remembered, the latest told
    weights: Weights = Weights.NOMINAL
    report_fields: tuple[str, ...] = ()
    prices: Prices = Prices()

    def __post_init__(self) -> None:
        """Refuse settings that no balancer could follow."""
        checks = (
            (bool(self.classes), "settings name no request class"),
            (self.instances >= 1, "instances must be at least 1"),
            (
                0 <= self.index < max(self.instances, 1),
                "index must lie between 0 and instances - 1",
            ),
            (self.max_attempts >= 1, "max_attempts must be at least 1"),
            (0 < self.cold_from <= 1, "cold_from must lie in (0, 1]"),
            (self.tip_multiple > 0, "tip_multiple must be positive"),
            (
                min(self.cold_us, self.tip_after_us, self.drain_grace_us) >= 0,
                "spans must not be negative",
            ),
            (
                self.tick_us > 0 and self.ask_within_us > 0,
                "tick_us and ask_within_us must be positive",
            ),
            (min(astuple(self.prices)) >= 0, "prices must not be negative"),
            (self.over_share_worth >= 0, "over_share_worth must not be negative"),
            (all(t.share >= 0 for t in self.tenants), "a tenant's share must not be negative"),
            (
                all(t.quota_connections >= 0 for t in self.tenants),
                "a tenant's quota must not be negative",
            ),
            (
                all(c.aim_us > 0 and c.deadline_us > 0 for c in self.classes),
                "aims must be positive",
            ),
        )
        for holds, message in checks:
            if not holds:
                raise ValueError(message)


@dataclass(frozen=True, slots=True)
class Report:
    """A server's load report; a field that was not sent is None."""

    ratio: float | None = None
    utilization: float | None = None
    inflight: float | None = None
    queue: float | None = None
    backlog_s: float | None = None


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of the fleet list."""

    server: str
    state: State = State.READY
    weight: float = 1.0
    zone: int = 0
    cell: int = 0
    kind: int = 0
    started_at: int = 0


@dataclass(frozen=True, slots=True)
class FleetList:
    """News from the fleet list."""

    kind: ListKind
    version: int = 0
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client request that is owed one final answer."""

    request: int
    cls: int
    budget_us: int
    tenant: int = 0
    key: int | None = None
    load: float | None = None
    group: int | None = None
    retry: bool = False
    midflow: bool = False
    again: bool = False
    at: str | None = None  # the server that holds it already; no other will do


@dataclass(frozen=True, slots=True)
class Resumed:
    """A connection that already flows through this instance at its start."""

    arrival: Arrival
    server: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the instance set has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The answer to one probe, or why there is none."""

    server: str
    result: Result
    latency_us: int
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another instance."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class LoadNote:
    """An open connection now has this load."""

    request: int
    attempt: int
    server: str
    load: float


@dataclass(frozen=True, slots=True)
class DelayNote:
    """A message on an open connection now takes this long at its server."""

    request: int
    attempt: int
    server: str
    delay_us: float


@dataclass(frozen=True, slots=True)
class Stalled:
    """An open connection has sent nothing back for so long that it should be moved."""

    request: int
    attempt: int
    server: str
    silent_us: int


@dataclass(frozen=True, slots=True)
class Leaving:
    """The instance stops soon; whatever it still holds after this time is lost. With 0 it stays after all."""

    within_us: int


@dataclass(frozen=True, slots=True)
class Suspended:
    """Operators take a server out, whatever the list says of it, or let it serve again."""

    server: str
    on: bool


@dataclass(frozen=True, slots=True)
class Present:
    """Which instances, this one among them, are not known to be gone; until it is told, all."""

    instances: frozenset[int]


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left; nothing is owed any more."""

    request: int


@dataclass(frozen=True, slots=True)
class Established:
    """The connection stands and stays with this attempt until it ends."""

    request: int
    attempt: int
    server: str
    latency_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How one attempt ended; finished says that no answer is owed any more."""

    request: int
    attempt: int
    server: str
    result: Result
    latency_us: int
    finished: bool
    report: Report | None = None


Event = (
    FleetList
    | Arrival
    | Resumed
    | TimerFired
    | ProbeResult
    | PeerMessage
    | LoadNote
    | DelayNote
    | Stalled
    | Leaving
    | Suspended
    | Present
    | ClientGone
    | Established
    | AttemptEnded
)


@dataclass(frozen=True, slots=True)
class Send:
    """Begin an attempt; attempts count up from 0 in the order sent."""

    request: int
    server: str
    timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not served, and a retry is harmless."""

    request: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise about its effect."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Move:
    """End an open connection politely, so that its client comes again."""

    request: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its load report."""

    server: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message to one other instance, or to every one."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask to be woken after a while."""

    token: int
    delay_us: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the fleet list."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask once for the complete fleet list."""


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this instance's idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | Move
    | Probe
    | Tell
    | SetTimer
    | Watch
    | FetchList
    | CloseIdle
    | Log
)
