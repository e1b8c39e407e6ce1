"""A request that may run once at most runs twice after an exam server has answered ``BYE``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

SERVERS = 9
BAD_SERVER = "s3"  # not more than "one of eight exam servers is bad"
REQUESTS = 80
INTERVAL_S = 0.15
BUDGET_MS = 2000
CLASSES = [("sinav-bitir", 300, BUDGET_MS, "at_most_once")]


def answer_bye(server: rig.Server, identity: str) -> bytes:
    """Serve a connection to its end at once."""
    return b"BYE\r\n"


async def play(record: rig.Record, folder: Path) -> tuple[bool, str]:
    """Play the case."""
    servers = [rig.Server(record, f"s{number}") for number in range(SERVERS)]
    for server in servers:
        if rig.TROUBLE and server.name == BAD_SERVER:
            server.first_answer = answer_bye
        await server.start()
    discovery = rig.Discovery(record, servers, ["n0"])
    await discovery.start()
    settings = rig.make_settings(CLASSES)
    configuration = rig.make_configuration("n0", settings, discovery)
    proxy = rig.Proxy(record, "n0", configuration, folder / "files")
    clients = []
    try:
        proxy.start()
        await proxy.wait_until_ready()
        answers = []
        for number in range(REQUESTS):
            fields = f"c=sinav-bitir,g={number * 2654435761 % 2**32:x}"
            clients.append(rig.Client(record, f"{number + 1:016x}", fields, BUDGET_MS))
            answers.append(asyncio.create_task(clients[-1].open(proxy.address)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*answers)
    finally:
        for client in clients:
            client.close()
        proxy.close()
    return judge(record, servers, clients)


def judge(
    record: rig.Record, servers: list[rig.Server], clients: list[rig.Client]
) -> tuple[bool, str]:
    """Find requests that ran more than once, or were refused although they have run."""
    ran_on: dict[str, list[str]] = {client.identity: [] for client in clients}
    for server in servers:
        for _, identity, _ in server.opened:  # ``UP`` and ``BYE`` both say that it has run
            ran_on[identity].append(server.name)
    twice = [client for client in clients if len(ran_on[client.identity]) > 1]
    refused = [c for c in clients if ran_on[c.identity] and (c.answer or "").startswith("BUSY")]
    for client in twice:
        names = " and ".join(ran_on[client.identity])
        record.line("case", f"ran twice: {client.identity} on {names}; answer {client.answer!r}")
    for client in refused:
        record.line("case", f"refused, though it ran: {client.identity}")
    reason = (
        f"{len(twice)} of {len(clients)} requests ran twice,"
        f" {len(refused)} were refused after they had run"
    )
    return not twice and not refused, reason


if __name__ == "__main__":
    rig.run_case(str(Path(__file__).resolve().parent), play)
