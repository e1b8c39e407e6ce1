"""Many processes of the program with a faulty network between them, stopped, killed and started by a script.

A script is a list of steps, each at a time; what each process says of its view is read over management and
judged by ``expect`` steps: within a time, all that are to agree say the same of all others. Times on sockets
differ from run to run, so every expectation has a limit and none a least time, and the verdict is the same.
"""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
import time
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from larchhaven.testbed.deployment import settings
from larchhaven.testbed.discovery import Discovery
from larchhaven.testbed.event_record import Recorder
from larchhaven.testbed.faulty_network import Network
from larchhaven.testbed.proxy_process import Proxy
from larchhaven.testbed.scenario_pb2 import Scenario
from larchhaven.testbed.upstream_servers import ExamServer, Traits

KEY = "a key for the lab only"
LOOK_S = 0.1
MAX_DATAGRAM_BYTES = 256
STARTS_AT_ONCE = 8


def operator_text(key: str = KEY, key_too: str = "", on: bool = True) -> str:
    """Write the operators' file of a member."""
    too = f' key_too: "{key_too}"' if key_too else ""
    return f'membership {{ on: {str(on).lower()} key: "{key}"{too} }}\n'


@dataclass(slots=True)
class Step:
    """One thing that was done or expected, for the report."""

    at: float
    what: str
    seconds: float | None = None  # how long an expectation took to come true
    holds: bool = True
    seen: str = ""  # where it did not: what was there instead


@dataclass(slots=True)
class Tier:
    """So many proxies that know each other through the network."""

    size: int
    folder: Path
    seed: int = 1
    zones: int = 3
    on: bool = True  # as the operators' file says at the start
    may_tell: bool = True  # as the platform's settings say
    network: Network = field(init=False)
    proxies: list[Proxy] = field(init=False, default_factory=list)
    steps: list[Step] = field(init=False, default_factory=list)
    stopped: set[int] = field(init=False, default_factory=set)  # paused, or ended
    _begun: float = field(init=False, default=0.0)
    _server: ExamServer = field(init=False)
    _discovery: Discovery = field(init=False)

    async def start(self) -> None:
        """Start the network, one exam server, discovery and all processes at once."""
        self.network = Network(self.size, random.Random(self.seed))
        await self.network.start()
        recorder = Recorder(None)
        self._server = ExamServer("s0", Traits(50.0, 5.0, 0.0), recorder)
        await self._server.start(False)
        self._discovery = Discovery({"s0": self._server}, recorder)
        await self._discovery.start()
        scenario = Scenario(proxies=1)
        for number in range(self.size):
            own = settings(scenario, number)
            own |= {"instances": self.size, "zones": [f"z{i}" for i in range(self.zones)]}
            own["zone"] = number % self.zones
            own["policy_limits"] |= {"may_tell": self.may_tell}
            peers = self.network.peers(number)
            configuration: dict[str, Any] = {
                "name": f"n{number}",
                "listen": "127.0.0.1:0",
                "mgmt": "127.0.0.1:0",
                "discovery": f"127.0.0.1:{self._discovery.port}",
                "seed": f"{self.seed + number:x}",
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
                "settings": own,
                "peer_listen": peers[number],
                "peers": peers,
                "known": {"seq": 1, "whole": True, "hosts": [self._discovery.entry("s0")]},
            }
            proxy = Proxy(f"n{number}", self.folder / f"n{number}", configuration)
            proxy.operator_file.write_text(operator_text(on=self.on))
            self.proxies.append(proxy)
        room = asyncio.Semaphore(STARTS_AT_ONCE)

        async def begin(proxy: Proxy) -> None:
            async with room:
                await proxy.start()

        try:
            await asyncio.gather(*(begin(proxy) for proxy in self.proxies))
        except BaseException:
            await self.end()  # else those that did start would stay
            raise
        self._begun = time.monotonic()

    async def end(self) -> list[str]:
        """End all; return what processes logged that no process ever should."""
        for number in list(self.stopped):
            self.proxies[number].signal(signal.SIGCONT)
        for proxy in self.proxies:
            proxy.signal(signal.SIGKILL)
        await asyncio.gather(*(proxy.end() for proxy in self.proxies))
        self.network.stop()
        await self._server.stop(reset=True)
        errors = [
            f"{p.name}: {''.join(p.log)}"
            for p in self.proxies
            if any("Traceback" in x for x in p.log)
        ]
        longest = (
            max(link.longest for link in self.network.links.values()) if self.network.links else 0
        )
        return errors + ([f"a datagram of {longest} bytes"] if longest > MAX_DATAGRAM_BYTES else [])

    def _note(self, what: str) -> None:
        self.steps.append(Step(round(time.monotonic() - self._begun, 3), what))

    # What is done to processes

    def kill(self, *numbers: int) -> None:
        """End processes without a word."""
        self._note(f"kill {list(numbers)}")
        for number in numbers:
            self.proxies[number].signal(signal.SIGKILL)
            self.stopped.add(number)

    def stop(self, number: int) -> None:
        """Tell a process to stop in an orderly way."""
        self._note(f"stop {number}")
        self.proxies[number].signal(signal.SIGTERM)
        self.stopped.add(number)

    def pause(self, *numbers: int) -> None:
        """Stop processes where they are."""
        self._note(f"pause {list(numbers)}")
        for number in numbers:
            self.proxies[number].signal(signal.SIGSTOP)
            self.stopped.add(number)

    def resume(self, *numbers: int) -> None:
        """Let paused processes go on."""
        self._note(f"resume {list(numbers)}")
        for number in numbers:
            self.proxies[number].signal(signal.SIGCONT)
            self.stopped.discard(number)

    async def restart(self, number: int, fresh: bool = False) -> None:
        """Start a process again that was ended, with its files or without."""
        self._note(f"restart {number}{' without its files' if fresh else ''}")
        proxy = self.proxies[number]
        await proxy.end()
        if fresh:
            text = proxy.operator_file.read_text()  # the operators' own: all else is gone
            shutil.rmtree(proxy.folder)
            proxy.folder.mkdir()
            proxy.operator_file.write_text(text)
        proxy.address = ("", 0)
        await proxy.start()
        self.stopped.discard(number)

    def operator(self, number: int, text: str) -> None:
        """Give a process another operators' file and have it read."""
        self.proxies[number].operator_file.write_text(text)
        self.proxies[number].signal(signal.SIGHUP)

    # What is expected

    async def view(self, number: int) -> dict[str, Any]:
        """Return what a process says of its view."""
        found: dict[str, Any] = await self.proxies[number].call("/v1/members") or {}
        return found

    async def until(self, what: str, holds: Callable[[], Awaitable[str]], seconds: float) -> Step:
        """Wait until something holds; ``holds`` returns what is there instead, or nothing."""
        self._note(what)
        step, begun, seen = self.steps[-1], time.monotonic(), ""
        while time.monotonic() < begun + seconds:
            seen = await holds()
            if not seen:
                step.seconds = round(time.monotonic() - begun, 3)
                return step
            await asyncio.sleep(LOOK_S)
        step.holds, step.seen = False, seen
        return step

    async def expect(
        self,
        states: dict[int, str],
        seconds: float,
        of: Collection[int] | None = None,
        what: str = "",
    ) -> Step:
        """Wait until processes say the same and right: those named have that state, all others live."""
        asked = sorted(set(of if of is not None else range(self.size)) - self.stopped)

        async def holds() -> str:
            views = dict(zip(asked, await asyncio.gather(*map(self.view, asked)), strict=True))
            told: dict[str, list[int]] = {}
            for number, view in views.items():
                members = {m["number"]: m["state"] for m in view.get("members", [])}
                wrong = [
                    f"{other} {members.get(other, 'unheard')}"
                    for other in range(self.size)
                    if members.get(other) not in states.get(other, "alive").split("|")
                ]
                if wrong or not view.get("sure"):
                    return f"{number} says: {', '.join(wrong) or 'not sure'}"
                told.setdefault(
                    str([(m["number"], m["incarnation"], m["state"]) for m in view["members"]]), []
                )
                told[
                    str([(m["number"], m["incarnation"], m["state"]) for m in view["members"]])
                ].append(number)
            return "" if len(told) == 1 else f"{len(told)} different views: {list(told.values())}"

        return await self.until(what or f"agree on {states or 'all alive'}", holds, seconds)
