"""Passes lines both ways between a service client and the instance that serves it, until one side ends."""

from __future__ import annotations

from collections import deque

import msgspec

from larchhaven.net.control.interfaces import ConnectionObserver
from larchhaven.net.core.event_loop import EventLoop, TimerHandle
from larchhaven.net.core.stream import LINGER_US, Stream
from larchhaven.net.text_protocol import codec as lines
from larchhaven.routing.events import AttemptResult, LoadReport

# Client lines without an answer are looked at this often; their age is told as a delay.
LOOK_US = 1_000_000
# From this age on the connection is told as stalled, and the decision module may move it.
STALLED_US = 4_000_000
# At this age it is ended whatever the module does: within 7 s it must be, and looks are a second apart.
SILENT_MOST_US = 5_500_000
# A connection on which neither side sends anything for so long is ended: a client whose machine vanished
# never says so, and its connection would stay for ever. Terminals send a line every few seconds.
IDLE_US = 600_000_000
# An instance that has said its last line is given so long to end the connection by itself.
LAST_LINE_US = 300_000
# A move waits so long for the end of the line under way, and goes without a word after that.
MOVE_WAIT_US = 500_000
# Times of unanswered lines that are kept; a client that sends more at once is measured on these.
ASKED_MOST = 64


class SideState(msgspec.Struct):
    """One side of a relay: bytes read and not passed on, bytes to be sent, and where its lines are."""

    inbox: bytes
    outbox: bytes
    head: bytes
    cr: bool
    midline: bool


class RelayState(msgspec.Struct):
    """All that another process needs, beside the descriptors, to go on with a connection."""

    client: SideState
    instance: SideState
    asked: list[int]


class _Side:
    """One side of the relay, as the owner of its stream."""

    __slots__ = ("count", "relay", "stream")

    def __init__(self, relay: Relay, stream: Stream) -> None:
        self.relay = relay
        self.stream = stream
        self.count = lines.LineCounter()
        stream.protocol = self

    def state(self) -> SideState:
        """Return what another process needs to go on with this side."""
        inbox = self.stream.inbox
        held = bytes(inbox.readable()) if inbox is not None else b""
        count = self.count
        return SideState(held, self.stream.outbox(), bytes(count.head), count.cr, count.midline)

    def go_on(self, state: SideState) -> None:
        """Go on from where another process was."""
        self.stream.write(state.outbox)
        self.stream.prefill(state.inbox)
        self.count.head[:] = state.head
        self.count.cr, self.count.midline = state.cr, state.midline

    def connection_made(self) -> None:
        """Nothing: the connection stands already."""

    def data_received(self) -> None:
        """Pass on what came."""
        self.relay.pass_on(self)

    def write_buffer_drained(self) -> None:
        """Go on with what the other side had to keep back."""
        self.relay.pass_on(self.relay.other(self))

    def eof_received(self) -> None:
        """Pass on the end."""
        self.relay.on_side_end(self)

    def connection_lost(self, code: int) -> None:
        """Pass on the break."""
        self.relay.on_side_broken(self)


class Relay:
    """One served connection."""

    __slots__ = (
        "_asked",
        "_client",
        "_closing",
        "_ending",
        "_heard_at",
        "_idle",
        "_instance",
        "_look",
        "_loop",
        "_moving",
        "_over",
        "_owner",
        "_request_id",
    )

    def __init__(
        self,
        loop: EventLoop,
        client: Stream,
        instance: Stream,
        owner: ConnectionObserver,
        request_id: int,
        first: bytes | RelayState,
    ) -> None:
        self._loop = loop
        self._owner = owner
        self._request_id = request_id
        self._client = _Side(self, client)
        self._instance = _Side(self, instance)
        self._asked: deque[int] = deque()
        self._look: TimerHandle | None = None
        self._closing: TimerHandle | None = None
        self._ending: tuple[AttemptResult, LoadReport | None] | None = (
            None  # the instance's last line
        )
        self._moving = False
        self._over = False
        self._heard_at = loop.now_us
        self._idle = loop.call_later(IDLE_US, self._on_idle)
        client.on_shed = self.give_way
        client.on_closed = instance.on_closed = self._on_gone
        if isinstance(first, bytes):
            client.write(first + lines.END)
        else:
            self._client.go_on(first.client)
            self._instance.go_on(first.instance)
            self._asked.extend(first.asked)
            if self._asked:
                self._look = loop.call_later(LOOK_US, self._look_again)
        self.pass_on(self._client)
        self.pass_on(self._instance)
        if instance.at_eof:
            self.on_side_end(self._instance)

    # To another process

    def state(self) -> RelayState | None:
        """Return what another process needs to go on with the connection; None if it is about to end."""
        if self._over or self._moving or self._ending is not None:
            return None
        return RelayState(self._client.state(), self._instance.state(), list(self._asked))

    def descriptors(self) -> tuple[int, int]:
        """Return the descriptors of the client's and the instance's side."""
        return self._client.stream.file_descriptor, self._instance.stream.file_descriptor

    def detach_sockets(self) -> None:
        """Let go of a connection that another process holds now; nobody at its ends notices."""
        self._over = True
        for deadline in (self._look, self._idle, self._closing):
            self._loop.cancel(deadline)
        self._client.stream.close()
        self._instance.stream.close()

    def other(self, side: _Side) -> _Side:
        """Return the side across."""
        return self._instance if side is self._client else self._client

    # Bytes

    def pass_on(self, side: _Side) -> None:
        """Pass on what has come from one side, as far as the other takes it now."""
        inbox = side.stream.inbox
        if inbox is not None and not (self._over and side is self._instance and self._moving):
            data = bytes(inbox.readable())
            taken = self.other(side).stream.write(data)
            if taken < len(data):
                side.stream.pause_reading()  # backpressure: read on when the other side has room
            if taken:
                if taken == len(data):
                    side.stream.consume(taken)
                else:
                    inbox.start += taken
                self._note(side, side.count.feed(data[:taken]))
        if side.stream.at_eof and side.stream.inbox is None:
            self._after_end(side)

    def _note(self, side: _Side, done: list[bytes]) -> None:
        if self._over:
            return
        self._heard_at = self._loop.now_us
        if side is self._client:
            if done:
                room = ASKED_MOST - len(self._asked)  # the oldest must stay: they tell of silence
                self._asked.extend([self._loop.now_us] * min(len(done), room))
                if self._look is None:
                    self._look = self._loop.call_later(LOOK_US, self._look_again)
            return
        for line in done:
            load = lines.read_load(line)
            if load is not None:
                self._owner.on_load_changed(self._request_id, load)
                continue
            ending = lines.read_last(line)
            if ending is not None:
                self._ending = ending
                self._closing = self._closing or self._loop.call_later(
                    LAST_LINE_US, self._finish_both
                )
            elif self._asked:
                self._owner.on_message_answered(
                    self._request_id, self._loop.now_us - self._asked.popleft()
                )
                # A hung instance may never answer what it swallowed; each later answer would look late.
                while self._asked and self._loop.now_us - self._asked[0] >= STALLED_US:
                    self._asked.popleft()
        if self._moving and not side.count.midline:
            self._send_move()

    # Silence

    def _look_again(self) -> None:
        """Tell of lines without an answer: a hung instance keeps its connections open and says nothing."""
        self._look = None
        if self._over or not self._asked:
            return
        age = self._loop.now_us - self._asked[0]
        if age >= SILENT_MOST_US:
            self._end_now(AttemptResult.TIMEOUT)
            return
        if age >= STALLED_US:
            self._owner.on_server_unresponsive(self._request_id, age)
        elif age >= LOOK_US:
            self._owner.on_message_waiting(self._request_id, age)
        self._look = self._loop.call_later(max(LOOK_US - age, LOOK_US // 2), self._look_again)

    def _end_now(self, result: AttemptResult) -> None:
        self._instance.stream.close(reset=True)
        if self._client.stream.closed:
            self._tell_over(result, None)
            return
        self._write_move()
        self._client.stream.start_lingering_close()
        self._tell_over(result, None)

    def _on_idle(self) -> None:
        left = self._heard_at + IDLE_US - self._loop.now_us
        if left > 0:
            self._idle = self._loop.call_later(left, self._on_idle)
        else:
            self._end_now(AttemptResult.CANCELLED)

    def give_way(self) -> None:
        """End both sides, as the client does not read what it asked for and others need the room."""
        self._client.stream.close(reset=True)
        self.on_side_broken(self._client)

    # Moves

    def migrate(self) -> None:
        """Tell the client to come again, between two lines, and end both sides."""
        if self._over or self._moving or self._ending is not None:
            return
        self._moving = True
        if self._instance.count.midline:
            self._closing = self._closing or self._loop.call_later(MOVE_WAIT_US, self._finish_both)
        else:
            self._send_move()

    def _send_move(self) -> None:
        if self._over:
            return
        self._write_move()
        self._tell_over(AttemptResult.CANCELLED, None)
        self._finish_both()

    def _write_move(self) -> None:
        """Write it whole and between two lines, or not at all."""
        if not self._instance.count.midline and self._client.stream.can_buffer(len(lines.MOVE)):
            self._client.stream.write(lines.MOVE)

    # Ends

    def on_side_end(self, side: _Side) -> None:
        """Pass on the end of one side after what it sent before."""
        if side is self._instance:
            self._tell_over(*(self._ending or (AttemptResult.RESET, None)))
        else:
            self._tell_over(AttemptResult.CANCELLED, None)
        self._closing = self._closing or self._loop.call_later(LINGER_US, self._finish_both)
        self.pass_on(side)

    def _after_end(self, side: _Side) -> None:
        if side is self._instance:
            self._finish_both()
        else:
            self._instance.stream.write_eof()

    def on_side_broken(self, side: _Side) -> None:
        """Pass on a break as a break; after the instance's last line it is only an end."""
        if side is self._instance and self._ending is not None:
            self._tell_over(*self._ending)
            self._finish_both()
            return
        self._tell_over(
            AttemptResult.RESET if side is self._instance else AttemptResult.CANCELLED, None
        )
        self.other(side).stream.close(reset=True)
        self._loop.cancel(self._closing)

    def _on_gone(self) -> None:
        """Let go once both streams are closed: relay and sides hold each other, and nobody else does."""
        if self._client.stream.closed and self._instance.stream.closed:
            del self._client.relay, self._instance.relay

    def _finish_both(self) -> None:
        self._tell_over(*(self._ending or (AttemptResult.CANCELLED, None)))
        self._loop.cancel(self._closing)
        self._client.stream.start_lingering_close()
        self._instance.stream.start_lingering_close()

    def _tell_over(self, result: AttemptResult, report: LoadReport | None) -> None:
        if not self._over:
            self._over = True
            self._loop.cancel(self._look)
            self._loop.cancel(self._idle)
            self._asked.clear()
            self._owner.on_connection_ended(self._request_id, result, report)
