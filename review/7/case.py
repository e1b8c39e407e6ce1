#!/usr/bin/env python3
"""A watch falls silent while discovery is slow: does sending to a draining server stop in time?"""

from __future__ import annotations

import asyncio
from pathlib import Path

from stand_ins_2.case import run_case
from stand_ins_2.clients import Client
from stand_ins_2.discovery import Discovery, Entry
from stand_ins_2.platform import CannotRunError, Platform, free_port, wait_for_pong
from stand_ins_2.record import Record
from stand_ins_2.servers import Server
from stand_ins_2.settings import configuration, request_class, settings

SERVERS = 8
DRAINING = 2  # "a quarter of the exam servers begin to drain right after"
CLIENTS_PER_S = 12.0
# A call to discovery takes this long; at this site it may take 2 s before it fails.
DISCOVERY_DELAY_S = 1.6
# What a silent long poll misses counts as told 2 s after its wait is over.
TOLD_AFTER_WAIT_S = 2.0
GRACE_S = 3.0 + 0.05
CLASSES = [request_class("soru-getir", 500, 2000, 1.0), request_class("cevap", 500, 3000, 2.0)]


async def play(record: Record, platform: Platform, with_trouble: bool) -> list[str]:
    """Let servers drain behind a silent watch; return what was sent to them too late."""
    servers = [Server(record, f"s{number}") for number in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [Entry(each.name, each.address, site="hall") for each in servers])
    discovery.delay_s = DISCOVERY_DELAY_S
    await discovery.start()
    port = free_port()
    file = platform.write_configuration(
        "proxy",
        configuration(
            settings(CLASSES), discovery.address, discovery.whole_list(), f"127.0.0.1:{port}"
        ),
    )
    platform.start("n0", file)
    address = ("127.0.0.1", port)
    await wait_for_pong(address)
    visits: list[asyncio.Task[None]] = []

    async def send_clients(for_s: float) -> None:
        until_s = record.now() + for_s
        while record.now() < until_s:
            client = Client(record, "cevap", 3000)
            visits.append(asyncio.create_task(client.run(address, 4.0)))
            await asyncio.sleep(1 / CLIENTS_PER_S)

    await send_clients(3.0)
    for _ in range(100):
        if discovery.watches:
            break
        await send_clients(0.1)
    if not discovery.watches:
        raise CannotRunError("the proxy opened no watch")
    watch = discovery.watches[0]
    told_s = 0.0
    if with_trouble:
        discovery.silence_watches()
        told_s = watch.opened_s + watch.hold_s + TOLD_AFTER_WAIT_S
    for server in servers[:DRAINING]:
        changed_s = await discovery.set_health(server.name, "draining")
        server.is_draining = True
        told_s = max(told_s, changed_s + (0.0 if with_trouble else 6.0))
    record.add("platform", f"the change counts as told at {told_s:.3f} at the latest")
    until_s = told_s + GRACE_S
    await send_clients(until_s + 5.0 - record.now())
    for visit in visits:
        visit.cancel()
    await asyncio.gather(*visits, return_exceptions=True)
    return [
        f"{server.name} was sent {identity} at {at_s:.3f}, after {until_s:.3f}"
        for server in servers[:DRAINING]
        for at_s, identity in server.opened
        if at_s > until_s
    ]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
