"""Health checks: one cached connection to each server, over which its load report is asked for."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from larchhaven.memory.item_costs import STREAM_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop, TimerHandle
from larchhaven.net.core.stream import RESOURCE_EXHAUSTION_ERRNOS, Stream
from larchhaven.net.text_protocol import codec
from larchhaven.routing.events import AttemptResult, LoadReport

# A hung server accepts health checks and does not answer them.
HEALTH_CHECK_TIMEOUT_US = 500_000

# Called with the server, the result, the latency in microseconds and the load report.
OnChecked = Callable[[str, AttemptResult, int, LoadReport | None], None]


class _Phase(Enum):
    """How far the connection has come."""

    CONNECTING = auto()
    ESTABLISHED = auto()
    ANSWERED = auto()  # at least once


class HealthCheckConnection:
    """The connection for health checks of one server.

    Attributes:
        address: The server's host and port.
    """

    def __init__(
        self, checks: HealthCheckConnections, server_id: str, address: tuple[str, int]
    ) -> None:
        self._checks = checks
        self._loop = checks.loop
        self._server_id = server_id
        self.address = address
        self._stream: Stream | None = None
        self._phase = _Phase.CONNECTING
        self._connect_timeout: TimerHandle | None = None
        self._timeout: TimerHandle | None = None
        self._started_us = 0
        self._is_checking = False

    def check(self) -> None:
        """Begin a health check, unless one is in flight."""
        if self._is_checking:
            return
        self._is_checking = True
        self._started_us = self._loop.now_us
        self._timeout = self._loop.call_later(
            HEALTH_CHECK_TIMEOUT_US, lambda: self._end(AttemptResult.TIMEOUT)
        )
        if self._stream is None:
            self._connect()
        else:
            self._stream.write(codec.STATS)

    def close(self) -> None:
        """Close the connection; a health check in flight ends as cancelled."""
        self._end(AttemptResult.CANCELLED)

    # The stream's protocol

    def connection_made(self) -> None:
        """Ask as soon as the connection is established."""
        self._loop.cancel(self._connect_timeout)
        self._phase = _Phase.ESTABLISHED
        if self._stream is not None:
            self._stream.write(codec.STATS)

    def write_buffer_drained(self) -> None:
        """Do nothing: health checks are short."""

    def data_received(self) -> None:
        """Handle the answer."""
        stream = self._stream
        if stream is None or stream.inbox is None:
            return
        try:
            line = codec.take_line(stream.inbox)
        except codec.RemoteProtocolError:
            self._end(AttemptResult.ERROR)
            return
        if line is None:
            return
        stream.consume(len(stream.inbox) if stream.inbox is not None else 0)
        if not self._is_checking:
            self.close()  # an answer that nobody asked for
            return
        self._phase = _Phase.ANSWERED
        answer = codec.parse_health_check_answer(line)
        self._report(answer.result, answer.report)

    def eof_received(self) -> None:
        """Take notice that the server has ended the connection."""
        self._on_connection_ended()

    def connection_lost(self, code: int) -> None:
        """Take notice that the connection is lost."""
        if code in RESOURCE_EXHAUSTION_ERRNOS:
            self._end(AttemptResult.NOT_SENT)
        else:
            self._on_connection_ended()

    # The connection

    def _connect(self) -> None:
        self._phase = _Phase.CONNECTING
        try:
            self._stream = Stream.connect(self._loop, self._checks.pool, self.address, self)
        except OSError as error:
            is_exhausted = error.errno in RESOURCE_EXHAUSTION_ERRNOS
            result = AttemptResult.NOT_SENT if is_exhausted else AttemptResult.UNREACHABLE
            self._loop.call_later(0, lambda: self._end(result))
            return
        self._connect_timeout = self._loop.call_later(
            self._checks.connect_timeout_us, lambda: self._end(AttemptResult.UNREACHABLE)
        )

    def _on_connection_ended(self) -> None:
        if self._is_checking and self._phase is _Phase.ANSWERED:
            # An idle connection may have been closed just as the check was sent: a new one tells.
            self._close_stream()
            self._connect()
            return
        is_connecting = self._phase is _Phase.CONNECTING
        self._end(AttemptResult.UNREACHABLE if is_connecting else AttemptResult.RESET)

    def _end(self, result: AttemptResult) -> None:
        """Close the connection, and report the health check in flight."""
        self._close_stream()
        self._report(result, None)

    def _close_stream(self) -> None:
        self._loop.cancel(self._connect_timeout)
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _report(self, result: AttemptResult, report: LoadReport | None) -> None:
        if self._is_checking:
            self._is_checking = False
            self._loop.cancel(self._timeout)
            latency_us = self._loop.now_us - self._started_us
            self._checks.on_checked(self._server_id, result, latency_us, report)


class HealthCheckConnections:
    """The connections for health checks, by server.

    Attributes:
        loop: The event loop.
        pool: Buffers and streams of health checks.
        connect_timeout_us: The time for a connect.
        on_checked: Called with the result of each health check.
    """

    def __init__(
        self, loop: EventLoop, pool: BufferPool, connect_timeout_us: int, on_checked: OnChecked
    ) -> None:
        self.loop = loop
        self.pool = pool
        self.connect_timeout_us = connect_timeout_us
        self.on_checked = on_checked
        self._connections: dict[str, HealthCheckConnection] = {}

    def check(self, server_id: str, address: tuple[str, int]) -> None:
        """Begin a health check of a server; one in flight serves.

        At the cap of memory for health checks it is reported as not sent.
        """
        connection = self._connections.get(server_id)
        if connection is None and not self._is_memory_available():
            self.on_checked(server_id, AttemptResult.NOT_SENT, 0, None)
            return
        if connection is not None and connection.address != address:
            self.close(server_id)
            connection = None
        if connection is None:
            connection = HealthCheckConnection(self, server_id, address)
            self._connections[server_id] = connection
        connection.check()

    def close(self, server_id: str) -> None:
        """Close the connection to a server that has gone, or that is to have no idle one."""
        connection = self._connections.pop(server_id, None)
        if connection is not None:
            connection.close()

    def _is_memory_available(self) -> bool:
        """Return whether a stream fits under the cap; a rejection is counted."""
        account = self.pool.account
        if not account.try_charge(MemoryPurpose.PROBES, STREAM_BYTES):
            return False
        account.release(MemoryPurpose.PROBES, STREAM_BYTES)  # the stream charges itself
        return True
