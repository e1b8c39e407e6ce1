"""From one process to the next, beside it, during an upgrade: what it knows, and connections that stand.

The two speak over a Unix socket of whole messages in their common folder. The younger one says hello and is
told what the older one knows; once told to stop, the older one passes its standing connections on with their
descriptors. Whatever is absent, of another version or broken means that each goes on alone.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from hashlib import blake2b
from pathlib import Path
from typing import Protocol

import msgspec

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.item_costs import REQUEST_ID_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.core.event_loop import READ, EventLoop, TimerHandle
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.net.text_protocol.connection_relay import RelayState
from larchhaven.routing.events import LoadReport

VERSION = 1
# The longest message: the state of a connection with four full buffers, or the open ids.
LONGEST = 128 << 10
MESSAGES_A_TURN = 64
IDENTITIES_MOST = 4_000
# A younger process that has heard nothing in this time starts as if there were no older one.
WAIT_US = 1_000_000
_NAME = "larchhaven-upgrade.sock"


class Hello(msgspec.Struct, tag=True):
    """The younger process begins."""

    v: int


class ReportRecord(msgspec.Struct):
    """A load report, with the field names that other versions know."""

    load_ratio: float | None = msgspec.field(name="ratio", default=None)
    utilization: float | None = None
    in_flight: float | None = msgspec.field(name="inflight", default=None)
    queue_length: float | None = msgspec.field(name="queue", default=None)
    backlog_s: float | None = None

    @classmethod
    def of(cls, report: LoadReport) -> ReportRecord:
        """Return the record of a report."""
        return cls(
            report.load_ratio,
            report.utilization,
            report.in_flight,
            report.queue_length,
            report.backlog_s,
        )

    def report(self) -> LoadReport:
        """Return the report."""
        return LoadReport(
            self.load_ratio,
            self.utilization,
            self.in_flight,
            self.queue_length,
            self.backlog_s,
        )


class Known(msgspec.Struct, tag=True):
    """The older process answers: the latest reports with their times, and its open ids."""

    v: int
    reports: list[tuple[str, int, ReportRecord]]
    identities: list[bytes]
    incarnation: int = 0  # in the membership; 0: it was off


class Identity(msgspec.Struct, tag=True):
    """A command of the sender has come, or is over."""

    mark: bytes
    on: bool


class Heard(msgspec.Struct, tag=True):
    """A message between the two decision modules."""

    data: bytes


class Standing(msgspec.Struct, tag=True):
    """A connection that stands, sent with the descriptors of its client's and its instance's side."""

    identity: bytes
    cls: int
    host: str
    relay: RelayState
    key: int | None = None
    group: int | None = None
    load: float | None = None
    tenant: int = 0


Message = Hello | Known | Identity | Heard | Standing
_decoder = msgspec.msgpack.Decoder(Message)


def mark(identity: bytes) -> bytes:
    """Return what stands for an id: ids may be as long as a line."""
    return blake2b(identity, digest_size=8).digest()


class Office(Protocol):
    """What a process has to tell, and does with what it hears."""

    def known(self) -> Known:
        """Return what the younger process must know."""

    def on_known(self, known: Known) -> None:
        """Take what the older process knows."""

    def on_heard(self, data: bytes) -> None:
        """Take a message of the other decision module."""

    def on_standing(self, standing: Standing, descriptors: Sequence[int]) -> None:
        """Go on with a connection; its descriptors are ours from here on."""


class _Channel:
    """One end of the socket between the two processes."""

    def __init__(self, handover: Handover, sock: socket.socket) -> None:
        sock.setblocking(False)
        self._handover = handover
        self._sock = sock
        self._channel = handover.loop.register(sock, READ, self._on_ready)
        self.closed = False

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> bool:
        """Send a message whole, or not at all."""
        if self.closed:
            return False
        try:
            socket.send_fds(self._sock, [msgspec.msgpack.encode(message)], list(descriptors))
        except OSError:  # its buffer is full, or the other process is gone
            return False
        return True

    def _on_ready(self, _: int) -> None:
        for _turn in range(MESSAGES_A_TURN):
            descriptors: list[int] = []
            try:
                data, descriptors, flags, _address = socket.recv_fds(self._sock, LONGEST, 2)
                if not data:
                    raise EOFError
                if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                    raise ValueError("a message is too long")
                message = _decoder.decode(data)
            except BlockingIOError:
                return
            except (OSError, EOFError, ValueError, msgspec.DecodeError) as error:
                for descriptor in descriptors:
                    os.close(descriptor)
                self.close(str(error))
                return
            self._handover.take(self, message, descriptors)
            if self.closed:
                return

    def close(self, why: str = "") -> None:
        """End it; the other process goes on alone."""
        if not self.closed:
            self.closed = True
            self._handover.loop.unregister(self._channel)
            self._sock.close()
            self._handover.over(self, why)


class Handover:
    """The two channels that a process may have: to an older one, and to a younger one."""

    def __init__(
        self,
        loop: EventLoop,
        notices: RateLimitedLog,
        folder: str,
        office: Office,
        account: MemoryAccount | None = None,
    ) -> None:
        self._account = account or MemoryAccount.unbounded()
        self.loop = loop
        self._notices = notices
        self._folder = folder
        self._office = office
        self._older: _Channel | None = None
        self._younger: _Channel | None = None
        self._ready: Callable[[], None] | None = None
        self._limit: TimerHandle | None = None
        self._identities: set[bytes] = set()  # marks of ids that are open at the other process

    # The younger process

    def begin(self, ready: Callable[[], None]) -> None:
        """Look for an older process, and call ``ready`` once it has told what it knows, or there is none."""
        self._ready = ready
        try:
            self._older = _Channel(self, self._connect())
            self._limit = self.loop.call_later(WAIT_US, self._start)
            self._older.send(Hello(VERSION))
        except OSError:
            self._start()
        try:
            self._listen()
        except OSError as error:
            self._notices.warning("no upgrade without a break", str(error))

    def _start(self) -> None:
        self.loop.cancel(self._limit)
        if self._ready is not None:
            ready, self._ready = self._ready, None
            ready()

    def is_open_elsewhere(self, identity: bytes) -> bool:
        """Tell whether the other process holds an open command of this id."""
        return bool(self._identities) and mark(identity) in self._identities

    # The older process

    @property
    def has_younger(self) -> bool:
        """Tell whether there is a process to pass connections on to."""
        return self._younger is not None

    def pass_on(self, standing: Standing, descriptors: Sequence[int]) -> bool:
        """Pass a connection on; False if it did not go, and is still ours."""
        return self._younger is not None and self._younger.send(standing, descriptors)

    # Both

    def identity(self, identity: bytes, on: bool) -> None:
        """Tell that a command has come or is over."""
        if self._older is not None or self._younger is not None:
            self._send(Identity(mark(identity), on))

    def tell(self, data: bytes) -> None:
        """Pass a message on to the other process's decision module."""
        self._send(Heard(data))

    def _send(self, message: Message) -> None:
        for channel in (self._older, self._younger):
            if channel is not None:
                channel.send(message)

    def take(self, channel: _Channel, message: Message, descriptors: list[int]) -> None:
        """Take a message of the other process."""
        if isinstance(message, Standing) and len(descriptors) == 2 and channel is self._older:
            self._drop(mark(message.identity))
            self._office.on_standing(message, descriptors)
            return
        for descriptor in descriptors:
            os.close(descriptor)
        known = channel in (self._older, self._younger)
        match message:
            case Heard(data=data) if known:
                self._office.on_heard(data)
            case Hello(v=version) if version == VERSION and channel is not self._older:
                self._younger = channel
                channel.send(self._office.known())
            case Known(v=version) if version == VERSION and channel is self._older:
                for each in message.identities:
                    self._add(each)
                self._office.on_known(message)
                self._start()
            case Identity(on=True) if known:
                self._add(message.mark)
            case Identity() if known:
                self._drop(message.mark)
            case _:
                channel.close("another version")

    def _add(self, identity: bytes) -> None:
        """Keep the mark of an id, as far as there is room: without it a doubled id costs a set-up."""
        new = identity not in self._identities and len(self._identities) < IDENTITIES_MOST
        if new and self._account.try_charge(MemoryPurpose.PEERS, REQUEST_ID_BYTES):
            self._identities.add(identity)

    def _drop(self, identity: bytes) -> None:
        if identity in self._identities:
            self._identities.remove(identity)
            self._account.release(MemoryPurpose.PEERS, REQUEST_ID_BYTES)

    def over(self, channel: _Channel, why: str) -> None:
        """Go on alone."""
        if why:
            self._notices.warning("the other process of the upgrade", why)
        if channel in (self._older, self._younger):
            self._account.release(MemoryPurpose.PEERS, REQUEST_ID_BYTES * len(self._identities))
            self._identities.clear()
        if channel is self._older:
            self._older = None
            self._start()
        elif channel is self._younger:
            self._younger = None

    # The socket

    def _connect(self) -> socket.socket:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with self._short_path(_NAME) as path:
                sock.connect(path)
        except OSError:
            sock.close()
            raise
        return sock

    def _listen(self) -> None:
        """Listen in place of the older process: the next one is to find this one."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        beside = f"{_NAME}.{os.getpid()}"
        try:
            with self._short_path(beside) as path:
                sock.bind(path)
            sock.listen(4)
            (Path(self._folder) / beside).rename(Path(self._folder) / _NAME)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self.loop.register(sock, READ, lambda _: self._accept(sock))

    def _accept(self, sock: socket.socket) -> None:
        try:
            accepted, _address = sock.accept()
        except OSError:
            return  # it has gone again
        if self._younger is None:
            _Channel(self, accepted)
        else:
            accepted.close()  # there is one already

    @contextmanager
    def _short_path(self, name: str) -> Iterator[str]:
        """Name a file by its folder's descriptor: the address of a Unix socket holds but a short path."""
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            yield f"/proc/self/fd/{folder}/{name}"
        finally:
            os.close(folder)
