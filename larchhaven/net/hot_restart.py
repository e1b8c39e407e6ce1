"""Hot restart: a process hands its state and its connections over to its successor.

The successor sends a hello and receives the predecessor's state. While both processes run, each
notifies the other of the requests that it opens and closes, and forwards the gossip of its
balancer. When the predecessor shuts down, it transfers its established connections. If the other
process is absent, broken or of another protocol version, a process continues on its own.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence
from typing import Protocol

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.item_costs import REQUEST_ID_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.control.executed_identities import Execution, identity_hash
from larchhaven.net.core.event_loop import EventLoop, TimerHandle
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.net.hot_restart_messages import (
    PROTOCOL_VERSION,
    ConnectionTransfer,
    ExecutionRecord,
    GossipForwarded,
    IdentityChanged,
    Message,
    RestartHello,
    SharedState,
)
from larchhaven.net.hot_restart_socket import (
    HotRestartChannel,
    HotRestartSocket,
    close_descriptors,
)

MAX_REMOTE_IDENTITIES = 4_000
# A successor that receives no state within this time starts as if there were no predecessor.
PREDECESSOR_TIMEOUT_US = 1_000_000
# One for the client's socket and one for the server's.
DESCRIPTORS_PER_CONNECTION = 2


class HotRestartListener(Protocol):
    """Provides the state to share, and receives the messages of the other process."""

    def build_shared_state(self) -> SharedState:
        """Return the state that the successor starts with."""

    def on_shared_state(self, state: SharedState) -> None:
        """Adopt the state of the predecessor."""

    def on_gossip_forwarded(self, data: bytes) -> None:
        """Handle a gossip message from the balancer of the other process."""

    def on_executed_elsewhere(self, record: ExecutionRecord) -> None:
        """Remember a request that ended in the other process, and must not run again."""

    def on_connection_transferred(
        self, transfer: ConnectionTransfer, descriptors: Sequence[int]
    ) -> None:
        """Take over a connection, and with it the ownership of its descriptors."""


class RemoteIdentities:
    """The hashes of the identities of the requests that are open in the other process.

    Args:
        account: The memory account that each hash is charged to.
    """

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._hashes: set[bytes] = set()

    def __contains__(self, identity: bytes) -> bool:
        """Return whether the other process has an open request with this identity."""
        return bool(self._hashes) and identity_hash(identity) in self._hashes

    def add(self, hashed: bytes) -> None:
        """Add a hash if there is capacity; without it, a duplicate request is attempted again."""
        is_new = hashed not in self._hashes and len(self._hashes) < MAX_REMOTE_IDENTITIES
        if is_new and self._account.try_charge(MemoryPurpose.PEERS, REQUEST_ID_BYTES):
            self._hashes.add(hashed)

    def discard(self, hashed: bytes) -> None:
        """Remove a hash if it is present."""
        if hashed in self._hashes:
            self._hashes.remove(hashed)
            self._account.release(MemoryPurpose.PEERS, REQUEST_ID_BYTES)

    def clear(self) -> None:
        """Remove all hashes."""
        self._account.release(MemoryPurpose.PEERS, REQUEST_ID_BYTES * len(self._hashes))
        self._hashes.clear()


class HotRestart:
    """The channels of a process to its predecessor and its successor, if these exist.

    Args:
        loop: The event loop.
        log: Receives warnings about channels that cannot be opened or have failed.
        directory: The directory that both processes share; empty if there is none.
        listener: Provides the state to share, and receives messages.
        account: The memory account that identities of the other process are charged to;
            unbounded if None.
    """

    def __init__(
        self,
        loop: EventLoop,
        log: RateLimitedLog,
        directory: str,
        listener: HotRestartListener,
        account: MemoryAccount | None = None,
    ) -> None:
        self._loop = loop
        self._log = log
        self._listener = listener
        self._socket = HotRestartSocket(loop, directory)
        self._predecessor: HotRestartChannel | None = None
        self._successor: HotRestartChannel | None = None
        self._on_started: Callable[[], None] | None = None
        self._start_timer: TimerHandle | None = None
        self._remote_identities = RemoteIdentities(account or MemoryAccount.unbounded())

    def start(self, on_started: Callable[[], None]) -> None:
        """Connect to the predecessor, if there is one, and listen for a successor.

        Args:
            on_started: Called once the predecessor's state has arrived or timed out, or there is no
                predecessor.
        """
        self._on_started = on_started
        try:
            self._predecessor = HotRestartChannel(self._loop, self._socket.connect(), self)
            self._start_timer = self._loop.call_later(PREDECESSOR_TIMEOUT_US, self._finish_start)
            self._predecessor.send(RestartHello(PROTOCOL_VERSION))
        except OSError:
            self._finish_start()
        try:
            self._socket.listen(self._on_accepted)
        except OSError as error:
            self._log.warning("hot restart unavailable", str(error))

    def is_open_elsewhere(self, identity: bytes) -> bool:
        """Return whether the other process has an open request with this identity."""
        return identity in self._remote_identities

    @property
    def has_successor(self) -> bool:
        """Whether there is a successor to transfer connections to."""
        return self._successor is not None

    def transfer_connection(self, transfer: ConnectionTransfer, descriptors: Sequence[int]) -> bool:
        """Transfer a connection to the successor.

        Returns:
            Whether the connection was sent; if not, this process still owns it.
        """
        return self._successor is not None and self._successor.send(transfer, descriptors)

    def announce_identity(
        self, identity: bytes, is_open: bool, execution: Execution | None
    ) -> None:
        """Notify the other process that the request with this identity was opened or closed.

        Args:
            identity: The identity.
            is_open: Whether the request is open now.
            execution: How a closed request may have been executed, if it must not run again.
        """
        if self._predecessor is None and self._successor is None:
            return
        hashed = identity_hash(identity)
        record = None
        if execution is not None:
            record = ExecutionRecord(hashed, execution.class_index, execution.sent_at_us)
        self._broadcast(IdentityChanged(hashed, is_open, record))

    def forward_gossip(self, data: bytes) -> None:
        """Forward an encoded gossip message to the balancer of the other process."""
        self._broadcast(GossipForwarded(data))

    def on_message(
        self, channel: HotRestartChannel, message: Message, descriptors: Sequence[int]
    ) -> None:
        """Handle a message from the other process."""
        if (
            isinstance(message, ConnectionTransfer)
            and len(descriptors) == DESCRIPTORS_PER_CONNECTION
            and channel is self._predecessor
        ):
            self._remote_identities.discard(identity_hash(message.identity))
            self._listener.on_connection_transferred(message, descriptors)
            return
        close_descriptors(descriptors)
        is_established = channel in (self._predecessor, self._successor)
        match message:
            case GossipForwarded(data=data) if is_established:
                self._listener.on_gossip_forwarded(data)
            case IdentityChanged(is_open=True) if is_established:
                self._remote_identities.add(message.identity_hash)
            case IdentityChanged() if is_established:
                self._remote_identities.discard(message.identity_hash)
                if message.execution is not None:
                    self._listener.on_executed_elsewhere(message.execution)
            case RestartHello(version=version) if (
                version == PROTOCOL_VERSION and channel is not self._predecessor
            ):
                self._successor = channel
                channel.send(self._listener.build_shared_state())
            case SharedState(version=version) if (
                version == PROTOCOL_VERSION and channel is self._predecessor
            ):
                self._adopt_shared_state(message)
            case _:
                channel.close(
                    f"unexpected {type(message).__name__} message,"
                    f" or its protocol version is not {PROTOCOL_VERSION}"
                )

    def on_channel_closed(self, channel: HotRestartChannel, reason: str) -> None:
        """Continue without the other process."""
        if reason:
            self._log.warning("hot restart channel closed", reason)
        if channel in (self._predecessor, self._successor):
            self._remote_identities.clear()
        if channel is self._predecessor:
            self._predecessor = None
            self._finish_start()
        elif channel is self._successor:
            self._successor = None

    def _adopt_shared_state(self, state: SharedState) -> None:
        for hashed in state.identity_hashes:
            self._remote_identities.add(hashed)
        self._listener.on_shared_state(state)
        self._finish_start()

    def _finish_start(self) -> None:
        self._loop.cancel(self._start_timer)
        if self._on_started is not None:
            on_started, self._on_started = self._on_started, None
            on_started()

    def _broadcast(self, message: Message) -> None:
        for channel in (self._predecessor, self._successor):
            if channel is not None:
                channel.send(message)

    def _on_accepted(self, accepted: socket.socket) -> None:
        if self._successor is None:
            HotRestartChannel(self._loop, accepted, self)
        else:
            accepted.close()  # there is a successor already
