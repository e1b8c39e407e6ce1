"""The graceful shutdown: in stated phases from SIGTERM to the end of the process.

The platform kills the process after the longest deadline of the request classes (limited by
``MAX_AWAITED_DEADLINE_US``) and ``KILL_GRACE_US``. Every phase ends before that.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.lingering_close import LINGER_US
from larchhaven.routing.events import Event, ProxyDraining
from larchhaven.routing.settings import RoutingSettings

# The platform kills no earlier than the longest deadline, this at most, and the grace after it.
MAX_AWAITED_DEADLINE_US = 3_000_000
KILL_GRACE_US = 700_000
# Every request has its final answer so long before the process ends.
ANSWER_MARGIN_US = 150_000
# New connections come for 0.4 s after the signal, as others learn of it late; the rest is slack.
LAME_DUCK_US = 500_000
# The clients accepted last have so long for their first line.
FIRST_LINE_GRACE_US = 100_000
POLL_INTERVAL_US = 50_000
# With a successor: the process ends so long after the longest deadline.
SHARED_END_GRACE_US = 400_000
# With a successor: connections that could not be transferred are migrated after this time.
MIGRATION_DELAY_US = 500_000


class ShutdownPhase(enum.Enum):
    """How far the shutdown has come; it only moves down this list."""

    SERVING = "serving"
    LAME_DUCK = "lame duck"  # new connections still come and are served
    LISTENER_CLOSED = "listener closed"  # clients accepted before may still send their first line
    LINGERING = "lingering"  # idle clients have their answer; requests in flight are finished
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class ShutdownDeadlines:
    """What is finished when, in microseconds after the signal.

    Attributes:
        answers_us: Every request has its final answer.
        migrations_us: Every established connection is migrated, where connections have to be.
        end_us: The process ends; None if it stays while it holds anything.
    """

    answers_us: int
    migrations_us: int
    end_us: int | None


def compute_deadlines(settings: RoutingSettings, shares_socket: bool) -> ShutdownDeadlines:
    """Derive the deadlines of the shutdown from those of the request classes.

    Args:
        settings: The settings of the decisions.
        shares_socket: Whether another process may hold the clients' socket too.
    """
    longest_us = max(c.deadline_us for c in settings.classes)
    migrations_us = min(longest_us, MAX_AWAITED_DEADLINE_US)
    if shares_socket:
        end_us = max(longest_us, MAX_AWAITED_DEADLINE_US) + SHARED_END_GRACE_US
        return ShutdownDeadlines(end_us - ANSWER_MARGIN_US, migrations_us, end_us)
    answers_us = migrations_us + KILL_GRACE_US - ANSWER_MARGIN_US
    return ShutdownDeadlines(answers_us, migrations_us, None)


class OpenRequests(Protocol):
    """The requests of the proxy, established connections included."""

    def count_requests(self) -> int:
        """Return how many there are."""

    def set_answer_deadline(self, deadline_us: int) -> None:
        """Answer every request by this time, whatever its own deadline."""


class MigratableConnections(Protocol):
    """The established connections of the proxy."""

    def migrate_all_connections(self) -> None:
        """Ask every client to reconnect."""


class ClosableListener(Protocol):
    """The listener that accepts the clients."""

    @property
    def is_accepting(self) -> bool:
        """Whether clients are accepted."""

    def stop(self) -> None:
        """Accept no more clients."""

    def accept_backlog(self) -> bool:
        """Accept all clients that wait; return whether none is left."""

    def reject_awaiting_clients(self) -> None:
        """Answer all idle clients, and half-close their connections."""


class GracefulShutdown:
    """Shuts the proxy down, phase by phase.

    Args:
        loop: The event loop, which is stopped at the end.
        requests: The requests of the proxy.
        connections: Its established connections.
        listener: Accepts the clients.
        pool: Knows the streams in a lingering close.
        queue_event: Takes events for the decisions.
        settings: The settings of the decisions.
        shares_socket: Whether another process may hold the clients' socket too.
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
        self.phase = ShutdownPhase.SERVING

    @property
    def is_shutting_down(self) -> bool:
        """Tell whether the shutdown has begun."""
        return self.phase is not ShutdownPhase.SERVING

    def begin(self, migration_delay_us: int) -> None:
        """Begin the shutdown.

        Args:
            migration_delay_us: After this time the connections that have to migrate are migrated.
        """
        self.phase = ShutdownPhase.LAME_DUCK
        loop, deadlines = self._loop, self._deadlines
        self._requests.set_answer_deadline(loop.now_us + deadlines.answers_us)
        if self._shares_socket:
            self._listener.stop()  # newcomers wait in the socket for the process that holds it next
        if deadlines.end_us is not None:
            loop.call_later(deadlines.end_us, loop.stop)
        if migration_delay_us:
            loop.call_later(migration_delay_us, self._migrate_remaining)
        else:
            self._migrate_remaining()
        loop.call_later(LAME_DUCK_US, self._close_listener)

    def finish_now(self) -> None:
        """Answer all requests and migrate all connections now, and end once that was sent."""
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
        # The answers are given at the end of this iteration.
        self._loop.call_later(POLL_INTERVAL_US, self._stop_when_sent)

    def migrate_connections(self, within_us: int) -> None:
        """Have connections migrated on an operator's drain, or call that off.

        Nothing happens where packets pass through, nor during the shutdown, which migrates too.

        Args:
            within_us: All are migrated within this time; with 0 those stay that are still here.
        """
        if not self._passes_through and not self.is_shutting_down:
            self._queue_event(ProxyDraining(within_us))

    def _migrate_remaining(self) -> None:
        """Migrate what is left; where packets pass through, others take it over at our end."""
        if not self._passes_through:
            self._queue_event(ProxyDraining(self._deadlines.migrations_us))

    def _close_listener(self) -> None:
        """Close the listener once its queue is empty: who waits there would be reset."""
        if self.phase is not ShutdownPhase.LAME_DUCK:
            return
        if self._listener.is_accepting and not self._listener.accept_backlog():
            self._loop.call_later(POLL_INTERVAL_US, self._close_listener)
            return
        self._listener.stop()
        self.phase = ShutdownPhase.LISTENER_CLOSED
        self._loop.call_later(FIRST_LINE_GRACE_US, self._close_idle_clients)

    def _close_idle_clients(self) -> None:
        """Answer and half-close idle clients: a line read before is served, one after never is."""
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
        # Where connections end here, one whose server is in the middle of a line migrates after it.
        if self._pool.lingering or (self._requests.count_requests() and not self._passes_through):
            self._loop.call_later(POLL_INTERVAL_US, self._stop_when_sent)
        else:
            self._loop.stop()
