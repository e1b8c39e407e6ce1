"""One client, from accept until its request is answered or its connection established."""

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

# A client must send its request line within this time of its accept, and of its last PING.
REQUEST_LINE_TIMEOUT_US = 2_000_000
TIMEOUT_AFTER_PING_US = 5_000_000


class ClientAcceptor(Protocol):
    """What a client needs of the listener that accepted it.

    Attributes:
        loop: The event loop.
        pool: The buffers and streams of clients.
        requests: Where requests go.
        event_log: The log for operators.
        request_classes: The numbers of the request classes by name.
        tenants: The numbers of the tenants by name.
        is_draining: Whether clients are sent away; those that come all the same are served.
    """

    loop: EventLoop
    pool: BufferPool
    requests: RequestIntake
    event_log: RateLimitedLog
    request_classes: Mapping[str, int]
    tenants: Mapping[str, int]
    is_draining: bool

    def stop_awaiting_request(self, client: TextClientConnection) -> None:
        """Take notice that a client has sent its request line, was answered, or has left."""

    def try_admit(self, spec: RequestSpec) -> bool:
        """Return whether there is capacity for a request; a rejection is counted."""


class TextClientConnection:
    """A client that has not been answered yet.

    Attributes:
        accepted_at_us: When it was accepted.
        stream: Its connection.
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

    # The stream's protocol

    def connection_made(self) -> None:
        """Do nothing: an accepted connection is established already."""

    def write_buffer_drained(self) -> None:
        """Do nothing: answers are short."""

    def data_received(self) -> None:
        """Handle the lines up to the request; what follows it waits for the server."""
        while self._request_id is None and self.stream.inbox is not None:
            try:
                line = codec.take_line(self.stream.inbox)
                if line is None:
                    return
                self.stream.consume(0)
                if line + codec.LINE_END == codec.PING:
                    self._answer_ping()
                    continue
                spec = self._parse_request(line)
            except codec.RemoteProtocolError as error:
                self._acceptor.event_log.warning("request line invalid", error.reason)
                self.send_failure()
                return
            self._start_request(spec)

    def eof_received(self) -> None:
        """Take it that the client has left: it would keep its side open while it waits."""
        self._leave()
        self.stream.start_lingering_close()

    def connection_lost(self, code: int) -> None:
        """Take it that the client has left."""
        self._leave()

    # The request

    def _answer_ping(self) -> None:
        self.stream.write(codec.NO if self._acceptor.is_draining else codec.PONG)
        self._loop.cancel(self._timeout)
        self._timeout = self._loop.call_later(TIMEOUT_AFTER_PING_US, self._on_timeout)

    def _parse_request(self, line: bytes) -> RequestSpec:
        acceptor = self._acceptor
        spec = codec.parse_request_line(line, acceptor.request_classes, acceptor.tenants)
        if acceptor.requests.detect_duplicate_identity(spec):
            raise codec.RemoteProtocolError("the id is that of an open request")
        return spec

    def _start_request(self, spec: RequestSpec) -> None:
        self._cancel_timeout()
        self._acceptor.stop_awaiting_request(self)
        if self._acceptor.try_admit(spec):
            self.stream.on_inbox_full = self._on_inbox_full
            self._request_id = self._acceptor.requests.accept_request(self, spec)
        else:
            self._acceptor.requests.reject_request(self, spec)

    def _leave(self) -> None:
        self._cancel_timeout()
        self._acceptor.stop_awaiting_request(self)
        if self._request_id is not None:
            self._acceptor.requests.on_client_disconnected(self._request_id)

    def _cancel_timeout(self) -> None:
        self._loop.cancel(self._timeout)
        self._timeout = None

    def _on_timeout(self) -> None:
        """Fail a client that sent no request line; a line that has just come still counts."""
        timeout = self._timeout
        self.stream.read_available()
        if self._timeout is timeout:
            self.send_failure()

    def _on_inbox_full(self) -> None:
        """Fail a client that sends on while it should wait for its answer.

        What it sends is kept as far as a buffer goes. With more, or with no buffer free, its end of
        stream would stay unseen, and its request be forwarded for nobody.
        """
        if self._request_id is not None:
            self._acceptor.event_log.warning(
                "client sent data before its answer", "reason=inbox full"
            )
            self._acceptor.requests.fail_request(self._request_id)

    def shed(self) -> None:
        """Reject a client without a request line; a line that has just come still counts.

        What it sends after that is discarded. Its stream lingers: it is the next to be closed.
        """
        self.stream.read_available()
        if self._request_id is None and not self.stream.is_closed:
            self.send_rejection(0)

    # What the request table calls

    def read_available(self) -> None:
        """Read what has come, above all the end of stream of a client that has left."""
        self.stream.read_available()

    def send_rejection(self, retry_after_us: int) -> None:
        """Answer that a retry does no harm, after this time if it is not 0."""
        self._answer(codec.encode_rejection(retry_after_us))

    def send_failure(self) -> None:
        """Answer that the request failed."""
        self._answer(codec.ERR)

    def establish_connection(
        self, attempt: UpstreamAttempt, request_id: int, observer: ConnectionObserver
    ) -> ConnectionRelay:
        """Connect the client to the server of this attempt."""
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
