#!/usr/bin/env python3
"""Discovery is silent for six seconds: does sending to draining servers stop in time?"""

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

SERVERS = 12
DRAINING = 3  # a quarter of the servers
CLIENTS_PER_S = 20.0
SILENT_FROM_S = 5.5  # after the watch was opened
SILENT_FOR_S = 6.0
# What a silent long poll misses counts as told 2 s after its wait is over.
TOLD_AFTER_WAIT_S = 2.0
GRACE_S = 0.5 + 0.05
CLASSES = [request_class("plan-diario", 800, 4800, 1.0), request_class("serie", 500, 3000, 1.0)]


async def play(record: Record, platform: Platform, with_trouble: bool) -> list[str]:
    """Let servers drain while discovery is silent; return what was sent to them too late."""
    servers = [Server(record, f"s{number}") for number in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [Entry(each.name, each.address, site="hall") for each in servers])
    await discovery.start()
    port = free_port()
    own_settings = settings(
        CLASSES, contract={"stop_sending_within": 500_000}, policy_limits={"most_tries": 5}
    )
    file = platform.write_configuration(
        "proxy",
        configuration(own_settings, discovery.address, discovery.whole_list(), f"127.0.0.1:{port}"),
    )
    platform.start("n0", file)
    address = ("127.0.0.1", port)
    await wait_for_pong(address)
    visits: list[asyncio.Task[None]] = []

    async def send_clients(for_s: float) -> None:
        until_s = record.now() + for_s
        while record.now() < until_s:
            client = Client(record, "serie", 3000)
            visits.append(asyncio.create_task(client.run(address, 4.0)))
            await asyncio.sleep(1 / CLIENTS_PER_S)

    for _ in range(30):
        await send_clients(0.1)
        if discovery.watches:
            break
    else:
        raise CannotRunError("the proxy opened no watch")
    watch = discovery.watches[0]
    await send_clients(watch.opened_s + SILENT_FROM_S - record.now())
    if with_trouble:
        discovery.is_silent = True
        discovery.silence_watches()
    silent_until_s = record.now() + SILENT_FOR_S
    told_s = record.now() + TOLD_AFTER_WAIT_S
    for server in servers[:DRAINING]:
        await discovery.set_health(server.name, "draining")
        server.is_draining = True
    if with_trouble:
        told_s = max(watch.opened_s + watch.hold_s + TOLD_AFTER_WAIT_S, silent_until_s)
        await send_clients(silent_until_s - record.now())
        discovery.is_silent = False
        record.add("platform", "discovery answers again")
    until_s = told_s + GRACE_S
    record.add("platform", f"nothing new may be sent to what drains from {until_s:.3f} on")
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
