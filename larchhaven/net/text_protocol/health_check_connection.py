"""Health checks: one cached connection per server, on which its load report is requested."""

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

# A hung server accepts connections and does not answer health checks.
HEALTH_CHECK_TIMEOUT_US = 500_000

# Called with the server's id, the result, the latency in microseconds and the load report.
OnChecked = Callable[[str, AttemptResult, int, LoadReport | None], None]


class _Phase(Enum):
    """The state of a health check connection."""

    CONNECTING = auto()
    ESTABLISHED = auto()
    ANSWERED = auto()  # the server has answered at least one health check


class HealthCheckConnection:
    """The health check connection to one server.

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
        """Start a health check, unless one is in flight."""
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
        """Close the connection; a health check in flight is reported as cancelled."""
        self._end(AttemptResult.CANCELLED)

    # Stream callbacks

    def connection_made(self) -> None:
        """Send the health check once the connection is established."""
        self._loop.cancel(self._connect_timeout)
        self._phase = _Phase.ESTABLISHED
        if self._stream is not None:
            self._stream.write(codec.STATS)

    def write_buffer_drained(self) -> None:
        """Do nothing: health checks are short and need no flow control."""

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
            self.close()  # the server sent a line without being asked
            return
        self._phase = _Phase.ANSWERED
        answer = codec.parse_health_check_answer(line)
        self._report(answer.result, answer.report)

    def eof_received(self) -> None:
        """Handle the end of the server's stream."""
        self._on_connection_ended()

    def connection_lost(self, code: int) -> None:
        """Handle a lost connection or a failed connect."""
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
            # The server may have closed the idle connection just as the check was sent, so the
            # check is repeated on a new connection.
            self._close_stream()
            self._connect()
            return
        is_connecting = self._phase is _Phase.CONNECTING
        self._end(AttemptResult.UNREACHABLE if is_connecting else AttemptResult.RESET)

    def _end(self, result: AttemptResult) -> None:
        """Close the connection and report the health check in flight, if there is one."""
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
    """The health check connections, by server.

    Attributes:
        loop: The event loop.
        pool: The buffer pool of health check connections.
        connect_timeout_us: The connect timeout in microseconds.
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
        """Start a health check of a server, unless one is in flight.

        A check that needs a new connection is reported as not sent when the memory cap of health
        checks is reached.
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
        """Close the connection to a server that was removed or must have no idle connections."""
        connection = self._connections.pop(server_id, None)
        if connection is not None:
            connection.close()

    def _is_memory_available(self) -> bool:
        """Return whether one more stream fits under the memory cap; count a rejection if not."""
        account = self.pool.account
        if not account.try_charge(MemoryPurpose.PROBES, STREAM_BYTES):
            return False
        account.release(MemoryPurpose.PROBES, STREAM_BYTES)  # a stream is charged when created
        return True
