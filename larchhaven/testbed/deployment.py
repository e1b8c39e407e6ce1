"""A deployment on loopback: upstream servers, discovery, peers, clients and the real proxies."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import IO, Any

from larchhaven.testbed.clients import ClientPopulation
from larchhaven.testbed.discovery import Discovery
from larchhaven.testbed.event_record import EventRecorder
from larchhaven.testbed.free_ports import find_free_port
from larchhaven.testbed.invariant_checker import InvariantChecker
from larchhaven.testbed.invariants import InvariantLimits
from larchhaven.testbed.peers import PeerStandIn
from larchhaven.testbed.proxy_configuration import (
    build_limits,
    build_proxy_configuration,
    build_proxy_settings,
    drain_grace_us,
)
from larchhaven.testbed.proxy_process import ProxyProcess
from larchhaven.testbed.random_streams import make_random_stream
from larchhaven.testbed.scenario_pb2 import Scenario
from larchhaven.testbed.upstream_servers import ServerTraits, UpstreamServer

DEFAULT_CAPACITY = 50.0
DEFAULT_SETUP_MS = 5.0
# Proxies release their last connections within this time after all clients have left.
IDLE_TIMEOUT_S = 7.0
IDLE_POLL_INTERVAL_S = 0.25


class Deployment:
    """All components of a deployment while a scenario is played.

    Args:
        scenario: The scenario.
        folder: Parent directory of the proxies' directories.
        record_file: File to which records are written as JSON lines, if any.
        limits: Limits of the invariants; by default those of the scenario.

    Attributes:
        scenario: The scenario.
        recorder: Receives the records of all stand-ins.
        checker: Checks the invariants as records arrive.
        servers: The upstream servers by name.
        discovery: Publishes the upstream servers to the proxies.
        proxies: The real proxies; empty until the deployment has started.
        peers: Stand-ins for further proxies.
        clients: The clients.
    """

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        record_file: IO[bytes] | None = None,
        limits: InvariantLimits | None = None,
    ) -> None:
        self.scenario = scenario
        self._folder = folder
        self.recorder = EventRecorder(record_file)
        default_limits = InvariantLimits(drain_grace_us=drain_grace_us(scenario))
        self.checker = InvariantChecker(limits or default_limits)
        self.recorder.listeners.append(self.checker.handle)
        self._cold_servers: set[str] = set()
        self.servers = self._make_servers()
        self.discovery = Discovery(self.servers, self.recorder)
        self.proxies: list[ProxyProcess] = []
        self.peers = [
            PeerStandIn(f"p{i}", self.recorder, make_random_stream(scenario.seed, f"peer {i}"))
            for i in range(scenario.peers)
        ]
        self.clients = ClientPopulation(
            self._next_proxy_address,
            self.recorder,
            make_random_stream(scenario.seed, "terminals"),
        )
        self._next_proxy = 0
        self._proxy_peer_ports: list[int] = []
        self._started_at_s = 0.0

    def _make_servers(self) -> dict[str, UpstreamServer]:
        servers: dict[str, UpstreamServer] = {}
        for group in self.scenario.servers:
            for _ in range(max(group.count, 1)):
                traits = ServerTraits(
                    group.capacity or DEFAULT_CAPACITY,
                    group.setup_ms or DEFAULT_SETUP_MS,
                    group.answer_ms,
                )
                name = f"s{len(servers)}"
                servers[name] = UpstreamServer(name, traits, self.recorder)
                if group.cold:
                    self._cold_servers.add(name)
        return servers

    @property
    def proxy_count(self) -> int:
        """Number of real proxies."""
        return max(self.scenario.proxies, 1)

    @property
    def proxy_peer_addresses(self) -> list[tuple[str, int]]:
        """Addresses at which the real proxies receive datagrams from peers."""
        return [("127.0.0.1", port) for port in self._proxy_peer_ports]

    def elapsed_s(self) -> float:
        """Return the time in seconds since the deployment started."""
        return asyncio.get_running_loop().time() - self._started_at_s

    def _next_proxy_address(self) -> tuple[str, int]:
        """Return the address of the next running proxy, round robin."""
        self._next_proxy += 1
        candidates = [proxy for proxy in self.proxies if proxy.is_running] or self.proxies
        return candidates[self._next_proxy % len(candidates)].address

    async def start(self) -> None:
        """Start all components.

        Raises:
            ProxyNotStartedError: A proxy ended or timed out before it listened.
            OSError: A stand-in could not open its socket.
        """
        for name, server in self.servers.items():
            await server.start(cold=name in self._cold_servers)
        await self.discovery.start()
        ports = [find_free_port() for _ in range(self.proxy_count + len(self.peers))]
        self._proxy_peer_ports = ports[: self.proxy_count]
        for peer, port in zip(self.peers, ports[self.proxy_count :], strict=True):
            await peer.start(port)
        peer_addresses = [f"127.0.0.1:{port}" for port in ports] if len(ports) > 1 else []
        for index in range(self.proxy_count):
            configuration = build_proxy_configuration(
                index,
                seed=self.scenario.seed + index,
                discovery_port=self.discovery.port,
                limits=build_limits(self.scenario),
                settings=build_proxy_settings(self.scenario, index),
                endpoints=self.discovery.describe_all_endpoints(),
                peers=peer_addresses,
            )
            name = f"n{index}"
            self.proxies.append(ProxyProcess(name, self._folder / name, configuration))
        await asyncio.gather(*(proxy.start() for proxy in self.proxies))
        self._started_at_s = asyncio.get_running_loop().time()

    async def wait_until_idle(self) -> dict[str, dict[str, Any]]:
        """Wait until no proxy holds a connection, for about ``IDLE_TIMEOUT_S`` per proxy at most.

        Returns:
            The last memory report of each proxy that answered.
        """
        reports: dict[str, dict[str, Any]] = {}
        for proxy in self.proxies:
            for _ in range(int(IDLE_TIMEOUT_S / IDLE_POLL_INTERVAL_S)):
                await asyncio.sleep(IDLE_POLL_INTERVAL_S)
                try:
                    report = await proxy.call("/v1/memory") or {}
                except (OSError, ValueError, TimeoutError):
                    break
                reports[proxy.name] = report
                if not report["purposes"]["connections"]["used"]:
                    break
        return reports

    async def stop(self) -> list[str]:
        """Stop the proxies and all stand-ins.

        Returns:
            Names of the proxies that ended with a non-zero exit code.
        """
        exit_codes = await asyncio.gather(*(proxy.stop() for proxy in self.proxies))
        for server in self.servers.values():
            await server.stop(reset=True)
        for peer in self.peers:
            peer.stop()
        return [
            proxy.name
            for proxy, exit_code in zip(self.proxies, exit_codes, strict=True)
            if exit_code
        ]
