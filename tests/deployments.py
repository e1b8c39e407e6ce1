"""Deployments as data: the ranges that settings may take, a draw from them, and a small world to play one in.

The table is the guard against a program that serves one deployment only: a new kind of deployment is a new
line here. The world is no measure of service: servers only count what they are asked for.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from larchhaven.gossip.codec import encode
from larchhaven.routing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    MigrateConnection,
    RejectRequest,
    SendGossip,
    StartAttempt,
    StartTimer,
)
from larchhaven.routing.balancer import Balancer
from larchhaven.routing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionEstablished,
    ConnectionLoadChanged,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HealthCheckCompleted,
    LoadReport,
    RequestArrived,
    ServerState,
    TimerFired,
)
from larchhaven.routing.settings import OperationCosts, RequestClass, RoutingSettings, Tenant

SECOND = 1_000_000
RANGES: dict[str, tuple[Any, ...]] = {
    "instances": (1, 1, 2, 3, 5, 12, 40),  # proxies
    "servers": (1, 2, 5, 12, 30, 200),
    "cores": (0.5, 2.0, 4.0, 16.0),  # of a server, in each play two sizes
    "zones": (1, 1, 2, 3),
    "classes": (1, 1, 2, 4, 6),
    "members": (0, 0, 1, 2, 5),
    "quota": (0.0, 3.0, 40.0, float("inf")),  # connections of a member
    "over_share_worth": (0.0, 0.2, 1.0),
    "price": (0.0, 0.002, 0.5),  # of a probe, a move, a crossing, each drawn by itself
    "can_check_health": (True, True, False),
    "can_gossip": (True, False),
    "can_cancel": (True, False),
    "sends_retry_after": (True, False),
    "has_load_updates": (True, False),
    "fields": (
        ("load_ratio",),
        ("utilization",),
        ("queue_length",),
        ("queue_length", "backlog_s"),
        (),
    ),
    "max_attempts": (1, 3, 4, 10),
    "grace_s": (0.5, 2.0, 3.0, 10.0),
    "cold_s": (0.0, 4.0, 15.0),
    "cold_from": (0.05, 0.35, 1.0),
    "tip_multiple": (2.0, 3.0, 5.0),
    "aim_ms": (50, 300, 2000),
    "patience": (1.0, 4.0),  # a class's deadline, in aims
    "life_s": (5.0, 60.0, 300.0, 3000.0),
    "per_core": (5.0, 25.0, 150.0),  # connections that fill a core
    "groups": (0, 0, 3, 30),
    "timer_resolution_us": (1_000, 5_000, 20_000),
    "load": (0.3, 0.6, 1.1),  # asked for, of what the servers can do
    "trouble": ("none", "drain", "crash", "silent", "restart", "all full"),
}


@dataclass(frozen=True)
class Deployment:
    """One draw: settings as an instance is told them, and what it is not told."""

    settings: RoutingSettings
    servers: tuple[Endpoint, ...]
    facts: dict[str, Any]


def draw(seed: int, **fixed: Any) -> Deployment:
    """Draw a deployment; what is fixed keeps its value."""
    rng = random.Random(seed)
    facts = {name: rng.choice(values) for name, values in RANGES.items()} | fixed
    prices = dict(
        zip(
            ("health_check", "migration", "cross_zone"),
            rng.choices(RANGES["price"], k=3),
            strict=True,
        )
    )
    aims = [int(facts["aim_ms"] * 1000 * rng.uniform(1, 3)) for _ in range(facts["classes"])]
    classes = tuple(
        RequestClass(aim, int(aim * facts["patience"]), priority_weight=rng.choice((0.0, 1.0, 5.0)))
        for aim in aims
    )
    share = 1 / max(facts["members"], 1)
    names = (
        "can_check_health",
        "can_gossip",
        "can_cancel",
        "sends_retry_after",
        "has_load_updates",
        "max_attempts",
        "timer_resolution_us",
    )
    settings = RoutingSettings(
        classes=classes,
        proxy_count=facts["instances"],
        proxy_index=0,
        drain_grace_us=int(facts["grace_s"] * SECOND),
        slow_start_us=int(facts["cold_s"] * SECOND),
        slow_start_initial_fraction=facts["cold_from"],
        collapse_multiple=facts["tip_multiple"],
        collapse_delay_us=SECOND * 3 // 2,
        zone_count=facts["zones"],
        tenants=(Tenant(share, connection_quota=facts["quota"]),) * facts["members"],
        over_quota_priority_factor=facts["over_share_worth"],
        max_retry_after_us=SECOND if facts["sends_retry_after"] else 0,
        response_slack_us=20_000,
        pass_through=rng.random() < 0.5,
        has_affinity_groups=facts["groups"] > 0,
        report_fields=facts["fields"],
        costs=OperationCosts(**prices),
        **{name: facts[name] for name in names},
    )
    sizes = rng.choices(RANGES["cores"], k=2)
    servers = tuple(
        Endpoint(f"h{i}", weight=sizes[i % 2], zone=i % facts["zones"], cell=i // 4)
        for i in range(facts["servers"])
    )
    return Deployment(settings, servers, facts)


@dataclass
class Host:
    """A server as it is."""

    entry: Endpoint
    load: float = 0.0
    up: bool = True
    silent: bool = False
    full: bool = False
    started: int = -(10**12)
    standing: dict[tuple[int, int], float] = field(default_factory=dict)

    def capacity(self, now: int, settings: RoutingSettings) -> float:
        """What it can do now, in cores; it warms up evenly."""
        warm = min((now - self.started) / max(settings.slow_start_us, 1), 1.0)
        return self.entry.weight * (
            settings.slow_start_initial_fraction
            + (1 - settings.slow_start_initial_fraction) * max(warm, 0.0)
        )


class World:
    """Plays a deployment in simulated time and judges each action as it comes."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.facts, self.settings = deployment.facts, deployment.settings
        self.rng = random.Random(seed)
        self.now = 1000 * SECOND
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.count = itertools.count()
        self.hosts = {entry.server_id: Host(entry) for entry in deployment.servers}
        self.proxies = [
            Balancer(replace(self.settings, proxy_index=i), seed + i)
            for i in range(self.settings.proxy_count)
        ]
        self.told: dict[tuple[int, str], int] = {}  # by proxy and server: that it drains or is gone
        self.owed: dict[tuple[int, int], int] = {}  # until when
        self.sends: dict[tuple[int, int], int] = defaultdict(int)
        self.out: dict[
            tuple[int, int], tuple[int, str]
        ] = {}  # the attempt that is out, and where to
        self.asked: dict[tuple[int, int], RequestArrived] = {}
        self.answers: dict[str, int] = defaultdict(int)
        mean = 1 / self.facts["per_core"]
        room = sum(host.entry.weight for host in self.hosts.values()) * self.facts["load"]
        self.loads = [mean * self.rng.uniform(0.3, 2.0) for _ in self.settings.classes]
        self.arrivals_per_s = min(room / mean / self.facts["life_s"] + 5, 60.0)
        self._list(EndpointListKind.COMPLETE, [host.entry for host in self.hosts.values()])

    # Time

    def after(self, delay_us: float, then: Callable[[], None]) -> None:
        """Have something happen later."""
        heapq.heappush(self.queue, (self.now + int(delay_us), next(self.count), then))

    def play(self, seconds: float) -> None:
        """Play on, clients arriving all the while; then let what is owed be answered."""
        end = self.now + int(seconds * SECOND)
        trouble = self.facts["trouble"]
        self.after(seconds / 3 * SECOND, lambda: self._strike(trouble))
        self._arrive(end)
        last = end + max(c.deadline_us for c in self.settings.classes) + SECOND
        while self.queue and self.queue[0][0] <= last:
            self.now, _, then = heapq.heappop(self.queue)
            then()
        late = [key for key, until in self.owed.items() if until < last - SECOND // 2]
        assert not late, f"without an answer: {late[:3]}"

    def feed(self, proxy: int, event: Event) -> None:
        """Hand an event to a proxy, and do what it says."""
        for action in self.proxies[proxy].handle(self.now, [event]):
            self._do(proxy, action)

    # What happens by itself

    def _arrive(self, end: int) -> None:
        if self.now >= end:
            return
        cls = self.rng.randrange(len(self.settings.classes))
        groups = self.facts["groups"]
        arrival = RequestArrived(
            next(self.count),
            cls,
            self.settings.classes[cls].deadline_us,
            tenant_index=self.rng.randrange(self.facts["members"] + 1),  # the last is no member
            affinity_key=self.rng.randrange(10**6),
            affinity_group=self.rng.randrange(groups) if groups else None,
            is_mid_flow=self.settings.pass_through and self.rng.random() < 0.05,
        )
        self._ask(arrival)
        self.after(self.rng.expovariate(self.arrivals_per_s) * SECOND, lambda: self._arrive(end))

    def _ask(self, arrival: RequestArrived) -> None:
        proxy = self.rng.randrange(len(self.proxies))
        key = (proxy, arrival.request_id)
        self.asked[key] = arrival
        self.owed[key] = (
            self.now
            + arrival.budget_us
            + self.settings.response_slack_us
            + self.settings.timer_resolution_us
        )
        self.feed(proxy, arrival)

    def _strike(self, trouble: str) -> None:
        struck = self.rng.sample(sorted(self.hosts), max(len(self.hosts) // 4, 1))
        for name in sorted(self.hosts) if trouble == "all full" else struck:
            host = self.hosts[name]
            host.full, host.silent = trouble == "all full", trouble == "silent"
            if trouble in ("crash", "restart"):
                host.up = False
                self._cut(host)
                self.after(SECOND, partial(self._gone, host))
                if trouble == "restart":
                    self.after(3 * SECOND, partial(self._start, host))
            elif trouble == "drain":
                host.entry = replace(host.entry, state=ServerState.DRAINING)
                self._list(EndpointListKind.CHANGES, [host.entry])

    def _cut(self, host: Host) -> None:
        for key in list(host.standing):
            self._end(key, host, AttemptResult.RESET)

    def _gone(self, host: Host) -> None:
        self._list(EndpointListKind.CHANGES, [replace(host.entry, state=ServerState.REMOVED)])

    def _start(self, host: Host) -> None:
        host.up, host.started = True, self.now
        host.entry = replace(host.entry, state=ServerState.READY, started_at_us=self.now)
        self._list(EndpointListKind.CHANGES, [host.entry])

    def _list(self, kind: EndpointListKind, entries: list[Endpoint]) -> None:
        for proxy in range(len(self.proxies)):
            for entry in entries:
                if entry.state is ServerState.READY:
                    self.told.pop((proxy, entry.server_id), None)
                else:
                    self.told.setdefault((proxy, entry.server_id), self.now)
            self.feed(proxy, EndpointListUpdate(kind, next(self.count), tuple(entries)))

    def _end(self, key: tuple[int, int], host: Host, result: AttemptResult) -> None:
        load = host.standing.pop(key, None)
        if load is not None:
            host.load -= load
            attempt, name = self.out.pop(key)
            self.feed(key[0], AttemptEnded(key[1], attempt, name, result, 1000, is_final=True))

    # What proxies do

    def _do(self, proxy: int, action: Action) -> None:
        if isinstance(action, StartTimer):
            assert action.delay_us > 0
            self.after(action.delay_us, lambda: self.feed(proxy, TimerFired(action.timer_id)))
        elif isinstance(action, StartAttempt):
            self._send(proxy, action)
        elif isinstance(action, CheckHealth):
            assert self.settings.can_check_health
            self.after(2000, lambda: self.feed(proxy, self._look(action.server_id)))
        elif isinstance(action, SendGossip):
            assert self.settings.can_gossip
            assert len(encode(action.message)) <= 256
            others = [p for p in range(len(self.proxies)) if p != proxy]
            for peer in (
                others
                if action.peer_index is None
                else [p for p in others if p == action.peer_index]
            ):
                self.after(3000, partial(self.feed, peer, GossipReceived(proxy, action.message)))
        elif isinstance(action, RejectRequest | FailRequest):
            self._answer((proxy, action.request_id), type(action).__name__)
        elif isinstance(action, MigrateConnection):
            self._move((proxy, action.request_id))
        elif isinstance(action, CancelAttempt):
            assert self.settings.can_cancel

    def _answer(self, key: tuple[int, int], how: str) -> None:
        until = self.owed.pop(key, None)
        assert until is not None, "a second answer"
        assert self.now <= until, "answered too late"
        assert key not in self.out, "answered while an attempt is out"
        self.answers[how] += 1

    def _move(self, key: tuple[int, int]) -> None:
        if key in self.out and key not in self.owed:
            self._end(key, self.hosts[self.out[key][1]], AttemptResult.CANCELLED)
            again = replace(
                self.asked[key], request_id=next(self.count), is_reconnect=True, is_mid_flow=False
            )
            self.after(200_000, lambda: self._ask(again))

    def _send(self, proxy: int, send: StartAttempt) -> None:
        key = (proxy, send.request_id)
        assert key in self.owed, "sent after the answer"
        assert key not in self.out, "two attempts out"
        assert 0 < send.timeout_us <= self.owed[key] - self.now
        self.sends[key] += 1
        assert self.sends[key] <= self.settings.max_attempts
        told = self.told.get((proxy, send.server_id))
        assert told is None or self.now <= told + self.settings.drain_grace_us, (
            "sent past the grace of a drain"
        )
        self.out[key] = self.sends[key] - 1, send.server_id
        host = self.hosts[send.server_id]
        asked = host.load / host.capacity(self.now, self.settings)
        wait = int(2000 * (1 + 50 * max(asked - 0.9, 0.0)))
        if host.silent or wait >= send.timeout_us:
            self.after(send.timeout_us, lambda: self._over(key, AttemptResult.TIMEOUT))
        elif not host.up:
            self.after(1000, lambda: self._over(key, AttemptResult.UNREACHABLE))
        elif host.full:
            self.after(wait, lambda: self._over(key, AttemptResult.OVERLOADED))
        else:
            self.after(wait, lambda: self._stand(key, host))

    def _over(self, key: tuple[int, int], result: AttemptResult) -> None:
        attempt, name = self.out.pop(key)
        self.feed(key[0], AttemptEnded(key[1], attempt, name, result, 1000, is_final=False))

    def _stand(self, key: tuple[int, int], host: Host) -> None:
        if not host.up or host.entry.state is ServerState.DRAINING:
            self._over(key, AttemptResult.OVERLOADED)
            return
        assert self.owed.pop(key) >= self.now
        self.answers["up"] += 1
        load = self.loads[self.asked[key].class_index] * self.rng.uniform(0.5, 1.5)
        host.standing[key] = load
        host.load += load
        if self.now < host.started + self.settings.slow_start_us:
            most = self.settings.collapse_multiple * host.capacity(self.now, self.settings)
            assert host.load <= most + 2 * max(self.loads), "a cold server pushed over"
        attempt = self.out[key][0]
        self.feed(key[0], ConnectionEstablished(key[1], attempt, host.entry.server_id, 2000))
        if self.settings.has_load_updates and key in self.out:
            self.feed(key[0], ConnectionLoadChanged(key[1], attempt, host.entry.server_id, load))
        life = self.rng.expovariate(1 / self.facts["life_s"]) * SECOND
        self.after(life, lambda: self._end(key, host, AttemptResult.OK))

    def _look(self, name: str) -> HealthCheckCompleted:
        host = self.hosts[name]
        if host.silent or not host.up:
            return HealthCheckCompleted(
                name, AttemptResult.TIMEOUT if host.silent else AttemptResult.UNREACHABLE, 100_000
            )
        ratio = host.load / host.capacity(self.now, self.settings)
        told = {
            "load_ratio": ratio,
            "utilization": min(ratio, 1.0),
            "queue_length": 0.0,
            "backlog_s": max(ratio - 1, 0.0),
        }
        report = LoadReport(**{name: told[name] for name in self.facts["fields"]})
        return HealthCheckCompleted(name, AttemptResult.OK, 2000, report)
