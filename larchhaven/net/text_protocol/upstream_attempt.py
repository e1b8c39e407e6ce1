"""One attempt of a request at a server, from the connect to its acceptance or failure."""

from __future__ import annotations

from enum import Enum, auto

from larchhaven.net.control.interfaces import AttemptObserver
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.stream import RESOURCE_EXHAUSTION_ERRNOS, Stream
from larchhaven.net.text_protocol import codec
from larchhaven.routing.events import AttemptResult, LoadReport


class _Phase(Enum):
    """The state of an attempt."""

    NOT_SENT = auto()  # the server cannot have executed the request
    SENT = auto()  # the request line is written completely: the request may have been executed
    ENDED = auto()


class TextUpstreamAttempt:
    """One attempt of a request at a server.

    The observer is notified of its outcome exactly once, unless the attempt is cancelled.

    Args:
        loop: The event loop.
        pool: The buffer pool of client connections.
        observer: Is notified of the progress.
        request_id: The id of the request.
        request_line: The client's request line without its CRLF.
        address: The server's host and port.
        connect_timeout_us: The connect timeout in microseconds.
        budget_us: The timeout of the whole attempt in microseconds.

    Attributes:
        stream: The stream to the server; None if the connect failed at once.
        acceptance_line: The line with which the server accepted the connection, without its CRLF;
            empty until then.
    """

    def __init__(
        self,
        loop: EventLoop,
        pool: BufferPool,
        observer: AttemptObserver,
        request_id: int,
        request_line: bytes,
        address: tuple[str, int],
        connect_timeout_us: int,
        budget_us: int,
    ) -> None:
        self._loop = loop
        self._observer = observer
        self._request_id = request_id
        self._request_line = request_line
        self._expires_us = loop.now_us + budget_us
        self._phase = _Phase.NOT_SENT
        self.acceptance_line = b""
        self._connect_timeout = loop.call_later(
            min(connect_timeout_us, budget_us), self._on_connect_timeout
        )
        self._timeout = loop.call_later(budget_us, self._on_timeout)
        self.stream: Stream | None = None
        try:
            self.stream = Stream.connect(loop, pool, address, self)
        except OSError as error:
            result = _result_of_connect_error(error.errno)
            # Reported by a timer, as the observer is still handling the action that starts this
            # attempt.
            loop.call_later(0, lambda: self._fail(result))

    # Stream callbacks

    def connection_made(self) -> None:
        """Send the request line, unless the observer no longer allows it.

        During the connect, the server may have started to drain, or the client may have
        disconnected.
        """
        self._loop.cancel(self._connect_timeout)
        stream = self.stream
        if stream is None or self._phase is _Phase.ENDED:
            return
        if not self._observer.may_send_request(self._request_id):
            self._fail(AttemptResult.NOT_SENT)
            return
        line = codec.encode_request_line(self._request_line, self._expires_us - self._loop.now_us)
        if stream.write(line) < len(line):
            self._fail(AttemptResult.NOT_SENT)  # no buffer is available for the rest
            return
        if not stream.pending_bytes:
            self.write_buffer_drained()

    def write_buffer_drained(self) -> None:
        """Record that the request line was sent completely."""
        if self._phase is _Phase.NOT_SENT:
            self._phase = _Phase.SENT
            self._observer.on_request_sent(self._request_id)

    def data_received(self) -> None:
        """Handle the server's answer."""
        stream = self.stream
        if self._phase is _Phase.ENDED or stream is None or stream.inbox is None:
            return
        try:
            line = codec.take_line(stream.inbox)
        except codec.RemoteProtocolError:
            self._fail(AttemptResult.ERROR)
            return
        if line is None:
            return
        stream.consume(0)
        if codec.is_acceptance(line):
            self._phase = _Phase.ENDED
            self._cancel_timeouts()
            self.acceptance_line = line
            self._observer.on_attempt_established(self._request_id)
            return
        ending = codec.parse_ending(line) or codec.Ending(AttemptResult.ERROR)
        self._fail(ending.result, ending.report)

    def eof_received(self) -> None:
        """Fail: the server closed the connection without an answer."""
        self._fail(self._result_of_lost_connection())

    def connection_lost(self, code: int) -> None:
        """Fail: the request may have been executed if its last byte was written."""
        self._fail(self._result_of_lost_connection(code))

    def _result_of_lost_connection(self, code: int | None = None) -> AttemptResult:
        if self._phase is _Phase.SENT:
            return AttemptResult.RESET
        return _result_of_connect_error(code)

    # Timeouts

    def _on_connect_timeout(self) -> None:
        self._fail(AttemptResult.UNREACHABLE)

    def _on_timeout(self) -> None:
        """Fail, unless the answer has just arrived."""
        if self._phase is _Phase.SENT and self.stream is not None:
            self.stream.read_available()
        is_sent = self._phase is _Phase.SENT
        self._fail(AttemptResult.TIMEOUT if is_sent else AttemptResult.UNREACHABLE)

    def _cancel_timeouts(self) -> None:
        self._loop.cancel(self._connect_timeout)
        self._loop.cancel(self._timeout)

    # Closing

    def cancel(self) -> None:
        """Cancel the attempt; the observer is not notified."""
        if self._phase is not _Phase.ENDED:
            self._phase = _Phase.ENDED
            self._cancel_timeouts()
            if self.stream is not None:
                self.stream.close()

    def _fail(self, result: AttemptResult, report: LoadReport | None = None) -> None:
        if self._phase is not _Phase.ENDED:
            # Close before notifying the observer: the next attempt must not overlap this one.
            self.cancel()
            self._observer.on_attempt_failed(self._request_id, result, report)


def _result_of_connect_error(code: int | None) -> AttemptResult:
    if code in RESOURCE_EXHAUSTION_ERRNOS:
        return AttemptResult.NOT_SENT
    return AttemptResult.UNREACHABLE
