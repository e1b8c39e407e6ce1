"""Discovery is down into a release; proxies call it again too late, and send to drained servers."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

PROXIES = 4
SERVERS = 10
DRAINED = 5  # not more than "six in ten exam servers are replaced within 7 s"
ROUNDS = 5
OUTAGE_S = 11.0
RELEASE_AFTER_S = 9.0  # the outage reaches into the release
STAYS_S = 1.0  # a drained server leaves so long after the last moment for a send
AWAY_S = 1.0
BETWEEN_S = 0.5
GRACE_S = 0.5  # stop_sending_within of plan-norte
TOLD_S = 6.0  # "at the latest 6 s after discovery had it and could be reached"
LIMIT_SLACK_S = 0.05  # "every time limit is 50 ms longer"
MEASURING_SLACK_S = 0.15  # for the stand-in, which may read a first line late
PER_S = 15.0  # of each proxy
LIFE_S = 5.0
CLASSES = [("plan-diario", 800, 4800, "idempotent"), ("serie-hecha", 500, 3000, "idempotent")]


class Traffic:
    """Clients that come steadily to each proxy, stay for a while and leave."""

    def __init__(self, record: rig.Record, proxies: list[rig.Proxy]) -> None:
        self.record = record
        self.proxies = proxies
        self.proxy_of: dict[str, str] = {}
        self.cut_off: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Let clients come from now on."""
        for proxy in self.proxies:
            self._add_task(asyncio.create_task(self._come(proxy)))

    def end(self) -> None:
        """End all clients."""
        for task in self._tasks:
            task.cancel()

    def _add_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _come(self, proxy: rig.Proxy) -> None:
        while True:
            self._add_task(asyncio.create_task(self._visit(proxy)))
            await asyncio.sleep(1 / PER_S)

    async def _visit(self, proxy: rig.Proxy) -> None:
        number = len(self.proxy_of) + 1
        identity = f"{number:016x}"
        self.proxy_of[identity] = proxy.name
        name, _, budget_ms, _ = CLASSES[number % len(CLASSES)]
        fields = f"c={name},g={number * 2654435761 % 2**32:x}"
        client = rig.Client(self.record, identity, fields, budget_ms)
        try:
            is_up = (await client.open(proxy.address) or "").startswith("UP")
            if is_up and not await asyncio.wait_for(client.talk(), LIFE_S):
                self.cut_off.append(identity)
        except TimeoutError:
            pass
        finally:
            client.close()


async def play(record: rig.Record, folder: Path) -> tuple[bool, str]:
    """Play the case."""
    servers = [rig.Server(record, f"s{number}", capacity=200) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    names = [f"n{number}" for number in range(PROXIES)]
    discovery = rig.Discovery(record, servers, names)
    await discovery.start()
    proxies = []
    for index, name in enumerate(names):
        settings = rig.make_settings(
            CLASSES,
            drain_grace_ms=round(GRACE_S * 1000),
            max_attempts=5,
            proxies=PROXIES,
            index=index,
        )
        configuration = rig.make_configuration(name, settings, discovery)
        proxies.append(rig.Proxy(record, name, configuration, folder / name))
    traffic = Traffic(record, proxies)
    late: dict[str, str] = {}
    try:
        for proxy in proxies:
            proxy.start()
        for proxy in proxies:
            await proxy.wait_until_ready()
        traffic.start()
        await asyncio.sleep(3)
        for round_number in range(ROUNDS):
            first = round_number * DRAINED
            drained = [servers[(first + step) % SERVERS] for step in range(DRAINED)]
            late |= await play_round(record, discovery, drained, traffic)
    finally:
        traffic.end()
        for proxy in proxies:
            proxy.close()
    for text in late.values():
        record.line("case", text)
    lost = [identity for identity in traffic.cut_off if identity in late]
    reason = (
        f"{len(late)} first lines were sent to draining servers after the limit,"
        f" {len(lost)} of these connections were cut off without MOVE when the server left"
    )
    return not late, reason


async def play_round(
    record: rig.Record, discovery: rig.Discovery, drained: list[rig.Server], traffic: Traffic
) -> dict[str, str]:
    """Play one outage with a release; return a text for each send that came too late, by its id."""
    if rig.TROUBLE:
        discovery.set_down(True)
    await asyncio.sleep(RELEASE_AFTER_S)
    for server in drained:
        discovery.publish(server, "draining")
    version = discovery.version
    await asyncio.sleep(OUTAGE_S - RELEASE_AFTER_S)
    if rig.TROUBLE:
        discovery.set_down(False)
    back_at = record.now()
    await asyncio.sleep(TOLD_S + GRACE_S + STAYS_S)
    for server in drained:
        server.stop()
        discovery.publish(server, "gone")
    await asyncio.sleep(AWAY_S)
    late = {}
    for server in drained:
        for opened_at, identity, _ in server.opened:
            proxy = traffic.proxy_of[identity]
            told_at = min(discovery.told[proxy].get(version, back_at + TOLD_S), back_at + TOLD_S)
            limit = told_at + GRACE_S + LIMIT_SLACK_S + MEASURING_SLACK_S
            if opened_at > limit and opened_at >= back_at:
                late[identity] = (
                    f"late: {identity} of {proxy} at {opened_at:.3f} to {server.name}; discovery"
                    f" was back at {back_at:.3f}, so told by {told_at:.3f}, limit {limit:.3f}"
                )
    for server in drained:
        await server.start()
        server.born_ms = time.time_ns() // 1_000_000
        discovery.publish(server, "ready")
    await asyncio.sleep(BETWEEN_S)
    return late


if __name__ == "__main__":
    rig.run_case(str(Path(__file__).resolve().parent), play)
