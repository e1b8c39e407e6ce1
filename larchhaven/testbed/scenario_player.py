"""Plays a scenario on a deployment: runs its arrivals and events and collects the outcome."""

from __future__ import annotations

import asyncio
import math
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import IO

from larchhaven.testbed.client_profile import ClientProfile, make_client_profile
from larchhaven.testbed.deployment import Deployment
from larchhaven.testbed.event_record import read_clock_us
from larchhaven.testbed.invariants import InvariantLimits
from larchhaven.testbed.outcome import ProxySample, ScenarioOutcome
from larchhaven.testbed.proxy_process import OPERATOR_FILE_NAME
from larchhaven.testbed.proxy_sampler import ProxySampler
from larchhaven.testbed.random_streams import make_random_stream
from larchhaven.testbed.scenario_file import SERVER_EVENTS
from larchhaven.testbed.scenario_pb2 import Event, Scenario

# Time from the crash of a server until it leaves the endpoint list.
CRASH_DETECTION_S = 1.0
# Shorter waits for the next arrival are skipped.
MIN_ARRIVAL_SLEEP_S = 0.005
PROGRESS_INTERVAL_S = 0.5
MAX_REPORTED_LOG_LENGTH = 2_000


class ScenarioPlayer:
    """Runs the arrivals and events of a scenario.

    Attributes:
        deployment: The deployment on which the scenario is played.
        sampler: Samples the proxies of the deployment.
    """

    def __init__(self, deployment: Deployment, sampler: ProxySampler) -> None:
        self.deployment = deployment
        self.sampler = sampler
        self._scenario = deployment.scenario
        self._tasks: list[asyncio.Task[None]] = []
        self._arrivals: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the tasks for the arrivals and events of the scenario."""
        for number, group in enumerate(self._scenario.terminals):
            profile = make_client_profile(group)
            until_s = min(group.until_seconds or math.inf, self._scenario.seconds)
            arrivals = self._add_clients(number, profile, group.from_seconds, until_s)
            self._arrivals.append(self._spawn(arrivals))
        for peer in self.deployment.peers:
            rate = self._scenario.peer_datagrams_per_second
            self._spawn(
                peer.send_random_datagrams(rate, lambda: self.deployment.proxy_peer_addresses)
            )
        for event in sorted(self._scenario.events, key=lambda event: event.at_seconds):
            self._spawn(self._apply_on_time(event))

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.append(task)
        return task

    async def _add_clients(
        self, number: int, profile: ClientProfile, from_s: float, until_s: float
    ) -> None:
        rng = make_random_stream(self._scenario.seed, f"arrivals {number}")
        if profile.arrivals_per_second <= 0:
            return
        at_s = from_s
        while (at_s := at_s + rng.expovariate(profile.arrivals_per_second)) < until_s:
            wait_s = at_s - self.deployment.elapsed_s()
            if wait_s > MIN_ARRIVAL_SLEEP_S:
                await asyncio.sleep(wait_s)
            self.deployment.clients.add_client(profile)

    async def _apply_on_time(self, event: Event) -> None:
        await asyncio.sleep(max(event.at_seconds - self.deployment.elapsed_s(), 0))
        await self._apply(event)

    async def _apply(self, event: Event) -> None:
        kind = event.WhichOneof("what") or ""
        if kind in SERVER_EVENTS:
            await self._apply_to_server(kind, str(getattr(event, kind)))
            return
        match kind:
            case "surge":
                profile = make_client_profile(self._scenario.terminals[0])
                for _ in range(event.surge):
                    self.deployment.clients.add_client(profile)
            case "reconnect_all":
                self.deployment.clients.break_all_connections()
            case "discovery_down":
                self.deployment.discovery.set_down(event.discovery_down)
            case "operator":
                for proxy in self.deployment.proxies:
                    proxy.replace_operator_file(event.operator)

    async def _apply_to_server(self, kind: str, server_name: str) -> None:
        server = self.deployment.servers[server_name]
        discovery = self.deployment.discovery
        match kind:
            case "drain":
                discovery.publish_health(server_name, "draining")
            case "ready":
                discovery.publish_health(server_name, "ready")
            case "gone":
                discovery.publish_health(server_name, "gone")
                await server.stop(reset=False)
            case "crash":
                await server.stop(reset=True)
                await asyncio.sleep(CRASH_DETECTION_S)
                discovery.publish_health(server_name, "gone")
            case "hang":
                server.is_hanging = True
            case "start":
                await server.start(cold=True)
                discovery.publish_health(server_name, "ready")

    async def wait_for_answers(self) -> None:
        """Wait until all clients that arrive during the scenario are answered or give up.

        Otherwise clients with a request in flight would be missing from the outcome, and requests
        that are never answered would go unnoticed.
        """
        await asyncio.gather(*self._arrivals, return_exceptions=True)
        await self.deployment.clients.wait_until_answered()

    async def finish(self) -> ScenarioOutcome:
        """Stop the deployment and return the outcome."""
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        errors = [repr(result) for result in results if isinstance(result, Exception)]
        proxies = self.deployment.proxies
        crashed = [proxy.name for proxy in proxies if not proxy.is_running]
        await self.deployment.clients.stop()
        idle_memory_reports = await self.deployment.wait_until_idle()
        duration_s = round(self.deployment.elapsed_s(), 2)
        violations = list(self.deployment.checker.finish(read_clock_us()))
        failed_proxies = await self.deployment.stop()
        crashed += [name for name in failed_proxies if name not in crashed]
        client_outcomes = self.deployment.clients.outcomes
        return ScenarioOutcome(
            name=self._scenario.name,
            seed=self._scenario.seed,
            duration_s=duration_s,
            violations=violations,
            omitted_violations=self.deployment.checker.log.omitted,
            event_counts=dict(self.deployment.recorder.counts),
            classes=client_outcomes.summarize_classes(),
            tenant_answers=client_outcomes.summarize_tenants(),
            samples=self.sampler.samples,
            crashed_proxies=crashed,
            errors=errors + self._logged_errors(),
            log_lines=sum(proxy.log_lines for proxy in proxies),
            idle_memory_reports=idle_memory_reports,
        )

    def _logged_errors(self) -> list[str]:
        return [
            f"{proxy.name}: " + "".join(proxy.log)[-MAX_REPORTED_LOG_LENGTH:]
            for proxy in self.deployment.proxies
            if proxy.has_logged_traceback
        ]


async def play_scenario(
    scenario: Scenario,
    *,
    record_file: IO[bytes] | None = None,
    sample_interval_s: float = 1.0,
    progress: Callable[[ScenarioPlayer], None] | None = None,
    sample_taken: Callable[[ProxySample], None] | None = None,
    limits: InvariantLimits | None = None,
    operator_text: str | None = None,
) -> ScenarioOutcome:
    """Play a scenario from its start to its end.

    Args:
        scenario: The scenario.
        record_file: File to which records are written as JSON lines, if any.
        sample_interval_s: Time between two rounds of samples.
        progress: Called every ``PROGRESS_INTERVAL_S`` while the scenario is played.
        sample_taken: Called with each sample, if given.
        limits: Limits of the invariants; by default those of the scenario.
        operator_text: Text of the proxies' operators' file, if they have one.

    Returns:
        The outcome of the scenario.

    Raises:
        ProxyNotStartedError: A proxy ended or timed out before it listened.
        OSError: A stand-in could not open its socket.
    """
    with tempfile.TemporaryDirectory(prefix="larchhaven-lab-") as folder:
        deployment = Deployment(scenario, Path(folder), record_file, limits)
        if operator_text is not None:
            _write_operator_files(Path(folder), deployment.proxy_count, operator_text)
        sampler = ProxySampler(deployment, sample_interval_s, sample_taken)
        player = ScenarioPlayer(deployment, sampler)
        await deployment.start()
        return await _play(player, progress)


async def _play(
    player: ScenarioPlayer, progress: Callable[[ScenarioPlayer], None] | None
) -> ScenarioOutcome:
    deployment = player.deployment
    player.start()
    sampling = asyncio.get_running_loop().create_task(player.sampler.run())
    try:
        while (remaining_s := deployment.scenario.seconds - deployment.elapsed_s()) > 0:
            await asyncio.sleep(min(remaining_s, PROGRESS_INTERVAL_S))
            if progress is not None:
                progress(player)
        await player.wait_for_answers()
    finally:
        sampling.cancel()
        outcome = await player.finish()
    return outcome


def _write_operator_files(folder: Path, proxy_count: int, text: str) -> None:
    for index in range(proxy_count):
        proxy_folder = folder / f"n{index}"
        proxy_folder.mkdir(parents=True)
        (proxy_folder / OPERATOR_FILE_NAME).write_text(text)
