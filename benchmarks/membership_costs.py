"""What membership costs one proxy of a tier of 200: memory, processor time and start, on against off.

    python -m benchmarks.membership_costs [--size 200] [--seconds 20] [--rounds 5] [--json]

One real proxy process; the other members are real cores hosted here in real time, with a socket each towards
the proxy. Off means the operators' file does not turn it on; the others then speak as well, so that the cost
of datagrams that nobody wants is in both. Ratios are of medians over rounds in one run, the order drawn anew.
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
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from larchhaven.lab.discovery import Discovery
from larchhaven.lab.network import HERE
from larchhaven.lab.proxy import Proxy, free_port
from larchhaven.lab.record import Recorder
from larchhaven.lab.scenario_pb2 import Scenario
from larchhaven.lab.servers import ExamServer, Traits
from larchhaven.lab.site import settings
from larchhaven.lab.tier import KEY, operator_text
from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.member import MemberInfo
from larchhaven.model.membership_program import MembershipProgram
from larchhaven.model.process import Datagram
from larchhaven.net.control.membership_switch import derive_key

TICK_S = 0.005


class Crowd:
    """The other members: cores here, each with a socket towards the proxy, which is number 0."""

    def __init__(self, size: int, port: int) -> None:
        self.size = size
        self.port = port
        self.addresses: list[str] = []
        self._programs: dict[int, MembershipProgram] = {}
        self._ways: dict[int, asyncio.DatagramTransport] = {}

    async def start(self) -> None:
        """Open the sockets and start the cores."""
        crowd = self
        now = time.monotonic_ns() // 1000

        class Way(asyncio.DatagramProtocol):
            def __init__(self, number: int) -> None:
                self.number = number

            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                program = crowd._programs[self.number]
                if data[:1] == b"M":
                    crowd.carry_out(
                        self.number, program.receive(time.monotonic_ns() // 1000, data, 0)
                    )

        for number in range(1, self.size):
            way, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda number=number: Way(number),
                (HERE, 0),  # type: ignore[misc]
            )
            self._ways[number] = way
            self.addresses.append("{}:{}".format(*way.get_extra_info("sockname")))
            rng = random.Random(number)
            about = MemberInfo(f"n{number}", number % 3)
            program = MembershipProgram(
                now, number, self.size, about, 100, rng.getrandbits(32), rng, ProtocolConfig()
            )
            program.authenticator.keys = (derive_key(KEY),)
            self._programs[number] = program

    def carry_out(self, number: int, actions: Iterable[object]) -> None:
        """Send what a core wants to be sent."""
        for action in actions:
            if isinstance(action, Datagram):
                if action.receiver:
                    program = self._programs[action.receiver]
                    got = program.receive(time.monotonic_ns() // 1000, action.data, number)
                    self.carry_out(action.receiver, list(got))
                else:
                    self._ways[number].sendto(action.data, (HERE, self.port))

    async def run(self) -> None:
        """Turn all cores for ever."""
        while True:
            now = time.monotonic_ns() // 1000
            for number, program in self._programs.items():
                if program.due_us <= now:
                    self.carry_out(number, list(program.run_timers(now)))
            await asyncio.sleep(TICK_S)


def cpu(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure(size: int, on: bool, seconds: float) -> dict[str, float]:
    """Run one proxy among the crowd; return what it took."""
    server = ExamServer("s0", Traits(50.0, 5.0, 0.0), Recorder(None))
    await server.start(False)
    discovery = Discovery({"s0": server}, Recorder(None))
    await discovery.start()
    port = free_port()
    crowd = Crowd(size, port)
    await crowd.start()
    own = settings(Scenario(proxies=1), 0) | {"instances": size}
    own["policy_limits"] |= {"may_tell": True}
    with tempfile.TemporaryDirectory() as folder:
        peers = [f"{HERE}:{port}", *crowd.addresses]
        configuration: dict[str, Any] = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "mgmt": "127.0.0.1:0",
            "seed": "1",
            "discovery": f"127.0.0.1:{discovery.port}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "settings": own,
            "peer_listen": peers[0],
            "peers": peers,
            "known": {"seq": 1, "whole": True, "hosts": [discovery.entry("s0")]},
        }
        proxy = Proxy("n0", Path(folder), configuration)
        proxy.operator_file.write_text(operator_text(on=on))
        running = asyncio.get_running_loop().create_task(crowd.run())
        await asyncio.sleep(2)
        began = time.monotonic()
        await proxy.start()
        started = time.monotonic() - began
        await asyncio.sleep(8)  # accounts have come, views are equal
        before, at = cpu(proxy.pid), time.monotonic()
        await asyncio.sleep(seconds)
        took = (cpu(proxy.pid) - before) / (time.monotonic() - at)
        resident = proxy.resident()
        view = await proxy.call("/v1/members")
        running.cancel()
        await proxy.end()
    await server.stop(reset=True)
    here = float(view.get("here", 0))
    return {"start_s": started, "cpu_share": took, "resident": resident, "here": here}


def main() -> None:
    """Print the medians and what they say."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--size", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    found: dict[bool, list[dict[str, float]]] = {True: [], False: []}
    rng = random.Random(1)
    for _ in range(args.rounds):
        for on in rng.sample([True, False], 2):
            found[on].append(asyncio.run(measure(args.size, on, args.seconds)))
    medians = {
        name: {key: statistics.median(r[key] for r in found[on]) for key in found[on][0]}
        for name, on in (("on", True), ("off", False))
    }
    more = medians["on"]["resident"] - medians["off"]["resident"]
    medians["difference"] = {
        "resident_bytes_a_place": more / args.size,
        "cpu_share": medians["on"]["cpu_share"] - medians["off"]["cpu_share"],
        "start_ratio": medians["on"]["start_s"] / medians["off"]["start_s"],
    }
    if args.json:
        print(json.dumps(medians))
    else:
        for name, values in medians.items():
            print(name, ", ".join(f"{key} {value:.4g}" for key, value in values.items()))


if __name__ == "__main__":
    main()
