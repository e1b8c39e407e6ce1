"""A connection to discovery, on which requests for the endpoint list are sent one at a time."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

import httptools

from larchhaven.net.control.http_response import HttpResponse
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop, TimerHandle
from larchhaven.net.core.stream import Stream

# A connect that hangs may have begun while discovery was cut off, and then never comes up.
CONNECT_TIMEOUT_US = 400_000
# Time for a response after the hold time; a slow or crowded discovery may need 2 s.
RESPONSE_TIMEOUT_US = 2_500_000
US_PER_MS = 1_000


@dataclass(frozen=True, slots=True)
class ListRequest:
    """A request for the endpoint list.

    Attributes:
        since_version: Version whose later changes are requested; None for the complete list.
        hold_ms: Time in milliseconds for which discovery may hold the request until there is a
            change.
    """

    since_version: int | None
    hold_ms: int = 0

    def encode(self, address: tuple[str, int]) -> bytes:
        """Return the HTTP request for a discovery service at a host and port."""
        query = ""
        if self.since_version is not None:
            query = f"?from={self.since_version}&hold_ms={self.hold_ms}"
        host, port = address
        return f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()


class RequestFailureKind(enum.Enum):
    """Why a request got no response."""

    NOT_CONNECTED = "not connected"  # discovery was not reached in time
    NO_RESPONSE = "no response"  # discovery took the request, and did not answer in time
    ERROR = "error"  # refused, reset, or an invalid response


class ListRequestOwner(Protocol):
    """Receives the result of each request."""

    def response_received(self, connection: DiscoveryConnection, response: HttpResponse) -> None:
        """Receive a complete response, which the receiver has to release."""

    def request_failed(
        self, connection: DiscoveryConnection, kind: RequestFailureKind, reason: str
    ) -> None:
        """Receive the failure of the request; the connection is already closed."""


class DiscoveryConnection:
    """Sends requests to discovery, and gives each one up when its response is late.

    Args:
        loop: The event loop.
        pool: Provides the buffers and the memory account of the connection.
        address: Host and port of discovery.
        owner: Receives the results.

    Attributes:
        request: The request in progress; None while the connection is idle or closed.
    """

    def __init__(
        self, loop: EventLoop, pool: BufferPool, address: tuple[str, int], owner: ListRequestOwner
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._address = address
        self._owner = owner
        self.request: ListRequest | None = None
        self._stream: Stream | None = None
        self._response: HttpResponse | None = None
        self._timeout: TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Whether a further request can be sent on this connection."""
        return self._stream is not None

    def send(self, request: ListRequest) -> None:
        """Send a request, once connected; the connection must be idle."""
        self.request = request
        if self._stream is not None:
            self._write_request()
            return
        self._timeout = self._loop.call_later(CONNECT_TIMEOUT_US, self._on_connect_timeout)
        try:
            self._stream = Stream.connect(self._loop, self._pool, self._address, self)
        except OSError as error:
            reason = str(error)
            self._loop.call_later(0, lambda: self._fail(RequestFailureKind.ERROR, reason))

    def close(self) -> None:
        """Close the connection, and drop the request in progress."""
        self._loop.cancel(self._timeout)
        self.request = None
        self._drop_response()
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()

    def _write_request(self) -> None:
        stream, request = self._stream, self.request
        if stream is None or request is None:
            return
        self._loop.cancel(self._timeout)
        timeout_us = request.hold_ms * US_PER_MS + RESPONSE_TIMEOUT_US
        self._timeout = self._loop.call_later(timeout_us, self._on_response_timeout)
        self._response = HttpResponse(self._pool.account)
        stream.write(request.encode(self._address))

    def _drop_response(self) -> None:
        if self._response is not None:
            self._response.release()
            self._response = None

    def _on_connect_timeout(self) -> None:
        reason = f"not connected within {CONNECT_TIMEOUT_US // US_PER_MS} ms"
        self._fail(RequestFailureKind.NOT_CONNECTED, reason)

    def _on_response_timeout(self) -> None:
        reason = f"no response within {RESPONSE_TIMEOUT_US // US_PER_MS} ms"
        self._fail(RequestFailureKind.NO_RESPONSE, reason)

    def _fail(self, kind: RequestFailureKind, reason: str) -> None:
        """Close the connection, and report the failure if a request was in progress."""
        had_request = self.request is not None
        self.close()
        if had_request:
            self._owner.request_failed(self, kind, reason)

    def _finish_response(self, response: HttpResponse) -> None:
        """Report a complete response; the connection is idle from then on, or closed."""
        self._loop.cancel(self._timeout)
        self.request = self._response = None
        if not response.keeps_connection:
            self.close()
        self._owner.response_received(self, response)

    # Callbacks of the stream

    def connection_made(self) -> None:
        """Send the request that waited for the connection."""
        self._write_request()

    def write_buffer_drained(self) -> None:
        """Do nothing: requests are short, so none waits for buffer space."""

    def data_received(self) -> None:
        """Parse the bytes of the response that have arrived."""
        stream = self._stream
        if stream is None or stream.inbox is None:
            return
        data = bytes(stream.inbox.readable())
        stream.consume(len(data))
        response = self._response
        if response is None:
            self.close()  # data that was not requested
            return
        try:
            response.feed(data)
        except httptools.HttpParserError as error:
            self._fail(RequestFailureKind.ERROR, f"invalid HTTP response: {error}")
            return
        if response.is_too_long:
            reason = f"response exceeds the memory limit after {len(response.body)} bytes"
            self._fail(RequestFailureKind.ERROR, reason)
        elif response.is_complete:
            self._finish_response(response)

    def eof_received(self) -> None:
        """Close the connection; a response whose end is not known otherwise is complete."""
        response = self._response
        if response is not None:
            response.feed_eof()
        if response is not None and response.is_complete:
            self._finish_response(response)
            return
        reason = "discovery closed the connection before the end of the response"
        self._fail(RequestFailureKind.ERROR, reason)

    def connection_lost(self, code: int) -> None:
        """Handle a broken connection, which is a failure only while a request is in progress."""
        self._stream = None
        self._fail(RequestFailureKind.ERROR, f"connection lost: errno {code}")
