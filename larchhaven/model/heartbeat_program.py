"""All-to-all heartbeats as the program of a simulated process: the baseline for comparisons."""

from __future__ import annotations

from collections.abc import Iterator

from larchhaven.membership.member import Member, MemberState, make_stamp
from larchhaven.membership.sampling import RandomSource
from larchhaven.membership.view import MemberChanged
from larchhaven.model.process import Datagram

HEARTBEAT_INTERVAL_US = 1_000_000
# As long as the membership protocol takes until all members agree on a death, so that comparisons
# are made at the same detection time.
HEARTBEAT_TIMEOUT_US = 4_500_000
# A prefix, and the minimum space for a member number, a sequence number and an authentication tag.
HEARTBEAT_DATAGRAM = b"B" + bytes(12)
# Heartbeats carry no incarnation.
ONLY_INCARNATION = 1


class HeartbeatProgram:
    """Sends a heartbeat to all others each second and declares silent processes dead.

    Args:
        now_us: The current time of the process's own clock.
        own_number: The process's number.
        fleet_size: The number of processes.
        rng: Source of the random delay before the first heartbeat.

    Attributes:
        due_us: When ``run_timers`` has to be called next, by the process's own clock.
    """

    def __init__(self, now_us: int, own_number: int, fleet_size: int, rng: RandomSource) -> None:
        self._own_number = own_number
        self._fleet_size = fleet_size
        self._last_heartbeat_us: dict[int, int] = {}
        self._dead: set[int] = set()
        self._next_heartbeat_us = now_us + int(HEARTBEAT_INTERVAL_US * rng.random())
        self._view_version = 0
        self.due_us = self._next_heartbeat_us

    def run_timers(self, now_us: int) -> Iterator[object]:
        """Send heartbeats that are due and declare silent processes dead."""
        if now_us >= self._next_heartbeat_us:
            missed = (now_us - self._next_heartbeat_us) // HEARTBEAT_INTERVAL_US
            self._next_heartbeat_us += HEARTBEAT_INTERVAL_US * (missed + 1)
            for receiver in range(self._fleet_size):
                if receiver != self._own_number:
                    yield Datagram(receiver, HEARTBEAT_DATAGRAM)
        for number, last_us in self._last_heartbeat_us.items():
            if number not in self._dead and now_us >= last_us + HEARTBEAT_TIMEOUT_US:
                self._dead.add(number)
                yield self._change_state(now_us, number, MemberState.DEAD)
        self._schedule_turn()

    def receive(self, now_us: int, _data: bytes, sender: int) -> Iterator[object]:
        """Handle a heartbeat."""
        if sender not in self._last_heartbeat_us or sender in self._dead:
            self._dead.discard(sender)
            yield self._change_state(now_us, sender, MemberState.ALIVE)
        self._last_heartbeat_us[sender] = now_us
        self._schedule_turn()

    def _change_state(self, now_us: int, number: int, state: MemberState) -> MemberChanged:
        self._view_version += 1
        member = Member(number, make_stamp(ONLY_INCARNATION, state), now_us)
        return MemberChanged(now_us, None, member, self._view_version)

    def _schedule_turn(self) -> None:
        timeouts_us = (
            last_us + HEARTBEAT_TIMEOUT_US
            for number, last_us in self._last_heartbeat_us.items()
            if number not in self._dead
        )
        next_timeout_us = min(timeouts_us, default=self._next_heartbeat_us)
        self.due_us = min(self._next_heartbeat_us, next_timeout_us)
