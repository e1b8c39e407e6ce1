"""Where operators call: HTTP/1.1, one call a connection, answered at once from state kept up to date."""

from __future__ import annotations

import socket
from http import HTTPStatus
from typing import Protocol
from urllib.parse import unquote

import httptools

from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import READ, EventLoop, TimerHandle
from larchhaven.net.core.stream import RESOURCE_EXHAUSTION_ERRNOS, Stream

# Callers held at a time; with one more, one that has its answer gives way, or the oldest incomplete one.
CALLERS_MOST = 24
# Descriptors that calls may take: the callers, one just accepted, and the listener.
DESCRIPTORS = CALLERS_MOST + 2
ACCEPTS_A_TURN = 32
# Accepting rests for so long when the process is out of descriptors after all.
SHORT_REST_US = 100_000
BACKLOG = 128
# A call must be whole within this time and this size, its body, which means nothing, included.
CALL_US = 10_000_000
CALL_MOST = 16 << 10

Answer = tuple[HTTPStatus, bytes]


class Office(Protocol):
    """What operators may ask of the proxy."""

    def is_ready(self) -> bool:
        """Tell whether this process takes clients."""

    def figures(self) -> bytes:
        """Return the figures as JSON."""

    def memory(self) -> bytes:
        """Return the memory account as JSON."""

    def members(self) -> bytes:
        """Return what is known of the other proxies, as JSON."""

    def suspend(self, host: str, on: bool) -> HTTPStatus:
        """Take an instance out, or let it serve again."""

    def drain(self, on: bool) -> None:
        """Send clients away, or take them again."""


class _Caller:
    """One connection: its call is read, answered and over."""

    def __init__(self, management: Management, sock: socket.socket) -> None:
        self._management = management
        self._loop = management.loop
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._size = 0
        self.answered = False
        self.stream = Stream(management.loop, management.pool, sock, self)
        self._limit: TimerHandle | None = self._loop.call_later(CALL_US, self._on_late)

    # The parser's callbacks

    def on_url(self, url: bytes) -> None:
        """Keep a part of the address that is called."""
        self._url += url

    def on_message_complete(self) -> None:
        """Answer the call; whatever follows it is dropped."""
        if not self.answered:
            method = self._parser.get_method().decode("ascii", "replace")
            self._answer(*self._management.call(method, self._url))

    # The stream's owner

    def connection_made(self) -> None:
        """Nothing: an accepted connection stands already."""

    def write_buffer_drained(self) -> None:
        """Nothing: answers fit."""

    def data_received(self) -> None:
        """Feed the parser."""
        inbox = self.stream.inbox
        if inbox is None:
            return
        data = bytes(inbox.readable())
        self.stream.consume(len(data))
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # the wish for another protocol is not heeded: the call is whole and has its answer
        except httptools.HttpParserError:
            self._answer(HTTPStatus.BAD_REQUEST, b"")
        if self._size > CALL_MOST:
            self._answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, b"")

    def eof_received(self) -> None:
        """Let a caller go that ends without a whole call; one that has its answer is read to its end."""
        if not self.answered:
            self.close()

    def connection_lost(self, code: int) -> None:
        """Forget a caller whose connection broke."""
        self.close()

    # Answers

    def _answer(self, status: HTTPStatus, body: bytes, allow: str = "") -> None:
        if self.answered:
            return
        self.answered = True
        self._loop.cancel(self._limit)
        body = body or b'{"status":"%s"}' % status.phrase.encode()
        head = [f"HTTP/1.1 {status.value} {status.phrase}", "Content-Type: application/json"]
        head += [f"Allow: {allow}"] if allow else []
        head += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        self.stream.write("\r\n".join(head).encode() + body)
        self.stream.start_lingering_close()

    def _on_late(self) -> None:
        self._answer(HTTPStatus.REQUEST_TIMEOUT, b"")

    def close(self) -> None:
        """Close now."""
        self._loop.cancel(self._limit)
        self.stream.close()
        self._management.forget(self)


class Management:
    """Accepts callers and knows the calls; what they do is up to the office."""

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        office: Office,
        shared: bool,
        pool: BufferPool | None = None,
    ) -> None:
        self.loop = loop
        # Its own: clients that fill theirs keep no operator waiting.
        self.pool = pool or BufferPool(
            stream_purpose=MemoryPurpose.MANAGEMENT, buffer_purpose=MemoryPurpose.MANAGEMENT
        )
        self._office = office
        self._callers: dict[_Caller, None] = {}  # the oldest first
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._sock.bind(address)
        self._sock.listen(BACKLOG)
        self._channel = loop.register(self._sock, READ, self._on_ready)

    @property
    def address(self) -> tuple[str, int]:
        """The address in use; its port was chosen by the system if 0 was asked for."""
        host, port = self._sock.getsockname()
        return host, port

    def call(self, method: str, url: bytes) -> tuple[HTTPStatus, bytes, str]:
        """Carry out one call; return the status, the body and the method that would have done."""
        try:
            path = httptools.parse_url(url).path or b""
        except (httptools.HttpParserInvalidURLError, httptools.HttpParserError):
            return HTTPStatus.BAD_REQUEST, b"", ""
        match path.decode("utf-8", "replace").split("/"):
            case ["", "v1", "readyz"]:
                allowed = "GET"
            case ["", "v1", "metrics" | "memory" | "members"]:
                allowed = "GET"
            case ["", "v1", "exam-servers", _, "suspend" | "resume"]:
                allowed = "POST"
            case ["", "v1", "proxy", "drain" | "activate"]:
                allowed = "POST"
            case _:
                return HTTPStatus.NOT_FOUND, b"", ""
        if method != allowed:
            return HTTPStatus.METHOD_NOT_ALLOWED, b"", allowed
        return *self._carry_out(path.decode("utf-8", "replace").split("/")[2:]), ""

    def _carry_out(self, words: list[str]) -> Answer:
        office = self._office
        match words:
            case ["readyz"]:
                return HTTPStatus.OK if office.is_ready() else HTTPStatus.SERVICE_UNAVAILABLE, b""
            case ["metrics"]:
                return HTTPStatus.OK, office.figures()
            case ["memory"]:
                return HTTPStatus.OK, office.memory()
            case ["members"]:
                return HTTPStatus.OK, office.members()
            case ["exam-servers", host, what]:
                return office.suspend(unquote(host), what == "suspend"), b""
        office.drain(words[-1] == "drain")
        return HTTPStatus.OK, b""

    def forget(self, caller: _Caller) -> None:
        """Count a caller as gone."""
        self._callers.pop(caller, None)

    def _on_ready(self, _: int) -> None:
        for _turn in range(ACCEPTS_A_TURN):
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
                    self.loop.set_events(self._channel, 0)
                    self.loop.call_later(
                        SHORT_REST_US, lambda: self.loop.set_events(self._channel, READ)
                    )
                    return
                continue  # that caller has gone again
            for gone in [c for c in self._callers if c.stream.is_closed]:
                self.forget(gone)
            if len(self._callers) >= CALLERS_MOST:
                self.pool.account.count_rejection(MemoryPurpose.MANAGEMENT)
                answered = (c for c in self._callers if c.answered)
                next(answered, next(iter(self._callers))).close()
            self._callers[_Caller(self, sock)] = None
