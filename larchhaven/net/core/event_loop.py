"""The event loop: one selector, one clock reading per iteration, timers, signals as events."""

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
# A timer that is this late shows that the process or its machine was paused.
PAUSE_THRESHOLD_US = 1_000_000
# Cancelled timers are dropped when they come due. If their number exceeds this limit and a quarter
# of all timers, they are all dropped at once.
_MAX_CANCELLED_TIMERS = 250
_CANCELLED_TIMERS_DIVISOR = 4
# At most one traceback of a failed callback is logged in this time.
_TRACEBACK_INTERVAL_US = 1_000_000
_SIGNALS_PER_READ = 64

# SO_MEMINFO of getsockopt: rmem_alloc, rcvbuf, wmem_alloc, sndbuf, fwd_alloc, wmem_queued, ...
_SO_MEMINFO = 55
_MEMINFO = struct.Struct("9I")
_MEMINFO_RECEIVED = 0
_MEMINFO_SEND_QUEUED = 5


class TimerHandle:
    """A callback that is called at a given time unless it is cancelled first.

    Attributes:
        due_us: The time on the loop's clock, in microseconds.
        callback: The function to call; None once the timer is cancelled.
    """

    __slots__ = ("callback", "due_us")

    def __init__(self, due_us: int, callback: Callable[[], None]) -> None:
        self.due_us = due_us
        self.callback: Callable[[], None] | None = callback


class _Channel:
    """A registered socket."""

    __slots__ = ("events", "on_ready", "sock")

    def __init__(self, sock: socket.socket, on_ready: Callable[[int], None]) -> None:
        self.sock = sock
        self.on_ready = on_ready
        self.events = 0


def _read_kernel_bytes(sock: socket.socket) -> int:
    """Return the number of bytes that the kernel buffers for a socket: unread, and queued to send.

    It is 0 if the system or this kind of socket does not support the query.
    """
    try:
        info = _MEMINFO.unpack(sock.getsockopt(socket.SOL_SOCKET, _SO_MEMINFO, _MEMINFO.size))
    except (OSError, struct.error):
        return 0
    return int(info[_MEMINFO_RECEIVED]) + int(info[_MEMINFO_SEND_QUEUED])


def unix_offset_us() -> int:
    """Return the offset from the loop's clock to Unix time, in microseconds.

    All conversions between the two clocks use this function.
    """
    return time.time_ns() // 1000 - time.monotonic_ns() // 1000


class EventLoop:
    """Runs callbacks for ready sockets, due timers and signals.

    Attributes:
        now_us: The time when the iteration began, on the monotonic clock in microseconds. It does
            not change within an iteration.
        on_iteration_end: Called at the end of each iteration.
        on_process_resumed: Called with the delay of an iteration in microseconds, before any other
            callback, if the delay is at least PAUSE_THRESHOLD_US.
    """

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._channels: SlotTable[_Channel] = SlotTable()
        # Ordered by due time, then by creation.
        self._timers: list[tuple[int, int, TimerHandle]] = []
        self._timers_created = 0
        self._timers_cancelled = 0
        self._skips_next_wait = False
        self._is_resuming = False
        self._is_running = False
        self._signal_handlers: dict[int, Callable[[], None]] = {}
        self._signal_sockets: tuple[socket.socket, socket.socket] | None = None
        self._no_traceback_until_us = 0
        self.now_us = time.monotonic_ns() // 1000
        self.on_iteration_end: Callable[[], None] = lambda: None
        self.on_process_resumed: Callable[[int], None] = lambda _: None

    # Sockets

    def register(self, sock: socket.socket, events: int, on_ready: Callable[[int], None]) -> int:
        """Register a socket and watch it for events.

        Args:
            sock: The socket.
            events: READ, WRITE, both or 0.
            on_ready: Called with the events that the socket is ready for.

        Returns:
            The token of its channel.
        """
        token = self._channels.add(_Channel(sock, on_ready))
        self.set_events(token, events)
        return token

    def unregister(self, token: int) -> None:
        """Stop watching a socket; its events not yet handled in this iteration are dropped."""
        self.set_events(token, 0)
        self._channels.remove(token)

    def set_events(self, token: int, events: int) -> None:
        """Set the events that a socket is watched for; 0 pauses it. A stale token has no effect."""
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

    def socket_count(self) -> int:
        """Return the number of registered sockets, including paused ones."""
        return len(self._channels)

    def kernel_bytes(self, token: int | None = None) -> int:
        """Return the number of bytes that the kernel buffers, unread or not sent yet.

        Args:
            token: The token of a socket's channel; None for all registered sockets.
        """
        if token is None:
            return sum(_read_kernel_bytes(channel.sock) for _, channel in self._channels.items())
        channel = self._channels.get(token)
        return 0 if channel is None else _read_kernel_bytes(channel.sock)

    # Timers

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> TimerHandle:
        """Call a function once, after a delay measured from the start of the iteration."""
        timer = TimerHandle(self.now_us + delay_us, callback)
        self._timers_created += 1
        heapq.heappush(self._timers, (timer.due_us, self._timers_created, timer))
        return timer

    def cancel(self, timer: TimerHandle | None) -> None:
        """Cancel a timer; no effect on one already called or cancelled, or on None."""
        if timer is None or timer.callback is None:
            return
        timer.callback = None
        self._timers_cancelled += 1
        if (
            self._timers_cancelled > _MAX_CANCELLED_TIMERS
            and self._timers_cancelled * _CANCELLED_TIMERS_DIVISOR > len(self._timers)
        ):
            self._timers = [entry for entry in self._timers if entry[2].callback is not None]
            heapq.heapify(self._timers)
            self._timers_cancelled = 0

    def timer_count(self) -> int:
        """Return the number of timers held, including cancelled ones not dropped yet."""
        return len(self._timers)

    def skip_next_wait(self) -> None:
        """Start the next iteration without waiting, as there is work left."""
        self._skips_next_wait = True

    # Signals

    def add_signal_handler(self, number: int, handler: Callable[[], None]) -> None:
        """Call a function from the loop after each arrival of a signal."""
        if self._signal_sockets is None:
            wakeup, reader = socket.socketpair()
            wakeup.setblocking(False)
            reader.setblocking(False)
            signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
            self._signal_sockets = wakeup, reader
            self.register(reader, READ, lambda _: self._handle_signals(reader))
        self._signal_handlers[number] = handler
        signal.signal(number, lambda *_: None)

    def _handle_signals(self, reader: socket.socket) -> None:
        for number in reader.recv(_SIGNALS_PER_READ):
            handler = self._signal_handlers.get(number)
            if handler is not None:
                handler()

    # Iterations

    def run(self) -> None:
        """Run iterations until ``stop`` is called."""
        self._is_running = True
        while self._is_running:
            self.run_once()

    def stop(self) -> None:
        """Make ``run`` return at the end of the current iteration."""
        self._is_running = False

    def run_once(self) -> None:
        """Wait for events or due timers, and run their callbacks."""
        next_due_us = self._timers[0][0] if self._timers else None
        previous_us = self.now_us
        ready = self._selector.select(self._seconds_to_wait())
        self._skips_next_wait = False
        self.now_us = time.monotonic_ns() // 1000
        delay_us = 0 if next_due_us is None else self.now_us - max(next_due_us, previous_us)
        # The ready events were found before the pause. Sockets that became ready during it are
        # handled in the next iteration, and timers run only after them. Otherwise a request line
        # that had arrived in time would be read after its deadline.
        self._is_resuming = delay_us >= PAUSE_THRESHOLD_US and not self._is_resuming
        if self._is_resuming:
            self._skips_next_wait = True
            self._call(self.on_process_resumed, delay_us)
        for key, events in ready:
            # An earlier callback may have closed the channel, and its slot may be in use again.
            channel = self._channels.get(key.data)
            if channel is not None:
                self._call(channel.on_ready, events & channel.events)
        if not self._is_resuming:
            self._run_due_timers()
        self._call(self.on_iteration_end)

    def _run_due_timers(self) -> None:
        while self._timers and (
            self._timers[0][0] <= self.now_us or self._timers[0][2].callback is None
        ):
            callback = heapq.heappop(self._timers)[2].callback
            if callback is None:
                self._timers_cancelled = max(self._timers_cancelled - 1, 0)
            else:
                self._call(callback)

    def _call(self, callback: Callable[..., None], *arguments: int) -> None:
        """Run a callback; log an exception, so that it does not end all connections."""
        try:
            callback(*arguments)
        except Exception:
            if self.now_us >= self._no_traceback_until_us:
                self._no_traceback_until_us = self.now_us + _TRACEBACK_INTERVAL_US
                _log.exception("event loop callback failed")

    def _seconds_to_wait(self) -> float | None:
        if self._skips_next_wait:
            return 0
        if not self._timers:
            return None
        return max(self._timers[0][0] - time.monotonic_ns() // 1000, 0) / 1e6
