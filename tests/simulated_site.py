"""A simulated site, which runs a generated deployment in simulated time.

It does not measure the quality of service, because its servers only count load.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

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
from larchhaven.routing.settings import RoutingSettings
from tests.deployments import SECOND_US, Deployment


@dataclass
class SimulatedServer:
    """The actual state of a server, which may differ from its state as proxies know it."""

    entry: Endpoint
    load: float = 0.0
    is_up: bool = True
    is_silent: bool = False
    is_full: bool = False
    slow_start_began_us: int = -(10**12)
    connections: dict[tuple[int, int], float] = field(default_factory=dict)

    def capacity(self, now: int, settings: RoutingSettings) -> float:
        """Return the current capacity in cores, which grows linearly during slow start."""
        progress = min((now - self.slow_start_began_us) / max(settings.slow_start_us, 1), 1.0)
        return self.entry.weight * (
            settings.slow_start_initial_fraction
            + (1 - settings.slow_start_initial_fraction) * max(progress, 0.0)
        )


class SimulatedSite:
    """Runs a deployment in simulated time and checks each action of its proxies."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.parameters, self.settings = deployment.parameters, deployment.settings
        self.rng = random.Random(seed)
        self.now = 1000 * SECOND_US
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.servers = {entry.server_id: SimulatedServer(entry) for entry in deployment.servers}
        self.proxies = [
            Balancer(replace(self.settings, proxy_index=i), seed + i)
            for i in range(self.settings.proxy_count)
        ]
        # By proxy and server, since when the server is draining or removed in the endpoint list.
        self.unready_since_us: dict[tuple[int, str], int] = {}
        self.answer_due_us: dict[tuple[int, int], int] = {}  # by proxy and request
        self.attempt_counts: dict[tuple[int, int], int] = defaultdict(int)
        # By proxy and request, the index of the attempt in flight and its server.
        self.in_flight: dict[tuple[int, int], tuple[int, str]] = {}
        self.requests: dict[tuple[int, int], RequestArrived] = {}
        self.answers: dict[str, int] = defaultdict(int)
        mean_load = 1 / self.parameters["connections_per_core"]
        target_load = (
            sum(server.entry.weight for server in self.servers.values()) * self.parameters["load"]
        )
        self.loads = [mean_load * self.rng.uniform(0.3, 2.0) for _ in self.settings.classes]
        self.arrivals_per_s = min(target_load / mean_load / self.parameters["lifetime_s"] + 5, 60.0)
        self._update_endpoints(
            EndpointListKind.COMPLETE, [server.entry for server in self.servers.values()]
        )

    # Simulated time

    def after(self, delay_us: float, callback: Callable[[], None]) -> None:
        """Schedule a callback."""
        heapq.heappush(self.queue, (self.now + int(delay_us), next(self.sequence), callback))

    def play(self, seconds: float) -> None:
        """Run with arriving requests for a duration, then until all final answers are due."""
        end = self.now + int(seconds * SECOND_US)
        fault = self.parameters["fault"]
        self.after(seconds / 3 * SECOND_US, lambda: self._inject_fault(fault))
        self._arrive(end)
        stop = end + max(c.deadline_us for c in self.settings.classes) + SECOND_US
        while self.queue and self.queue[0][0] <= stop:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        overdue = [key for key, due in self.answer_due_us.items() if due < stop - SECOND_US // 2]
        assert not overdue, f"requests without an answer: {overdue[:3]}"

    def feed(self, proxy: int, event: Event) -> None:
        """Pass an event to a proxy and execute its actions."""
        for action in self.proxies[proxy].handle(self.now, [event]):
            self._execute(proxy, action)

    # Arrivals and faults

    def _arrive(self, end: int) -> None:
        if self.now >= end:
            return
        request_class = self.rng.randrange(len(self.settings.classes))
        groups = self.parameters["groups"]
        arrival = RequestArrived(
            next(self.sequence),
            request_class,
            self.settings.classes[request_class].deadline_us,
            tenant_index=self.rng.randrange(self.parameters["tenants"] + 1),  # the last index: none
            affinity_key=self.rng.randrange(10**6),
            affinity_group=self.rng.randrange(groups) if groups else None,
            is_mid_flow=self.settings.pass_through and self.rng.random() < 0.05,
        )
        self._send_request(arrival)
        self.after(self.rng.expovariate(self.arrivals_per_s) * SECOND_US, lambda: self._arrive(end))

    def _send_request(self, arrival: RequestArrived) -> None:
        proxy = self.rng.randrange(len(self.proxies))
        key = (proxy, arrival.request_id)
        self.requests[key] = arrival
        self.answer_due_us[key] = (
            self.now
            + arrival.budget_us
            + self.settings.response_slack_us
            + self.settings.timer_resolution_us
        )
        self.feed(proxy, arrival)

    def _inject_fault(self, fault: str) -> None:
        affected = self.rng.sample(sorted(self.servers), max(len(self.servers) // 4, 1))
        for name in sorted(self.servers) if fault == "all full" else affected:
            server = self.servers[name]
            server.is_full, server.is_silent = fault == "all full", fault == "silent"
            if fault in ("crash", "restart"):
                server.is_up = False
                self._reset_connections(server)
                self.after(SECOND_US, partial(self._remove_server, server))
                if fault == "restart":
                    self.after(3 * SECOND_US, partial(self._restart_server, server))
            elif fault == "drain":
                server.entry = replace(server.entry, state=ServerState.DRAINING)
                self._update_endpoints(EndpointListKind.CHANGES, [server.entry])

    def _reset_connections(self, server: SimulatedServer) -> None:
        for key in list(server.connections):
            self._end_connection(key, server, AttemptResult.RESET)

    def _remove_server(self, server: SimulatedServer) -> None:
        self._update_endpoints(
            EndpointListKind.CHANGES, [replace(server.entry, state=ServerState.REMOVED)]
        )

    def _restart_server(self, server: SimulatedServer) -> None:
        server.is_up, server.slow_start_began_us = True, self.now
        server.entry = replace(server.entry, state=ServerState.READY, started_at_us=self.now)
        self._update_endpoints(EndpointListKind.CHANGES, [server.entry])

    def _update_endpoints(self, kind: EndpointListKind, entries: list[Endpoint]) -> None:
        for proxy in range(len(self.proxies)):
            for entry in entries:
                if entry.state is ServerState.READY:
                    self.unready_since_us.pop((proxy, entry.server_id), None)
                else:
                    self.unready_since_us.setdefault((proxy, entry.server_id), self.now)
            self.feed(proxy, EndpointListUpdate(kind, next(self.sequence), tuple(entries)))

    def _end_connection(
        self, key: tuple[int, int], server: SimulatedServer, result: AttemptResult
    ) -> None:
        load = server.connections.pop(key, None)
        if load is not None:
            server.load -= load
            attempt, name = self.in_flight.pop(key)
            self.feed(key[0], AttemptEnded(key[1], attempt, name, result, 1000, is_final=True))

    # Actions of the proxies

    def _execute(self, proxy: int, action: Action) -> None:
        if isinstance(action, StartTimer):
            assert action.delay_us > 0
            self.after(action.delay_us, lambda: self.feed(proxy, TimerFired(action.timer_id)))
        elif isinstance(action, StartAttempt):
            self._start_attempt(proxy, action)
        elif isinstance(action, CheckHealth):
            assert self.settings.can_check_health
            self.after(2000, lambda: self.feed(proxy, self._check_health(action.server_id)))
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
            self._migrate((proxy, action.request_id))
        elif isinstance(action, CancelAttempt):
            assert self.settings.can_cancel

    def _answer(self, key: tuple[int, int], outcome: str) -> None:
        due_us = self.answer_due_us.pop(key, None)
        assert due_us is not None, "answered twice"
        assert self.now <= due_us, "answered too late"
        assert key not in self.in_flight, "answered while an attempt is in flight"
        self.answers[outcome] += 1

    def _migrate(self, key: tuple[int, int]) -> None:
        if key in self.in_flight and key not in self.answer_due_us:
            self._end_connection(key, self.servers[self.in_flight[key][1]], AttemptResult.CANCELLED)
            reconnect = replace(
                self.requests[key],
                request_id=next(self.sequence),
                is_reconnect=True,
                is_mid_flow=False,
            )
            self.after(200_000, lambda: self._send_request(reconnect))

    def _start_attempt(self, proxy: int, action: StartAttempt) -> None:
        key = (proxy, action.request_id)
        assert key in self.answer_due_us, "attempt started after the answer"
        assert key not in self.in_flight, "two attempts in flight"
        assert 0 < action.timeout_us <= self.answer_due_us[key] - self.now
        self.attempt_counts[key] += 1
        assert self.attempt_counts[key] <= self.settings.max_attempts
        unready_since_us = self.unready_since_us.get((proxy, action.server_id))
        assert (
            unready_since_us is None or self.now <= unready_since_us + self.settings.drain_grace_us
        ), "attempt started after the drain grace"
        self.in_flight[key] = self.attempt_counts[key] - 1, action.server_id
        server = self.servers[action.server_id]
        ratio = server.load / server.capacity(self.now, self.settings)
        wait_us = int(2000 * (1 + 50 * max(ratio - 0.9, 0.0)))
        if server.is_silent or wait_us >= action.timeout_us:
            self.after(action.timeout_us, lambda: self._end_attempt(key, AttemptResult.TIMEOUT))
        elif not server.is_up:
            self.after(1000, lambda: self._end_attempt(key, AttemptResult.UNREACHABLE))
        elif server.is_full:
            self.after(wait_us, lambda: self._end_attempt(key, AttemptResult.OVERLOADED))
        else:
            self.after(wait_us, lambda: self._establish(key, server))

    def _end_attempt(self, key: tuple[int, int], result: AttemptResult) -> None:
        attempt, name = self.in_flight.pop(key)
        self.feed(key[0], AttemptEnded(key[1], attempt, name, result, 1000, is_final=False))

    def _establish(self, key: tuple[int, int], server: SimulatedServer) -> None:
        if not server.is_up or server.entry.state is ServerState.DRAINING:
            self._end_attempt(key, AttemptResult.OVERLOADED)
            return
        assert self.answer_due_us.pop(key) >= self.now
        self.answers["established"] += 1
        load = self.loads[self.requests[key].class_index] * self.rng.uniform(0.5, 1.5)
        server.connections[key] = load
        server.load += load
        if self.now < server.slow_start_began_us + self.settings.slow_start_us:
            max_load = self.settings.collapse_multiple * server.capacity(self.now, self.settings)
            assert server.load <= max_load + 2 * max(self.loads), "overload collapse in slow start"
        attempt = self.in_flight[key][0]
        self.feed(key[0], ConnectionEstablished(key[1], attempt, server.entry.server_id, 2000))
        if self.settings.has_load_updates and key in self.in_flight:
            self.feed(key[0], ConnectionLoadChanged(key[1], attempt, server.entry.server_id, load))
        lifetime_us = self.rng.expovariate(1 / self.parameters["lifetime_s"]) * SECOND_US
        self.after(lifetime_us, lambda: self._end_connection(key, server, AttemptResult.OK))

    def _check_health(self, server_id: str) -> HealthCheckCompleted:
        server = self.servers[server_id]
        if server.is_silent or not server.is_up:
            return HealthCheckCompleted(
                server_id,
                AttemptResult.TIMEOUT if server.is_silent else AttemptResult.UNREACHABLE,
                100_000,
            )
        ratio = server.load / server.capacity(self.now, self.settings)
        fields = {
            "load_ratio": ratio,
            "utilization": min(ratio, 1.0),
            "queue_length": 0.0,
            "backlog_s": max(ratio - 1, 0.0),
        }
        report = LoadReport(**{name: fields[name] for name in self.parameters["report_fields"]})
        return HealthCheckCompleted(server_id, AttemptResult.OK, 2000, report)
