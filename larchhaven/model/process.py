"""A simulated process: its program, clock, socket buffer and counters."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

NO_TURN_US = -1


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram for the simulation to send.

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
    """The program of a process.

    Times are microseconds of the process's own clock. Both methods return outputs: a ``Datagram``
    is sent, and any other object is passed to the observer of the simulation. A call of
    ``run_timers`` is a turn of the program.
    """

    @property
    def due_us(self) -> int:
        """When ``run_timers`` has to be called next."""

    def run_timers(self, now_us: int) -> Iterable[object]:
        """Run all timers that are due."""

    def receive(self, now_us: int, data: bytes, sender: int) -> Iterable[object]:
        """Handle a datagram."""


# Creates the program of a starting process. Arguments: the time of the process's own clock in
# microseconds, and the number of its earlier starts.
ProgramFactory = Callable[[int, int], Program]


@dataclass(slots=True)
class Process:
    """A process, which either runs a program or is down.

    Attributes:
        number: The index of the process in the fleet.
        make_program: Creates the program at each start.
        clock_offset_us: Monotonic clock of the process minus the simulated clock.
        program: The running program, or None while the process is down.
        starts: The number of times that it was started.
        is_paused: Whether execution is suspended. Its socket buffer continues to fill.
        turn_cost_us: Processing time of each datagram and each turn.
        busy_until_us: Simulated time when it can handle the next datagram or turn.
        socket_buffer: Datagrams that have arrived and are not handled yet.
        scheduled_turn_us: Simulated time of the next scheduled turn, or ``NO_TURN_US``.
        datagrams_sent: Number of datagrams sent.
        bytes_sent: Number of payload bytes sent.
        socket_overflows: Number of datagrams dropped because the socket buffer was full.
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
        """Whether the process is up, even if it is paused."""
        return self.program is not None
