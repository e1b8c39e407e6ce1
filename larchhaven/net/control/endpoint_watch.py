"""The watch on the endpoint list: long polls over one HTTP connection, and polls of all of it.

A watch asks for changes since a version, and the service holds the request until there are some or
the hold is over. By the protocol a watch that stays silent for 2 s after its hold counts as
notified of all that it missed. A sound service answers as soon as the hold is over, so a silent
watch is followed well before that by polls that are not to be held, each over a new connection; the
watch fails when they are silent too. When to try again is up to the decisions.
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
# From the end of the hold to the first poll that is not to be held.
WATCH_SILENCE_US = 500_000
# A poll at the last moment took 0.8 s, longer than the grace of a drain: so there is time for two.
PROMPT_POLL_TIMEOUT_US = 1_000_000
MAX_PROMPT_POLLS = 2
COMPLETE_LIST_TIMEOUT_US = 2_000_000
# Between two requests: an answer without changes that was not held would be asked for in a tight
# loop. The protocol allows 200 ms.
MIN_REQUEST_INTERVAL_US = 50_000
US_PER_MS = 1_000


class _CallState(enum.Enum):
    """Whether a request is out."""

    IDLE = "idle"  # none; a connection may be open for the next
    CONNECTING = "connecting"  # it is sent once there is a connection
    AWAITING_RESPONSE = "awaiting response"


class EndpointWatch:
    """Asks the endpoint service for changes, one request at a time.

    Args:
        loop: The event loop.
        pool: Buffers and memory account of the connection.
        log: Where failures are reported.
        address: Where the service is.
        version: Version of the list held.
        on_list: Takes each list; None says that the watch failed and is off.

    Attributes:
        notification_delay_us: While ``on_list`` runs, how long ago this process may count as
            notified of the list.
    """

    def __init__(
        self,
        loop: EventLoop,
        pool: BufferPool,
        log: RateLimitedLog,
        address: tuple[str, int],
        version: int,
        on_list: Callable[[EndpointListMessage | None], None],
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._log = log
        self._address = address
        self._version = version
        self._on_list = on_list
        self._is_enabled = False
        self._state = _CallState.IDLE
        self._stream: Stream | None = None
        self._response: HttpResponse | None = None
        # What the next request is to ask for.
        self._needs_complete_list = False
        # The version held is none of this service's: until it has sent a list, only complete ones.
        self._is_out_of_sync = False
        # Polls in a row that are not to be held, as there may be changes already.
        self._prompt_polls = 0
        self._silent_since_us: int | None = None
        self.notification_delay_us = 0
        self._requested_at_us = -MIN_REQUEST_INTERVAL_US
        self._timeout: TimerHandle | None = None
        self._next_request: TimerHandle | None = None

    def set_enabled(self, is_enabled: bool) -> None:
        """Open the watch, or do not renew it any more."""
        self._is_enabled = is_enabled
        if is_enabled and self._state is _CallState.IDLE:
            self._start_request()

    def start_with_poll(self) -> None:
        """Open the watch with a poll that is not held, as all changes count as notified."""
        self._prompt_polls = 1
        self.set_enabled(True)

    def poll_complete_list(self) -> None:
        """Ask once for the complete list; a watch that is open is interrupted for it."""
        self._needs_complete_list = True
        if self._state is not _CallState.IDLE:
            self._disconnect()
        self._start_request()

    def change_address(self, address: tuple[str, int]) -> None:
        """Ask another service from now on.

        Versions hold for one service only: a watch from the old one's version would be silent until
        the new one has come as far. So it is asked for complete lists until it has sent one.
        """
        self._address = address
        self._disconnect()
        self._needs_complete_list = self._is_out_of_sync = True
        self._start_request()

    # Requests

    def _start_request(self) -> None:
        self._loop.cancel(self._next_request)
        self._state = _CallState.CONNECTING
        self._requested_at_us = self._loop.now_us
        self._timeout = self._loop.call_later(self._find_timeout_us(), self._on_timeout)
        if self._stream is not None:
            self._send_request(self._stream)
            return
        try:
            self._stream = Stream.connect(self._loop, self._pool, self._address, self)
        except OSError as error:
            reason = str(error)
            self._loop.call_later(0, lambda: self._fail(reason))

    def _find_timeout_us(self) -> int:
        if self._needs_complete_list:
            return COMPLETE_LIST_TIMEOUT_US
        if self._prompt_polls:
            return PROMPT_POLL_TIMEOUT_US
        return WATCH_HOLD_MS * US_PER_MS + WATCH_SILENCE_US

    def _send_request(self, stream: Stream) -> None:
        self._drop_response()
        self._response = HttpResponse(self._pool.account)
        self._state = _CallState.AWAITING_RESPONSE
        hold_ms = 0 if self._prompt_polls else WATCH_HOLD_MS
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
        """Close the connection, and forget the request that is out."""
        self._loop.cancel(self._timeout)
        self._state = _CallState.IDLE
        self._drop_response()
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _drop_response(self) -> None:
        if self._response is not None:
            self._response.release()
            self._response = None

    # Failures

    def _on_timeout(self) -> None:
        """Follow a silent watch by a poll that is not to be held, or give it up."""
        is_last = self._needs_complete_list or self._prompt_polls >= MAX_PROMPT_POLLS
        if is_last or not self._is_enabled:
            self._fail("no answer in time")
            return
        self._disconnect()
        self._note_silence()
        self._prompt_polls += 1
        self._start_request()

    def _note_silence(self) -> None:
        if self._silent_since_us is None:
            self._silent_since_us = self._loop.now_us

    def _fail(self, reason: str) -> None:
        if self._state is _CallState.IDLE:
            return
        self._disconnect()
        self._note_silence()
        self._is_enabled = False
        self._needs_complete_list = self._is_out_of_sync
        self._log.warning("watch failed, retrying", reason)
        self._on_list(None)

    # Responses

    def _read_response(self, response: HttpResponse) -> None:
        status = response.read_status()
        if status != HTTPStatus.OK:
            self._fail(f"status {status}")
            return
        try:
            message = msgspec.json.decode(response.body, type=EndpointListMessage)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self._fail(str(error))
            return
        message.is_complete = message.is_complete or self._needs_complete_list
        fault = self._find_fault(message)
        if fault is not None:
            # Changes to another list than the one held would make it worse.
            self._is_out_of_sync = True
            self._fail(fault)
            return
        self._accept_list(message, response.keeps_connection)

    def _find_fault(self, message: EndpointListMessage) -> str | None:
        """Return why the list held is better than this one, if it is.

        A list without servers would end all service, and one that names a server twice is wrong in
        one place at least. Changes may name a server twice, as one follows the other.
        """
        endpoints = message.endpoints
        if message.is_complete and not endpoints:
            return "the list is empty"
        server_ids = {entry.server_id for entry in endpoints}
        if message.is_complete and len(server_ids) < len(endpoints):
            return "the list contradicts itself: a host is in it twice"
        if not self._needs_complete_list and message.version < self._version:
            return f"version {message.version} is older than version {self._version}, which is held"
        return None

    def _accept_list(self, message: EndpointListMessage, keeps_connection: bool) -> None:
        self._loop.cancel(self._timeout)
        self._state = _CallState.IDLE
        self._drop_response()
        self._needs_complete_list = self._is_out_of_sync = False
        self._prompt_polls = 0
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

    # The protocol of the stream

    def connection_made(self) -> None:
        """Send the request that waits for the connection."""
        if self._state is _CallState.CONNECTING and self._stream is not None:
            self._send_request(self._stream)

    def write_buffer_drained(self) -> None:
        """Nothing waits for this: requests are short."""

    def data_received(self) -> None:
        """Read what has arrived of the response."""
        stream = self._stream
        if stream is None or stream.inbox is None:
            return
        data = bytes(stream.inbox.readable())
        stream.consume(len(data))
        response = self._response
        if self._state is not _CallState.AWAITING_RESPONSE or response is None:
            self._disconnect()  # data without a request
            return
        try:
            response.feed(data)
        except httptools.HttpParserError as error:
            self._fail(f"bad HTTP: {error}")
            return
        if response.is_too_long:
            self._fail("the answer is too long")
        elif response.is_complete:
            self._read_response(response)

    def eof_received(self) -> None:
        """Close the connection, which is a failure only while a request is out."""
        if self._state is _CallState.IDLE:
            self._disconnect()
        else:
            self._fail("the connection ended")

    def connection_lost(self, code: int) -> None:
        """Take notice of a broken connection, which is a failure while a request is out."""
        self._stream = None
        self._fail(f"the connection broke ({code})")
