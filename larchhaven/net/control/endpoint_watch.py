"""Watches the endpoint list with long polls, and polls the complete list when asked to.

A long poll asks for changes since a version. Discovery holds the request until there are changes or
the hold time ends, and then answers. By the protocol, if a watch stays silent for 2 s after its
hold time, this process counts as notified of all changes that it missed. So a silent watch is
followed by short polls, well before these 2 s are over. A short poll has no hold time and uses a
new connection. If the short polls are silent too, the watch fails. The balancer decides when to try
again.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from http import HTTPStatus

import httptools
import msgspec

from larchhaven.net.control.endpoint_directory import EndpointListMessage
from larchhaven.net.control.http_response import HttpResponse
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop, TimerHandle
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.net.core.stream import Stream

WATCH_HOLD_MS = 8_000
# From the end of the hold time to the first short poll.
WATCH_SILENCE_US = 500_000
# After a silent watch, all polls must be sent before the 2 s limit, and the last one must be over
# before a short drain grace has passed as well.
SHORT_POLL_TIMEOUT_US = 650_000
MAX_SHORT_POLLS = 3
# Timeout of the poll with which the watch starts, and of the first one after a failure.
FIRST_POLL_TIMEOUT_US = 1_000_000
# Timeout of the polls after further failures: discovery may be slow or crowded.
RETRY_TIMEOUT_US = 2_000_000
# A connect that hangs may have begun while discovery was cut off, and then never comes up.
CONNECT_TIMEOUT_US = 400_000
# Interval between connects that hang, for each proxy: when discovery is back, all proxies connect
# within one interval.
CONNECT_INTERVAL_PER_PROXY_US = 125_000
MAX_CONNECT_INTERVAL_US = 5_000_000
COMPLETE_LIST_TIMEOUT_US = 2_000_000
# Minimum time between two requests. If discovery answers at once without changes, this prevents a
# tight loop of polls. The protocol allows 200 ms.
MIN_REQUEST_INTERVAL_US = 50_000
US_PER_MS = 1_000


class _PollState(enum.Enum):
    """State of the current request to discovery."""

    IDLE = "idle"  # no request; a connection may be open for the next one
    CONNECTING = "connecting"  # the request is sent once the connection is established
    AWAITING_RESPONSE = "awaiting response"


class EndpointWatch:
    """Requests changes to the endpoint list from discovery, one request at a time.

    Args:
        loop: The event loop.
        pool: Provides the buffers and the memory account of the connection.
        log: Receives failures.
        address: Host and port of discovery.
        version: Version of the current endpoint list.
        on_list: Called with each list received, or with None when the watch has failed and is
            disabled.
        proxy_count: Number of proxies that use discovery.

    Attributes:
        notification_delay_us: Time for which this process may already have counted as notified of
            the received list, in microseconds; valid while ``on_list`` runs.
    """

    def __init__(
        self,
        loop: EventLoop,
        pool: BufferPool,
        log: RateLimitedLog,
        address: tuple[str, int],
        version: int,
        on_list: Callable[[EndpointListMessage | None], None],
        proxy_count: int = 1,
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._log = log
        self._address = address
        self._version = version
        self._on_list = on_list
        interval_us = min(CONNECT_INTERVAL_PER_PROXY_US * proxy_count, MAX_CONNECT_INTERVAL_US)
        self._connect_pause_us = max(interval_us - CONNECT_TIMEOUT_US, 0)
        self._is_enabled = False
        self._state = _PollState.IDLE
        self._stream: Stream | None = None
        self._response: HttpResponse | None = None
        # Whether the next request asks for the complete list.
        self._needs_complete_list = False
        # Set when discovery's address changes or ``_find_list_error`` rejects a list, so that
        # every request asks for the complete list until one is accepted.
        self._is_out_of_sync = False
        # Number of consecutive short polls, which have no hold time: changes may have been missed.
        self._short_polls = 0
        # Number of failures since discovery was last reached by a watch or sent a list.
        self._failures = 0
        self._silent_since_us: int | None = None
        self.notification_delay_us = 0
        self._requested_at_us = -MIN_REQUEST_INTERVAL_US
        self._timeout: TimerHandle | None = None
        self._next_request: TimerHandle | None = None

    def set_enabled(self, is_enabled: bool) -> None:
        """Start the watch, or stop renewing it."""
        self._is_enabled = is_enabled
        if is_enabled and self._state is _PollState.IDLE:
            self._start_request()

    def start_with_poll(self) -> None:
        """Start the watch with a short poll, as missed changes already count as notified."""
        self._short_polls = 1
        self.set_enabled(True)

    def poll_complete_list(self) -> None:
        """Request the complete list once, interrupting a request in progress."""
        self._needs_complete_list = True
        if self._state is not _PollState.IDLE:
            self._disconnect()
        self._start_request()

    def change_address(self, address: tuple[str, int]) -> None:
        """Use discovery at another address from now on.

        Versions are specific to the discovery process at an address. A watch from the old process's
        version would stay silent until the new process reaches that version. So complete lists are
        requested until the new process has sent one.
        """
        self._address = address
        self._disconnect()
        self._needs_complete_list = self._is_out_of_sync = True
        self._start_request()

    # Requests

    def _start_request(self) -> None:
        self._loop.cancel(self._next_request)
        self._state = _PollState.CONNECTING
        self._requested_at_us = self._loop.now_us
        if self._stream is not None:
            self._send_request(self._stream)
            return
        self._timeout = self._loop.call_later(CONNECT_TIMEOUT_US, self._on_connect_timeout)
        try:
            self._stream = Stream.connect(self._loop, self._pool, self._address, self)
        except OSError as error:
            reason = str(error)
            self._loop.call_later(0, lambda: self._fail(reason))

    def _find_timeout_us(self) -> int:
        if self._needs_complete_list:
            return COMPLETE_LIST_TIMEOUT_US
        if not self._short_polls:
            return WATCH_HOLD_MS * US_PER_MS + WATCH_SILENCE_US
        if self._failures > 1:
            return RETRY_TIMEOUT_US
        if self._failures or self._silent_since_us is None:
            return FIRST_POLL_TIMEOUT_US
        return SHORT_POLL_TIMEOUT_US

    def _send_request(self, stream: Stream) -> None:
        self._drop_response()
        self._response = HttpResponse(self._pool.account)
        self._state = _PollState.AWAITING_RESPONSE
        self._loop.cancel(self._timeout)
        expires_us = self._requested_at_us + self._find_timeout_us()
        self._timeout = self._loop.call_later(expires_us - self._loop.now_us, self._on_timeout)
        if not self._short_polls:
            self._failures = 0
        hold_ms = 0 if self._short_polls else WATCH_HOLD_MS
        query = "" if self._needs_complete_list else f"?from={self._version}&hold_ms={hold_ms}"
        host, port = self._address
        request = f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        stream.write(request.encode())

    def _schedule_next_request(self) -> None:
        wait_us = self._requested_at_us + MIN_REQUEST_INTERVAL_US - self._loop.now_us
        if wait_us > 0:
            self._next_request = self._loop.call_later(wait_us, self._start_request)
        else:
            self._start_request()

    def _disconnect(self) -> None:
        """Close the connection, and drop the request in progress."""
        self._loop.cancel(self._timeout)
        self._state = _PollState.IDLE
        self._drop_response()
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _drop_response(self) -> None:
        if self._response is not None:
            self._response.release()
            self._response = None

    # Failures

    def _on_connect_timeout(self) -> None:
        """Connect anew after a pause: a connect that hangs costs discovery nothing."""
        reason = f"not connected within {CONNECT_TIMEOUT_US // US_PER_MS} ms"
        if not self._is_enabled:
            self._fail(reason)
            return
        self._log.warning("watch failed, retrying", reason)
        self._disconnect()
        self._note_silence()
        self._next_request = self._loop.call_later(self._connect_pause_us, self._connect_again)

    def _connect_again(self) -> None:
        if self._is_enabled and self._state is _PollState.IDLE:
            self._start_request()

    def _on_timeout(self) -> None:
        """Follow a silent request with a short poll, or fail if no further one is allowed."""
        if self._is_last_attempt() or not self._is_enabled:
            waited_us = self._loop.now_us - self._requested_at_us
            self._fail(f"no response within {waited_us // US_PER_MS} ms")
            return
        self._disconnect()
        self._note_silence()
        self._short_polls += 1
        self._start_request()

    def _is_last_attempt(self) -> bool:
        """Return whether the watch fails if the current request is not answered in time."""
        is_retry = self._failures > 0 and self._short_polls > 0
        return self._needs_complete_list or is_retry or self._short_polls >= MAX_SHORT_POLLS

    def _note_silence(self) -> None:
        if self._silent_since_us is None:
            self._silent_since_us = self._loop.now_us

    def _fail(self, reason: str) -> None:
        if self._state is _PollState.IDLE:
            return
        self._disconnect()
        self._note_silence()
        self._failures += 1
        self._is_enabled = False
        self._needs_complete_list = self._is_out_of_sync
        self._log.warning("watch failed, retrying", reason)
        self._on_list(None)

    # Responses

    def _read_response(self, response: HttpResponse) -> None:
        status = response.read_status()
        if status != HTTPStatus.OK:
            self._fail(f"HTTP status {status}")
            return
        try:
            message = msgspec.json.decode(response.body, type=EndpointListMessage)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self._fail(str(error))
            return
        message.is_complete = message.is_complete or self._needs_complete_list
        list_error = self._find_list_error(message)
        if list_error is not None:
            # Changes that belong to another list would corrupt the current one.
            self._is_out_of_sync = True
            self._fail(list_error)
            return
        self._accept_list(message, response.keeps_connection)

    def _find_list_error(self, message: EndpointListMessage) -> str | None:
        """Return why the message must not be applied, or None if it is valid.

        An empty complete list would remove all servers, and a complete list that names a server
        twice has at least one wrong entry. Changes may name a server twice, as they are applied in
        order.
        """
        endpoints = message.endpoints
        if message.is_complete and not endpoints:
            return "complete endpoint list is empty"
        server_ids = {entry.server_id for entry in endpoints}
        if message.is_complete and len(server_ids) < len(endpoints):
            return f"endpoint list repeats servers: {len(endpoints)} entries, {len(server_ids)} ids"
        if not self._needs_complete_list and message.version < self._version:
            return f"endpoint list version {message.version} is older than version {self._version}"
        return None

    def _accept_list(self, message: EndpointListMessage, keeps_connection: bool) -> None:
        self._loop.cancel(self._timeout)
        self._state = _PollState.IDLE
        self._drop_response()
        self._needs_complete_list = self._is_out_of_sync = False
        self._short_polls = 0
        self._failures = 0
        self._version = message.version
        self.notification_delay_us = 0
        if self._silent_since_us is not None:
            self.notification_delay_us = self._loop.now_us - self._silent_since_us
            self._silent_since_us = None
        if not keeps_connection:
            self._disconnect()
        self._on_list(message)
        if self._is_enabled:
            self._schedule_next_request()

    # Callbacks of the stream

    def connection_made(self) -> None:
        """Send the request that waited for the connection."""
        if self._state is _PollState.CONNECTING and self._stream is not None:
            self._send_request(self._stream)

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
        if self._state is not _PollState.AWAITING_RESPONSE or response is None:
            self._disconnect()  # data that was not requested
            return
        try:
            response.feed(data)
        except httptools.HttpParserError as error:
            self._fail(f"invalid HTTP response: {error}")
            return
        if response.is_too_long:
            self._fail(f"response exceeds the memory limit after {len(response.body)} bytes")
        elif response.is_complete:
            self._read_response(response)

    def eof_received(self) -> None:
        """Close the connection; this is a failure only while a response is not complete."""
        if self._state is _PollState.IDLE:
            self._disconnect()
            return
        response = self._response
        if response is not None:
            response.feed_eof()
        if response is not None and response.is_complete:
            self._read_response(response)
        else:
            self._fail("discovery closed the connection before the end of the response")

    def connection_lost(self, code: int) -> None:
        """Handle a broken connection, which is a failure only while a request is in progress."""
        self._stream = None
        self._fail(f"connection lost: errno {code}")
