"""The event loop: one selector, one clock reading a turn, one heap of deadlines, signals as events."""

from __future__ import annotations

import heapq
import logging
import selectors
import signal
import socket
import struct
import time
from collections.abc import Callable

from larchhaven.net.core.slot_table import SlotTable

_log = logging.getLogger("larchhaven")

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE
# Cancelled deadlines are dropped when they come due; more of them than this and a quarter of all, at once.
_DEAD_MOST = 250
# getsockopt's SO_MEMINFO and its fields: rmem_alloc, rcvbuf, wmem_alloc, sndbuf, fwd_alloc, wmem_queued, ...
_SO_MEMINFO = 55
_MEMINFO = struct.Struct("9I")
# A turn that begins so late was not this process's doing: it was stopped, or its machine was.
PAUSE_THRESHOLD_US = 1_000_000
# Unexpected errors are written out at most once in this time.
_QUIET_US = 1_000_000


class TimerHandle:
    """Something to be done at a time, unless it is cancelled first."""

    __slots__ = ("callback", "due_us")

    def __init__(self, due_us: int, callback: Callable[[], None]) -> None:
        self.due_us = due_us
        self.callback: Callable[[], None] | None = callback


class _Channel:
    """One watched socket."""

    __slots__ = ("events", "sock", "then")

    def __init__(self, sock: socket.socket, then: Callable[[int], None]) -> None:
        self.sock = sock
        self.then = then
        self.events = 0


def _held(sock: socket.socket) -> int:
    """Read the kernel's SK_MEMINFO: memory of received bytes, and of bytes queued to be sent."""
    try:
        info = _MEMINFO.unpack(sock.getsockopt(socket.SOL_SOCKET, _SO_MEMINFO, _MEMINFO.size))
    except (OSError, struct.error):
        return 0  # not a socket of that kind, or a system without it
    return int(info[0]) + int(info[5])


def unix_offset_us() -> int:
    """Microseconds from the loop's clock to Unix time: the one place where the two clocks meet."""
    return time.time_ns() // 1000 - time.monotonic_ns() // 1000


class EventLoop:
    """Runs callbacks for ready sockets, due deadlines and signals; ``now`` stands still within a turn."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._channels: SlotTable[_Channel] = SlotTable()
        self._heap: list[tuple[int, int, TimerHandle]] = []
        self._dead = 0
        self._order = 0
        self._again = False
        self._asleep = False  # deadlines rest for the one turn that comes after a sleep
        self._running = False
        self._signals: dict[int, Callable[[], None]] = {}
        self._quiet_until = 0
        self.now_us = time.monotonic_ns() // 1000
        self.on_iteration_end: Callable[[], None] = lambda: None
        # Called before anything else with how late a turn is, if that is GAP_US or more.
        self.on_process_resumed: Callable[[int], None] = lambda late_us: None

    # Sockets

    def register(self, sock: socket.socket, events: int, then: Callable[[int], None]) -> int:
        """Call ``then`` with what the socket is ready for, whenever it is; return the channel's token."""
        token = self._channels.add(_Channel(sock, then))
        self.set_events(token, events)
        return token

    def socket_count(self) -> int:
        """Count the sockets that are open here, those that rest included."""
        return len(self._channels)

    def set_events(self, token: int, events: int) -> None:
        """Change what the socket is watched for; with nothing, the channel rests."""
        channel = self._channels.get(token)
        if channel is None or channel.events == events:
            return
        if not channel.events:
            self._selector.register(channel.sock, events, token)
        elif events:
            self._selector.modify(channel.sock, events, token)
        else:
            self._selector.unregister(channel.sock)
        channel.events = events

    def unregister(self, token: int) -> None:
        """Stop watching; events of this turn that still wait for the channel are dropped."""
        self.set_events(token, 0)
        self._channels.remove(token)

    def kernel_bytes(self, token: int | None = None) -> int:
        """Count the bytes that the system holds for one socket, or for all: unread, or not sent yet."""
        channel = None if token is None else self._channels.get(token)
        if channel is not None:
            return _held(channel.sock)
        return sum(_held(each.sock) for _, each in self._channels.items()) if token is None else 0

    def timer_count(self) -> int:
        """Count the deadlines kept, cancelled ones that have not been dropped yet included."""
        return len(self._heap)

    # Time

    def call_later(self, delay_us: int, then: Callable[[], None]) -> TimerHandle:
        """Call ``then`` once, so many microseconds from now."""
        deadline = TimerHandle(self.now_us + delay_us, then)
        self._order += 1
        heapq.heappush(self._heap, (deadline.due_us, self._order, deadline))
        return deadline

    def cancel(self, deadline: TimerHandle | None) -> None:
        """Forget a deadline; one that is over, or None, does no harm."""
        if deadline is None or deadline.callback is None:
            return
        deadline.callback = None
        self._dead += 1
        if self._dead > _DEAD_MOST and 4 * self._dead > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._dead = 0

    def skip_next_wait(self) -> None:
        """Do not sleep before the next turn: there is something left to do."""
        self._again = True

    # Signals

    def add_signal_handler(self, number: int, then: Callable[[], None]) -> None:
        """Call ``then`` within a turn after the signal came."""
        if not self._signals:
            waker, sleeper = socket.socketpair()
            waker.setblocking(False)
            sleeper.setblocking(False)
            signal.set_wakeup_fd(waker.fileno(), warn_on_full_buffer=False)
            self._wakeup = waker, sleeper  # kept open as long as the loop
            self.register(sleeper, READ, lambda _: self._take_signals(sleeper))
        self._signals[number] = then
        signal.signal(number, lambda *_: None)

    def _take_signals(self, sleeper: socket.socket) -> None:
        for number in sleeper.recv(64):
            then = self._signals.get(number)
            if then is not None:
                then()

    # Turns

    def stop(self) -> None:
        """Leave ``run`` at the end of this turn."""
        self._running = False

    def run(self) -> None:
        """Turn until stopped."""
        self._running = True
        while self._running:
            self.run_once()

    def run_once(self) -> None:
        """Wait for something to happen, and do all that is due."""
        due, before = self._heap[0][0] if self._heap else None, self.now_us
        ready = self._selector.select(self._patience())
        self._again = False
        self.now_us = time.monotonic_ns() // 1000
        late = 0 if due is None else self.now_us - max(due, before)
        # What is ready was found before the sleep; the rest is read in the next turn, before anybody is late
        # for it: seen with first lines of which some were read after their deadline.
        self._asleep = asleep = late >= PAUSE_THRESHOLD_US and not self._asleep
        if asleep:
            self._again = True
            self._guard(self.on_process_resumed, late)
        for key, events in ready:
            # A callback before this one may have closed the channel, and its number may be in use again.
            channel = self._channels.get(key.data)
            if channel is not None:
                self._guard(channel.then, events & channel.events)
        while (
            not asleep
            and self._heap
            and (self._heap[0][0] <= self.now_us or self._heap[0][2].callback is None)
        ):
            then = heapq.heappop(self._heap)[2].callback
            if then is None:
                self._dead = max(self._dead - 1, 0)
            else:
                self._guard(then)
        self._guard(self.on_iteration_end)

    def _guard(self, then: Callable[..., None], *given: int) -> None:
        """Keep a mistake in the handling of one connection from ending all the others."""
        try:
            then(*given)
        except Exception:
            if self.now_us >= self._quiet_until:
                self._quiet_until = self.now_us + _QUIET_US
                _log.exception("unexpected error")

    def _patience(self) -> float | None:
        if self._again:
            return 0
        if not self._heap:
            return None
        return max(self._heap[0][0] - time.monotonic_ns() // 1000, 0) / 1e6
