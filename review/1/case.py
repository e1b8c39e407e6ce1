"""An upgrade with 256 descriptors: the new process takes over connections and stops to accept."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

SOCKETS = 256
MAX_CLIENTS = SOCKETS // 3  # "Clients hold at most a third of the descriptors for requests"
SERVERS = 15
STANDING = 62
PER_S = 7.0
SIDE_BY_SIDE_S = 5.0  # at most; the new process is ready within the 6 s that the page gives it
LATER = 5
CLASSES = [("cell-updates", 300, 1200, "idempotent"), ("notices", 800, 3200, "idempotent")]


class Clients:
    """The clients of the deployment; never more than a third of the descriptors at a time."""

    def __init__(self, record: rig.Record, address: tuple[str, int]) -> None:
        self.record = record
        self.address = address
        self.all: list[rig.Client] = []
        self.most = MAX_CLIENTS - LATER
        self.waiting = 0
        self.standing = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def come(self, *, is_retry: bool = False) -> bool:
        """Let one more client come, unless as many as may come are there."""
        if self.standing + self.waiting >= self.most:
            return False
        number = len(self.all)
        name, _, budget_ms, _ = CLASSES[number % len(CLASSES)]
        fields = f"c={name},g={number * 2654435761 % 2**32:x}"
        client = rig.Client(self.record, f"{number + 1:016x}", fields, budget_ms)
        self.all.append(client)
        task = asyncio.create_task(self._run(client, is_retry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _run(self, client: rig.Client, is_retry: bool) -> None:
        self.waiting += 1
        answer = await client.open(self.address)
        self.waiting -= 1
        if answer is None:
            client.close()
        elif answer.startswith("UP"):
            self.standing += 1
            await client.talk()
            client.close()
            self.standing -= 1
        elif answer.startswith("BUSY") and not is_retry:
            await asyncio.sleep(int(answer.partition(" ")[2] or 0) / 1000)
            self.come(is_retry=True)

    async def come_for(self, seconds: float) -> None:
        """Let clients come at the usual rate until as many as may come stand, or for a time."""
        for _ in range(round(seconds * PER_S)):
            if self.standing >= self.most:
                return
            self.come()
            await asyncio.sleep(1 / PER_S)

    def end(self) -> None:
        """End all clients."""
        for task in self._tasks:
            task.cancel()
        for client in self.all:
            client.close()


async def play(record: rig.Record, folder: Path) -> tuple[bool, str]:
    """Play the case."""
    servers = [rig.Server(record, f"s{number:02}") for number in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = rig.Discovery(record, servers, ["n0"])
    await discovery.start()
    settings = rig.make_settings(CLASSES, mode="pass", drain_grace_ms=2000, max_attempts=4)
    configuration = rig.make_configuration("n0", settings, discovery, sockets=SOCKETS)
    listener = socket.create_server((rig.HOST, 0), backlog=1024)
    configuration["listen"] = "{}:{}".format(*listener.getsockname())
    successor_configuration = {**configuration, "mgmt": f"{rig.HOST}:{rig.free_port()}"}
    old = rig.Proxy(record, "old", configuration, folder / "files", listener.fileno())
    new = rig.Proxy(record, "new", successor_configuration, folder / "files", listener.fileno())
    clients = Clients(record, old.address)
    try:
        old.start()
        await old.wait_until_ready()
        while clients.standing < STANDING:
            clients.come()
            await asyncio.sleep(1 / PER_S / 4)
        current = old
        if rig.TROUBLE:
            new.start()
            await new.wait_for_yes()
            current = new
        await clients.come_for(SIDE_BY_SIDE_S)
        if rig.TROUBLE:
            old.send(signal.SIGTERM)
        await asyncio.sleep(2)
        _, metrics = await current.call("GET", "/v1/metrics")
        pending = json.loads(metrics)["pending"]
        used = sum(proxy.count_descriptors() for proxy in (old, new))
        record.line(
            "platform",
            f"{clients.standing} clients stand, the process counts {pending};"
            f" {used} of {SOCKETS} descriptors are open",
        )
        later = len(clients.all)
        clients.most = MAX_CLIENTS
        for _ in range(LATER):
            if not clients.come():
                raise rig.CouldNotRunError("clients hold a third of the descriptors already")
            await asyncio.sleep(1 / PER_S)
        await asyncio.sleep(max(budget_ms for _, _, budget_ms, _ in CLASSES) / 1000 + 1)
        sent = [client for client in clients.all if client.sent_at is not None]
        lost = [client for client in sent if not client.answer]
        for client in lost:
            record.line("case", f"lost: {client.identity}, sent at {client.sent_at:.3f}")
        reason = (
            f"{len(lost)} of {len(sent)} requests got no final answer"
            f" ({sum(not client.answer for client in clients.all[later:])} of the last {LATER});"
            f" {clients.standing} clients stood, {MAX_CLIENTS} are allowed"
        )
        return not lost, reason
    finally:
        clients.end()
        old.close()
        new.close()
        listener.close()


if __name__ == "__main__":
    rig.run_case(str(Path(__file__).resolve().parent), play)
