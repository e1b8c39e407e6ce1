"""The graceful shutdown: in stated phases from the signal to stop to the end of the process.

Each phase has its end before the platform may kill, which is so long after the signal as the longest deadline
(or the longest of these that it waits for), and a little more.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from larchhaven.net.control.dispatcher import Dispatcher
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.lingering_close import LINGER_US
from larchhaven.net.text_protocol.listener import Listener
from larchhaven.routing.events import ProxyDraining
from larchhaven.routing.settings import RoutingSettings

# The platform kills no earlier than the longest deadline, or the first of these if that is less, plus the
# second.
LONGEST_MOST_US = 3_000_000
KILL_US = 700_000
# Everything is answered so long before that.
MARGIN_US = 150_000
# New connections come for 0.4 s after the signal, as others learn of it late; limits have 50 ms of slack.
LAME_DUCK_US = 500_000
# Those that came last have so long for their first line.
SPEAK_US = 100_000
# What is left is looked at this often.
LOOK_US = 50_000
# Where another process has the socket, the end comes this much after the longest deadline, and connections
# that could not be passed on to it are moved after the second time.
SHARED_END_US = 400_000
PASS_MOST_US = 500_000


class Phase(enum.Enum):
    """How far the shutdown has come; it only goes down this list."""

    SERVING = "serving"
    LAME_DUCK = "lame duck"  # all goes on: new connections still come
    CLOSED = "listener closed"  # its queue was emptied first; those who came last may still speak
    PARTING = (
        "parting"  # those who rested have their answer; what is owed is settled, nothing is taken
    )
    OVER = "over"


@dataclass(frozen=True, slots=True)
class Limits:
    """When what has to be over, in microseconds after the signal."""

    answer_us: int  # every command has its answer
    move_us: int  # every connection that stands has been told to move, where that has to be
    end_us: int | None  # the process ends; None: it stays while it holds anything


def limits(settings: RoutingSettings, shared: bool) -> Limits:
    """Derive the limits from the deadlines; ``shared`` is with another process on the clients' socket."""
    longest = max(c.deadline_us for c in settings.classes)
    if shared:
        end = max(longest, LONGEST_MOST_US) + SHARED_END_US
        return Limits(end - MARGIN_US, min(longest, LONGEST_MOST_US), end)
    longest = min(longest, LONGEST_MOST_US)
    return Limits(longest + KILL_US - MARGIN_US, longest, None)


class Stopping:
    """Takes the proxy down when it is told to."""

    def __init__(
        self,
        loop: EventLoop,
        dispatcher: Dispatcher,
        listener: Listener,
        pool: BufferPool,
        settings: RoutingSettings,
        shared: bool,
    ) -> None:
        self._loop = loop
        self._dispatcher = dispatcher
        self._listener = listener
        self._pool = pool
        self._settings = settings
        self._shared = shared
        self.phase = Phase.SERVING

    def begin(self, move_after_us: int) -> None:
        """Begin; connections that have to move begin to after this time."""
        self.phase = Phase.LAME_DUCK
        loop, until = self._loop, limits(self._settings, self._shared)
        self._dispatcher.requests.set_answer_deadline(loop.now_us + until.answer_us)
        if self._shared:
            self._listener.stop()  # whoever comes now waits in the socket for the process that holds it next
        if until.end_us is not None:
            loop.call_later(until.end_us, loop.stop)
        if move_after_us:
            loop.call_later(move_after_us, lambda: self._move(until.move_us))
        else:
            self._move(until.move_us)
        loop.call_later(LAME_DUCK_US, self._close)

    def hurry(self) -> None:
        """End at a second signal: answer and move everybody now, and leave once that has been heard."""
        if self.phase is Phase.OVER:
            return
        self._listener.empty_queue()
        self._listener.stop()
        self._part()
        self._dispatcher.requests.set_answer_deadline(self._loop.now_us)
        if not self._settings.pass_through:
            self._dispatcher.connections.migrate_all_connections()
        self.phase = Phase.OVER
        self._loop.call_later(LINGER_US, self._loop.stop)
        self._loop.call_later(
            LOOK_US, self._leave_when_heard
        )  # the answers are given at the end of this turn

    def _move(self, within_us: int) -> None:
        """Have moved what is still here, unless packets pass through: others take it over then."""
        if not self._settings.pass_through:
            self._dispatcher.queue_event(ProxyDraining(within_us))

    def _close(self) -> None:
        """Close the listener once nobody waits in its queue: they would be reset with what they sent."""
        if self.phase is not Phase.LAME_DUCK:
            return
        if self._listener.accepting and not self._listener.empty_queue():
            self._loop.call_later(LOOK_US, self._close)
            return
        self._listener.stop()
        self.phase = Phase.CLOSED
        self._loop.call_later(SPEAK_US, self._part)

    def _part(self) -> None:
        """Answer and half-close those who rest: a line read before that is served, one after it never is."""
        if self.phase in (Phase.PARTING, Phase.OVER):
            return
        self.phase = Phase.PARTING
        self._listener.part_all()
        self._leave_when_done()

    def _leave_when_done(self) -> None:
        if self.phase is not Phase.PARTING:
            return
        if self._dispatcher.requests.count_requests() or self._pool.lingering:
            self._loop.call_later(LOOK_US, self._leave_when_done)
        else:
            self.phase = Phase.OVER
            self._loop.stop()

    def _leave_when_heard(self) -> None:
        # Where connections end here, one whose instance is in the middle of a line is moved after that line.
        if self._pool.lingering or (
            self._dispatcher.requests.count_requests() and not self._settings.pass_through
        ):
            self._loop.call_later(LOOK_US, self._leave_when_heard)
        else:
            self._loop.stop()
