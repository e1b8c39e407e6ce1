"""The admin API: HTTP/1.1, one call per connection, answered from the current state."""

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

# At the limit, a new caller replaces the oldest caller that has been answered, or the oldest one if
# none has been.
MAX_CALLERS = 24
# The callers, one more that has just been accepted, and the listening socket.
ADMIN_DESCRIPTORS = MAX_CALLERS + 2
ACCEPT_BACKLOG = 128
MAX_ACCEPTS_PER_ITERATION = 32
# No callers are accepted for this time after the process has run out of descriptors or memory.
ACCEPT_PAUSE_US = 100_000
CALL_TIMEOUT_US = 10_000_000
# Limit for a whole call, including its body, which is ignored.
MAX_CALL_BYTES = 16 << 10


class EjectionOutcome(enum.Enum):
    """The outcome of a call to eject or reinstate a server."""

    APPLIED = enum.auto()
    UNKNOWN_SERVER = enum.auto()
    NOT_SAVED = enum.auto()


_EJECTION_STATUS = {
    EjectionOutcome.APPLIED: HTTPStatus.OK,
    EjectionOutcome.UNKNOWN_SERVER: HTTPStatus.NOT_FOUND,
    EjectionOutcome.NOT_SAVED: HTTPStatus.INTERNAL_SERVER_ERROR,
}


class AdminBackend(Protocol):
    """The operations of the proxy that the API offers to operators."""

    def is_ready(self) -> bool:
        """Return whether this process is ready for clients."""

    def encode_metrics(self) -> bytes:
        """Return the metrics as JSON."""

    def encode_memory(self) -> bytes:
        """Return the memory account as JSON."""

    def encode_members(self) -> bytes:
        """Return the membership report as JSON."""

    def set_ejected(self, server_id: str, is_ejected: bool) -> EjectionOutcome:
        """Eject or reinstate a server."""

    def set_draining(self, is_draining: bool) -> None:
        """Drain the proxy or activate it again."""


@dataclass(frozen=True, slots=True)
class Response:
    """The response to a call.

    Attributes:
        status: The HTTP status.
        body: The JSON text; if empty, an object with the status phrase is sent.
        allowed_method: The value of the ``Allow`` header; empty to send none.
    """

    status: HTTPStatus
    body: bytes = b""
    allowed_method: str = ""


@dataclass(frozen=True, slots=True)
class Route:
    """The method that a path accepts, and its handler."""

    method: str
    respond: Callable[[], Response]


class _Caller:
    """One connection to the API, which carries one call."""

    def __init__(self, api: AdminHttpApi, sock: socket.socket) -> None:
        self._api = api
        self._loop = api.loop
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._received_bytes = 0
        self.is_answered = False
        self.stream = Stream(api.loop, api.pool, sock, self)
        self._timeout: TimerHandle | None = self._loop.call_later(CALL_TIMEOUT_US, self._on_timeout)

    # Parser callbacks

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the URL."""
        self._url += url

    def on_message_complete(self) -> None:
        """Answer the call; later calls on the connection are ignored."""
        if not self.is_answered:
            method = self._parser.get_method().decode("ascii", "replace")
            self._answer(self._api.respond(method, self._url))

    # Stream callbacks

    def connection_made(self) -> None:
        """Do nothing: an accepted connection is already established."""

    def write_buffer_drained(self) -> None:
        """Do nothing: a response is written in one piece."""

    def data_received(self) -> None:
        """Pass the received bytes to the parser."""
        inbox = self.stream.inbox
        if inbox is None:
            return
        data = bytes(inbox.readable())
        self.stream.consume(len(data))
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # upgrades are not supported; the call is complete and has been answered
        except httptools.HttpParserError:
            self._answer(Response(HTTPStatus.BAD_REQUEST))
        if self._received_bytes > MAX_CALL_BYTES:
            self._answer(Response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE))

    def eof_received(self) -> None:
        """Close the connection if its call is incomplete; an answered one closes by itself."""
        if not self.is_answered:
            self.close()

    def connection_lost(self, code: int) -> None:
        """Remove a caller whose connection was lost."""
        self.close()

    # Responses

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
        """Close the connection at once."""
        self._loop.cancel(self._timeout)
        self.stream.close()
        self._api.remove_caller(self)


class AdminHttpApi:
    """Accepts callers and routes their calls to the backend.

    Args:
        loop: The event loop.
        address: The host and port to listen at.
        backend: Carries out the calls.
        shares_address: Whether the other process of a hot restart may listen at the same address.
        pool: The buffers of the callers; not shared with clients, who could use them up.
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
        self._callers: dict[_Caller, None] = {}  # in order of arrival
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shares_address:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._sock.bind(address)
        self._sock.listen(ACCEPT_BACKLOG)
        self._registration = loop.register(self._sock, READ, self._on_readable)

    @property
    def address(self) -> tuple[str, int]:
        """The address in use, with the port chosen by the system if port 0 was configured."""
        host, port = self._sock.getsockname()
        return host, port

    def respond(self, method: str, url: bytes) -> Response:
        """Carry out one call and return the response."""
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

    def remove_caller(self, caller: _Caller) -> None:
        """Remove a caller whose connection is closed."""
        self._callers.pop(caller, None)

    def _on_readable(self, _events: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
                    self._pause_accepting()
                    return
                continue  # the caller closed the connection before it was accepted
            self._make_room()
            self._callers[_Caller(self, sock)] = None

    def _pause_accepting(self) -> None:
        self.loop.set_events(self._registration, 0)
        self.loop.call_later(
            ACCEPT_PAUSE_US, lambda: self.loop.set_events(self._registration, READ)
        )

    def _make_room(self) -> None:
        for closed in [caller for caller in self._callers if caller.stream.is_closed]:
            self.remove_caller(closed)
        if len(self._callers) >= MAX_CALLERS:
            self.pool.account.count_rejection(MemoryPurpose.MANAGEMENT)
            answered = (caller for caller in self._callers if caller.is_answered)
            next(answered, next(iter(self._callers))).close()
