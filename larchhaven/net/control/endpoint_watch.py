"""Discovery: the list of instances over one kept HTTP connection, and where each instance is reached."""

from __future__ import annotations

from collections.abc import Callable

import httptools
import msgspec

from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.control.endpoint_directory import EndpointListMessage
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop, TimerHandle
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.net.core.stream import Stream

# How long discovery may hold a watch, and how long an answer may take. So long after the hold, what a silent
# watch had to tell counts as told. A sound one answers as soon as the hold is over: one that has not by the
# third of these is followed by a call that does not wait, over a new connection, and only that one's failure
# is told. Seen with the call at the last moment: it took 0.8 s, longer than the grace of a drain. That call
# may be silent too: after the fourth of these it is made once more, still before that moment.
HOLD_MS = 8_000
ANSWER_US = 2_000_000
SILENT_US = 500_000
DOUBT_US = 1_000_000
DOUBTS_MOST = 2
# The next watch follows the last answer at once, but not sooner than this after the last call: an answer
# without news that does not wait would otherwise be asked for in a tight loop. The limit is 200 ms.
CALL_GAP_US = 50_000
BODY_MOST = 4 << 20
BODY_SHARE = 0.25  # of the memory for management, if that is less


class EndpointWatch:
    """Calls discovery: a watch that is renewed at once, or a single fetch of the whole list."""

    def __init__(
        self,
        loop: EventLoop,
        pool: BufferPool,
        notices: RateLimitedLog,
        address: tuple[str, int],
        seq: int,
        told: Callable[[EndpointListMessage | None], None],
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._notices = notices
        self._address = address
        self._seq = seq
        self._told = told
        self._stream: Stream | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._body = bytearray()
        self._long = False  # the answer does not fit
        self._watching = False
        self._whole = False  # the next call asks for the whole list
        self._strange = False  # this address has not told a list yet: the version held is another's
        self._doubts = 0  # calls in a row that must not wait, as there may be news already
        self._unheard_at: int | None = None  # since when calls have failed, or a watch was silent
        self.notification_delay_us = (
            0  # of the list being told: for so long, at most, it has counted as told already
        )
        self._calling = False
        self._open = False
        self._done = False
        self._keep = False
        self._called_at = -CALL_GAP_US
        self._limit: TimerHandle | None = None
        self._next: TimerHandle | None = None

    def set_enabled(self, is_enabled: bool) -> None:
        """Begin, or go on, to ask for changes; or stop."""
        self._watching = is_enabled
        if is_enabled and not self._calling:
            self._call()

    def start_with_poll(self) -> None:
        """Ask at once what there is, and watch from then on: all of it counts as told from the start."""
        self._doubts = 1
        self.set_enabled(True)

    def poll_complete_list(self) -> None:
        """Ask for the whole list once; a watch under way is left for it and renewed after."""
        self._whole = True
        if self._calling:
            self._hang_up()
        self._call()

    def change_address(self, address: tuple[str, int]) -> None:
        """Ask at another address from now on.

        Versions count for one address only: a watch from the old one's would keep the new one mute until it
        had come as far. So the whole list is asked for first, again and again if need be.
        """
        self._address = address
        self._hang_up()
        self._whole = self._strange = True
        self._call()

    # Calls

    def _call(self) -> None:
        self._loop.cancel(self._next)
        self._calling = True
        self._called_at = self._loop.now_us
        limit = DOUBT_US if self._doubts else HOLD_MS * 1000 + SILENT_US
        self._limit = self._loop.call_later(ANSWER_US if self._whole else limit, self._on_silence)
        if self._stream is None:
            try:
                self._stream = Stream.connect(self._loop, self._pool, self._address, self)
            except OSError as error:
                why = str(error)
                self._loop.call_later(0, lambda: self._fail(why))
        elif self._open:
            self._ask()

    def _ask(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._drop_body()
        self._done = False
        hold = 0 if self._doubts else HOLD_MS
        query = "" if self._whole else f"?from={self._seq}&hold_ms={hold}"
        host, port = self._address
        request = f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        if self._stream is not None:
            self._stream.write(request.encode())

    def _hang_up(self) -> None:
        self._loop.cancel(self._limit)
        self._calling = False
        self._open = False
        self._drop_body()
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _miss(self) -> None:
        if self._unheard_at is None:
            self._unheard_at = self._loop.now_us

    def _on_silence(self) -> None:
        if self._whole or self._doubts >= DOUBTS_MOST or not self._watching:
            self._fail("no answer in time")
        else:
            self._hang_up()
            self._miss()
            self._doubts += 1
            self._call()

    def _fail(self, why: str) -> None:
        if self._calling:
            self._hang_up()
            self._miss()
            self._watching = False
            self._whole = self._strange
            self._notices.warning("discovery failed", why)
            self._told(None)

    def _answer(self) -> None:
        parser = self._parser
        assert parser is not None  # only called for a parsed answer
        status = parser.get_status_code()
        if status != 200:
            self._fail(f"status {status}")
            return
        try:
            told = msgspec.json.decode(self._body, type=EndpointListMessage)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self._fail(str(error))
            return
        self._drop_body()
        told.is_complete = told.is_complete or self._whole
        if (wrong := self._unusable(told)) is not None:
            # Ask for all of it next: changes to a list that is not the one held would make it worse.
            self._strange = True
            self._fail(wrong)
            return
        self._loop.cancel(self._limit)
        self._calling = self._whole = self._strange = False
        self._doubts = 0
        self._seq = told.version
        self.notification_delay_us = (
            0 if self._unheard_at is None else self._loop.now_us - self._unheard_at
        )
        self._unheard_at = None
        if not self._keep:
            self._hang_up()
        self._told(told)
        if self._watching:
            wait = self._called_at + CALL_GAP_US - self._loop.now_us
            if wait > 0:
                self._next = self._loop.call_later(wait, self._call)
            else:
                self._call()

    def _unusable(self, told: EndpointListMessage) -> str | None:
        """Say why the list held is better than this one, if it is.

        A list without hosts would end all service, and one that has a host twice is right in one place at
        most. Changes may name a host twice, as one follows the other.
        """
        if told.is_complete and not told.endpoints:
            return "the list is empty"
        if told.is_complete and len({entry.server_id for entry in told.endpoints}) < len(
            told.endpoints
        ):
            return "the list contradicts itself: a host is in it twice"
        if not self._whole and told.version < self._seq:
            return f"version {told.version} is older than version {self._seq}, which is held"
        return None

    # The parser's callbacks

    def on_body(self, body: bytes) -> None:
        """Keep a part of the answer, as far as there is room for it."""
        account = self._pool.account
        most = min(BODY_MOST, int(BODY_SHARE * account.cap_bytes(MemoryPurpose.MANAGEMENT)))
        if len(self._body) + len(body) > most:
            self._long = True
        elif not self._long and account.try_charge(MemoryPurpose.MANAGEMENT, len(body)):
            self._body += body
        else:
            self._long = True

    def _drop_body(self) -> None:
        self._pool.account.release(MemoryPurpose.MANAGEMENT, len(self._body))
        self._body = bytearray()  # a new one: an emptied one may keep its size
        self._long = False

    def on_message_complete(self) -> None:
        """Note that the answer is whole."""
        self._done = True
        # Only known now: once the message is over, the parser has forgotten it.
        self._keep = self._parser is not None and self._parser.should_keep_alive()

    # The stream's owner

    def connection_made(self) -> None:
        """Ask as soon as the connection stands."""
        self._open = True
        if self._calling:
            self._ask()

    def write_buffer_drained(self) -> None:
        """Nothing: calls are short."""

    def data_received(self) -> None:
        """Feed the parser."""
        stream = self._stream
        if stream is None or stream.inbox is None:
            return
        data = bytes(stream.inbox.readable())
        stream.consume(len(data))
        if not self._calling or self._parser is None:
            self._hang_up()  # it speaks without being asked
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"bad HTTP: {error}")
            return
        if self._long:
            self._fail("the answer is too long")
        elif self._done:
            self._answer()

    def eof_received(self) -> None:
        """Take the end of the connection, which is a failure only while a call is out."""
        if self._calling:
            self._fail("the connection ended")
        else:
            self._hang_up()

    def connection_lost(self, code: int) -> None:
        """Take the loss of the connection."""
        self._stream = None
        self._open = False
        if self._calling:
            self._fail(f"the connection broke ({code})")
