"""Tests of pauses, slowness, restarts and full socket buffers of simulated processes."""

from __future__ import annotations

from collections.abc import Iterable

from larchhaven.model.network import LinkConditions, SimulatedNetwork
from larchhaven.model.process import Datagram, Process
from larchhaven.model.random_streams import RandomStreams
from larchhaven.model.simulation import SOCKET_BUFFER_DATAGRAMS, Simulation

CLOCK_OFFSET_US = 7_000
DELAY_US = 100
NEVER_US = 1 << 60


class Recorder:
    """A program that records received datagrams with the time of its own clock."""

    def __init__(self) -> None:
        self.due_us = NEVER_US
        self.received: list[tuple[int, bytes]] = []

    def run_timers(self, now_us: int) -> Iterable[object]:
        raise AssertionError(now_us)

    def receive(self, now_us: int, data: bytes, sender: int) -> Iterable[object]:
        self.received.append((now_us, data))
        return [sender]


class Fleet:
    """Two processes; the first one sends to the second one, which records."""

    def __init__(self) -> None:
        conditions = LinkConditions(delay_us=DELAY_US, jitter_us=0.0)
        network = SimulatedNetwork(conditions, RandomStreams(1).stream("network"))
        self.simulation = Simulation(network)
        self.programs: list[Recorder] = []
        self.sender = self._start(0)
        self.receiver = self._start(CLOCK_OFFSET_US)

    def _start(self, clock_offset_us: int) -> Process:
        process = self.simulation.add_process(self._make_program, clock_offset_us)
        self.simulation.start_process(process)
        return process

    def _make_program(self, _now_us: int, _starts: int) -> Recorder:
        self.programs.append(Recorder())
        return self.programs[-1]

    def send(self, data: bytes) -> None:
        self.simulation.send(self.sender, Datagram(self.receiver.number, data))

    def run_for(self, duration_us: int) -> None:
        self.simulation.events.run_until(self.simulation.events.now_us + duration_us)

    def received(self) -> list[tuple[int, bytes]]:
        return self.programs[-1].received


def test_datagram_arrives_after_the_delay_on_the_clock_of_its_receiver() -> None:
    fleet = Fleet()
    outputs: list[tuple[int, object]] = []
    fleet.simulation.observe = lambda process, output: outputs.append((process.number, output))
    fleet.send(b"a")
    fleet.run_for(1_000)
    assert fleet.received() == [(CLOCK_OFFSET_US + DELAY_US, b"a")]
    assert outputs == [(fleet.receiver.number, fleet.sender.number)]


def test_paused_process_handles_buffered_datagrams_when_it_resumes() -> None:
    fleet = Fleet()
    fleet.simulation.pause_process(fleet.receiver)
    fleet.send(b"a")
    fleet.send(b"b")
    fleet.run_for(1_000)
    assert fleet.received() == []
    fleet.simulation.resume_process(fleet.receiver)
    at_us = CLOCK_OFFSET_US + 1_000
    assert fleet.received() == [(at_us, b"a"), (at_us, b"b")]


def test_full_socket_buffer_drops_datagrams() -> None:
    fleet = Fleet()
    fleet.simulation.pause_process(fleet.receiver)
    for _ in range(SOCKET_BUFFER_DATAGRAMS + 3):
        fleet.send(b"a")
    fleet.run_for(1_000)
    assert fleet.receiver.socket_overflows == 3
    fleet.simulation.resume_process(fleet.receiver)
    assert len(fleet.received()) == SOCKET_BUFFER_DATAGRAMS


def test_slow_process_spends_its_turn_cost_on_each_datagram() -> None:
    fleet = Fleet()
    fleet.receiver.turn_cost_us = 400
    fleet.send(b"a")
    fleet.send(b"b")
    fleet.run_for(10_000)
    first_us = CLOCK_OFFSET_US + DELAY_US
    assert fleet.received() == [(first_us, b"a"), (first_us + 400, b"b")]


def test_ended_process_receives_nothing_and_restarts_with_a_new_program() -> None:
    fleet = Fleet()
    fleet.simulation.kill_process(fleet.receiver)
    fleet.send(b"a")
    fleet.run_for(1_000)
    fleet.simulation.start_process(fleet.receiver)
    fleet.send(b"b")
    fleet.run_for(1_000)
    assert [program.received for program in fleet.programs[1:]] == [
        [],
        [(CLOCK_OFFSET_US + 1_000 + DELAY_US, b"b")],
    ]
