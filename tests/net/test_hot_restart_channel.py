"""The channel between two processes of a hot restart: shared state, identities, gossip."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.net.hot_restart import HotRestart
from larchhaven.net.hot_restart_messages import (
    PROTOCOL_VERSION,
    ConnectionTransfer,
    ExecutionRecord,
    SharedState,
)


class RestartingProcess:
    """Plays one of the two processes of a hot restart."""

    def __init__(self, loop: EventLoop, directory: Path) -> None:
        self.received: list[bytes] = []
        self.ready = False
        self.hot_restart = HotRestart(loop, RateLimitedLog(loop), str(directory), self)
        self.hot_restart.start(lambda: setattr(self, "ready", True))

    def build_shared_state(self) -> SharedState:
        return SharedState(PROTOCOL_VERSION, [], [])

    def on_shared_state(self, state: SharedState) -> None:
        self.received.append(b"state")

    def on_gossip_forwarded(self, data: bytes) -> None:
        self.received.append(data)

    def on_executed_elsewhere(self, record: ExecutionRecord) -> None:
        raise AssertionError("unexpected execution")

    def on_connection_transferred(
        self, transfer: ConnectionTransfer, descriptors: Sequence[int]
    ) -> None:
        raise AssertionError("unexpected transfer of a connection")


def test_identities_and_gossip_are_forwarded_both_ways(tmp_path: Path) -> None:
    """Both processes accept clients, so each must know which requests are open in the other.

    Otherwise a request that its client repeats at the other process would get a second attempt.
    """
    loop = EventLoop()
    predecessor, successor = RestartingProcess(loop, tmp_path), RestartingProcess(loop, tmp_path)
    assert predecessor.ready
    assert not successor.ready
    loop.run_once()
    loop.run_once()
    loop.run_once()
    assert successor.ready
    assert successor.received == [b"state"]
    for sender, receiver in ((predecessor, successor), (successor, predecessor)):
        sender.hot_restart.announce_identity(b"id", True, None)
        sender.hot_restart.forward_gossip(b"said")
        loop.run_once()
        assert receiver.hot_restart.is_open_elsewhere(b"id")
        assert receiver.received[-1] == b"said"
        assert not receiver.hot_restart.is_open_elsewhere(b"another")
        sender.hot_restart.announce_identity(b"id", False, None)
        loop.run_once()
        assert not receiver.hot_restart.is_open_elsewhere(b"id")
