"""A fleet of real proxy processes with a faulty network between them, controlled by a script.

A script injects faults and waits for expectations. ``expect_agreement`` reads the membership views
of processes over the admin API and waits until all of them report the same, expected view.
Timing on real sockets differs from run to run. Every expectation therefore has an upper time limit
and no lower one, so that the verdict does not depend on the timing.
"""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
import time
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from larchhaven.testbed.discovery import Discovery
from larchhaven.testbed.event_record import EventRecorder
from larchhaven.testbed.faulty_network import FaultyNetwork
from larchhaven.testbed.proxy_configuration import build_proxy_configuration, build_proxy_settings
from larchhaven.testbed.proxy_process import NOT_LISTENING, ProxyProcess
from larchhaven.testbed.scenario_pb2 import Scenario
from larchhaven.testbed.upstream_servers import ServerTraits, UpstreamServer

MEMBERSHIP_KEY = "a key for the lab only"
POLL_INTERVAL_S = 0.1
MAX_DATAGRAM_BYTES = 256
MAX_CONCURRENT_STARTS = 8
DEFAULT_ZONES = 3
PROXY_LIMITS = {"cores": 1.0, "memory_mb": 64, "sockets": 256}


def write_operator_text(
    key: str = MEMBERSHIP_KEY, second_key: str = "", *, enabled: bool = True
) -> str:
    """Return the text of an operators' file that configures the membership.

    Args:
        key: The membership key, with which datagrams are signed.
        second_key: A further key that is accepted; empty for none.
        enabled: Whether the membership is turned on.
    """
    second = f' key_too: "{second_key}"' if second_key else ""
    return f'membership {{ on: {str(enabled).lower()} key: "{key}"{second} }}\n'


@dataclass(slots=True)
class FleetStep:
    """One action or expectation of a script, for the report.

    Attributes:
        at_s: Time since the start of the fleet.
        description: What was done or expected.
        duration_s: Time until an expectation was met; None for an action or an unmet expectation.
        holds: Whether the expectation was met in time; always true for an action.
        observed: What was observed instead; empty if the expectation was met.
    """

    at_s: float
    description: str
    duration_s: float | None = None
    holds: bool = True
    observed: str = ""


class ProxyFleet:
    """A number of proxies that reach each other through a faulty network.

    Attributes:
        size: Number of proxies.
        zones: Number of zones; proxy n is in zone n modulo this.
        network: The network between them.
        proxies: The processes in order of their numbers.
        steps: Actions and expectations so far.
        stopped: Numbers of the processes that are paused or have ended.
    """

    def __init__(
        self,
        size: int,
        folder: Path,
        seed: int = 1,
        *,
        membership_enabled: bool = True,
        can_gossip: bool = True,
    ) -> None:
        """Prepare a fleet.

        Args:
            size: Number of proxies.
            folder: Parent directory of the processes' directories.
            seed: Seed of the network and the proxies.
            membership_enabled: Whether the operators' file turns membership on at the start.
            can_gossip: Whether the platform's settings let proxies exchange datagrams.
        """
        self.size = size
        self.zones = DEFAULT_ZONES
        self.network = FaultyNetwork(size, random.Random(seed))
        self.proxies: list[ProxyProcess] = []
        self.steps: list[FleetStep] = []
        self.stopped: set[int] = set()
        self._folder = folder
        self._seed = seed
        self._membership_enabled = membership_enabled
        self._can_gossip = can_gossip
        self._started_at_s = 0.0
        recorder = EventRecorder()
        self._server = UpstreamServer("s0", ServerTraits(), recorder)
        self._discovery = Discovery({"s0": self._server}, recorder)

    async def start(self) -> None:
        """Start the network, one upstream server, discovery and all processes.

        Raises:
            ProxyNotStartedError: A proxy ended or timed out before it listened. All processes are
                stopped before this is raised.
        """
        await self.network.start()
        await self._server.start()
        await self._discovery.start()
        for number in range(self.size):
            self.proxies.append(self._make_proxy(number))
        slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start_proxy(proxy: ProxyProcess) -> None:
            async with slots:
                await proxy.start()

        try:
            await asyncio.gather(*(start_proxy(proxy) for proxy in self.proxies))
        except BaseException:
            await self.stop()
            raise
        self._started_at_s = time.monotonic()

    def _make_proxy(self, number: int) -> ProxyProcess:
        settings = build_proxy_settings(Scenario(proxies=1), number)
        settings["instances"] = self.size
        settings["zones"] = [f"z{zone}" for zone in range(self.zones)]
        settings["zone"] = number % self.zones
        settings["policy_limits"]["may_tell"] = self._can_gossip
        configuration = build_proxy_configuration(
            number,
            seed=self._seed + number,
            discovery_port=self._discovery.port,
            limits=PROXY_LIMITS,
            settings=settings,
            endpoints=self._discovery.describe_all_endpoints(),
            peers=self.network.peer_addresses(number),
        )
        proxy = ProxyProcess(f"n{number}", self._folder / f"n{number}", configuration)
        proxy.operator_file.write_text(write_operator_text(enabled=self._membership_enabled))
        return proxy

    async def stop(self) -> list[str]:
        """Kill all processes and stop the stand-ins.

        Returns:
            The log of each process that logged a traceback, and a sentence if a datagram exceeded
            ``MAX_DATAGRAM_BYTES``; empty if nothing went wrong.
        """
        for number in list(self.stopped):
            self.proxies[number].send_signal(signal.SIGCONT)
        for proxy in self.proxies:
            proxy.send_signal(signal.SIGKILL)
        await asyncio.gather(*(proxy.stop() for proxy in self.proxies))
        self.network.stop()
        await self._server.stop(reset=True)
        errors = [
            f"{proxy.name}: {''.join(proxy.log)}"
            for proxy in self.proxies
            if proxy.has_logged_traceback
        ]
        longest_bytes = max((link.longest_bytes for link in self.network.links.values()), default=0)
        if longest_bytes > MAX_DATAGRAM_BYTES:
            errors.append(f"a datagram had {longest_bytes} of at most {MAX_DATAGRAM_BYTES} bytes")
        return errors

    def _add_step(self, description: str) -> FleetStep:
        step = FleetStep(round(time.monotonic() - self._started_at_s, 3), description)
        self.steps.append(step)
        return step

    # Faults of processes

    def kill(self, *numbers: int) -> None:
        """Kill processes (SIGKILL)."""
        self._add_step(f"kill {list(numbers)}")
        for number in numbers:
            self.proxies[number].send_signal(signal.SIGKILL)
            self.stopped.add(number)

    def shut_down(self, number: int) -> None:
        """Shut a process down gracefully (SIGTERM)."""
        self._add_step(f"shut down {number}")
        self.proxies[number].send_signal(signal.SIGTERM)
        self.stopped.add(number)

    def pause(self, *numbers: int) -> None:
        """Pause processes (SIGSTOP)."""
        self._add_step(f"pause {list(numbers)}")
        for number in numbers:
            self.proxies[number].send_signal(signal.SIGSTOP)
            self.stopped.add(number)

    def resume(self, *numbers: int) -> None:
        """Resume paused processes (SIGCONT)."""
        self._add_step(f"resume {list(numbers)}")
        for number in numbers:
            self.proxies[number].send_signal(signal.SIGCONT)
            self.stopped.discard(number)

    async def restart(self, number: int, *, without_files: bool = False) -> None:
        """Restart a process that has ended.

        Args:
            number: Number of the process.
            without_files: Whether to delete all its files except the operators' file first.
        """
        self._add_step(f"restart {number}{' without its files' if without_files else ''}")
        proxy = self.proxies[number]
        await proxy.stop()
        if without_files:
            text = proxy.operator_file.read_text()
            shutil.rmtree(proxy.folder)
            proxy.folder.mkdir()
            proxy.operator_file.write_text(text)
        proxy.address = NOT_LISTENING
        await proxy.start()
        self.stopped.discard(number)

    def replace_operator_file(self, number: int, text: str) -> None:
        """Replace the operators' file of a process and make the process reload it."""
        self.proxies[number].replace_operator_file(text)

    # Expectations

    async def read_view(self, number: int) -> dict[str, Any]:
        """Return the membership view that a process reports."""
        view: dict[str, Any] = await self.proxies[number].call("/v1/members") or {}
        return view

    async def wait_until(
        self, description: str, find_mismatch: Callable[[], Awaitable[str]], timeout_s: float
    ) -> FleetStep:
        """Wait until an expectation is met.

        Args:
            description: What is expected, for the report.
            find_mismatch: Returns what is observed instead, or an empty string once the
                expectation is met.
            timeout_s: How long to wait.

        Returns:
            The step; its ``holds`` is false if the time ran out.
        """
        step = self._add_step(description)
        started_at_s = time.monotonic()
        observed = ""
        while time.monotonic() < started_at_s + timeout_s:
            observed = await find_mismatch()
            if not observed:
                step.duration_s = round(time.monotonic() - started_at_s, 3)
                return step
            await asyncio.sleep(POLL_INTERVAL_S)
        step.holds = False
        step.observed = observed
        return step

    async def expect_agreement(
        self,
        states: dict[int, str],
        timeout_s: float,
        observers: Collection[int] | None = None,
        description: str = "",
    ) -> FleetStep:
        """Wait until processes report the same, expected membership view.

        Args:
            states: Expected state of each member by number, alternatives separated by ``|``;
                members left out are expected to be alive.
            timeout_s: How long to wait.
            observers: Numbers of the processes whose views are read; by default all. Stopped
                processes are always left out.
            description: What is expected, for the report; by default made from the states.

        Returns:
            The step; its ``holds`` is false if the time ran out.
        """
        observer_numbers = sorted(
            set(range(self.size) if observers is None else observers) - self.stopped
        )

        async def find_disagreement() -> str:
            views = await asyncio.gather(*map(self.read_view, observer_numbers))
            return self._find_disagreement(dict(zip(observer_numbers, views, strict=True)), states)

        text = description or f"agree on {states or 'all alive'}"
        return await self.wait_until(text, find_disagreement, timeout_s)

    def _find_disagreement(self, views: dict[int, dict[str, Any]], states: dict[int, str]) -> str:
        observers_by_view: dict[str, list[int]] = {}
        for number, view in views.items():
            wrong_states = self._find_wrong_states(view, states)
            if wrong_states or not view.get("sure"):
                return f"{number} reports {', '.join(wrong_states) or 'an unconfirmed view'}"
            content = [(m["number"], m["incarnation"], m["state"]) for m in view["members"]]
            observers_by_view.setdefault(str(content), []).append(number)
        if len(observers_by_view) == 1:
            return ""
        return f"{len(observers_by_view)} different views: {list(observers_by_view.values())}"

    def _find_wrong_states(self, view: dict[str, Any], states: dict[int, str]) -> list[str]:
        reported = {member["number"]: member["state"] for member in view.get("members", [])}
        return [
            f"{number} {reported.get(number, 'missing')}"
            for number in range(self.size)
            if reported.get(number) not in states.get(number, "alive").split("|")
        ]
