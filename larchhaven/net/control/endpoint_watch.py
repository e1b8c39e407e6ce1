"""Watches the endpoint list with long polls, and polls it when a watch falls silent.

A long poll asks for changes since a version. Discovery holds the request until there are changes or
the hold time ends, and then answers. By the protocol, if a watch stays silent for 2 s after its
hold time, this process counts as notified of all changes that it missed. So a silent watch is
followed by short polls, well before these 2 s are over. A short poll has no hold time and uses a
new connection.

A discovery that is silent must be asked again soon, and one that is slow must be waited for. The
two look the same until a response arrives. So a request that is not answered yet stays open while
further ones follow it, and the first response wins. The watch fails only when discovery answers
with an error or cannot be reached; the balancer then decides when to try again.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from larchhaven.net.control.discovery_connection import (
    DiscoveryConnection,
    ListRequest,
    RequestFailureKind,
)
from larchhaven.net.control.endpoint_directory import EndpointListMessage
from larchhaven.net.control.http_response import HttpResponse
from larchhaven.net.control.poll_schedule import PollSchedule
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop, TimerHandle
from larchhaven.net.core.rate_limited_log import RateLimitedLog

WATCH_HOLD_MS = 8_000
# From the end of the hold time to the first short poll.
WATCH_SILENCE_US = 500_000
# Minimum time between two requests. If discovery answers at once without changes, this prevents a
# tight loop of polls. The protocol allows 200 ms.
MIN_REQUEST_INTERVAL_US = 50_000
US_PER_MS = 1_000


class InvalidResponseError(Exception):
    """A response that holds no endpoint list."""


class InvalidListError(Exception):
    """An endpoint list that must not be applied to the current one."""


class EndpointWatch:
    """Requests changes to the endpoint list from discovery.

    Args:
        loop: The event loop.
        pool: Provides the buffers and the memory account of the connections.
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
        self._schedule = PollSchedule(proxy_count)
        self._is_enabled = False
        # The connections whose request is not answered yet, the oldest first.
        self._waiting: list[DiscoveryConnection] = []
        # An open connection without a request, for the next one.
        self._idle: DiscoveryConnection | None = None
        # Whether requests ask for the complete list.
        self._needs_complete_list = False
        # Set when discovery's address changes or ``_check_list`` rejects a list, so that every
        # request asks for the complete list until one is accepted.
        self._is_out_of_sync = False
        # Whether requests are short polls, as changes may have been missed.
        self._needs_poll = False
        self._silent_since_us: int | None = None
        self.notification_delay_us = 0
        self._requested_at_us = -MIN_REQUEST_INTERVAL_US
        self._next_request: TimerHandle | None = None

    def set_enabled(self, is_enabled: bool) -> None:
        """Start the watch, or stop renewing it."""
        self._is_enabled = is_enabled
        if is_enabled and not self._is_active():
            self._start_request()

    def start_with_poll(self) -> None:
        """Start the watch with a short poll, as missed changes already count as notified."""
        self._needs_poll = True
        self._note_silence()
        self.set_enabled(True)

    def poll_complete_list(self) -> None:
        """Request the complete list once, interrupting requests in progress."""
        self._needs_complete_list = True
        self._close_waiting()
        self._start_request()

    def change_address(self, address: tuple[str, int]) -> None:
        """Use discovery at another address from now on.

        Versions are specific to the discovery process at an address. A watch from the old process's
        version would stay silent until the new process reaches that version. So complete lists are
        requested until the new process has sent one.
        """
        self._address = address
        self._is_out_of_sync = True
        self._close_idle()
        self._schedule.reset()
        self.poll_complete_list()

    # Requests

    def _is_active(self) -> bool:
        """Return whether a request is in progress or scheduled."""
        is_scheduled = self._next_request is not None and self._next_request.callback is not None
        return bool(self._waiting) or is_scheduled

    def _start_request(self) -> None:
        """Send the next request, and schedule the one that follows if it is not answered."""
        self._loop.cancel(self._next_request)
        request = self._build_request()
        if request.hold_ms:
            silence_us = request.hold_ms * US_PER_MS + WATCH_SILENCE_US
        else:
            silence_us = self._schedule.note_poll()
        self._requested_at_us = self._loop.now_us
        self._next_request = self._loop.call_later(silence_us, self._on_silence)
        connection, self._idle = self._idle, None
        if connection is None or not connection.is_open:
            connection = DiscoveryConnection(self._loop, self._pool, self._address, self)
        self._waiting.append(connection)
        connection.send(request)

    def _build_request(self) -> ListRequest:
        if self._needs_complete_list:
            return ListRequest(None)
        return ListRequest(self._version, 0 if self._needs_poll else WATCH_HOLD_MS)

    def _schedule_next_request(self) -> None:
        wait_us = self._requested_at_us + MIN_REQUEST_INTERVAL_US - self._loop.now_us
        if wait_us > 0:
            self._next_request = self._loop.call_later(wait_us, self._start_request)
        else:
            self._start_request()

    def _close_waiting(self) -> None:
        """Drop the requests in progress, with their connections."""
        waiting, self._waiting = self._waiting, []
        for connection in waiting:
            connection.close()

    def _close_idle(self) -> None:
        if self._idle is not None:
            self._idle.close()
            self._idle = None

    # Silence and failures

    def _on_silence(self) -> None:
        """Follow a request that is not answered yet with a poll on another connection."""
        self._log.warning("discovery silent, polling again", f"open requests: {len(self._waiting)}")
        self._note_silence()
        self._needs_poll = True
        self._start_request()

    def _note_silence(self) -> None:
        if self._silent_since_us is None:
            self._silent_since_us = self._loop.now_us

    def request_failed(
        self, connection: DiscoveryConnection, kind: RequestFailureKind, reason: str
    ) -> None:
        """Go on with the other requests in progress, or fail if this was the last one.

        A request without a response is no failure, as the next one is already scheduled.
        """
        self._waiting.remove(connection)
        if kind is RequestFailureKind.ERROR and not self._waiting:
            self._fail(reason)
            return
        self._log.warning("request to discovery failed", reason)
        if kind is RequestFailureKind.NOT_CONNECTED and not self._waiting:
            self._connect_again()

    def _connect_again(self) -> None:
        """Follow a connect that hangs, which costs discovery nothing, with the next one."""
        self._note_silence()
        self._loop.cancel(self._next_request)
        due_us = self._requested_at_us + self._schedule.steady_interval_us
        delay_us = max(due_us - self._loop.now_us, 0)
        self._next_request = self._loop.call_later(delay_us, self._start_request)

    def _fail(self, reason: str) -> None:
        """Disable the watch until the balancer enables it again."""
        self._loop.cancel(self._next_request)
        self._close_waiting()
        self._note_silence()
        self._schedule.end_prompt_polls()
        self._is_enabled = False
        self._needs_complete_list = self._is_out_of_sync
        self._log.warning("watch failed, retrying", reason)
        self._on_list(None)

    # Responses

    def response_received(self, connection: DiscoveryConnection, response: HttpResponse) -> None:
        """Accept the list of the first response; requests still in progress are dropped."""
        try:
            message = _decode(response)
        except InvalidResponseError as error:
            connection.close()
            self.request_failed(connection, RequestFailureKind.ERROR, str(error))
            return
        message.is_complete = message.is_complete or self._needs_complete_list
        try:
            self._check_list(message)
        except InvalidListError as error:
            # Changes that belong to another list would corrupt the current one.
            self._is_out_of_sync = True
            connection.close()
            self._fail(str(error))
            return
        self._accept_list(connection, message)

    def _check_list(self, message: EndpointListMessage) -> None:
        """Check that the message may be applied.

        An empty complete list would remove all servers, and a complete list that names a server
        twice has at least one wrong entry. Changes may name a server twice, as they are applied in
        order.

        Raises:
            InvalidListError: The message must not be applied.
        """
        count = len(message.endpoints)
        if message.is_complete and not count:
            raise InvalidListError("complete endpoint list is empty")
        id_count = len({entry.server_id for entry in message.endpoints})
        if message.is_complete and id_count < count:
            raise InvalidListError(
                f"endpoint list repeats servers: {count} entries, {id_count} ids"
            )
        if not self._needs_complete_list and message.version < self._version:
            raise InvalidListError(
                f"endpoint list version {message.version} is older than version {self._version}"
            )

    def _accept_list(self, connection: DiscoveryConnection, message: EndpointListMessage) -> None:
        self._loop.cancel(self._next_request)
        self._waiting.remove(connection)
        self._close_waiting()
        if connection.is_open:
            self._idle = connection
        self._needs_complete_list = self._is_out_of_sync = self._needs_poll = False
        self._schedule.reset()
        self._version = message.version
        self.notification_delay_us = 0
        if self._silent_since_us is not None:
            self.notification_delay_us = self._loop.now_us - self._silent_since_us
            self._silent_since_us = None
        self._on_list(message)
        if self._is_enabled:
            self._schedule_next_request()


def _decode(response: HttpResponse) -> EndpointListMessage:
    """Return the message of a complete response, and release the response's memory.

    Raises:
        InvalidResponseError: The response holds no message.
    """
    try:
        status = response.read_status()
        if status != HTTPStatus.OK:
            raise InvalidResponseError(f"HTTP status {status}")
        return msgspec.json.decode(response.body, type=EndpointListMessage)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidResponseError(str(error)) from error
    finally:
        response.release()
