"""Plays a scenario: starts stand-ins and proxies, lets things happen, and says what came of it."""

from __future__ import annotations

import asyncio
import hashlib
import random
import signal
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

import msgspec

from larchhaven.testbed.clients import Terminals, Wishes
from larchhaven.testbed.discovery import Discovery
from larchhaven.testbed.event_record import Record, Recorder, now
from larchhaven.testbed.invariants import Broken, Checker, Contract
from larchhaven.testbed.peers import Peer
from larchhaven.testbed.proxy_process import Proxy, free_port
from larchhaven.testbed.scenario_pb2 import Event, Scenario
from larchhaven.testbed.upstream_servers import ExamServer, Traits

# How soon a crashed server leaves the list.
NOTICED_S = 1.0
# Arrivals are drawn at least this far apart from one wake-up of a group to the next.
TICK_S = 0.005
# Once all terminals have left, proxies let go of the last connections within this time.
REST_S, LOOK_S = 7.0, 0.25


class Sample(msgspec.Struct):
    """One look at a proxy from outside and at its own account, in bytes."""

    at: float  # seconds since the start
    proxy: str
    resident: int
    descriptors: int
    memory: dict[str, Any]
    pending: int
    standing: int


@dataclass(slots=True)
class Outcome:
    """What came of a scenario."""

    name: str
    seed: int
    seconds: float
    broken: list[Broken] = field(default_factory=list)
    broken_more: int = 0
    records: dict[str, int] = field(default_factory=dict)
    classes: dict[str, dict[str, Any]] = field(default_factory=dict)
    members: dict[str, dict[str, int]] = field(
        default_factory=dict
    )  # the first words of their answers
    samples: list[Sample] = field(default_factory=list)
    crashed: list[str] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)  # unexpected errors in a proxy's log
    log_lines: int = 0
    rest: dict[str, dict[str, Any]] = field(
        default_factory=dict
    )  # each proxy's account once all had left

    @property
    def holds(self) -> bool:
        """Tell whether no rule was broken and no proxy crashed or met an unexpected error."""
        return not (self.broken or self.crashed or self.errors)


def stream(seed: int, purpose: str) -> random.Random:
    """Return random numbers of their own for one purpose: a change of one leaves the others alone."""
    return random.Random(hashlib.blake2b(f"{seed}/{purpose}".encode(), digest_size=8).digest())


def settings(scenario: Scenario, index: int = 0) -> dict[str, Any]:
    """Write the settings that the platform would give a proxy of this site."""
    classes = list(scenario.classes) or [Scenario().classes.add(name="chat")]
    tier = max(scenario.proxies, 1) + scenario.peers
    return {
        "contract": {
            "answer_slack": 20000,
            "ask_within": 10000000,
            "cold": 7100000,
            "cold_from": 0.33,
            "stop_sending_within": int((scenario.drain_grace_ms or 3000) * 1000),
            "tip_after": 1500000,
            "tip_multiple": 2.5,
        },
        "discovery": "subscribe",
        "family": "conn",
        "index": index,
        "instances": tier,
        "kinds": ["k"],
        "tick": 5000,
        "zone": 0,
        "zones": ["here"],
        "stages": ["s"],
        "over_share_worth": 0.2,
        "parties": [{"name": m.name, "share": m.share} for m in scenario.members],
        "weights": "nominal",
        "prices": {"moves": 0.016, "probe": 0.002},
        "family_info": {
            "message_aim": [100000.0] * len(classes),
            "mode": "pass" if scenario.pass_through else "proxy",
            "park": 6000000 if scenario.pass_through else 0,
            "tells_delay": True,
            "tells_load": True,
            "tenant_quota_connections": [m.quota for m in scenario.members],
            "groups": True,
            "hint": "",
        },
        "policy_limits": {
            "cancel": True,
            "connect_timeout": 250000,
            "max_retry_after": 1500000,
            "most_tries": scenario.attempts or 3,
            "parallel_tries": False,
            "probes": True,
            "retry_after": True,
            "may_tell": tier > 1 and not scenario.proxies_keep_silent,
        },
        "report": {"fields": ["x0"], "how": "pull"},
        "services": [
            {
                "aim": int((c.aim_ms or 500) * 1000),
                "deadline": int((c.deadline_ms or 2000) * 1000),
                "name": c.name,
                "repeat": "idempotent",
                "stream": True,
                "group": "all",
                "window": 5000000,
                "credit": c.worth or 1.0,
                "late_worth": 0.0,
            }
            for c in classes
        ],
    }


class Site:
    """A site while a scenario is played."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        record: IO[bytes] | None = None,
        contract: Contract | None = None,
    ) -> None:
        self.scenario = scenario
        self.folder = folder
        self.recorder = Recorder(record)
        drain_us = int((scenario.drain_grace_ms or 3000) * 1000)
        self.checker = Checker(contract or Contract(drain_us=drain_us))
        self.recorder.takers.append(self._take)
        self.servers: dict[str, ExamServer] = {}
        for group in scenario.servers:
            for _ in range(max(group.count, 1)):
                traits = Traits(group.capacity or 50.0, group.setup_ms or 5.0, group.answer_ms)
                name = f"s{len(self.servers)}"
                self.servers[name] = ExamServer(name, traits, self.recorder)
        self.discovery = Discovery(self.servers, self.recorder)
        self.proxies: list[Proxy] = []
        self.peers = [
            Peer(f"p{i}", self.recorder, stream(scenario.seed, f"peer {i}"))
            for i in range(scenario.peers)
        ]
        self._next = 0
        self.terminals = Terminals(self._address, self.recorder, stream(scenario.seed, "terminals"))
        self.samples: list[Sample] = []
        self.sample_taken: Callable[[Sample], None] = lambda _sample: None
        self._tasks: list[asyncio.Task[None]] = []
        self._begun = 0.0
        self._peer_ports: list[int] = []

    def _take(self, record: Record) -> None:
        self.checker.take(record)

    def _address(self) -> tuple[str, int]:
        """Deal out terminals among the proxies that live, as a front does."""
        self._next += 1
        living = [proxy for proxy in self.proxies if proxy.running] or self.proxies
        return living[self._next % len(living)].address

    def seconds(self) -> float:
        """Return the time since the start."""
        return asyncio.get_running_loop().time() - self._begun

    async def start(self) -> None:
        """Start all that belongs to the site."""
        cold = [group.cold for group in self.scenario.servers for _ in range(max(group.count, 1))]
        for server, is_cold in zip(self.servers.values(), cold, strict=True):
            await server.start(is_cold)
        await self.discovery.start()
        grant = self.scenario.grant
        count = max(self.scenario.proxies, 1)
        ports = [free_port() for _ in range(count + len(self.peers))]
        peers = [f"127.0.0.1:{port}" for port in ports] if len(ports) > 1 else []
        self._peer_ports = ports[:count]
        for peer, port in zip(self.peers, ports[count:], strict=True):
            await peer.start(port)
        for index in range(count):
            configuration: dict[str, Any] = {
                "name": f"n{index}",
                "listen": "127.0.0.1:0",
                "mgmt": "127.0.0.1:0",
                "discovery": f"127.0.0.1:{self.discovery.port}",
                "seed": f"{self.scenario.seed + index:x}",
                "limits": {
                    "cores": 1.0,
                    "memory_mb": grant.memory_mb or 192,
                    "sockets": grant.sockets or 1024,
                },
                "settings": settings(self.scenario, index),
                "known": {
                    "seq": 1,
                    "whole": True,
                    "hosts": [self.discovery.entry(name) for name in self.servers],
                },
            }
            if peers:
                configuration |= {"peer_listen": peers[index], "peers": peers}
            self.proxies.append(Proxy(f"n{index}", self.folder / f"n{index}", configuration))
        await asyncio.gather(*(proxy.start() for proxy in self.proxies))
        self._begun = asyncio.get_running_loop().time()

    def play(self) -> None:
        """Have the scripted things happen from now on."""
        for number, group in enumerate(self.scenario.terminals):
            self._spawn(
                self._arrivals(number, Wishes.of(group), group.from_seconds, group.until_seconds)
            )
        for peer in self.peers:
            rate = self.scenario.peer_datagrams_per_second
            self._spawn(
                peer.babble(rate, lambda: [("127.0.0.1", port) for port in self._peer_ports])
            )
        for event in sorted(self.scenario.events, key=lambda event: event.at_seconds):
            self._spawn(self._at(event.at_seconds, event))

    def _spawn(self, work: Awaitable[None]) -> None:
        async def run() -> None:
            await work

        self._tasks.append(asyncio.get_running_loop().create_task(run()))

    async def _arrivals(self, number: int, wishes: Wishes, since: float, until: float) -> None:
        rng = stream(self.scenario.seed, f"arrivals {number}")
        if wishes.rate <= 0:
            return
        until = until or self.scenario.seconds
        at = since
        while (at := at + rng.expovariate(wishes.rate)) < until:
            wait = at - self.seconds()
            if wait > TICK_S:
                await asyncio.sleep(wait)
            self.terminals.arrive(wishes)

    async def _at(self, at: float, event: Event) -> None:
        await asyncio.sleep(max(at - self.seconds(), 0))
        await self.happen(event)

    async def happen(self, event: Event) -> None:
        """Let one event happen now."""
        what = event.WhichOneof("what") or ""
        name = str(getattr(event, what)) if what else ""
        match what:
            case "drain" | "ready" | "gone" | "crash" | "hang" | "start":
                await self._happen_to_server(what, name)
            case "surge":
                wishes = Wishes.of(self.scenario.terminals[0])
                for _ in range(event.surge):
                    self.terminals.arrive(wishes)
            case "reconnect_all":
                self.terminals.break_all()
            case "discovery_down":
                self.discovery.set_down(event.discovery_down)
            case "operator":
                for proxy in self.proxies:
                    proxy.operator_file.write_text(event.operator)
                    proxy.signal(signal.SIGHUP)

    async def _happen_to_server(self, what: str, name: str) -> None:
        match what:
            case "drain":
                self.discovery.change(name, "draining")
            case "ready":
                self.discovery.change(name, "ready")
            case "gone":
                self.discovery.change(name, "gone")
                await self.servers[name].stop(reset=False)
            case "crash":
                await self.servers[name].stop(reset=True)
                await asyncio.sleep(NOTICED_S)
                self.discovery.change(name, "gone")
            case "hang":
                self.servers[name].hangs = True
            case "start":
                await self.servers[name].start(cold=True)
                self.discovery.change(name, "ready")

    async def sample(self) -> None:
        """Look at each proxy once."""
        for proxy in self.proxies:
            if not proxy.running:
                continue
            try:
                memory = await proxy.call("/v1/memory")
                metrics = await proxy.call("/v1/metrics")
            except (OSError, ValueError, TimeoutError):
                continue
            sample = Sample(
                round(self.seconds(), 3),
                proxy.name,
                proxy.resident(),
                proxy.descriptors(),
                memory or {},
                (metrics or {}).get("pending", 0),
                self.terminals.standing,
            )
            self.samples.append(sample)
            self.sample_taken(sample)

    async def samples_every(self, gap: float) -> None:
        """Look at the proxies again and again."""
        while True:
            await self.sample()
            await asyncio.sleep(gap)

    async def _rest(self) -> dict[str, dict[str, Any]]:
        """Wait until the proxies hold no connection any more, or should not; return their accounts then."""
        found: dict[str, dict[str, Any]] = {}
        for proxy in self.proxies:
            for _ in range(int(REST_S / LOOK_S)):
                await asyncio.sleep(LOOK_S)
                try:
                    found[proxy.name] = await proxy.call("/v1/memory") or {}
                except (OSError, ValueError, TimeoutError):
                    break
                if not found[proxy.name]["purposes"]["connections"]["used"]:
                    break
        return found

    async def end(self) -> Outcome:
        """End the day and say what came of it."""
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        crashed = [proxy.name for proxy in self.proxies if not proxy.running]
        await self.terminals.end()
        rest = await self._rest()
        outcome = Outcome(self.scenario.name, self.scenario.seed, round(self.seconds(), 2))
        outcome.broken = list(self.checker.finish(now()))
        codes = await asyncio.gather(*(proxy.end() for proxy in self.proxies))
        for server in self.servers.values():
            await server.stop(reset=True)
        for peer in self.peers:
            peer.stop()
        crashed += [
            p.name
            for p, code in zip(self.proxies, codes, strict=True)
            if code and p.name not in crashed
        ]
        outcome.crashed = crashed
        outcome.broken_more = self.checker.more
        outcome.records = dict(self.recorder.counts)
        outcome.samples = self.samples
        outcome.rest = rest
        outcome.log_lines = sum(proxy.lines for proxy in self.proxies)
        outcome.errors = [repr(result) for result in results if isinstance(result, Exception)]
        for proxy in self.proxies:
            if any("Traceback" in line for line in proxy.log):
                outcome.errors.append(f"{proxy.name}: " + "".join(proxy.log)[-2_000:])
        for name, counts in self.terminals.counts.items():
            times = sorted(counts.setup_ms)
            outcome.classes[name] = {
                "asked": counts.asked,
                "answers": counts.answers,
                "moves": counts.moves,
                "lost": counts.lost,
                "setup_ms_p50": round(times[len(times) // 2], 2) if times else None,
                "setup_ms_p99": round(times[len(times) * 99 // 100], 2) if times else None,
            }
        outcome.members = {
            name: dict(words) for name, words in sorted(self.terminals.members.items())
        }
        return outcome


async def play(
    scenario: Scenario,
    *,
    record: IO[bytes] | None = None,
    sample_gap: float = 1.0,
    progress: Callable[[Site], None] | None = None,
    sample_taken: Callable[[Sample], None] | None = None,
    contract: Contract | None = None,
    operator: str | None = None,
) -> Outcome:
    """Play a scenario from its start to its end; ``operator`` is the text of the proxies' operators' file."""
    with tempfile.TemporaryDirectory(prefix="larchhaven-lab-") as folder:
        site = Site(scenario, Path(folder), record, contract)
        if sample_taken is not None:
            site.sample_taken = sample_taken
        if operator is not None:
            for index in range(max(scenario.proxies, 1)):
                (Path(folder) / f"n{index}").mkdir(parents=True)
                (Path(folder) / f"n{index}" / "operator.textproto").write_text(operator)
        await site.start()
        site.play()
        sampling = asyncio.get_running_loop().create_task(site.samples_every(sample_gap))
        try:
            while site.seconds() < scenario.seconds:
                await asyncio.sleep(min(max(scenario.seconds - site.seconds(), 0), 0.5))
                if progress is not None:
                    progress(site)
        finally:
            sampling.cancel()
            outcome = await site.end()
    return outcome


def load(text: str) -> tuple[Scenario, list[str]]:
    """Read a scenario's text; return it with the complaints about it, each with its line and column."""
    from larchhaven.operator.text import parse

    scenario, found = parse(text, Scenario)
    complaints = [f"{c.line}:{c.column}: {c.text}" for c in found.complaints]
    if not complaints:
        names = {f"s{i}" for i in range(sum(max(g.count, 1) for g in scenario.servers))}
        classes = {c.name for c in scenario.classes} or {"chat"}
        for event in scenario.events:
            what = event.WhichOneof("what")
            if what in ("drain", "ready", "gone", "crash", "hang", "start"):
                name = getattr(event, what)
                if name not in names:
                    complaints.append(f"event {what}: there is no exam server {name!r}")
        for group in scenario.terminals:
            name = Wishes.of(group).cls
            if name not in classes:
                complaints.append(
                    f"terminals: there is no class {name!r}, known are {', '.join(sorted(classes))}"
                )
        members = {m.name for m in scenario.members}
        complaints.extend(
            f"terminals: there is no member {member!r}, known are {sorted(members)}"
            for member in {group.member for group in scenario.terminals} - members - {""}
        )
        if not names:
            complaints.append("servers: write at least one group of exam servers")
    return scenario, complaints
