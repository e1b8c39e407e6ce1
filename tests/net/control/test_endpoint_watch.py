"""Calls to discovery on real sockets, with limits short enough to wait for."""

from __future__ import annotations

import contextlib
import socket
import time

import pytest

from larchhaven.memory.account import MemoryAccount
from larchhaven.net.control import endpoint_watch as watch_module
from larchhaven.net.control.endpoint_directory import (
    EndpointDirectory,
    EndpointEntry,
    EndpointListMessage,
)
from larchhaven.net.control.endpoint_watch import EndpointWatch
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.routing.events import EndpointListKind

TIMEOUT_S = 10.0
ANSWER = b'{"seq":8,"whole":false,"hosts":[]}'


class DiscoveryService:
    """A discovery that answers when the test says so."""

    def __init__(self) -> None:
        self.loop = EventLoop()
        self.received_lists: list[EndpointListMessage | None] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        pool = BufferPool(MemoryAccount.unbounded())
        self.calls = EndpointWatch(
            self.loop,
            pool,
            RateLimitedLog(self.loop),
            self.listener.getsockname(),
            7,
            self.received_lists.append,
        )

    def receive_call(self) -> tuple[socket.socket, str]:
        """Wait for the next connection and return it with its call."""
        sock: socket.socket | None = None
        text = b""
        limit = time.monotonic() + TIMEOUT_S
        while not text.endswith(b"\r\n\r\n"):
            assert time.monotonic() < limit, "no call came"
            self.run_iteration()
            try:
                if sock is None:
                    sock = self.listener.accept()[0]
                    sock.setblocking(False)
                text += sock.recv(4096)
            except BlockingIOError:
                pass
        assert sock is not None
        return sock, text.split(b"\r\n")[0].decode()

    def receive_next_call(self, sock: socket.socket) -> str:
        """Wait for the next call on a connection."""
        text, limit = b"", time.monotonic() + TIMEOUT_S
        while not text.endswith(b"\r\n\r\n"):
            assert time.monotonic() < limit, "no call came"
            self.run_iteration()
            with contextlib.suppress(BlockingIOError):
                text += sock.recv(4096)
        return text.split(b"\r\n")[0].decode()

    def answer(self, sock: socket.socket, body: bytes) -> None:
        """Answer a call, and wait until its result is received."""
        before = len(self.received_lists)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self.wait(before + 1)

    def wait(self, result_count: int) -> None:
        """Wait until so many results have been received."""
        limit = time.monotonic() + TIMEOUT_S
        while len(self.received_lists) < result_count and time.monotonic() < limit:
            self.run_iteration()

    def run_iteration(self) -> None:
        self.loop.call_later(5_000, lambda: None)  # so that it does not sleep for long
        self.loop.run_once()


@pytest.fixture
def service_with_long_timeouts() -> DiscoveryService:
    """Return a service with long time-outs, so that a busy machine answers in time too."""
    return DiscoveryService()


@pytest.fixture
def service(monkeypatch: pytest.MonkeyPatch) -> DiscoveryService:
    """Return a service whose watches soon count as silent; all other time-outs are long."""
    monkeypatch.setattr(watch_module, "WATCH_HOLD_MS", 60)
    monkeypatch.setattr(watch_module, "WATCH_SILENCE_US", 60_000)
    monkeypatch.setattr(watch_module, "PROMPT_POLL_TIMEOUT_US", 60_000_000)
    monkeypatch.setattr(watch_module, "COMPLETE_LIST_TIMEOUT_US", 60_000_000)
    return DiscoveryService()


def test_silent_watch_is_followed_at_once_by_a_call_that_does_not_wait(
    service: DiscoveryService,
) -> None:
    """Guards the drain rule: events that a silent watch missed count as notified already."""
    service.calls.set_enabled(True)
    _cut, call = service.receive_call()
    assert call == "GET /v1/endpoints?from=7&hold_ms=60 HTTP/1.1"
    sock, call = service.receive_call()
    assert call == "GET /v1/endpoints?from=7&hold_ms=0 HTTP/1.1"
    assert service.received_lists == []  # nothing has failed yet
    service.answer(sock, ANSWER)
    assert service.received_lists[0] is not None
    assert service.received_lists[0].version == 8
    # The time that a drain leaves for new sends has run since the silence was noticed.
    assert service.calls.notification_delay_us > 0
    update = EndpointListMessage(9, [EndpointEntry("s0", "127.0.0.1:1", health="draining")])
    directory = EndpointDirectory(["a"], ["x"])
    directory.apply_list(
        EndpointListKind.CHANGES, update, service.loop.now_us - service.calls.notification_delay_us
    )
    assert (directory.drain_notified_at_us("s0") or 0) < service.loop.now_us


def test_silent_watch_is_polled_before_missed_events_count_as_notified(
    service: DiscoveryService,
) -> None:
    """Guards graces shorter than a call: it must be sent well before, here by a minute."""
    service.calls.set_enabled(True)
    _silent, _ = service.receive_call()
    sock, call = service.receive_call()
    assert call == "GET /v1/endpoints?from=7&hold_ms=0 HTTP/1.1"
    service.answer(sock, f'{{"seq":8,"hosts":[{DRAINING}]}}'.encode())
    assert service.received_lists[0] is not None
    assert service.received_lists[0].endpoints[0].health == "draining"


def test_third_silence_in_a_row_is_a_failure_and_the_next_call_does_not_wait_either(
    service: DiscoveryService, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second silent connection: no third call was made, or it was late."""
    monkeypatch.setattr(watch_module, "PROMPT_POLL_TIMEOUT_US", 60_000)
    service.calls.set_enabled(True)
    calls = [service.receive_call() for _ in range(3)]
    assert [call.split("=")[-1] for _, call in calls] == ["60 HTTP/1.1", "0 HTTP/1.1", "0 HTTP/1.1"]
    assert service.received_lists == []
    service.wait(1)
    assert service.received_lists == [None]
    service.calls.set_enabled(True)
    assert service.receive_call()[1] == "GET /v1/endpoints?from=7&hold_ms=0 HTTP/1.1"


def test_last_poll_is_sent_before_missed_events_count_as_notified() -> None:
    """Guards the constants: the protocol allows two seconds after the end of the hold time."""
    assert watch_module.WATCH_SILENCE_US + watch_module.PROMPT_POLL_TIMEOUT_US < 2_000_000


def test_call_after_two_silent_polls_is_sent_within_a_short_grace() -> None:
    """Guards drains of half a second that a silent watch and two silent polls have missed."""
    notified_us = 2_000_000  # after the end of the hold time, as the protocol says
    shortest_grace_us = 500_000
    polls_us = watch_module.MAX_PROMPT_POLLS * watch_module.PROMPT_POLL_TIMEOUT_US
    assert watch_module.WATCH_SILENCE_US + polls_us < notified_us + shortest_grace_us


@pytest.mark.parametrize(
    "silent", ["at once", "in the middle of an answer", "while followed elsewhere"]
)
def test_updates_are_polled_however_a_watch_falls_silent(
    service: DiscoveryService, silent: str
) -> None:
    service.calls.set_enabled(True)
    sock, _ = service.receive_call()
    if silent == "in the middle of an answer":
        sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{"seq":8')
    if silent == "while followed elsewhere":
        service.receive_call()  # in doubt already, when the configuration names another address
        service.calls.change_address(service.listener.getsockname())
    sock, call = service.receive_call()
    assert ("hold_ms=0" in call) == (silent != "while followed elsewhere")
    service.answer(sock, f'{{"seq":8,"whole":true,"hosts":[{DRAINING}]}}'.encode())
    assert service.received_lists[0] is not None
    assert service.received_lists[0].endpoints[0].health == "draining"
    assert service.receive_next_call(sock).endswith("?from=8&hold_ms=60 HTTP/1.1")


READY = '{"host":"s0","dial":"127.0.0.1:1"}'
DRAINING = '{"host":"s0","dial":"127.0.0.1:1","health":"draining"}'


@pytest.mark.parametrize(
    "bad",
    [
        '{"seq":8,"whole":true,"hosts":[]}',
        f'{{"seq":8,"whole":true,"hosts":[{READY},{DRAINING}]}}',
        f'{{"seq":3,"whole":false,"hosts":[{DRAINING}]}}',
        f'{{"seq":3,"whole":true,"hosts":[{READY}]}}',
    ],
)
def test_list_that_is_worse_than_the_current_one_is_a_failure(
    service_with_long_timeouts: DiscoveryService, bad: str
) -> None:
    """Guards service: an empty list would remove all servers, an old one restore removed ones."""
    service_with_long_timeouts.calls.set_enabled(True)
    service_with_long_timeouts.answer(service_with_long_timeouts.receive_call()[0], bad.encode())
    assert service_with_long_timeouts.received_lists == [None]
    # A complete list, once polled, is applied at any version: discovery may have restarted.
    service_with_long_timeouts.calls.set_enabled(True)
    sock, call = service_with_long_timeouts.receive_call()
    assert call == "GET /v1/endpoints HTTP/1.1"
    service_with_long_timeouts.answer(sock, f'{{"seq":4,"whole":true,"hosts":[{READY}]}}'.encode())
    good = service_with_long_timeouts.received_lists[-1]
    assert good is not None
    assert good.version == 4
    assert len(good.endpoints) == 1


def test_changes_that_name_a_server_twice_are_applied_in_their_order(
    service_with_long_timeouts: DiscoveryService,
) -> None:
    service_with_long_timeouts.calls.set_enabled(True)
    service_with_long_timeouts.answer(
        service_with_long_timeouts.receive_call()[0],
        f'{{"seq":8,"hosts":[{DRAINING},{READY}]}}'.encode(),
    )
    update = service_with_long_timeouts.received_lists[0]
    assert update is not None
    assert [entry.health for entry in update.endpoints] == ["draining", "ready"]
