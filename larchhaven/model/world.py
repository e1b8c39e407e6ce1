"""A deterministic world: one queue of events, processes that may sleep, be slow or die, and a network.

It hosts any pure program: something that takes datagrams and a time, and says what is to be sent and when it
wants its next turn. A program sees a clock of its own, which may begin anywhere. A process that is paused
keeps what arrives, as a socket does, up to ``SOCKET_MOST`` datagrams; a slow one takes a time for each.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Protocol

from larchhaven.model.network import Network

# Linux's default receive buffer holds some 270 small datagrams.
SOCKET_MOST = 270


@dataclass(frozen=True, slots=True)
class Datagram:
    """Something to be sent."""

    to: int
    data: bytes


class Program(Protocol):
    """What a process runs; anything beside datagrams that it gives out is handed to the observer."""

    @property
    def due(self) -> int:
        """When it wants its next turn, by its own clock."""

    def turn(self, now: int) -> Iterable[object]:
        """Do all that is due."""

    def receive(self, now: int, data: bytes, sender: int) -> Iterable[object]:
        """Take a datagram."""


Start = Callable[[int, int], Program]  # its own time and how often it was started before


@dataclass(slots=True)
class Process:
    """One process: it runs a program, or is down."""

    number: int
    start: Start
    program: Program | None = None
    lives: int = 0
    offset: int = 0  # its clock less the world's
    paused: bool = False
    cost: int = 0  # so long each datagram and each turn takes
    busy_until: int = 0
    inbox: deque[tuple[bytes, int]] = field(default_factory=deque)
    wake_at: int = -1  # when a turn is planned, world time
    sent: int = 0
    sent_bytes: int = 0
    overflowed: int = 0

    @property
    def running(self) -> bool:
        """Tell whether it lives, awake or not."""
        return self.program is not None


class World:
    """Processes, the network between them, and what is to happen when."""

    def __init__(self, network: Network) -> None:
        self.now = 0
        self.network = network
        self.processes: list[Process] = []
        self.events = 0
        self.observe: Callable[[Process, object], None] = lambda _process, _thing: None
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = 0
        self._trace = blake2b(digest_size=16)

    def at(self, time: int, then: Callable[[], None]) -> None:
        """Let something happen at a time; of two at once the one planned first is first."""
        self._order += 1
        heapq.heappush(self._queue, (max(time, self.now), self._order, then))

    def run(self, until: int) -> None:
        """Let everything happen up to a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, then = heapq.heappop(self._queue)
            self.events += 1
            then()
        self.now = until

    @property
    def trace(self) -> str:
        """Return a digest of all that was sent and taken so far, in order."""
        return self._trace.hexdigest()

    # Processes

    def add(self, start: Start, offset: int = 0) -> Process:
        """Add a process that is down."""
        process = Process(len(self.processes), start, offset=offset)
        self.processes.append(process)
        return process

    def begin(self, process: Process) -> None:
        """Start a process."""
        process.program = process.start(self.now + process.offset, process.lives)
        process.lives += 1
        process.paused = False
        process.inbox.clear()
        process.busy_until = self.now
        process.wake_at = -1
        self._plan(process)

    def kill(self, process: Process) -> None:
        """End a process: what it held is gone."""
        process.program = None
        process.inbox.clear()

    def pause(self, process: Process) -> None:
        """Stop a process where it is."""
        process.paused = True

    def resume(self, process: Process) -> None:
        """Let a paused process go on: what came meanwhile is taken first."""
        if process.paused:
            process.paused = False
            self._serve(process)

    def _ready(self, process: Process) -> bool:
        return process.program is not None and not process.paused and self.now >= process.busy_until

    def _arrive(self, process: Process, data: bytes, sender: int) -> None:
        if process.program is None:
            return  # nobody listens; a process that started since would be the one at the address
        if len(process.inbox) >= SOCKET_MOST:
            process.overflowed += 1
            return
        process.inbox.append((data, sender))
        self._serve(process)

    def _serve(self, process: Process) -> None:
        """Take what has arrived, then do what is due, as far as the process has time."""
        while process.inbox and self._ready(process) and process.program is not None:
            data, sender = process.inbox.popleft()
            self._trace.update(b"%d<%d" % (self.now, process.number) + data)
            own = self.now + process.offset
            self._carry_out(process, process.program.receive(own, data, sender))
        program = process.program
        if (
            program is not None
            and self._ready(process)
            and program.due <= self.now + process.offset
        ):
            self._carry_out(process, program.turn(self.now + process.offset))
        self._plan(process)

    def _carry_out(self, process: Process, actions: Iterable[object]) -> None:
        process.busy_until = self.now + process.cost
        for action in actions:
            if isinstance(action, Datagram):
                self.send(process, action)
            else:
                self.observe(process, action)

    def send(self, process: Process, action: Datagram) -> None:
        """Let a process send a datagram."""
        process.sent += 1
        process.sent_bytes += len(action.data)
        self._trace.update(b"%d>%d" % (self.now, action.to) + action.data)
        target = self.processes[action.to]
        for arrival in self.network.arrivals(self.now, process.number, action.to):
            self.at(arrival, lambda: self._arrive(target, action.data, process.number))

    def _plan(self, process: Process) -> None:
        """Plan the next turn, if none is planned by then."""
        if process.program is None or process.paused:
            return
        wanted = process.program.due - process.offset
        if process.inbox:
            wanted = self.now
        wanted = max(wanted, process.busy_until, self.now)
        if self.now < process.wake_at <= wanted:
            return
        process.wake_at = wanted
        life = process.lives
        self.at(wanted, lambda: self._wake(process, life, wanted))

    def _wake(self, process: Process, life: int, planned: int) -> None:
        if process.lives != life or process.program is None:
            return
        if process.wake_at == planned:
            process.wake_at = -1
        self._serve(process)
