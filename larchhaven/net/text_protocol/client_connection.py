"""A client connection, from accept until its request is answered or a server accepts it."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from typing import Protocol

from larchhaven.net.control.interfaces import ConnectionObserver, RequestIntake, UpstreamAttempt
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop, TimerHandle
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.net.core.stream import Stream
from larchhaven.net.text_protocol import codec
from larchhaven.net.text_protocol.connection_relay import ConnectionRelay
from larchhaven.net.text_protocol.upstream_attempt import TextUpstreamAttempt

# Time that a client has to send its request line after it was accepted.
REQUEST_LINE_TIMEOUT_US = 2_000_000
# Time that a client has to send its request line, or another PING, after a PING.
TIMEOUT_AFTER_PING_US = 5_000_000
# A client that sends PING after PING is read this many lines at a time, with a pause in between, so
# that it does not hold up the others.
MAX_LINES_PER_TURN = 16
TURN_PAUSE_US = 5_000


class ClientAcceptor(Protocol):
    """The interface of the listener that its client connections use.

    Attributes:
        loop: The event loop.
        pool: The buffer pool of client connections.
        requests: Receives the requests.
        event_log: The rate-limited log for operators.
        request_classes: Request class indexes by name.
        tenants: Tenant indexes by name.
        is_draining: Whether the proxy is draining. Clients that connect anyway are served.
    """

    loop: EventLoop
    pool: BufferPool
    requests: RequestIntake
    event_log: RateLimitedLog
    request_classes: Mapping[str, int]
    tenants: Mapping[str, int]
    is_draining: bool

    def stop_awaiting_request(self, client: TextClientConnection) -> None:
        """Record that a client sent its request line, was answered or disconnected."""

    def try_admit(self, spec: RequestSpec) -> bool:
        """Return whether there is capacity for a request; count a rejection if not."""


class TextClientConnection:
    """A client connection whose request has not been answered yet.

    Attributes:
        accepted_at_us: The time of the accept on the event loop's clock, in microseconds.
        stream: The stream to the client.
    """

    def __init__(self, acceptor: ClientAcceptor, sock: socket.socket) -> None:
        self._acceptor = acceptor
        self._loop = acceptor.loop
        self.accepted_at_us = acceptor.loop.now_us
        self._request_id: int | None = None
        self.stream = Stream(acceptor.loop, acceptor.pool, sock, self)
        self._timeout: TimerHandle | None = self._loop.call_later(
            REQUEST_LINE_TIMEOUT_US, self._on_timeout
        )
        self._pause: TimerHandle | None = None

    # Stream callbacks

    def connection_made(self) -> None:
        """Do nothing: an accepted connection is already established."""

    def write_buffer_drained(self) -> None:
        """Continue with the lines that waited until earlier answers were sent."""
        self._resume()

    def data_received(self) -> None:
        """Handle the lines up to the request line; later data stays in the inbox."""
        for _ in range(MAX_LINES_PER_TURN):
            if self._is_blocked() or not self._handle_next_line():
                return
        self.stream.pause_reading()
        self._loop.cancel(self._pause)
        self._pause = self._loop.call_later(TURN_PAUSE_US, self._resume)

    def eof_received(self) -> None:
        """Treat the end of the stream as a disconnect: a waiting client keeps its side open."""
        self._handle_disconnect()
        self.stream.start_lingering_close()

    def connection_lost(self, code: int) -> None:
        """Handle the disconnect of the client."""
        self._handle_disconnect()

    # Request handling

    def _is_blocked(self) -> bool:
        """Return whether no further line can be handled now; stop reading if answers are unsent."""
        if self._request_id is not None or self.stream.inbox is None:
            return True
        if self.stream.pending_bytes:
            self.stream.pause_reading()
            return True
        return False

    def _handle_next_line(self) -> bool:
        """Handle the next line of the inbox; return False if there is none, or it was the last."""
        if self.stream.inbox is None:
            return False
        try:
            line = codec.take_line(self.stream.inbox)
            if line is None:
                return False
            self.stream.consume(0)
            if line + codec.LINE_END == codec.PING:
                self._answer_ping()
                return True
            spec = self._parse_request(line)
        except codec.RemoteProtocolError as error:
            self._acceptor.event_log.warning("request line invalid", error.reason)
            self.send_failure()
            return False
        self._start_request(spec)
        return False

    def _resume(self) -> None:
        """Read on after a pause, unless the client has sent its request or was answered."""
        self._loop.cancel(self._pause)
        if self._timeout is None or self.stream.is_closed:
            return
        self.stream.resume_reading()
        self.data_received()

    def _answer_ping(self) -> None:
        self.stream.write(codec.NO if self._acceptor.is_draining else codec.PONG)
        self._loop.cancel(self._timeout)
        self._timeout = self._loop.call_later(TIMEOUT_AFTER_PING_US, self._on_timeout)

    def _parse_request(self, line: bytes) -> RequestSpec:
        acceptor = self._acceptor
        spec = codec.parse_request_line(line, acceptor.request_classes, acceptor.tenants)
        if acceptor.requests.detect_duplicate_identity(spec):
            raise codec.RemoteProtocolError(
                f"request id {spec.identity!r} is in use or was executed"
            )
        return spec

    def _start_request(self, spec: RequestSpec) -> None:
        self._cancel_timeout()
        self._acceptor.stop_awaiting_request(self)
        if self._acceptor.try_admit(spec):
            self.stream.on_inbox_full = self._on_inbox_full
            self._request_id = self._acceptor.requests.accept_request(self, spec)
        else:
            self._acceptor.requests.reject_request(self, spec)

    def _handle_disconnect(self) -> None:
        self._cancel_timeout()
        self._acceptor.stop_awaiting_request(self)
        if self._request_id is not None:
            self._acceptor.requests.on_client_disconnected(self._request_id)

    def _cancel_timeout(self) -> None:
        self._loop.cancel(self._timeout)
        self._loop.cancel(self._pause)
        self._timeout = None

    def _on_timeout(self) -> None:
        """Fail a client that sent no request line, unless the line has just arrived."""
        timeout = self._timeout
        self.stream.read_available()
        if self._timeout is timeout:
            self.send_failure()

    def _on_inbox_full(self) -> None:
        """Fail the request of a client that keeps sending while it waits for its answer.

        The data of such a client is kept in one buffer. If that is full, or the pool has no buffer
        left, the end of the client's stream cannot be detected. The request could then be forwarded
        although the client has disconnected.
        """
        if self._request_id is not None:
            self._acceptor.event_log.warning(
                "client sent data before its answer", "reason=inbox full"
            )
            self._acceptor.requests.fail_request(self._request_id)

    def shed(self) -> None:
        """Reject a client that sent no request line, unless the line has just arrived.

        Later input is discarded. The stream enters lingering close, so it is among the first to be
        closed if capacity is still exhausted.
        """
        self.stream.read_available()
        if self._request_id is None and not self.stream.is_closed:
            self.send_rejection(0)

    # Called by the request table

    def read_available(self) -> None:
        """Read what has arrived, as it may be the end of the client's stream."""
        self.stream.read_available()

    def send_rejection(self, retry_after_us: int) -> None:
        """Reject the request, which the client may safely retry.

        Args:
            retry_after_us: The delay before a retry, in microseconds; 0 if none is given.
        """
        self._answer(codec.encode_rejection(retry_after_us))

    def send_failure(self) -> None:
        """Answer that the request failed."""
        self._answer(codec.ERR)

    def establish_connection(
        self, attempt: UpstreamAttempt, request_id: int, observer: ConnectionObserver
    ) -> ConnectionRelay:
        """Start relaying between the client and the server that accepted the attempt."""
        assert isinstance(attempt, TextUpstreamAttempt)
        assert attempt.stream is not None
        self.stream.on_inbox_full = None
        return ConnectionRelay(
            self._loop,
            self.stream,
            attempt.stream,
            observer,
            request_id,
            attempt.acceptance_line,
        )

    def _answer(self, line: bytes) -> None:
        self._cancel_timeout()
        self._acceptor.stop_awaiting_request(self)
        self.stream.write(line)
        self.stream.start_lingering_close()
