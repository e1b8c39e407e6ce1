"""Executions: single attempts of a command at an instance, from the connect to ``UP`` or an outcome."""

from __future__ import annotations

import errno

from larchhaven.net.control.interfaces import AttemptObserver
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.stream import RESOURCE_EXHAUSTION_ERRNOS, Stream
from larchhaven.net.text_protocol import codec as lines
from larchhaven.routing.events import AttemptResult, LoadReport


class TextExecution:
    """One attempt; its owner hears exactly once how it came out, unless it cancels."""

    def __init__(
        self,
        loop: EventLoop,
        pool: BufferPool,
        owner: AttemptObserver,
        request_id: int,
        first_line: bytes,
        address: tuple[str, int],
        connect_us: int,
        wait_us: int,
    ) -> None:
        self._loop = loop
        self._owner = owner
        self._request_id = request_id
        self._first_line = first_line
        self._until = loop.now_us + wait_us
        self._written = False
        self._over = False
        self.up_line = b""
        self._connect_limit = loop.call_later(min(connect_us, wait_us), self._on_late_connect)
        self._limit = loop.call_later(wait_us, self._on_late)
        self.stream: Stream | None = None
        try:
            self.stream = Stream.connect(loop, pool, address, self)
        except OSError as error:
            short = error.errno in RESOURCE_EXHAUSTION_ERRNOS
            result = AttemptResult.NOT_SENT if short else AttemptResult.UNREACHABLE
            # Told in a turn of its own: the owner is still at work on the action that began this.
            loop.call_later(0, lambda: self._end(result))

    # The stream's owner

    def connection_made(self) -> None:
        """Send the first line, unless the instance was told to drain while the connect took its time."""
        self._loop.cancel(self._connect_limit)
        stream = self.stream
        if stream is None or self._over:
            return
        if not self._owner.may_send_request(self._request_id):
            self._end(AttemptResult.NOT_SENT)
            return
        line = lines.with_wait(self._first_line, self._until - self._loop.now_us)
        if stream.write(line) < len(line):
            self._end(AttemptResult.NOT_SENT)  # no buffer left for the rest
            return
        if not stream.pending_bytes:
            self.write_buffer_drained()

    def write_buffer_drained(self) -> None:
        """Note that the last byte of the line is written: from here on it may have run."""
        if not self._written:
            self._written = True
            self._owner.on_request_sent(self._request_id)

    def data_received(self) -> None:
        """Read the instance's answer."""
        inbox = self.stream.inbox if self.stream is not None else None
        if self._over or inbox is None or self.stream is None:
            return
        try:
            line = lines.take_line(inbox)
        except lines.BadLineError:
            self._end(AttemptResult.ERROR)
            return
        if line is None:
            return
        self.stream.consume(0)
        if lines.is_up(line):
            self._over = True
            self._stop_clocks()
            self.up_line = line
            self._owner.on_attempt_established(self._request_id)
            return
        result, report = lines.read_ending(line) or (AttemptResult.ERROR, None)
        self._end(result, report)

    def eof_received(self) -> None:
        """Take an end without an answer."""
        self._end(AttemptResult.RESET if self._written else AttemptResult.UNREACHABLE)

    def connection_lost(self, code: int) -> None:
        """Take a break, which proves that nothing ran only before the line's last byte was written."""
        if code in RESOURCE_EXHAUSTION_ERRNOS and code != errno.ENOBUFS:
            self._end(AttemptResult.NOT_SENT)
        else:
            self._end(AttemptResult.RESET if self._written else AttemptResult.UNREACHABLE)

    # Limits

    def _on_late_connect(self) -> None:
        self._end(AttemptResult.UNREACHABLE)

    def _on_late(self) -> None:
        """Give up; an answer that has just come still counts."""
        if self.stream is not None and self._written:
            self.stream.read_available()
        self._end(AttemptResult.TIMEOUT if self._written else AttemptResult.UNREACHABLE)

    # Ending

    def cancel(self) -> None:
        """Give up without a word to the owner."""
        if not self._over:
            self._over = True
            self._stop_clocks()
            if self.stream is not None:
                self.stream.close()

    def _end(self, result: AttemptResult, report: LoadReport | None = None) -> None:
        if not self._over:
            self.cancel()  # closed before the owner hears of it: the next execution must not overlap
            self._owner.on_attempt_failed(self._request_id, result, report)

    def _stop_clocks(self) -> None:
        self._loop.cancel(self._connect_limit)
        self._loop.cancel(self._limit)
