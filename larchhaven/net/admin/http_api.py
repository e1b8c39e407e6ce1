"""The operators' API: HTTP/1.1, one call a connection, answered at once from current state."""

from __future__ import annotations

import enum
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import Protocol
from urllib.parse import unquote

import httptools

from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import READ, EventLoop, TimerHandle
from larchhaven.net.core.stream import RESOURCE_EXHAUSTION_ERRNOS, Stream

# With one more, a caller that has its answer is closed, or the oldest incomplete one.
MAX_CALLERS = 24
# The callers, one just accepted, and the listener.
ADMIN_DESCRIPTORS = MAX_CALLERS + 2
ACCEPT_BACKLOG = 128
MAX_ACCEPTS_PER_ITERATION = 32
# Accepting pauses for so long when the process is out of descriptors all the same.
ACCEPT_PAUSE_US = 100_000
CALL_TIMEOUT_US = 10_000_000
# Of a whole call, with its body, which is ignored.
MAX_CALL_BYTES = 16 << 10


class EjectionOutcome(enum.Enum):
    """What became of an operator's call to eject or reinstate a server."""

    APPLIED = enum.auto()
    UNKNOWN_SERVER = enum.auto()
    NOT_SAVED = enum.auto()


_EJECTION_STATUS = {
    EjectionOutcome.APPLIED: HTTPStatus.OK,
    EjectionOutcome.UNKNOWN_SERVER: HTTPStatus.NOT_FOUND,
    EjectionOutcome.NOT_SAVED: HTTPStatus.INTERNAL_SERVER_ERROR,
}


class AdminBackend(Protocol):
    """What operators may ask of the proxy."""

    def is_ready(self) -> bool:
        """Tell whether this process takes clients."""

    def encode_metrics(self) -> bytes:
        """Return the metrics as JSON."""

    def encode_memory(self) -> bytes:
        """Return the memory account as JSON."""

    def encode_members(self) -> bytes:
        """Return what is known of the other proxies, as JSON."""

    def set_ejected(self, server_id: str, is_ejected: bool) -> EjectionOutcome:
        """Eject a server, or reinstate it."""

    def set_draining(self, is_draining: bool) -> None:
        """Drain the proxy, or activate it again."""


@dataclass(frozen=True, slots=True)
class Response:
    """The answer to a call; a call with an empty body is answered with its status."""

    status: HTTPStatus
    body: bytes = b""
    allowed_method: str = ""


@dataclass(frozen=True, slots=True)
class Route:
    """What a path stands for."""

    method: str
    respond: Callable[[], Response]


class _Caller:
    """One connection: its call is read, answered and over."""

    def __init__(self, api: AdminHttpApi, sock: socket.socket) -> None:
        self._api = api
        self._loop = api.loop
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._received_bytes = 0
        self.is_answered = False
        self.stream = Stream(api.loop, api.pool, sock, self)
        self._timeout: TimerHandle | None = self._loop.call_later(CALL_TIMEOUT_US, self._on_timeout)

    # Callbacks of the parser

    def on_url(self, url: bytes) -> None:
        """Keep a part of the URL."""
        self._url += url

    def on_message_complete(self) -> None:
        """Answer the call; whatever follows it is dropped."""
        if not self.is_answered:
            method = self._parser.get_method().decode("ascii", "replace")
            self._answer(self._api.respond(method, self._url))

    # Callbacks of the stream

    def connection_made(self) -> None:
        """Do nothing: an accepted connection is established already."""

    def write_buffer_drained(self) -> None:
        """Do nothing: answers fit."""

    def data_received(self) -> None:
        """Feed the parser."""
        inbox = self.stream.inbox
        if inbox is None:
            return
        data = bytes(inbox.readable())
        self.stream.consume(len(data))
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # another protocol is not offered: the call is complete and has its answer
        except httptools.HttpParserError:
            self._answer(Response(HTTPStatus.BAD_REQUEST))
        if self._received_bytes > MAX_CALL_BYTES:
            self._answer(Response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE))

    def eof_received(self) -> None:
        """Close a caller that ends too early; an answered one is read to its end."""
        if not self.is_answered:
            self.close()

    def connection_lost(self, code: int) -> None:
        """Forget a caller whose connection broke."""
        self.close()

    # Answers

    def _answer(self, response: Response) -> None:
        if self.is_answered:
            return
        self.is_answered = True
        self._loop.cancel(self._timeout)
        status = response.status
        body = response.body or b'{"status":"%s"}' % status.phrase.encode()
        head = [f"HTTP/1.1 {status.value} {status.phrase}", "Content-Type: application/json"]
        if response.allowed_method:
            head.append(f"Allow: {response.allowed_method}")
        head += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        self.stream.write("\r\n".join(head).encode() + body)
        self.stream.start_lingering_close()

    def _on_timeout(self) -> None:
        self._answer(Response(HTTPStatus.REQUEST_TIMEOUT))

    def close(self) -> None:
        """Close now."""
        self._loop.cancel(self._timeout)
        self.stream.close()
        self._api.forget(self)


class AdminHttpApi:
    """Accepts callers and routes their calls to the backend.

    Args:
        loop: The event loop.
        address: Where to listen.
        backend: Carries out the calls.
        shares_address: Whether the other process of a hot restart may listen there too.
        pool: The buffers of the callers; its own, so clients cannot use them up.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        backend: AdminBackend,
        shares_address: bool,
        pool: BufferPool | None = None,
    ) -> None:
        self.loop = loop
        self.pool = pool or BufferPool(
            stream_purpose=MemoryPurpose.MANAGEMENT, buffer_purpose=MemoryPurpose.MANAGEMENT
        )
        self._backend = backend
        self._callers: dict[_Caller, None] = {}  # the oldest first
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shares_address:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._sock.bind(address)
        self._sock.listen(ACCEPT_BACKLOG)
        self._registration = loop.register(self._sock, READ, self._on_readable)

    @property
    def address(self) -> tuple[str, int]:
        """The address in use; its port was chosen by the system if 0 was asked for."""
        host, port = self._sock.getsockname()
        return host, port

    def respond(self, method: str, url: bytes) -> Response:
        """Carry out one call."""
        try:
            path = httptools.parse_url(url).path or b""
        except (httptools.HttpParserInvalidURLError, httptools.HttpParserError):
            return Response(HTTPStatus.BAD_REQUEST)
        route = self._find_route(path.decode("utf-8", "replace").split("/"))
        if route is None:
            return Response(HTTPStatus.NOT_FOUND)
        if method != route.method:
            return Response(HTTPStatus.METHOD_NOT_ALLOWED, allowed_method=route.method)
        return route.respond()

    def _find_route(self, segments: list[str]) -> Route | None:
        match segments:
            case ["", "v1", "readyz"]:
                return Route("GET", self._report_readiness)
            case ["", "v1", "metrics" | "memory" | "members" as report]:
                return Route("GET", partial(self._report, report))
            case ["", "v1", "exam-servers", name, "suspend" | "resume" as verb]:
                return Route("POST", partial(self._set_ejected, unquote(name), verb == "suspend"))
            case ["", "v1", "proxy", "drain" | "activate" as verb]:
                return Route("POST", partial(self._set_draining, verb == "drain"))
        return None

    def _report_readiness(self) -> Response:
        is_ready = self._backend.is_ready()
        return Response(HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE)

    def _report(self, name: str) -> Response:
        encoders = {
            "metrics": self._backend.encode_metrics,
            "memory": self._backend.encode_memory,
            "members": self._backend.encode_members,
        }
        return Response(HTTPStatus.OK, encoders[name]())

    def _set_ejected(self, server_id: str, is_ejected: bool) -> Response:
        return Response(_EJECTION_STATUS[self._backend.set_ejected(server_id, is_ejected)])

    def _set_draining(self, is_draining: bool) -> Response:
        self._backend.set_draining(is_draining)
        return Response(HTTPStatus.OK)

    def forget(self, caller: _Caller) -> None:
        """Remove a caller that is gone."""
        self._callers.pop(caller, None)

    def _on_readable(self, _: int) -> None:
        for _turn in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
                    self._pause_accepting()
                    return
                continue  # that caller has gone again
            self._make_room()
            self._callers[_Caller(self, sock)] = None

    def _pause_accepting(self) -> None:
        self.loop.set_events(self._registration, 0)
        self.loop.call_later(
            ACCEPT_PAUSE_US, lambda: self.loop.set_events(self._registration, READ)
        )

    def _make_room(self) -> None:
        for closed in [caller for caller in self._callers if caller.stream.is_closed]:
            self.forget(closed)
        if len(self._callers) >= MAX_CALLERS:
            self.pool.account.count_rejection(MemoryPurpose.MANAGEMENT)
            answered = (caller for caller in self._callers if caller.is_answered)
            next(answered, next(iter(self._callers))).close()
