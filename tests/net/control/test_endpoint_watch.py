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

PATIENCE_S = 10.0
ANSWER = b'{"seq":8,"whole":false,"hosts":[]}'


class _Service:
    """A discovery that answers when the test says so."""

    def __init__(self) -> None:
        self.loop = EventLoop()
        self.told: list[EndpointListMessage | None] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        pool = BufferPool(MemoryAccount.unbounded())
        self.calls = EndpointWatch(
            self.loop,
            pool,
            RateLimitedLog(self.loop),
            self.listener.getsockname(),
            7,
            self.told.append,
        )

    def take(self) -> tuple[socket.socket, str]:
        """Wait for the next connection and return it with its call."""
        sock: socket.socket | None = None
        text = b""
        limit = time.monotonic() + PATIENCE_S
        while not text.endswith(b"\r\n\r\n"):
            assert time.monotonic() < limit, "no call came"
            self.turn()
            try:
                if sock is None:
                    sock = self.listener.accept()[0]
                    sock.setblocking(False)
                text += sock.recv(4096)
            except BlockingIOError:
                pass
        assert sock is not None
        return sock, text.split(b"\r\n")[0].decode()

    def take_next(self, sock: socket.socket) -> str:
        """Wait for the next call on a connection."""
        text, limit = b"", time.monotonic() + PATIENCE_S
        while not text.endswith(b"\r\n\r\n"):
            assert time.monotonic() < limit, "no call came"
            self.turn()
            with contextlib.suppress(BlockingIOError):
                text += sock.recv(4096)
        return text.split(b"\r\n")[0].decode()

    def answer(self, sock: socket.socket, body: bytes) -> None:
        """Answer a call, and wait until something is told."""
        before = len(self.told)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self.wait(before + 1)

    def wait(self, told: int) -> None:
        """Wait until so much has been told."""
        limit = time.monotonic() + PATIENCE_S
        while len(self.told) < told and time.monotonic() < limit:
            self.turn()

    def turn(self) -> None:
        self.loop.call_later(5_000, lambda: None)  # so that it does not sleep for long
        self.loop.run_once()


@pytest.fixture
def patient() -> _Service:
    """Make a service whose limits are far away: what it answers is in time on a busy machine too."""
    return _Service()


@pytest.fixture
def service(monkeypatch: pytest.MonkeyPatch) -> _Service:
    """Make a service whose watches are soon taken for silent; every other limit is far away."""
    monkeypatch.setattr(watch_module, "WATCH_HOLD_MS", 60)
    monkeypatch.setattr(watch_module, "WATCH_SILENCE_US", 60_000)
    monkeypatch.setattr(watch_module, "PROMPT_POLL_TIMEOUT_US", 60_000_000)
    monkeypatch.setattr(watch_module, "COMPLETE_LIST_TIMEOUT_US", 60_000_000)
    return _Service()


def test_silent_watch_is_followed_at_once_by_a_call_that_does_not_wait(service: _Service) -> None:
    """Guards the drain rule: when a watch stays silent, all that it had to tell counts as told already."""
    service.calls.set_enabled(True)
    _cut, call = service.take()
    assert call == "GET /v1/endpoints?from=7&hold_ms=60 HTTP/1.1"
    sock, call = service.take()
    assert call == "GET /v1/endpoints?from=7&hold_ms=0 HTTP/1.1"
    assert service.told == []  # nothing has failed yet
    service.answer(sock, ANSWER)
    assert service.told[0] is not None
    assert service.told[0].version == 8
    # The time that a drain leaves for new sends has run since the silence was noticed.
    assert service.calls.notification_delay_us > 0
    told = EndpointListMessage(9, [EndpointEntry("s0", "127.0.0.1:1", health="draining")])
    directory = EndpointDirectory(["a"], ["x"])
    directory.apply_list(
        EndpointListKind.CHANGES, told, service.loop.now_us - service.calls.notification_delay_us
    )
    assert (directory.drain_notified_at_us("s0") or 0) < service.loop.now_us


def test_silent_watch_is_followed_before_what_it_missed_counts_as_told(service: _Service) -> None:
    """Guards graces shorter than a call takes: it must be out well before that moment, here a minute away."""
    service.calls.set_enabled(True)
    _silent, _ = service.take()
    sock, call = service.take()
    assert call == "GET /v1/endpoints?from=7&hold_ms=0 HTTP/1.1"
    service.answer(sock, f'{{"seq":8,"hosts":[{DRAINS}]}}'.encode())
    assert service.told[0] is not None
    assert service.told[0].endpoints[0].health == "draining"


def test_third_silence_in_a_row_is_a_failure_and_the_next_call_does_not_wait_either(
    service: _Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a new connection that is silent as well: the second call was the last, and too late."""
    monkeypatch.setattr(watch_module, "PROMPT_POLL_TIMEOUT_US", 60_000)
    service.calls.set_enabled(True)
    calls = [service.take() for _ in range(3)]
    assert [call.split("=")[-1] for _, call in calls] == ["60 HTTP/1.1", "0 HTTP/1.1", "0 HTTP/1.1"]
    assert service.told == []
    service.wait(1)
    assert service.told == [None]
    service.calls.set_enabled(True)
    assert service.take()[1] == "GET /v1/endpoints?from=7&hold_ms=0 HTTP/1.1"


def test_last_call_in_doubt_is_out_before_what_was_missed_counts_as_told() -> None:
    """Guards the constants: by the protocol that is two seconds after the end of the wait asked for."""
    assert watch_module.WATCH_SILENCE_US + watch_module.PROMPT_POLL_TIMEOUT_US < 2_000_000


@pytest.mark.parametrize(
    "silent", ["at once", "in the middle of an answer", "while followed elsewhere"]
)
def test_news_are_asked_for_however_a_watch_falls_silent(service: _Service, silent: str) -> None:
    service.calls.set_enabled(True)
    sock, _ = service.take()
    if silent == "in the middle of an answer":
        sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{"seq":8')
    if silent == "while followed elsewhere":
        service.take()  # in doubt already, when the configuration names another address
        service.calls.change_address(service.listener.getsockname())
    sock, call = service.take()
    assert ("hold_ms=0" in call) == (silent != "while followed elsewhere")
    service.answer(sock, f'{{"seq":8,"whole":true,"hosts":[{DRAINS}]}}'.encode())
    assert service.told[0] is not None
    assert service.told[0].endpoints[0].health == "draining"
    assert service.take_next(sock).endswith("?from=8&hold_ms=60 HTTP/1.1")


READY = '{"host":"s0","dial":"127.0.0.1:1"}'
DRAINS = '{"host":"s0","dial":"127.0.0.1:1","health":"draining"}'


@pytest.mark.parametrize(
    "bad",
    [
        '{"seq":8,"whole":true,"hosts":[]}',
        f'{{"seq":8,"whole":true,"hosts":[{READY},{DRAINS}]}}',
        f'{{"seq":3,"whole":false,"hosts":[{DRAINS}]}}',
        f'{{"seq":3,"whole":true,"hosts":[{READY}]}}',
    ],
)
def test_list_that_is_worse_than_the_one_held_is_a_failure(patient: _Service, bad: str) -> None:
    """Guards service: an empty list would take every instance away, an old one bring back what is gone."""
    patient.calls.set_enabled(True)
    patient.answer(patient.take()[0], bad.encode())
    assert patient.told == [None]
    # The whole list, once asked for, is taken whatever its version: discovery may have begun anew.
    patient.calls.set_enabled(True)
    sock, call = patient.take()
    assert call == "GET /v1/endpoints HTTP/1.1"
    patient.answer(sock, f'{{"seq":4,"whole":true,"hosts":[{READY}]}}'.encode())
    good = patient.told[-1]
    assert good is not None
    assert good.version == 4
    assert len(good.endpoints) == 1


def test_changes_that_name_a_host_twice_are_taken_in_their_order(patient: _Service) -> None:
    patient.calls.set_enabled(True)
    patient.answer(patient.take()[0], f'{{"seq":8,"hosts":[{DRAINS},{READY}]}}'.encode())
    told = patient.told[0]
    assert told is not None
    assert [entry.health for entry in told.endpoints] == ["draining", "ready"]
