"""Costs of membership for one proxy of a fleet: memory, processor time and start-up time.

    python -m benchmarks.membership_costs [--size 200] [--seconds 20] [--rounds 5] [--json]

One proxy runs as a real process. The other members run the real protocol code in this process, in
real time and each with its own socket to the proxy. The proxy is measured with membership turned on
and off in the operators' file. The other members send in both cases, so both include the cost of
receiving their datagrams. Each round measures both cases in random order; the results are medians
over the rounds of one run.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import statistics
import tempfile
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.member import MemberInfo
from larchhaven.model.membership_program import MembershipProgram
from larchhaven.model.process import Datagram
from larchhaven.net.control.membership_switch import derive_key
from larchhaven.testbed.discovery import Discovery
from larchhaven.testbed.event_record import EventRecorder, read_clock_us
from larchhaven.testbed.faulty_network import LOOPBACK
from larchhaven.testbed.free_ports import find_free_port
from larchhaven.testbed.proxy_configuration import build_proxy_configuration, build_proxy_settings
from larchhaven.testbed.proxy_fleet import MEMBERSHIP_KEY, PROXY_LIMITS, write_operator_text
from larchhaven.testbed.proxy_process import ProxyProcess
from larchhaven.testbed.scenario_pb2 import Scenario
from larchhaven.testbed.upstream_servers import ServerTraits, UpstreamServer

TICK_S = 0.005
WARM_UP_S = 2.0
# Time until all members are known and all views are equal.
SETTLE_S = 8.0
ZONES = 3
FIRST_INCARNATION = 100
MEMBERSHIP_PREFIX = b"M"
PROXY_NUMBER = 0


class _MemberSocket(asyncio.DatagramProtocol):
    """The socket that connects one hosted member with the proxy."""

    def __init__(self, members: HostedMembers, number: int) -> None:
        self._members = members
        self._number = number

    def datagram_received(self, data: bytes, _addr: tuple[str, int]) -> None:
        """Pass a datagram from the proxy to the member."""
        if data.startswith(MEMBERSHIP_PREFIX):
            self._members.receive(self._number, data)


class HostedMembers:
    """All members except the proxy, each with its own socket to the proxy.

    Attributes:
        addresses: Addresses of the members, ordered by member number from 1.
    """

    def __init__(self, size: int, proxy_port: int) -> None:
        self.addresses: list[str] = []
        self._size = size
        self._proxy_port = proxy_port
        self._programs: dict[int, MembershipProgram] = {}
        self._transports: dict[int, asyncio.DatagramTransport] = {}

    async def start(self) -> None:
        """Open the sockets and start the members."""
        now_us = read_clock_us()
        for number in range(1, self._size):
            await self._open_socket(number)
            self._programs[number] = self._make_program(number, now_us)

    async def _open_socket(self, number: int) -> None:
        protocol = _MemberSocket(self, number)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: protocol, (LOOPBACK, 0))
        self._transports[number] = transport
        host, port = transport.get_extra_info("sockname")
        self.addresses.append(f"{host}:{port}")

    def _make_program(self, number: int, now_us: int) -> MembershipProgram:
        rng = random.Random(number)
        info = MemberInfo(f"n{number}", number % ZONES)
        program = MembershipProgram(
            now_us,
            number,
            self._size,
            info,
            FIRST_INCARNATION,
            rng.getrandbits(32),
            rng,
            ProtocolConfig(),
        )
        program.authenticator.keys = (derive_key(MEMBERSHIP_KEY),)
        return program

    def receive(self, number: int, data: bytes) -> None:
        """Handle a datagram that a member received from the proxy."""
        program = self._programs[number]
        self._execute(number, program.receive(read_clock_us(), data, PROXY_NUMBER))

    def _execute(self, number: int, actions: Iterable[object]) -> None:
        """Send the datagrams among a member's actions to the proxy or to other members."""
        for action in actions:
            if not isinstance(action, Datagram):
                continue
            if action.receiver == PROXY_NUMBER:
                self._transports[number].sendto(action.data, (LOOPBACK, self._proxy_port))
            else:
                receiver = self._programs[action.receiver]
                replies = receiver.receive(read_clock_us(), action.data, number)
                self._execute(action.receiver, list(replies))

    async def run(self) -> None:
        """Run the timers of all members until cancelled."""
        while True:
            now_us = read_clock_us()
            for number, program in self._programs.items():
                if program.due_us <= now_us:
                    self._execute(number, list(program.run_timers(now_us)))
            await asyncio.sleep(TICK_S)


@dataclass(frozen=True, slots=True)
class Costs:
    """Costs of one proxy; the field names are keys of the output.

    Attributes:
        start_s: Time until the proxy listened.
        cpu_share: Processor time as a fraction of wall time.
        resident: Resident size in bytes.
        here: Number of members that the proxy considered present.
    """

    start_s: float
    cpu_share: float
    resident: float
    here: float


def read_processor_time_s(process_id: int) -> float:
    """Return the processor time used by a process, in seconds."""
    stat = Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    user_ticks = int(stat[11])
    system_ticks = int(stat[12])
    return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")


def _build_configuration(size: int, discovery: Discovery, peers: Sequence[str]) -> dict[str, Any]:
    settings = build_proxy_settings(Scenario(proxies=1))
    settings["instances"] = size
    settings["policy_limits"]["may_tell"] = True
    return build_proxy_configuration(
        PROXY_NUMBER,
        seed=1,
        discovery_port=discovery.port,
        limits=PROXY_LIMITS,
        settings=settings,
        endpoints=discovery.describe_all_endpoints(),
        peers=peers,
    )


async def measure_proxy(proxy: ProxyProcess, duration_s: float) -> Costs:
    """Start a proxy and measure its costs once its view has settled."""
    started_at_s = time.monotonic()
    await proxy.start()
    start_s = time.monotonic() - started_at_s
    await asyncio.sleep(SETTLE_S)
    processor_time_before_s = read_processor_time_s(proxy.process_id)
    measured_from_s = time.monotonic()
    await asyncio.sleep(duration_s)
    processor_time_s = read_processor_time_s(proxy.process_id) - processor_time_before_s
    cpu_share = processor_time_s / (time.monotonic() - measured_from_s)
    resident_bytes = proxy.resident_bytes()
    view = await proxy.call("/v1/members")
    return Costs(start_s, cpu_share, resident_bytes, float(view.get("here", 0)))


async def measure(size: int, *, enabled: bool, duration_s: float) -> Costs:
    """Run one proxy with the hosted members and measure its costs.

    Args:
        size: Number of members including the proxy.
        enabled: Whether the operators' file turns membership on.
        duration_s: Period over which processor time is measured.
    """
    recorder = EventRecorder()
    server = UpstreamServer("s0", ServerTraits(), recorder)
    await server.start()
    discovery = Discovery({"s0": server}, recorder)
    await discovery.start()
    proxy_port = find_free_port()
    members = HostedMembers(size, proxy_port)
    await members.start()
    with tempfile.TemporaryDirectory() as folder:
        peers = [f"{LOOPBACK}:{proxy_port}", *members.addresses]
        configuration = _build_configuration(size, discovery, peers)
        proxy = ProxyProcess("n0", Path(folder), configuration)
        proxy.operator_file.write_text(write_operator_text(enabled=enabled))
        members_task = asyncio.get_running_loop().create_task(members.run())
        await asyncio.sleep(WARM_UP_S)
        costs = await measure_proxy(proxy, duration_s)
        members_task.cancel()
        await proxy.stop()
    await server.stop(reset=True)
    return costs


def _medians(rounds: Sequence[Costs]) -> dict[str, float]:
    return {
        field.name: statistics.median(getattr(costs, field.name) for costs in rounds)
        for field in fields(Costs)
    }


def compare(size: int, on: dict[str, float], off: dict[str, float]) -> dict[str, float]:
    """Return the difference between the costs with membership on and off."""
    return {
        "resident_bytes_a_place": (on["resident"] - off["resident"]) / size,
        "cpu_share": on["cpu_share"] - off["cpu_share"],
        "start_ratio": on["start_s"] / off["start_s"],
    }


def main() -> None:
    """Measure both cases and print their medians and the difference."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--size", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rounds: dict[bool, list[Costs]] = {True: [], False: []}
    rng = random.Random(1)
    for _ in range(options.rounds):
        for enabled in rng.sample([True, False], 2):
            measurement = measure(options.size, enabled=enabled, duration_s=options.seconds)
            rounds[enabled].append(asyncio.run(measurement))
    on, off = _medians(rounds[True]), _medians(rounds[False])
    output = {"on": on, "off": off, "difference": compare(options.size, on, off)}
    if options.json:
        print(json.dumps(output))
        return
    for name, values in output.items():
        print(name, ", ".join(f"{key} {value:.4g}" for key, value in values.items()))


if __name__ == "__main__":
    main()
