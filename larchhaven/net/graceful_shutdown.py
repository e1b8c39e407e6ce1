"""Graceful shutdown: the phases from SIGTERM to the end of the process.

After SIGTERM the platform waits for the longest deadline of the request classes, but at most
``MAX_AWAITED_DEADLINE_US``, plus ``KILL_GRACE_US``; then it kills the process. Every phase ends
before that.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop, TimerHandle
from larchhaven.net.core.lingering_close import LINGER_US
from larchhaven.routing.events import Event, ProxyDraining
from larchhaven.routing.settings import RoutingSettings

# The platform waits for the longest deadline, but at most for this time. It then waits for the kill
# grace before it kills the process.
MAX_AWAITED_DEADLINE_US = 3_000_000
KILL_GRACE_US = 700_000
# Every request gets its final answer this long before the end of the process.
ANSWER_MARGIN_US = 150_000
# Clients learn of the shutdown late and still connect for up to 0.4 s after the signal; the
# remaining 0.1 s is margin.
LAME_DUCK_US = 500_000
# Time for the clients accepted last to send their first line.
FIRST_LINE_GRACE_US = 100_000
POLL_INTERVAL_US = 50_000
# If a successor may share the listening socket, the process ends this long after the longest
# deadline that the platform waits for.
SHARED_SOCKET_END_GRACE_US = 400_000
# Delay after which connections that have not been transferred to the successor are migrated.
MIGRATION_DELAY_US = 500_000
# Where the deadlines leave less after that delay, the connections are migrated at once.
MIN_MIGRATION_TIME_US = 1_000
# Migrations that still wait for the end of a line this long before the end of an operator's drain
# are ended, as their server may hang.
DRAIN_MARGIN_US = 100_000


class ShutdownPhase(enum.Enum):
    """The phases of the shutdown, in order; a phase may be skipped but never repeated."""

    SERVING = "serving"
    LAME_DUCK = "lame duck"  # new clients are still accepted, unless the socket is shared
    LISTENER_CLOSED = "listener closed"  # clients accepted earlier may still send their first line
    LINGERING = "lingering"  # idle clients have been rejected; requests in flight are finished
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class ShutdownDeadlines:
    """The deadlines of the shutdown, in microseconds after the signal.

    Attributes:
        answers_us: When every request has its final answer.
        migrations_us: When every connection that ends at the proxy is migrated.
        end_us: When the process ends; None if it runs until its last request has ended.
    """

    answers_us: int
    migrations_us: int
    end_us: int | None


def compute_deadlines(settings: RoutingSettings, shares_socket: bool) -> ShutdownDeadlines:
    """Derive the deadlines of the shutdown from those of the request classes.

    Args:
        settings: The routing settings, with the request classes.
        shares_socket: Whether a successor may share the listening socket for clients.
    """
    longest_us = max(request_class.deadline_us for request_class in settings.classes)
    awaited_us = min(longest_us, MAX_AWAITED_DEADLINE_US)
    if shares_socket:
        end_us = awaited_us + SHARED_SOCKET_END_GRACE_US
        answers_us = end_us - ANSWER_MARGIN_US
        return ShutdownDeadlines(answers_us, answers_us, end_us)
    answers_us = awaited_us + KILL_GRACE_US - ANSWER_MARGIN_US
    return ShutdownDeadlines(answers_us, awaited_us, None)


class OpenRequests(Protocol):
    """The requests of the proxy, established connections included."""

    def count_requests(self) -> int:
        """Return the number of open requests."""

    def set_answer_deadline(self, deadline_us: int) -> None:
        """Answer every request by this time, even if its own deadline is later."""


class MigratableConnections(Protocol):
    """The established connections of the proxy."""

    def migrate_all_connections(self) -> None:
        """Ask every client to reconnect."""

    def end_migrations(self) -> None:
        """End every connection whose migration still waits for the end of a line."""


class ClosableListener(Protocol):
    """The listener that accepts clients."""

    @property
    def is_accepting(self) -> bool:
        """Whether clients are accepted."""

    def stop(self) -> None:
        """Stop accepting clients."""

    def accept_backlog(self) -> bool:
        """Accept the clients in the accept queue; return whether it is empty now."""

    def reject_awaiting_clients(self) -> None:
        """Reject all clients that have sent no request, and half-close their connections."""


class GracefulShutdown:
    """Shuts the proxy down, phase by phase.

    Args:
        loop: The event loop, which is stopped at the end.
        requests: The open requests.
        connections: The established connections.
        listener: Accepts clients.
        pool: Lists the streams in lingering close.
        queue_event: Queues an event for the balancer.
        settings: The routing settings.
        shares_socket: Whether a successor may share the listening socket for clients.

    Attributes:
        phase: The current phase.
    """

    def __init__(
        self,
        loop: EventLoop,
        requests: OpenRequests,
        connections: MigratableConnections,
        listener: ClosableListener,
        pool: BufferPool,
        queue_event: Callable[[Event], None],
        settings: RoutingSettings,
        shares_socket: bool,
    ) -> None:
        self._loop = loop
        self._requests = requests
        self._connections = connections
        self._listener = listener
        self._pool = pool
        self._queue_event = queue_event
        self._passes_through = settings.pass_through
        self._deadlines = compute_deadlines(settings, shares_socket)
        self._shares_socket = shares_socket
        self._drain_end: TimerHandle | None = None
        self.phase = ShutdownPhase.SERVING

    @property
    def is_shutting_down(self) -> bool:
        """Whether the shutdown has started."""
        return self.phase is not ShutdownPhase.SERVING

    def begin(self, migration_delay_us: int) -> None:
        """Start the shutdown.

        Args:
            migration_delay_us: Delay in microseconds before connections that end at the proxy are
                migrated, so that they can be transferred to a successor first.
        """
        self.phase = ShutdownPhase.LAME_DUCK
        loop, deadlines = self._loop, self._deadlines
        loop.cancel(self._drain_end)
        self._requests.set_answer_deadline(loop.now_us + deadlines.answers_us)
        if self._shares_socket:
            self._listener.stop()  # new clients wait in the accept queue for the successor
        loop.call_later(deadlines.migrations_us, self._connections.end_migrations)
        if deadlines.end_us is not None:
            loop.call_later(deadlines.end_us, loop.stop)
        within_us = max(deadlines.migrations_us - migration_delay_us, MIN_MIGRATION_TIME_US)
        if migration_delay_us:
            loop.call_later(migration_delay_us, lambda: self._migrate_remaining(within_us))
        else:
            self._migrate_remaining(within_us)
        loop.call_later(LAME_DUCK_US, self._close_listener)

    def finish_now(self) -> None:
        """Answer all requests and migrate all connections now; end when the answers are sent."""
        if self.phase is ShutdownPhase.FINISHED:
            return
        self._listener.accept_backlog()
        self._listener.stop()
        self._close_idle_clients()
        self._requests.set_answer_deadline(self._loop.now_us)
        if not self._passes_through:
            self._connections.migrate_all_connections()
        self.phase = ShutdownPhase.FINISHED
        self._loop.call_later(LINGER_US, self._loop.stop)
        # The answers are written at the end of this iteration.
        self._loop.call_later(POLL_INTERVAL_US, self._stop_when_sent)

    def migrate_connections(self, within_us: int) -> None:
        """Migrate the connections for an operator's drain, or cancel the migrations.

        Does nothing in pass-through mode, or during the shutdown, which migrates them itself.

        Args:
            within_us: Time within which all connections are migrated, in microseconds; 0 cancels
                the migrations that are still to come.
        """
        if self._passes_through or self.is_shutting_down:
            return
        self._queue_event(ProxyDraining(within_us))
        self._loop.cancel(self._drain_end)
        if within_us:
            self._drain_end = self._loop.call_later(
                within_us - DRAIN_MARGIN_US, self._connections.end_migrations
            )

    def _migrate_remaining(self, within_us: int) -> None:
        """Migrate remaining connections; in pass-through mode, another proxy takes them over."""
        if not self._passes_through:
            self._queue_event(ProxyDraining(within_us))

    def _close_listener(self) -> None:
        """Close the listener once its accept queue is empty; clients left in it would be reset."""
        if self.phase is not ShutdownPhase.LAME_DUCK:
            return
        if self._listener.is_accepting and not self._listener.accept_backlog():
            self._loop.call_later(POLL_INTERVAL_US, self._close_listener)
            return
        self._listener.stop()
        self.phase = ShutdownPhase.LISTENER_CLOSED
        self._loop.call_later(FIRST_LINE_GRACE_US, self._close_idle_clients)

    def _close_idle_clients(self) -> None:
        """Reject and half-close idle clients; lines read before are served, later ones are not."""
        if self.phase in (ShutdownPhase.LINGERING, ShutdownPhase.FINISHED):
            return
        self.phase = ShutdownPhase.LINGERING
        self._listener.reject_awaiting_clients()
        self._stop_when_idle()

    def _stop_when_idle(self) -> None:
        if self.phase is not ShutdownPhase.LINGERING:
            return
        if self._requests.count_requests() or self._pool.lingering:
            self._loop.call_later(POLL_INTERVAL_US, self._stop_when_idle)
        else:
            self.phase = ShutdownPhase.FINISHED
            self._loop.stop()

    def _stop_when_sent(self) -> None:
        # A connection whose server is in the middle of a line is migrated only after that line.
        if self._pool.lingering or (self._requests.count_requests() and not self._passes_through):
            self._loop.call_later(POLL_INTERVAL_US, self._stop_when_sent)
        else:
            self._loop.stop()
