"""A deterministic simulation: processes with their own clocks, a network, and one event queue.

It runs any program without I/O of its own: the program takes datagrams and times, returns the
datagrams to send, and states when its next turn is due. A paused process buffers up to
``SOCKET_BUFFER_DATAGRAMS`` arriving datagrams, like a socket. A slow process spends a fixed time on
each datagram and turn.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from hashlib import blake2b

from larchhaven.model.event_queue import EventQueue
from larchhaven.model.network import SimulatedNetwork
from larchhaven.model.process import (
    NO_TURN_US,
    Datagram,
    Process,
    ProgramFactory,
    ReceivedDatagram,
)

# Linux's default receive buffer holds about this many small datagrams.
SOCKET_BUFFER_DATAGRAMS = 270
TRACE_DIGEST_BYTES = 16

# Called with a process and an output of its program that is not a datagram.
Observer = Callable[[Process, object], None]


class Simulation:
    """Processes and the network between them, driven by one event queue.

    Args:
        network: The network between the processes.

    Attributes:
        network: The network between the processes.
        events: The simulated clock and the scheduled events.
        processes: All processes, by number.
        observe: Called with the outputs of programs that are not datagrams.
    """

    def __init__(self, network: SimulatedNetwork) -> None:
        self.network = network
        self.events = EventQueue()
        self.processes: list[Process] = []
        self.observe: Observer = lambda _process, _output: None
        self._trace = blake2b(digest_size=TRACE_DIGEST_BYTES)

    @property
    def trace_digest(self) -> str:
        """The digest of all datagrams sent and handled so far, in order, with their times."""
        return self._trace.hexdigest()

    def local_time_us(self, process: Process) -> int:
        """Return the time of a process's own monotonic clock in microseconds."""
        return self.events.now_us + process.clock_offset_us

    # Process lifecycle and faults

    def add_process(self, make_program: ProgramFactory, clock_offset_us: int = 0) -> Process:
        """Add a process that is down.

        Args:
            make_program: Creates its program at each start.
            clock_offset_us: Monotonic clock of the process minus the simulated clock.
        """
        process = Process(len(self.processes), make_program, clock_offset_us)
        self.processes.append(process)
        return process

    def start_process(self, process: Process) -> None:
        """Start a process with a new program and an empty socket buffer."""
        process.program = process.make_program(self.local_time_us(process), process.starts)
        process.starts += 1
        process.is_paused = False
        process.socket_buffer.clear()
        process.busy_until_us = self.events.now_us
        process.scheduled_turn_us = NO_TURN_US
        self._schedule_turn(process)

    def kill_process(self, process: Process) -> None:
        """End a process and discard its program and its socket buffer."""
        process.program = None
        process.socket_buffer.clear()

    def pause_process(self, process: Process) -> None:
        """Suspend a process; datagrams still arrive in its socket buffer."""
        process.is_paused = True

    def resume_process(self, process: Process) -> None:
        """Resume a paused process; it first handles the datagrams in its socket buffer."""
        if process.is_paused:
            process.is_paused = False
            self._run_process(process)

    # Datagrams

    def send(self, process: Process, datagram: Datagram) -> None:
        """Send a datagram from a process."""
        now_us = self.events.now_us
        process.datagrams_sent += 1
        process.bytes_sent += len(datagram.data)
        self._trace.update(b"%d>%d" % (now_us, datagram.receiver) + datagram.data)
        receiver = self.processes[datagram.receiver]
        received = ReceivedDatagram(datagram.data, process.number)
        for arrival_us in self.network.arrival_times(now_us, process.number, receiver.number):
            self.events.schedule(arrival_us, lambda: self._deliver(receiver, received))

    def _deliver(self, process: Process, datagram: ReceivedDatagram) -> None:
        if process.program is None:
            return
        if len(process.socket_buffer) >= SOCKET_BUFFER_DATAGRAMS:
            process.socket_overflows += 1
            return
        process.socket_buffer.append(datagram)
        self._run_process(process)

    # Turns

    def _is_ready(self, process: Process) -> bool:
        return (
            process.program is not None
            and not process.is_paused
            and self.events.now_us >= process.busy_until_us
        )

    def _run_process(self, process: Process) -> None:
        """Handle buffered datagrams, then due timers, until the process is busy or paused."""
        while process.socket_buffer and self._is_ready(process):
            self._handle_datagram(process, process.socket_buffer.popleft())
        program = process.program
        now_us = self.local_time_us(process)
        if program is not None and self._is_ready(process) and program.due_us <= now_us:
            self._carry_out(process, program.run_timers(now_us))
        self._schedule_turn(process)

    def _handle_datagram(self, process: Process, datagram: ReceivedDatagram) -> None:
        if process.program is None:
            return
        self._trace.update(b"%d<%d" % (self.events.now_us, process.number) + datagram.data)
        now_us = self.local_time_us(process)
        outputs = process.program.receive(now_us, datagram.data, datagram.sender)
        self._carry_out(process, outputs)

    def _carry_out(self, process: Process, outputs: Iterable[object]) -> None:
        process.busy_until_us = self.events.now_us + process.turn_cost_us
        for output in outputs:
            if isinstance(output, Datagram):
                self.send(process, output)
            else:
                self.observe(process, output)

    def _schedule_turn(self, process: Process) -> None:
        """Schedule the next turn, unless an early enough one is scheduled."""
        if process.program is None or process.is_paused:
            return
        now_us = self.events.now_us
        due_us = process.program.due_us - process.clock_offset_us
        wanted_us = now_us if process.socket_buffer else due_us
        wanted_us = max(wanted_us, process.busy_until_us, now_us)
        if now_us < process.scheduled_turn_us <= wanted_us:
            return
        process.scheduled_turn_us = wanted_us
        starts = process.starts
        self.events.schedule(wanted_us, lambda: self._take_turn(process, starts, wanted_us))

    def _take_turn(self, process: Process, starts: int, scheduled_us: int) -> None:
        if process.starts != starts or process.program is None:
            return  # scheduled before a restart, or the process is down
        if process.scheduled_turn_us == scheduled_us:
            process.scheduled_turn_us = NO_TURN_US
        self._run_process(process)
