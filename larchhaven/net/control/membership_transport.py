"""Connects the membership protocol to the event loop, the peer socket, the log and the report.

The protocol itself is in ``larchhaven.membership``. This module runs its timers on the event loop,
sends its messages as authenticated datagrams, and logs its membership changes. One iteration of the
loop handles at most ``MAX_DATAGRAMS_PER_ITERATION`` datagrams, so that peers do not delay clients.
The protocol limits how many datagrams are sent per second.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random

from larchhaven.membership.actions import Action, SendMessage
from larchhaven.membership.authenticator import DatagramAuthenticator
from larchhaven.membership.config import ProtocolConfig
from larchhaven.membership.member import Capability, Member, MemberInfo
from larchhaven.membership.membership import Membership
from larchhaven.membership.partition import PartitionStatus, PartitionTracker, presumed_present
from larchhaven.membership.view import MemberChanged, MembershipView
from larchhaven.net.control.membership_log import MembershipLog
from larchhaven.net.control.membership_report import MemberReport, MembershipReport
from larchhaven.net.core.event_loop import EventLoop, TimerHandle, unix_offset_us

# Version of the membership protocol that this program implements.
PROTOCOL_VERSION = 1
# Datagrams handled in one loop iteration, and queued for later ones; any further ones are dropped.
MAX_DATAGRAMS_PER_ITERATION = 16
MAX_QUEUED_DATAGRAMS = 256
# The partition status depends on the time as well as on the view, so it is updated periodically.
STATUS_INTERVAL_US = 1_000_000
# Start of 2025. Incarnations have 30 bits and begin with the number of seconds since then.
INCARNATION_EPOCH_UNIX_S = 1_735_689_600

_US_PER_S = 1_000_000
_UINT32_MASK = 0xFFFF_FFFF
_SESSION_ID_BITS = 32
_REPORT_DECIMALS = 3
# Counts datagrams dropped because ``MAX_QUEUED_DATAGRAMS`` were queued; operators read this key.
_OVERFLOW_COUNTER = "dropped unread"
# Names of the capabilities in the report for operators.
CAPABILITY_NAMES = {
    Capability.LOAD_REPORTS: "reports",
    Capability.REPLICAS: "copies",
    Capability.LOAD_SHEDDING: "shedding",
}


@dataclass(frozen=True, slots=True)
class _QueuedDatagram:
    """A received datagram that has not been handled yet."""

    sender: int
    data: bytes


class MembershipTransport:
    """Runs the membership protocol of this proxy while it is enabled.

    Args:
        loop: The event loop.
        own_number: This proxy's index in the peer table.
        table_size: Number of entries in the peer table.
        info: What this proxy announces about itself; the protocol version and the start time are
            added here.
        keys: Keys that authenticate datagrams; the first one is used for outgoing datagrams.
        send_datagram: Sends a datagram to the proxy with this number.
        seed: Seed of the random number generator, combined with the start time.

    Attributes:
        on_present_changed: Called with the proxies that are presumed present when this set changes.
    """

    def __init__(
        self,
        loop: EventLoop,
        own_number: int,
        table_size: int,
        info: MemberInfo,
        keys: Sequence[bytes],
        send_datagram: Callable[[int, bytes], None],
        seed: int,
    ) -> None:
        self._loop = loop
        self._send_datagram = send_datagram
        self.on_present_changed: Callable[[frozenset[int]], None] = lambda _: None
        unix_us = loop.now_us + unix_offset_us()
        unix_s = max(unix_us // _US_PER_S, INCARNATION_EPOCH_UNIX_S + 1)
        rng = Random(seed ^ unix_us)
        session_id = rng.getrandbits(_SESSION_ID_BITS)
        self._authenticator = DatagramAuthenticator(own_number, table_size, session_id, keys)
        self._membership = Membership(
            loop.now_us,
            own_number,
            table_size,
            replace(info, protocol_version=PROTOCOL_VERSION, started_unix_s=unix_s & _UINT32_MASK),
            unix_s - INCARNATION_EPOCH_UNIX_S,
            rng,
            ProtocolConfig(),
        )
        self._partition_tracker = PartitionTracker()
        self._status = self._partition_tracker.update(loop.now_us, self._membership.view)
        self._present = frozenset(range(table_size))
        self._log = MembershipLog(loop, lambda: self.view, lambda: self.status)
        self._queue: deque[_QueuedDatagram] = deque()
        self._overflow_count = 0
        self._timer: TimerHandle | None = None
        self._timer_due_us = 0
        self._is_stopped = False
        self._update_status_periodically()
        self._schedule_timer()

    @property
    def view(self) -> MembershipView:
        """The current membership view."""
        return self._membership.view

    @property
    def status(self) -> PartitionStatus:
        """The number of present members, and the partition side of this proxy."""
        return self._status

    # Datagrams and timers

    def handle_datagram(self, sender: int, data: bytes) -> None:
        """Queue a membership datagram for this iteration of the loop or a later one."""
        if self._is_stopped:
            return
        if len(self._queue) >= MAX_QUEUED_DATAGRAMS:
            self._overflow_count += 1
            return
        self._queue.append(_QueuedDatagram(sender, data))
        if len(self._queue) == 1:
            self._loop.call_later(0, self._handle_queue)

    def _handle_queue(self) -> None:
        for _ in range(min(MAX_DATAGRAMS_PER_ITERATION, len(self._queue))):
            datagram = self._queue.popleft()
            message = self._authenticator.open(datagram.data, datagram.sender)
            if message is not None and not self._is_stopped:
                self._execute(self._membership.receive(self._loop.now_us, message))
        if self._queue:
            # Wait for the next iteration of the loop, so that clients are served in between.
            self._loop.call_later(1, self._handle_queue)

    def _run_timers(self) -> None:
        self._timer = None
        if not self._is_stopped:
            self._execute(self._membership.run_timers(self._loop.now_us))

    def _execute(self, actions: Sequence[Action]) -> None:
        has_changes = False
        for action in actions:
            if isinstance(action, SendMessage):
                datagram = self._authenticator.seal(action.message)
                self._send_datagram(action.message.receiver, datagram)
            elif isinstance(action, MemberChanged):
                self._log.add(action)
                has_changes = True
        if has_changes:
            self._update_status()
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        if self._is_stopped:
            return
        due_us = self._membership.due_us
        if self._timer is not None:
            if self._timer_due_us == due_us:
                return
            self._loop.cancel(self._timer)
        self._timer_due_us = due_us
        self._timer = self._loop.call_later(max(due_us - self._loop.now_us, 0), self._run_timers)

    def _update_status_periodically(self) -> None:
        if not self._is_stopped:
            self._update_status()
            self._loop.call_later(STATUS_INTERVAL_US, self._update_status_periodically)

    def _update_status(self) -> None:
        self._status = self._partition_tracker.update(self._loop.now_us, self.view)
        present = presumed_present(self.view, self._status)
        if present != self._present:
            self._present = present
            self.on_present_changed(present)

    # Keys, hot restart and shutdown

    def set_keys(self, keys: Sequence[bytes]) -> None:
        """Replace the keys that authenticate datagrams."""
        self._authenticator.keys = tuple(keys)

    def announce_leave(self) -> None:
        """Announce the planned shutdown; the announcement is repeated until the process ends."""
        if not self._is_stopped:
            self._execute(self._membership.leave(self._loop.now_us))

    def hand_over(self) -> int:
        """Stop, as the successor takes over; return the last incarnation."""
        self.stop()
        return self._membership.incarnation

    def take_over(self, previous_incarnation: int) -> None:
        """Continue after a predecessor with this incarnation; 0 if there was none."""
        if previous_incarnation > 0 and not self._is_stopped:
            now_us = self._loop.now_us
            actions = self._membership.learn_previous_incarnation(now_us, previous_incarnation)
            self._execute(actions)

    def stop(self) -> None:
        """Stop sending and handling datagrams."""
        self._is_stopped = True
        self._queue.clear()
        self._loop.cancel(self._timer)

    # Report for operators

    def report(self) -> MembershipReport:
        """Return the membership report for operators."""
        membership, status = self._membership, self._status
        members = sorted(self.view.members.values(), key=lambda member: member.number)
        return MembershipReport(
            is_enabled=True,
            own_number=membership.own_number,
            incarnation=membership.incarnation,
            view_version=self.view.version,
            is_synchronized=self.view.is_synchronized,
            health_score=membership.health.score,
            present_count=status.present_count,
            agreed_count=status.agreed_count,
            table_size=status.table_size,
            confidence_ratio=round(status.confidence_ratio, _REPORT_DECIMALS),
            partition_side=status.side.value,
            lost_zones=list(status.lost_zones),
            members=[self._report_member(member) for member in members],
            counters=self._report_counters(),
            rejected={
                reason.value: count
                for reason, count in sorted(self._authenticator.rejected.items())
            },
        )

    def _report_counters(self) -> dict[str, int]:
        counters = {
            counter.value: count for counter, count in sorted(self._membership.counters.items())
        }
        if self._overflow_count:
            counters[_OVERFLOW_COUNTER] = self._overflow_count
        return counters

    def _report_member(self, member: Member) -> MemberReport:
        learned_ago_us = self._loop.now_us - member.learned_at_us
        report = MemberReport(
            number=member.number,
            name="",
            state=member.state.name.lower(),
            learned_ago_s=round(learned_ago_us / _US_PER_S, _REPORT_DECIMALS),
            incarnation=member.incarnation,
            suspectors=list(member.suspectors),
        )
        info = member.info
        if info is not None:
            report.name = info.name
            report.zone = info.zone
            report.protocol_version = info.protocol_version
            report.started_unix_s = info.started_unix_s
            report.capabilities = [
                name for flag, name in CAPABILITY_NAMES.items() if flag in info.capabilities
            ]
        return report
