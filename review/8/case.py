#!/usr/bin/env python3
"""An operator drains a proxy while a server hangs: is a client still held 4 s after the call?"""

from __future__ import annotations

import asyncio
from pathlib import Path

from stand_ins_2.case import run_case
from stand_ins_2.clients import Client
from stand_ins_2.discovery import Discovery, Entry
from stand_ins_2.platform import (
    CannotRunError,
    Platform,
    call_operator,
    free_port,
    wait_for_pong,
)
from stand_ins_2.record import Record
from stand_ins_2.servers import Server
from stand_ins_2.settings import configuration, request_class, settings

SERVERS = 5
HANGING = 1  # up to a fifth of the servers take requests and answer none
CLIENTS = 40
CALL_AFTER_HANG_S = 1.5
MOVED_WITHIN_S = 4.0 + 0.05
CLASSES = [request_class("soru-getir", 500, 2000, 1.0), request_class("cevap", 500, 3000, 2.0)]


async def play(record: Record, platform: Platform, with_trouble: bool) -> list[str]:
    """Drain the proxy; return the clients that it still holds after 4 s."""
    servers = [Server(record, f"s{number}") for number in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [Entry(each.name, each.address, site="hall") for each in servers])
    await discovery.start()
    port = free_port()
    admin = f"127.0.0.1:{free_port()}"
    file = platform.write_configuration(
        "proxy",
        configuration(
            settings(CLASSES, family_info={"mode": "proxy", "park": 0}),
            discovery.address,
            discovery.whole_list(),
            f"127.0.0.1:{port}",
        ),
    )
    platform.start("n0", file, admin=admin)
    address = ("127.0.0.1", port)
    await wait_for_pong(address)
    clients = [Client(record, "cevap", 3000) for _ in range(CLIENTS)]
    visits = []
    for client in clients:
        visits.append(asyncio.create_task(client.run(address, 60.0)))
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.5)
    if with_trouble:
        for server in servers[:HANGING]:
            server.halves_answers = True
            record.add(server.name, "hangs from now on, in the middle of its next lines")
    await asyncio.sleep(CALL_AFTER_HANG_S)
    held = [each for each in clients if each.answer and each.ended_s is None]
    called_s = record.add("operator", "calls drain")
    if await call_operator(admin, "POST", "/v1/proxy/drain") // 100 != 2:
        raise CannotRunError("the call was not answered yes")
    await asyncio.sleep(called_s + MOVED_WITHIN_S - record.now())
    due_s = record.add("operator", "4 s are over")
    breaches = [
        f"client {each.identity} is held at {due_s - called_s:.2f} s after the call"
        for each in held
        if each.ended_s is None and not each.was_moved
    ]
    await asyncio.sleep(4.0)
    for visit in visits:
        visit.cancel()
    await asyncio.gather(*visits, return_exceptions=True)
    return breaches


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
