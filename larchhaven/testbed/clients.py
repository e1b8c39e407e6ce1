"""Stand-in terminals, usual ones and those that are a trouble to everybody."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from larchhaven.testbed.event_record import Recorder
from larchhaven.testbed.scenario_pb2 import Terminals as Group

_RESET = struct.pack("ii", 1, 0)
# A terminal stops waiting for its answer so long after its patience has ended: the rule checker tells then.
OVERTIME_S = 2.0
_BLOCK = b"x" * 65_536


@dataclass(slots=True)
class Wishes:
    """One group of terminals, with its defaults filled in; seconds and bytes."""

    cls: str
    habit: int = Group.USUAL
    rate: float = 0.0
    stay: float = 10.0
    message: float = 2.0
    patience_ms: int = 2_000
    retries: int = 1
    gap: tuple[float, float] = (0.05, 1.7)
    group_size: int = 1
    size: int = 2_000_000
    id_bytes: int = 16
    member: str = ""

    @classmethod
    def of(cls, group: Group) -> Wishes:
        """Read a scenario's group."""
        return cls(
            group.__getattribute__("class") or "chat",
            group.habit,
            group.arrivals_per_second,
            group.stay_seconds or 10.0,
            group.message_seconds or 2.0,
            int(group.patience_ms or 2_000),
            group.retries,
            (group.gap_least_ms / 1000 or 0.05, group.gap_most_ms / 1000 or 1.7),
            group.group_size or 1,
            group.bytes or 2_000_000,
            group.id_bytes or 16,
            group.member,
        )


@dataclass(slots=True)
class Counts:
    """What terminals of one class met."""

    asked: int = 0
    answers: dict[str, int] = field(default_factory=dict)
    moves: int = 0
    lost: int = 0
    setup_ms: list[float] = field(default_factory=list)


SETUPS_KEPT = 20_000


class Terminals:
    """All terminals of a day; each visit is a task of its own."""

    def __init__(
        self, address: Callable[[], tuple[str, int]], recorder: Recorder, rng: random.Random
    ) -> None:
        self._address = address
        self._recorder = recorder
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()
        self._standing: set[asyncio.StreamWriter] = set()
        self._broken: set[asyncio.StreamWriter] = set()  # by us
        self._members = 0
        self.counts: dict[str, Counts] = {}
        self.members: dict[str, Counter[str]] = {}  # what those of each member were answered

    @property
    def present(self) -> int:
        """Count the terminals that are here, or wait to come again."""
        return len(self._tasks)

    @property
    def standing(self) -> int:
        """Count the connections that stand."""
        return len(self._standing)

    def arrive(self, wishes: Wishes) -> None:
        """Have one terminal come."""
        task = asyncio.get_running_loop().create_task(self._live(wishes))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def break_all(self) -> None:
        """Break all standing connections; their terminals come again."""
        for writer in list(self._standing):
            self._broken.add(writer)
            writer.transport.abort()

    async def end(self) -> None:
        """Have all terminals leave."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _live(self, wishes: Wishes) -> None:
        rng = random.Random(self._rng.getrandbits(64))
        self._members += 1
        group = (self._members - 1) // wishes.group_size + 1
        until = asyncio.get_running_loop().time() + rng.expovariate(1 / wishes.stay)
        tries, again = wishes.retries, False
        with contextlib.suppress(OSError):
            while True:
                came = await self._visit(wishes, rng, group, again, until)
                if came == "again":
                    again = True
                elif came == "BUSY" and tries:
                    tries -= 1
                else:
                    return
                await asyncio.sleep(rng.uniform(*wishes.gap))

    async def _visit(
        self, wishes: Wishes, rng: random.Random, group: int, again: bool, until: float
    ) -> str:
        """Come once; return the first word of the answer, or ``again`` if it was moved or broken off."""
        reader, writer = await self._connect(wishes.habit == Group.NEVER_READ)
        name = f"{rng.getrandbits(4 * 16):016x}" * (wishes.id_bytes // 16 or 1)
        member = f",t={wishes.member}" if wishes.member else ""
        fields = f"c={wishes.cls}{member},d={wishes.patience_ms},g={group:x}" + (
            ",again=1" if again else ""
        )
        line = f"OPEN {name} {rng.getrandbits(64):016x} {fields}\r\n".encode()
        try:
            if wishes.habit not in (Group.USUAL, Group.NEVER_READ, Group.RESETS):
                await self._abuse(wishes, rng, reader, writer, line)
                return "abuse"
            return await self._usual(wishes, rng, reader, writer, line, name, until)
        except asyncio.CancelledError:
            self._recorder.note("leave", id=name)
            raise
        finally:
            self._standing.discard(writer)
            self._broken.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _connect(self, small: bool) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect; ``small`` if little of what is not read should fit on our side."""
        if not small:
            return await asyncio.open_connection(*self._address(), limit=1 << 16)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self._address())
        except OSError:
            sock.close()
            raise
        return await asyncio.open_connection(sock=sock, limit=1024)

    async def _usual(
        self,
        wishes: Wishes,
        rng: random.Random,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        line: bytes,
        name: str,
        until: float,
    ) -> str:
        loop = asyncio.get_running_loop()
        counts = self.counts.setdefault(wishes.cls, Counts())
        counts.asked += 1
        self._recorder.note("ask", id=name, wait=wishes.patience_ms * 1000)
        writer.write(line)
        asked = loop.time()
        try:
            answer = await asyncio.wait_for(_line(reader), wishes.patience_ms / 1000 + OVERTIME_S)
        except TimeoutError:
            counts.answers["none"] = counts.answers.get("none", 0) + 1
            return "none"
        self._recorder.note("answer", id=name, text=answer)
        word = answer.partition(" ")[0] or "end"
        counts.answers[word] = counts.answers.get(word, 0) + 1
        if wishes.member:
            self.members.setdefault(wishes.member, Counter())[word] += 1
        if word != "UP":
            return word
        if len(counts.setup_ms) < SETUPS_KEPT:
            counts.setup_ms.append((loop.time() - asked) * 1000)
        self._standing.add(writer)
        if wishes.habit == Group.RESETS:
            _reset(writer)
            self._recorder.note("leave", id=name)
            return "left"
        if wishes.habit == Group.NEVER_READ:
            writer.write(f"flood {wishes.size}\r\n".encode())
            await asyncio.sleep(max(until - loop.time(), 0))
            self._recorder.note("leave", id=name)
            return "left"
        return await self._talk(wishes, rng, reader, writer, name, until, counts)

    async def _talk(
        self,
        wishes: Wishes,
        rng: random.Random,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        name: str,
        until: float,
        counts: Counts,
    ) -> str:
        loop = asyncio.get_running_loop()
        speak = loop.time() + rng.uniform(0, wishes.message)
        number = 0
        while True:
            left = min(speak, until) - loop.time()
            if left > 0:
                try:
                    async with asyncio.timeout(left):
                        line = await _line(reader)
                except TimeoutError:
                    continue
                if line == "MOVE":
                    counts.moves += 1
                    self._recorder.note("move", id=name)
                    return "again"
                if not line and writer in self._broken:
                    self._recorder.note("leave", id=name)
                    return "again"
                if not line:
                    counts.lost += 1
                    self._recorder.note("end", id=name, text="end")
                    return "again"
                continue
            if loop.time() >= until:
                self._recorder.note("leave", id=name)
                return "left"
            number += 1
            with contextlib.suppress(OSError):  # the next read tells
                writer.write(f"question {number}\r\n".encode())
            speak = loop.time() + wishes.message

    async def _abuse(
        self,
        wishes: Wishes,
        rng: random.Random,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        line: bytes,
    ) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(wishes.stay):
                if wishes.habit == Group.HALF_COMMAND:
                    writer.write(line[: len(line) // 2])
                elif wishes.habit == Group.CUT:
                    writer.write(line[: rng.randrange(len(line))])
                    return
                elif wishes.habit == Group.SLOW_LINES:
                    for byte in line:
                        writer.write(bytes([byte]))
                        await asyncio.sleep(0.1)
                elif wishes.habit == Group.ENDLESS:
                    for _ in range(wishes.size // len(_BLOCK) + 1):
                        writer.write(_BLOCK)
                        await writer.drain()
                while await reader.read(65_536):
                    pass


async def _line(reader: asyncio.StreamReader) -> str:
    """Read a line; an end or a break is the empty string."""
    try:
        return (await reader.readuntil(b"\r\n")).decode("latin-1").removesuffix("\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return ""


def _reset(writer: asyncio.StreamWriter) -> None:
    sock: socket.socket = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()
