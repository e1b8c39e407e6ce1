"""Relays lines between a client and its server in both directions until one side ends."""

from __future__ import annotations

from enum import Enum, auto

from larchhaven.net.control.interfaces import ConnectionObserver
from larchhaven.net.core.event_loop import EventLoop, TimerHandle
from larchhaven.net.core.lingering_close import LINGER_US
from larchhaven.net.core.stream import Stream
from larchhaven.net.text_protocol import codec
from larchhaven.net.text_protocol.relay_side import RelaySide
from larchhaven.net.text_protocol.relay_state import RelayState
from larchhaven.net.text_protocol.response_monitor import MAX_UNANSWERED_US, ResponseMonitor
from larchhaven.routing.events import AttemptResult

# A connection without data for this long is aborted: a client whose machine has failed never closes
# its connection. Live clients send every few seconds.
IDLE_TIMEOUT_US = 600_000_000
# Time that a server has to close the connection after its final line.
FINAL_LINE_GRACE_US = 300_000
# A migration that cannot send MOVE waits for this long while neither side sends any data. A
# connection on which a server returns nothing has to end within 7 s.
MAX_SILENT_MIGRATION_US = MAX_UNANSWERED_US


class _Phase(Enum):
    """The state of a relay."""

    RELAYING = auto()
    MIGRATING = auto()  # waiting for the end of a line to send MOVE after it
    MIGRATED = auto()  # reported as ended; nothing more is forwarded to the client
    ENDED = auto()  # reported as ended; remaining data is still forwarded


# Compared for every block of data. Looking up an enum member takes several times as long.
_RELAYING = _Phase.RELAYING
_MIGRATING = _Phase.MIGRATING


class ConnectionRelay:
    """An established connection between a client and its server.

    Args:
        loop: The event loop.
        client: The connection to the client.
        server: The connection to the server.
        observer: Receives the events of the connection.
        request_id: The id of the request.
        initial: The line with which the server accepted the connection, or the state that the
            predecessor handed over.
    """

    __slots__ = (
        "_client",
        "_close_timeout",
        "_final_line",
        "_idle_timeout",
        "_last_data_us",
        "_loop",
        "_migration_check",
        "_observer",
        "_phase",
        "_request_id",
        "_response_monitor",
        "_server",
        "_unsent_move",
    )

    def __init__(
        self,
        loop: EventLoop,
        client: Stream,
        server: Stream,
        observer: ConnectionObserver,
        request_id: int,
        initial: bytes | RelayState,
    ) -> None:
        self._loop = loop
        self._observer = observer
        self._request_id = request_id
        self._client = RelaySide(self, client)
        self._server = RelaySide(self, server)
        self._client.other = self._server
        self._server.other = self._client
        self._response_monitor = ResponseMonitor(loop, observer, request_id, self._on_hung_server)
        self._close_timeout: TimerHandle | None = None
        self._migration_check: TimerHandle | None = None
        self._final_line: codec.Ending | None = None
        self._phase = _RELAYING
        self._unsent_move = codec.MOVE
        self._last_data_us = loop.now_us
        self._idle_timeout = loop.call_later(IDLE_TIMEOUT_US, self._on_idle_timeout)
        client.on_shed = self._shed_client
        client.on_closed = self._release_sides
        server.on_closed = self._release_sides
        if isinstance(initial, RelayState):
            self._restore(initial)
        else:
            client.write(initial + codec.LINE_END)
        self.forward(self._client)
        self.forward(self._server)
        if server.at_eof:
            self.on_side_ended(self._server)

    # Handover between processes

    def _restore(self, state: RelayState) -> None:
        self._client.restore(state.client)
        self._server.restore(state.server)
        self._response_monitor.restore(state.unanswered_since_us)

    def export_state(self) -> RelayState | None:
        """Return the state for another process; None if the connection is about to end."""
        if self._phase is not _RELAYING or self._final_line is not None:
            return None
        return RelayState(
            client=self._client.export_state(),
            server=self._server.export_state(),
            unanswered_since_us=self._response_monitor.export_state(),
        )

    def file_descriptors(self) -> tuple[int, int]:
        """Return the file descriptors of the client's and the server's side."""
        return self._client.stream.file_descriptor, self._server.stream.file_descriptor

    def detach_sockets(self) -> None:
        """Close this process's descriptors after another process took over the connection."""
        self._phase = _Phase.ENDED
        self._response_monitor.stop()
        for timer in (self._idle_timeout, self._close_timeout):
            self._loop.cancel(timer)
        self._client.stream.close()
        self._server.stream.close()

    # Forwarding

    def forward(self, side: RelaySide) -> None:
        """Forward the data received from one side, as far as the other accepts it now."""
        if self._phase is _MIGRATING and side is self._server:
            self._complete_migration()
        inbox = side.stream.inbox
        if inbox is not None and (self._phase is _RELAYING or self._may_forward(side)):
            data = bytes(inbox.readable())
            if self._phase is _MIGRATING and side is self._server:
                data = side.line_counter.cut_after_last_line(data)  # MOVE follows it
            accepted = side.other.stream.write(data)
            if accepted < len(data):
                side.stream.pause_reading()  # until the other side has accepted the rest
            if accepted:
                if accepted == len(data):
                    side.stream.consume(accepted)
                else:
                    inbox.start += accepted
                self._note_lines(side, side.line_counter.feed(data[:accepted]))
        if side.stream.at_eof and side.stream.inbox is None:
            if side is self._server:
                self._close_both_sides()
            else:
                self._server.stream.write_eof()

    def _may_forward(self, side: RelaySide) -> bool:
        if self._phase is _MIGRATING and side is self._server:
            return side.line_counter.is_mid_line  # between two lines, MOVE comes next
        return side is self._client or self._phase is not _Phase.MIGRATED

    def _note_lines(self, side: RelaySide, lines: list[bytes]) -> None:
        """Handle completely forwarded lines, given the first bytes of each."""
        if self._phase is not _RELAYING and self._has_ended:
            return
        self._last_data_us = self._loop.now_us
        if side is self._client:
            if lines:
                self._response_monitor.add_lines(len(lines))
            return
        latest_load: float | None = None
        for line in lines:
            load = codec.parse_load(line)
            if load is None:
                self._note_server_line(line)
            else:
                latest_load = load
        if latest_load is not None:
            self._observer.on_load_changed(self._request_id, latest_load)
        if self._phase is _MIGRATING:
            self._complete_migration()

    def _note_server_line(self, line: bytes) -> None:
        """Handle a line other than a load."""
        final_line = codec.parse_final_line(line)
        if final_line is not None:
            self._final_line = final_line
            self._schedule_close(FINAL_LINE_GRACE_US)
        else:
            self._response_monitor.note_answer()

    # Timeouts

    def _on_hung_server(self) -> None:
        self._abort(AttemptResult.TIMEOUT)

    def _on_idle_timeout(self) -> None:
        remaining_us = self._last_data_us + IDLE_TIMEOUT_US - self._loop.now_us
        if remaining_us > 0:
            self._idle_timeout = self._loop.call_later(remaining_us, self._on_idle_timeout)
        else:
            self._abort(AttemptResult.CANCELLED)

    # Migration

    def migrate(self) -> None:
        """Ask the client to reconnect once the line in progress is complete; end both sides."""
        if self._phase is not _RELAYING or self._final_line is not None:
            return
        self._phase = _MIGRATING
        self._complete_migration()
        if self._phase is _MIGRATING:
            self._last_data_us = self._loop.now_us
            self._check_migration()

    def end_migration(self) -> None:
        """End both sides of a connection whose migration waits, although MOVE cannot be sent."""
        if self._phase is _MIGRATING:
            self._close_both_sides()

    def _check_migration(self) -> None:
        """End a migration that waits for a server or a client that hangs."""
        silent_us = self._loop.now_us - self._last_data_us
        if silent_us >= MAX_SILENT_MIGRATION_US:
            self.end_migration()
            return
        self._migration_check = self._loop.call_later(
            MAX_SILENT_MIGRATION_US - silent_us, self._check_migration
        )

    def _complete_migration(self) -> None:
        """End both sides if a migration waits and MOVE, or a final line, could be sent."""
        if self._phase is not _MIGRATING or self._server.line_counter.is_mid_line:
            return
        if self._final_line is not None or self._send_move():
            self._close_both_sides()

    def _send_move(self) -> bool:
        """Send what is left of MOVE; return whether all of it is sent or buffered."""
        accepted = self._client.stream.write(self._unsent_move)
        self._unsent_move = self._unsent_move[accepted:]
        return not self._unsent_move

    # Closing

    @property
    def _has_ended(self) -> bool:
        return self._phase is _Phase.ENDED or self._phase is _Phase.MIGRATED

    def on_side_ended(self, side: RelaySide) -> None:
        """Forward the end of one side after the data that it sent before."""
        if side is self._server:
            self._report_ended(self._final_line or codec.Ending(AttemptResult.RESET))
        else:
            self._report_ended(codec.Ending(AttemptResult.CANCELLED))
        self._schedule_close(LINGER_US)
        self.forward(side)

    def on_side_lost(self, side: RelaySide) -> None:
        """Reset the other side, or close both sides if the server has sent its final line."""
        if side is self._server and self._final_line is not None:
            self._close_both_sides()
            return
        is_server = side is self._server
        result = AttemptResult.RESET if is_server else AttemptResult.CANCELLED
        self._report_ended(codec.Ending(result))
        side.other.stream.close(reset=True)
        self._loop.cancel(self._close_timeout)

    def _shed_client(self) -> None:
        """Reset both sides of a connection whose client does not read, to free its capacity."""
        self._client.stream.close(reset=True)
        self.on_side_lost(self._client)

    def _abort(self, result: AttemptResult) -> None:
        """Reset the server's side, and ask the client to reconnect if it is still connected."""
        self._server.stream.close(reset=True)
        client = self._client.stream
        if not client.is_closed:
            is_mid_line = self._server.line_counter.is_mid_line
            if not is_mid_line and client.can_buffer(len(self._unsent_move)):
                self._send_move()
            client.start_lingering_close()
        self._report_ended(codec.Ending(result))

    def _schedule_close(self, delay_us: int) -> None:
        """Close both sides after a delay, unless that is already scheduled."""
        if self._close_timeout is None:
            self._close_timeout = self._loop.call_later(delay_us, self._close_both_sides)

    def _close_both_sides(self) -> None:
        self._report_ended(self._final_line or codec.Ending(AttemptResult.CANCELLED))
        self._loop.cancel(self._close_timeout)
        self._client.stream.start_lingering_close()
        self._server.stream.start_lingering_close()

    def _release_sides(self) -> None:
        """Release both sides once their streams are closed."""
        if self._client.stream.is_closed and self._server.stream.is_closed:
            self._client.release()
            self._server.release()

    def _report_ended(self, ending: codec.Ending) -> None:
        if self._has_ended:
            return
        is_migrating = self._phase is _Phase.MIGRATING
        self._phase = _Phase.MIGRATED if is_migrating else _Phase.ENDED
        self._response_monitor.stop()
        self._loop.cancel(self._idle_timeout)
        self._loop.cancel(self._migration_check)
        self._observer.on_connection_ended(self._request_id, ending.result, ending.report)
