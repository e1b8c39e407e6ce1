"""Probes: one kept connection for each instance, asked for its load report."""

from __future__ import annotations

from collections.abc import Callable

from larchhaven.memory.item_costs import STREAM_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop, TimerHandle
from larchhaven.net.core.stream import RESOURCE_EXHAUSTION_ERRNOS, Stream
from larchhaven.net.text_protocol import codec as lines
from larchhaven.routing.events import AttemptResult, LoadReport

# A probe without an answer in this time has failed: a hung instance takes probes and says nothing.
PROBE_US = 500_000

Done = Callable[[str, AttemptResult, int, LoadReport | None], None]


class _Asker:
    """The probe connection to one instance."""

    def __init__(self, probes: Probes, host: str, address: tuple[str, int]) -> None:
        self._probes = probes
        self._loop = probes.loop
        self._host = host
        self.address = address
        self._stream: Stream | None = None
        self._connect_limit: TimerHandle | None = None
        self._limit: TimerHandle | None = None
        self._asked_at = 0
        self.asking = False
        self._used = False  # the connection has answered before
        self._standing = False

    def ask(self) -> None:
        """Send one probe."""
        if self.asking:
            return
        self.asking = True
        self._asked_at = self._loop.now_us
        self._limit = self._loop.call_later(PROBE_US, lambda: self._end(AttemptResult.TIMEOUT))
        if self._stream is None:
            self._connect()
        else:
            self._stream.write(lines.STATS)

    def _connect(self) -> None:
        self._used = self._standing = False
        try:
            self._stream = Stream.connect(self._loop, self._probes.pool, self.address, self)
        except OSError as error:
            short = error.errno in RESOURCE_EXHAUSTION_ERRNOS
            result = AttemptResult.NOT_SENT if short else AttemptResult.UNREACHABLE
            self._loop.call_later(0, lambda: self._end(result))
            return
        self._connect_limit = self._loop.call_later(
            self._probes.connect_us, lambda: self._end(AttemptResult.UNREACHABLE)
        )

    def connection_made(self) -> None:
        """Ask as soon as the connection stands."""
        self._loop.cancel(self._connect_limit)
        self._standing = True
        if self._stream is not None:
            self._stream.write(lines.STATS)

    def write_buffer_drained(self) -> None:
        """Nothing: probes are short."""

    def data_received(self) -> None:
        """Read the answer."""
        stream = self._stream
        if stream is None or stream.inbox is None:
            return
        try:
            line = lines.take_line(stream.inbox)
        except lines.BadLineError:
            self._end(AttemptResult.ERROR)
            return
        if line is None:
            return
        stream.consume(len(stream.inbox) if stream.inbox is not None else 0)
        if not self.asking:
            self.drop()  # it speaks without being asked
            return
        result, report = lines.read_probe(line)
        self._used = True
        self._end(result, report, keep=True)

    def eof_received(self) -> None:
        """Take the end of the connection."""
        self._lost()

    def connection_lost(self, code: int) -> None:
        """Take the loss of the connection."""
        if code in RESOURCE_EXHAUSTION_ERRNOS:
            self._end(AttemptResult.NOT_SENT)
        else:
            self._lost()

    def _lost(self) -> None:
        if self.asking and self._used:
            # An idle connection may have been closed just as the probe was written: a new one tells.
            self._close()
            self._connect()
        else:
            self._end(AttemptResult.RESET if self._standing else AttemptResult.UNREACHABLE)

    def _end(
        self, result: AttemptResult, report: LoadReport | None = None, keep: bool = False
    ) -> None:
        if not keep:
            self._close()
        if self.asking:
            self.asking = False
            self._loop.cancel(self._limit)
            self._probes.done(self._host, result, self._loop.now_us - self._asked_at, report)

    def _close(self) -> None:
        self._loop.cancel(self._connect_limit)
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def drop(self) -> None:
        """Close the connection; a probe under way ends as cancelled."""
        self._end(AttemptResult.CANCELLED)


class Probes:
    """The probe connections by host."""

    def __init__(self, loop: EventLoop, pool: BufferPool, connect_us: int, done: Done) -> None:
        self.loop = loop
        self.pool = pool
        self.connect_us = connect_us
        self.done = done
        self._askers: dict[str, _Asker] = {}

    def probe(self, host: str, address: tuple[str, int]) -> None:
        """Ask an instance for its report; a probe under way serves."""
        asker = self._askers.get(host)
        if asker is None and not self.pool.account.try_charge(MemoryPurpose.PROBES, STREAM_BYTES):
            self.done(
                host, AttemptResult.NOT_SENT, 0, None
            )  # the decision module does without this report
            return
        if asker is None:
            self.pool.account.release(
                MemoryPurpose.PROBES, STREAM_BYTES
            )  # the stream charges itself
        if asker is not None and asker.address != address:
            self.drop(host)
            asker = None
        if asker is None:
            asker = self._askers[host] = _Asker(self, host, address)
        asker.ask()

    def drop(self, host: str) -> None:
        """Close the connection to an instance that has gone, or is idle by order."""
        asker = self._askers.pop(host, None)
        if asker is not None:
            asker.drop()
