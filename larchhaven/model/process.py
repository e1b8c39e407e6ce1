"""A simulated process: the program it runs, its clock, its socket buffer and its counters."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

NO_TURN_US = -1


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram that a program wants to be sent.

    Attributes:
        receiver: The number of the receiving process.
        data: The payload.
    """

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReceivedDatagram:
    """A datagram in the socket buffer of its receiver.

    Attributes:
        data: The payload.
        sender: The number of the sending process.
    """

    data: bytes
    sender: int


class Program(Protocol):
    """What a process runs.

    Times are microseconds of the process's own clock. Whatever a program puts out beside
    datagrams is handed to the observer of the simulation.
    """

    @property
    def due_us(self) -> int:
        """When the program wants its next turn."""

    def run_timers(self, now_us: int) -> Iterable[object]:
        """Do all that is due."""

    def receive(self, now_us: int, data: bytes, sender: int) -> Iterable[object]:
        """Handle a datagram."""


# Makes the program of a process at a start, from the process's own clock in microseconds and from
# how many times the process was started before.
ProgramFactory = Callable[[int, int], Program]


@dataclass(slots=True)
class Process:
    """One process: it runs a program, or is down.

    Attributes:
        number: Its index in the fleet.
        make_program: Makes the program at each start.
        clock_offset_us: Its monotonic clock less the simulated one.
        program: What it runs; None while it is down.
        starts: How many times it was started.
        is_paused: Whether it is stopped where it is; its socket buffer fills meanwhile.
        turn_cost_us: Processor time for each datagram and each turn.
        busy_until_us: When it is ready for the next datagram or turn.
        socket_buffer: What has arrived and was not handled yet.
        scheduled_turn_us: When a turn is scheduled, or ``NO_TURN_US``.
        datagrams_sent: Datagrams sent.
        bytes_sent: Payload bytes sent.
        socket_overflows: Datagrams that found the socket buffer full.
    """

    number: int
    make_program: ProgramFactory
    clock_offset_us: int = 0
    program: Program | None = None
    starts: int = 0
    is_paused: bool = False
    turn_cost_us: int = 0
    busy_until_us: int = 0
    socket_buffer: deque[ReceivedDatagram] = field(default_factory=deque)
    scheduled_turn_us: int = NO_TURN_US
    datagrams_sent: int = 0
    bytes_sent: int = 0
    socket_overflows: int = 0

    @property
    def is_running(self) -> bool:
        """Tell whether the process is up, paused or not."""
        return self.program is not None
