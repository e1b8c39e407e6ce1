"""Accepts clients at one address, and sheds clients when capacity is exhausted."""

from __future__ import annotations

import errno
import socket
from collections.abc import Mapping

from larchhaven.memory.admission import DEFAULT_THRESHOLDS, ShedCandidate, choose_shed_candidate
from larchhaven.net.control.connection_limits import ConnectionLimits
from larchhaven.net.control.interfaces import RequestIntake
from larchhaven.net.control.request_spec import RequestSpec
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import READ, EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.net.core.stream import RESOURCE_EXHAUSTION_ERRNOS
from larchhaven.net.text_protocol.client_connection import TextClientConnection

BACKLOG = 1024
ACCEPTS_PER_ITERATION = 64
# Time that accepting pauses when the process is out of descriptors or memory.
EXHAUSTED_PAUSE_US = 100_000
# Time that accepting pauses while new clients may still send their request lines.
GRACE_PAUSE_US = 5_000
# Descriptors reserved for uses other than clients: health checks, discovery, the process's own.
SPARE_DESCRIPTORS = 64
# Fraction of all descriptors that clients without a request line may hold.
AWAITING_REQUEST_RATIO = 0.45


class Listener:
    """Accepts clients at one address after ``open`` was called.

    Args:
        address: The host and port to listen on, unless a socket is inherited.
        max_descriptors: The number of descriptors that the process may use.
        limits: The capacity limits of clients.
        inherited_fd: The descriptor of a socket that the platform has bound, which other processes
            may share.

    Attributes:
        loop: The event loop.
        pool: The buffer pool of client connections.
        requests: Receives the requests.
        event_log: The rate-limited log for operators.
        request_classes: Request class indexes by name.
        tenants: Tenant indexes by name.
        is_accepting: Whether clients are accepted.
        is_draining: Whether the proxy is draining. Clients that connect anyway are served.
        unread_us: Time without reading after which a client may be shed, in microseconds.
    """

    def __init__(
        self,
        loop: EventLoop,
        pool: BufferPool,
        requests: RequestIntake,
        event_log: RateLimitedLog,
        address: tuple[str, int],
        request_classes: Mapping[str, int],
        tenants: Mapping[str, int],
        max_descriptors: int,
        limits: ConnectionLimits,
        inherited_fd: int | None = None,
    ) -> None:
        self.loop = loop
        self.pool = pool
        self.requests = requests
        self.event_log = event_log
        self.request_classes = request_classes
        self.tenants = tenants
        self.is_accepting = False
        self.is_draining = False
        self.unread_us = DEFAULT_THRESHOLDS.unread_us
        self._limits = limits
        self._max_awaiting_request = max(int(AWAITING_REQUEST_RATIO * max_descriptors), 1)
        # Ordered by the time of the accept, oldest first.
        self._awaiting_request: dict[TextClientConnection, None] = {}
        self._sock = _bind(address) if inherited_fd is None else _inherit(inherited_fd)
        self._channel = loop.register(self._sock, 0, self._on_ready)
        pool.on_exhausted = self._shed_buffer_holder

    @property
    def address(self) -> tuple[str, int]:
        """The host and port in use; the system chose the port if port 0 was requested."""
        host, port = self._sock.getsockname()
        return host, port

    def open(self) -> None:
        """Start accepting clients."""
        self.is_accepting = True
        self.loop.set_events(self._channel, READ)

    def stop(self) -> None:
        """Stop accepting clients; other processes that share the socket continue."""
        if self.is_accepting:
            self.is_accepting = False
            self.loop.unregister(self._channel)
            self._sock.close()

    def accept_backlog(self) -> bool:
        """Accept all waiting clients; return False if some are left for lack of capacity."""
        return any(self._accept() for _ in range(BACKLOG // ACCEPTS_PER_ITERATION))

    def reject_awaiting_clients(self) -> None:
        """Reject all clients that have sent no request line."""
        for client in list(self._awaiting_request):
            client.shed()

    def count_awaiting_request(self) -> int:
        """Count the clients that have sent no request line yet."""
        return len(self._awaiting_request)

    # Called by clients

    def stop_awaiting_request(self, client: TextClientConnection) -> None:
        """Record that a client sent its request line, was answered or disconnected."""
        self._awaiting_request.pop(client, None)

    def try_admit(self, spec: RequestSpec) -> bool:
        """Return whether there is capacity for a request; count a rejection if not."""
        return self._limits.try_admit(
            spec.class_index,
            len(spec.payload) + len(spec.identity),
            sheddable=len(self._awaiting_request) + len(self.pool.lingering),
            is_established=spec.is_mid_flow or spec.pinned_server_id is not None,
        )

    # Accepting

    def _on_ready(self, _: int) -> None:
        self._accept()

    def _accept(self) -> bool:
        """Accept some of the waiting clients; return True once none is left."""
        for _ in range(ACCEPTS_PER_ITERATION):
            if not self._may_accept():
                self._pause_for_capacity()
                return False
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
                    self._pause_exhausted(errno.errorcode.get(error.errno, "out of resources"))
                    return False
                continue  # the client has already disconnected
            self._add_client(sock)
            self._shed_clients()
        return False

    def _may_accept(self) -> bool:
        """Return whether the next client fits, if need be after one was shed, or to be rejected."""
        if not self._must_shed() or self._choose_shed_candidate() is not None:
            return True
        awaiting = len(self._awaiting_request)
        if awaiting > self._max_awaiting_request:
            return False
        return self._limits.has_rejection_slot(awaiting, len(self.pool.lingering))

    def _add_client(self, sock: socket.socket) -> None:
        try:
            self._awaiting_request[TextClientConnection(self, sock)] = None
        except OSError:
            sock.close()

    def _pause_for_capacity(self) -> None:
        if self._awaiting_request:
            self._pause(GRACE_PAUSE_US)
        else:
            self._pause_exhausted("connection capacity exhausted")

    def _pause_exhausted(self, reason: str) -> None:
        self.event_log.warning("accepting paused", f"reason={reason}")
        self._pause(EXHAUSTED_PAUSE_US)

    def _pause(self, duration_us: int) -> None:
        self.loop.set_events(self._channel, 0)
        # Has no effect if the listener has stopped meanwhile: its token is stale then.
        self.loop.call_later(duration_us, lambda: self.loop.set_events(self._channel, READ))

    # Load shedding

    def _is_exhausted(self) -> bool:
        """Return whether capacity is left only for the attempts of clients already accepted."""
        return self._limits.is_exhausted(len(self._awaiting_request), len(self.pool.lingering))

    def _must_shed(self) -> bool:
        """Return whether a client must be shed before the next one is accepted."""
        return len(self._awaiting_request) > self._max_awaiting_request or self._is_exhausted()

    def _choose_shed_candidate(self) -> ShedCandidate | None:
        oldest = next(iter(self._awaiting_request), None)
        return choose_shed_candidate(
            awaiting_request=len(self._awaiting_request),
            oldest_awaiting_since_us=0 if oldest is None else oldest.accepted_at_us,
            max_awaiting_request=self._max_awaiting_request,
            lingering=len(self.pool.lingering),
            unread_since_us=next(iter(self.pool.unread_since_us.values()), None),
            now_us=self.loop.now_us,
            is_exhausted=self._is_exhausted(),
            unread_us=self.unread_us,
        )

    def _shed_clients(self) -> None:
        """Shed clients, the oldest of each kind first, until a new one fits.

        Most clients send their request line as soon as they are connected. If idle clients were
        only ended by their timeouts, new clients would be kept out for 10 s and more.
        """
        while (candidate := self._choose_shed_candidate()) is not None:
            match candidate:
                case ShedCandidate.LINGERING:
                    next(iter(self.pool.lingering)).close_without_reset()
                case ShedCandidate.NOT_READING:
                    self._limits.count_shed_client()
                    next(iter(self.pool.unread_since_us)).shed()
                case ShedCandidate.AWAITING_REQUEST:
                    self._limits.count_shed_client()
                    next(iter(self._awaiting_request)).shed()

    def _shed_buffer_holder(self) -> None:
        """Shed the oldest client that holds a buffer with an incomplete request line.

        Otherwise a complete request line might wait for a buffer until its deadline has passed.
        """
        for client in self._awaiting_request:
            if client.stream.inbox is not None:
                client.shed()
                return


def _bind(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def _inherit(file_descriptor: int) -> socket.socket:
    sock = socket.socket(fileno=file_descriptor)
    sock.setblocking(False)
    return sock
