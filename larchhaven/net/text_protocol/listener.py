"""The service clients' side: accept connections, read first lines, give answers."""

from __future__ import annotations

import errno
import socket
from collections.abc import Mapping

from larchhaven.memory.admission import UNREAD_US, ShedCandidate, choose_shed_candidate
from larchhaven.net.control.connection_limits import ConnectionLimits
from larchhaven.net.control.interfaces import ConnectionObserver, RequestIntake, UpstreamAttempt
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import READ, EventLoop, TimerHandle
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.net.core.stream import RESOURCE_EXHAUSTION_ERRNOS, Stream
from larchhaven.net.text_protocol import codec as lines
from larchhaven.net.text_protocol.connection_relay import Relay
from larchhaven.net.text_protocol.upstream_attempt import TextExecution

BACKLOG = 1024
ACCEPTS_A_TURN = 64
# Accepting rests for so long when the process is out of descriptors or memory.
SHORT_REST_US = 100_000
# And for so long while those that have just come get their moment to speak.
SPEAK_REST_US = 5_000
# A connection must bring its first line within this time; one that sent a PING may rest for longer.
FIRST_LINE_US = 2_000_000
PING_REST_US = 5_000_000
# Descriptors kept free for what no client opens: probes, discovery, the program's own.
SPARE_DESCRIPTORS = 64
# The part of the descriptors that connections without a first line may hold.
SILENT_SHARE = 0.45


class ServiceClient:
    """One connection of a service client, until it is served or answered."""

    def __init__(self, listener: Listener, sock: socket.socket) -> None:
        self._listener = listener
        self._loop = listener.loop
        self.since = listener.loop.now_us
        self._request_id: int | None = None  # of its command, while the request table has it
        self.stream = Stream(listener.loop, listener.pool, sock, self)
        self._limit: TimerHandle | None = self._loop.call_later(FIRST_LINE_US, self._on_late)

    # The stream's owner

    def connection_made(self) -> None:
        """Nothing: an accepted connection stands already."""

    def write_buffer_drained(self) -> None:
        """Nothing: answers are short."""

    def data_received(self) -> None:
        """Read the first line; what comes behind it waits for the instance."""
        while self._request_id is None and self.stream.inbox is not None:
            try:
                line = lines.take_line(self.stream.inbox)
                if line is None:
                    return
                self.stream.consume(0)
                if line + lines.END == lines.PING:
                    self.stream.write(lines.AWAY if self._listener.away else lines.PONG)
                    self._rest(PING_REST_US)
                    continue
                spec = lines.read_opening(line, self._listener.classes, self._listener.tenants)
                if self._listener.requests.detect_duplicate_identity(spec):
                    raise lines.BadLineError("the id is that of an open command")
            except lines.BadLineError as error:
                self._listener.notices.warning("bad first line", str(error))
                self.send_failure()
                return
            self._stop_clock()
            self._listener.count_out(self)
            if self._listener.admits(spec):
                self.stream.on_inbox_full = self._stuffed
                self._request_id = self._listener.requests.accept_request(self, spec)
            else:
                self._listener.requests.reject_request(self, spec)

    def eof_received(self) -> None:
        """Take it that the client has left: it would hold its side open while it waits."""
        self._leave()
        self.stream.start_lingering_close()

    def connection_lost(self, code: int) -> None:
        """Take it that the client has left."""
        self._leave()

    def _leave(self) -> None:
        self._stop_clock()
        self._listener.count_out(self)
        if self._request_id is not None:
            self._listener.requests.on_client_disconnected(self._request_id)

    def _stop_clock(self) -> None:
        self._loop.cancel(self._limit)
        self._limit = None

    def _rest(self, limit_us: int) -> None:
        self._loop.cancel(self._limit)
        self._limit = self._loop.call_later(limit_us, self._on_late)

    def _on_late(self) -> None:
        """Fail one that said nothing in its time; a line that has just come still counts."""
        limit = self._limit
        self.stream.read_available()
        if self._limit is limit:
            self.send_failure()

    def read_available(self) -> None:
        """Read what has come since the turn began: above all the end of a client that has left."""
        self.stream.read_available()

    def _stuffed(self) -> None:
        """Fail a client that does not wait: no room is left to see behind what it sends whether it leaves.

        After its first line a client waits. What it sends all the same is kept as far as a buffer goes; with
        more, or with no buffer free, its end would stay unseen, and its command be sent on for nobody.
        """
        if self._request_id is not None:
            self._listener.notices.warning(
                "a client does not wait", "it sent more than a buffer holds"
            )
            self._listener.requests.fail_request(self._request_id)

    def give_way(self) -> None:
        """Answer and end our side, as others need the room; a line that has just come still counts.

        What comes after that is read and never sent on. The stream parts: it is the next to be closed.
        """
        self.stream.read_available()
        if self._request_id is None and not self.stream.closed:
            self.send_rejection(0)

    # Answers, as the request table gives them

    def send_rejection(self, retry_after_us: int) -> None:
        """Answer that trying again is harmless."""
        self._answer(lines.busy(retry_after_us))

    def send_failure(self) -> None:
        """Answer that it failed."""
        self._answer(lines.FAILED)

    def _answer(self, line: bytes) -> None:
        self._stop_clock()
        self._listener.count_out(self)
        self.stream.write(line)
        self.stream.start_lingering_close()

    def establish_connection(
        self, attempt: UpstreamAttempt, request_id: int, observer: ConnectionObserver
    ) -> Relay:
        """Join the client to the instance that took its command."""
        assert isinstance(attempt, TextExecution)
        assert attempt.stream is not None
        self.stream.on_inbox_full = None
        return Relay(
            self._loop,
            self.stream,
            attempt.stream,
            observer,
            request_id,
            attempt.up_line,
        )


class Listener:
    """Accepts service clients at one address."""

    def __init__(
        self,
        loop: EventLoop,
        pool: BufferPool,
        requests: RequestIntake,
        notices: RateLimitedLog,
        address: tuple[str, int],
        classes: Mapping[str, int],
        tenants: Mapping[str, int],
        descriptors: int,
        rooms: ConnectionLimits,
        inherited: int | None = None,
    ) -> None:
        self.loop = loop
        self.pool = pool
        self.requests = requests
        self.notices = notices
        self.classes = classes
        self.tenants = tenants
        self.away = False  # clients are sent away; those that come all the same are served
        self._rooms = rooms
        self.unread_us = UNREAD_US
        pool.on_exhausted = self._relieve
        self._silent_most = max(int(SILENT_SHARE * descriptors), 1)
        # Those that have not brought a first line yet, the oldest first.
        self._silent: dict[ServiceClient, None] = {}
        self.accepting = False
        if inherited is not None:  # bound and held by the platform, and by other processes
            self._sock = socket.socket(fileno=inherited)
            self._sock.setblocking(False)
        else:
            self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind(address)
            self._sock.listen(BACKLOG)
        self._channel = loop.register(self._sock, 0, self._on_ready)

    @property
    def address(self) -> tuple[str, int]:
        """The address in use; its port was chosen by the system if 0 was asked for."""
        host, port = self._sock.getsockname()
        return host, port

    def open(self) -> None:
        """Begin to take clients."""
        self.accepting = True
        self.loop.set_events(self._channel, READ)

    def stop(self) -> None:
        """Take no more clients; whoever holds the socket too goes on."""
        if self.accepting:
            self.accepting = False
            self.loop.unregister(self._channel)
            self._sock.close()

    def silent(self) -> int:
        """Count the clients that have not brought a first line yet."""
        return len(self._silent)

    def count_out(self, client: ServiceClient) -> None:
        """Count a client as heard, answered or gone."""
        self._silent.pop(client, None)

    def empty_queue(self) -> bool:
        """Take all who wait to be accepted; False if some are left for want of room."""
        return any(self._accept() for _ in range(BACKLOG // ACCEPTS_A_TURN))

    def part_all(self) -> None:
        """Answer all who have not brought a first line, and end our side."""
        for client in list(self._silent):
            client.give_way()

    def _on_ready(self, _: int) -> None:
        self._accept()

    def _accept(self) -> bool:
        """Take some of those who wait; True as soon as nobody does any more."""
        for _turn in range(ACCEPTS_A_TURN):
            if self._crowded() and self._giver() is None:
                if self._silent:
                    self._rest(SPEAK_REST_US)
                else:
                    self._pause("all descriptors or all memory for connections are in use")
                return False
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
                    self._pause(errno.errorcode.get(error.errno, "out of resources"))
                    return False
                continue  # that client has gone again
            try:
                self._silent[ServiceClient(self, sock)] = None
            except OSError:
                sock.close()
            self._make_room()
        return False

    def _relieve(self) -> None:
        """Let the oldest client go that holds a buffer with a part of a first line.

        Seen in a test with half first lines at the cap of buffers: a usual client's whole line was not read
        until after its deadline.
        """
        for client in self._silent:
            if client.stream.inbox is not None:
                client.give_way()
                return

    def _short(self) -> bool:
        """Tell whether no room is left but that for the execution of each client yet to speak."""
        return self._rooms.is_exhausted(len(self._silent), len(self.pool.lingering))

    def _crowded(self) -> bool:
        """Tell whether somebody has to give way before the next comes in."""
        return len(self._silent) > self._silent_most or self._short()

    def admits(self, spec: RequestSpec) -> bool:
        """Tell whether there is room for this command."""
        standing = spec.is_mid_flow or spec.pinned_server_id is not None
        size = len(spec.payload) + len(spec.identity)
        sparable = len(self._silent) + len(self.pool.lingering)
        return self._rooms.try_admit(spec.class_index, size, sparable, standing)

    def _giver(self) -> ShedCandidate | None:
        unread = next(iter(self.pool.unread_since_us.values()), None)
        oldest = next(iter(self._silent), None)
        return choose_shed_candidate(
            len(self._silent),
            0 if oldest is None else oldest.since,
            self._silent_most,
            len(self.pool.lingering),
            unread,
            self.loop.now_us,
            self._short(),
            self.unread_us,
        )

    def _make_room(self) -> None:
        """Let the oldest of those that are silent, do not leave, or do not read, give way.

        A usual client speaks as soon as it is connected. Waiting until the silent ones had gone by themselves
        kept usual clients out for ten seconds and more; now only commands make newcomers wait.
        """
        while (giver := self._giver()) is not None:
            match giver:
                case ShedCandidate.PARTING:
                    next(iter(self.pool.lingering)).close_without_reset()
                case ShedCandidate.UNREAD:
                    self._rooms.count_shed_client()
                    next(iter(self.pool.unread_since_us)).shed()
                case ShedCandidate.SILENT:
                    self._rooms.count_shed_client()
                    next(iter(self._silent)).give_way()

    def _pause(self, why: str) -> None:
        self.notices.warning("accepting rests", why)
        self._rest(SHORT_REST_US)

    def _rest(self, us: int) -> None:
        self.loop.set_events(self._channel, 0)
        self.loop.call_later(
            us, lambda: self.loop.set_events(self._channel, READ)
        )  # none once closed
