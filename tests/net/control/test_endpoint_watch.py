"""The endpoint watch on real sockets, with timeouts short enough to wait for."""

from __future__ import annotations

import contextlib
import socket
import time

import pytest

from larchhaven.memory.account import MemoryAccount
from larchhaven.net.control import discovery_connection as connection_module
from larchhaven.net.control import endpoint_watch as watch_module
from larchhaven.net.control import poll_schedule as schedule_module
from larchhaven.net.control.endpoint_directory import (
    EndpointDirectory,
    EndpointEntry,
    EndpointListMessage,
)
from larchhaven.net.control.endpoint_watch import EndpointWatch
from larchhaven.net.control.poll_schedule import PollSchedule
from larchhaven.net.core.buffer_pool import BufferPool
from larchhaven.net.core.event_loop import EventLoop
from larchhaven.net.core.rate_limited_log import RateLimitedLog
from larchhaven.routing.events import EndpointListKind

TIMEOUT_S = 10.0
# A change may count as notified when discovery is back, and a drain grace may be short.
CONNECT_BOUND_S = 0.5
SLACK_S = 0.5
ANSWER = b'{"seq":8,"whole":false,"hosts":[]}'


class FakeDiscovery:
    """Fakes discovery, which answers when the test tells it to, and holds the watch under test."""

    def __init__(self, backlog: int = 100) -> None:
        self.loop = EventLoop()
        self.received_lists: list[EndpointListMessage | None] = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        pool = BufferPool(MemoryAccount.unbounded())
        self.watch = EndpointWatch(
            self.loop,
            pool,
            RateLimitedLog(self.loop),
            self.address,
            7,
            self.received_lists.append,
        )

    def receive_request(self) -> tuple[socket.socket, str]:
        """Wait for the next connection, and return it with its request line."""
        sock: socket.socket | None = None
        text = b""
        deadline_s = time.monotonic() + TIMEOUT_S
        while not text.endswith(b"\r\n\r\n"):
            assert time.monotonic() < deadline_s, "no request arrived"
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

    def receive_next_request(self, sock: socket.socket) -> str:
        """Wait for the next request on a connection, and return its request line."""
        text, deadline_s = b"", time.monotonic() + TIMEOUT_S
        while not text.endswith(b"\r\n\r\n"):
            assert time.monotonic() < deadline_s, "no request arrived"
            self.run_iteration()
            with contextlib.suppress(BlockingIOError):
                text += sock.recv(4096)
        return text.split(b"\r\n")[0].decode()

    def answer(self, sock: socket.socket, body: bytes) -> None:
        """Answer a request, and wait until the watch has passed on its result."""
        before = len(self.received_lists)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self.wait_for_results(before + 1)

    def wait_for_results(self, result_count: int) -> None:
        """Wait until the watch has passed on this many results, or until the timeout."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while len(self.received_lists) < result_count and time.monotonic() < deadline_s:
            self.run_iteration()

    def run_for(self, duration_s: float) -> None:
        """Run the loop for some time."""
        deadline_s = time.monotonic() + duration_s
        while time.monotonic() < deadline_s:
            self.run_iteration()

    def run_iteration(self) -> None:
        self.loop.call_later(5_000, lambda: None)  # limits how long the loop waits
        self.loop.run_once()


@pytest.fixture
def discovery_long_timeouts() -> FakeDiscovery:
    """Return discovery and a watch with long timeouts, to pass on a busy machine as well."""
    return FakeDiscovery()


def shorten_watch(monkeypatch: pytest.MonkeyPatch, poll_interval_us: int) -> None:
    """Set a short hold time, which detects silence early, and one interval for all polls."""
    monkeypatch.setattr(watch_module, "WATCH_HOLD_MS", 60)
    monkeypatch.setattr(watch_module, "WATCH_SILENCE_US", 60_000)
    monkeypatch.setattr(schedule_module, "PROMPT_POLL_INTERVAL_US", poll_interval_us)
    monkeypatch.setattr(schedule_module, "MIN_POLL_INTERVAL_US", poll_interval_us)
    monkeypatch.setattr(schedule_module, "MAX_POLL_INTERVAL_US", poll_interval_us)


@pytest.fixture
def discovery(monkeypatch: pytest.MonkeyPatch) -> FakeDiscovery:
    """Return discovery and a watch that waits a minute for each poll."""
    shorten_watch(monkeypatch, 60_000_000)
    monkeypatch.setattr(connection_module, "RESPONSE_TIMEOUT_US", 60_000_000)
    return FakeDiscovery()


@pytest.fixture
def impatient_discovery(monkeypatch: pytest.MonkeyPatch) -> FakeDiscovery:
    """Return discovery and a watch whose polls follow each other after 60 ms."""
    shorten_watch(monkeypatch, 60_000)
    return FakeDiscovery()


def test_silent_watch_is_followed_by_a_short_poll(discovery: FakeDiscovery) -> None:
    """Without a short poll, requests go to servers that drained while the watch was silent.

    This process already counts as notified of changes that a silent watch has missed.
    """
    discovery.watch.set_enabled(True)
    _silent, request_line = discovery.receive_request()
    assert request_line == "GET /v1/endpoints?from=7&hold_ms=60 HTTP/1.1"
    sock, request_line = discovery.receive_request()
    assert request_line == "GET /v1/endpoints?from=7&hold_ms=0 HTTP/1.1"
    assert discovery.received_lists == []  # the watch has not failed
    discovery.answer(sock, ANSWER)
    assert discovery.received_lists[0] is not None
    assert discovery.received_lists[0].version == 8
    # The drain grace counts from the time when the silence was detected.
    assert discovery.watch.notification_delay_us > 0
    update = EndpointListMessage(9, [EndpointEntry("s0", "127.0.0.1:1", health="draining")])
    directory = EndpointDirectory(["a"], ["x"])
    directory.apply_list(
        EndpointListKind.CHANGES,
        update,
        discovery.loop.now_us - discovery.watch.notification_delay_us,
    )
    assert (directory.drain_notified_at_us("s0") or 0) < discovery.loop.now_us


def test_short_poll_is_sent_well_before_missed_changes_count_as_notified(
    discovery: FakeDiscovery,
) -> None:
    """A short poll that is sent too late can end after the drain grace of a server.

    The interval of polls is one minute here, and the poll must be sent long before that.
    """
    discovery.watch.set_enabled(True)
    _silent, _ = discovery.receive_request()
    sock, request_line = discovery.receive_request()
    assert request_line == "GET /v1/endpoints?from=7&hold_ms=0 HTTP/1.1"
    discovery.answer(sock, f'{{"seq":8,"hosts":[{DRAINING}]}}'.encode())
    assert discovery.received_lists[0] is not None
    assert discovery.received_lists[0].endpoints[0].health == "draining"


def test_polls_go_on_for_as_long_as_discovery_is_silent(impatient_discovery: FakeDiscovery) -> None:
    """Guards against pauses after silent polls: the list comes late when the silence ends.

    While these polls are silent, the watch does not fail, and the balancer adds no backoff.
    """
    discovery = impatient_discovery
    discovery.watch.set_enabled(True)
    requests = [discovery.receive_request() for _ in range(4 + schedule_module.MAX_PROMPT_POLLS)]
    assert [line.split("=")[-1] for _, line in requests] == ["60 HTTP/1.1"] + 6 * ["0 HTTP/1.1"]
    assert discovery.received_lists == []
    sock, request_line = discovery.receive_request()
    assert request_line == "GET /v1/endpoints?from=7&hold_ms=0 HTTP/1.1"
    discovery.answer(sock, f'{{"seq":8,"hosts":[{DRAINING}]}}'.encode())
    assert [update and update.version for update in discovery.received_lists] == [8]
    assert discovery.receive_next_request(sock).endswith("?from=8&hold_ms=60 HTTP/1.1")


def test_watch_that_fails_while_polling_restarts_with_a_short_poll(
    impatient_discovery: FakeDiscovery,
) -> None:
    """After the failure, changes may have been missed, so the watch restarts with a short poll."""
    discovery = impatient_discovery
    discovery.watch.set_enabled(True)
    requests = [discovery.receive_request() for _ in range(2)]
    discovery.listener.close()
    for sock, _ in requests:
        sock.close()
    discovery.wait_for_results(1)
    assert discovery.received_lists == [None]
    discovery.listener = socket.create_server(discovery.address)
    discovery.listener.setblocking(False)
    discovery.watch.set_enabled(True)
    assert discovery.receive_request()[1] == "GET /v1/endpoints?from=7&hold_ms=0 HTTP/1.1"


@pytest.mark.parametrize("proxy_count", [1, 3, 5, 200])
def test_last_poll_is_sent_before_missed_changes_count_as_notified(proxy_count: int) -> None:
    """Missed changes count as notified two seconds after the end of the hold time."""
    schedule = PollSchedule(proxy_count)
    intervals_us = [schedule.note_poll() for _ in range(schedule_module.MAX_PROMPT_POLLS - 1)]
    assert watch_module.WATCH_SILENCE_US + sum(intervals_us) < 2_000_000


@pytest.mark.parametrize("proxy_count", [1, 2, 3, 4, 5])
def test_call_after_silent_polls_is_sent_within_a_short_grace(proxy_count: int) -> None:
    """The watch and all prompt polls may miss a drain whose drain grace is half a second.

    The next request must be sent before this drain grace ends.
    """
    notified_us = 2_000_000  # after the end of the hold time, by the protocol
    shortest_grace_us = 500_000
    schedule = PollSchedule(proxy_count)
    intervals_us = [schedule.note_poll() for _ in range(schedule_module.MAX_PROMPT_POLLS)]
    assert watch_module.WATCH_SILENCE_US + sum(intervals_us) < notified_us + shortest_grace_us


@pytest.mark.parametrize("proxy_count", [1, 2, 3])
def test_poll_after_a_long_silence_is_sent_within_a_short_grace(proxy_count: int) -> None:
    """Guards against requests to drained servers when discovery answers again after a silence."""
    shortest_grace_us = 500_000
    schedule = PollSchedule(proxy_count)
    intervals_us = [schedule.note_poll() for _ in range(20)]
    assert max(intervals_us[schedule_module.MAX_PROMPT_POLLS :]) < shortest_grace_us


@pytest.mark.parametrize(
    "request_kind", ["behind a silent watch", "at the start", "after a failure", "complete list"]
)
def test_slow_discovery_is_waited_for(
    impatient_discovery: FakeDiscovery, request_kind: str
) -> None:
    """Guards against a proxy that never gets a list, as each of its polls is given up too early."""
    discovery = impatient_discovery
    if request_kind == "at the start":
        discovery.watch.start_with_poll()
    elif request_kind == "complete list":
        discovery.watch.poll_complete_list()
    else:
        discovery.watch.set_enabled(True)
    sock, _ = discovery.receive_request()
    if request_kind == "after a failure":
        sock.close()
        discovery.wait_for_results(1)
        discovery.watch.set_enabled(True)
    if request_kind in ("behind a silent watch", "after a failure"):
        sock, _ = discovery.receive_request()
    discovery.run_for(1.6)
    result_count = len(discovery.received_lists)
    discovery.answer(sock, f'{{"seq":8,"whole":true,"hosts":[{DRAINING}]}}'.encode())
    assert len(discovery.received_lists) == result_count + 1
    assert discovery.received_lists[-1] is not None
    assert discovery.received_lists[-1].version == 8


@pytest.mark.parametrize("failure", ["HTTP error", "invalid body", "reset"])
def test_failure_of_one_of_several_requests_is_not_a_failure_of_the_watch(
    impatient_discovery: FakeDiscovery, failure: str
) -> None:
    """Guards against a backoff while another request may still be answered."""
    discovery = impatient_discovery
    discovery.watch.set_enabled(True)
    _silent, _ = discovery.receive_request()
    failing, _ = discovery.receive_request()
    if failure == "HTTP error":
        failing.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    elif failure == "invalid body":
        failing.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{")
    failing.close()
    sock, _ = discovery.receive_request()
    assert discovery.received_lists == []
    discovery.answer(sock, ANSWER)
    assert [update and update.version for update in discovery.received_lists] == [8]


def test_first_list_counts_as_notified_from_the_start_of_the_process(
    discovery: FakeDiscovery,
) -> None:
    """Guards against a drain grace that begins late: a pushed list counts as known at once."""
    started_us = discovery.loop.now_us
    discovery.watch.start_with_poll()
    sock, _ = discovery.receive_request()
    discovery.run_for(0.3)
    discovery.answer(sock, ANSWER)
    delay_us = discovery.watch.notification_delay_us
    assert 300_000 <= delay_us <= discovery.loop.now_us - started_us


def test_unanswered_request_ends_after_its_timeout(
    impatient_discovery: FakeDiscovery, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against connections that pile up while discovery is silent."""
    monkeypatch.setattr(connection_module, "RESPONSE_TIMEOUT_US", 200_000)
    discovery = impatient_discovery
    discovery.watch.set_enabled(True)
    first, _ = discovery.receive_request()
    later = [discovery.receive_request()[0] for _ in range(8)]
    assert first.recv(1) == b""
    discovery.run_for(0.1)
    assert discovery.received_lists == []
    assert discovery.loop.socket_count() <= 6
    for sock in later:
        sock.close()


def test_list_whose_end_is_the_end_of_the_connection_is_accepted(discovery: FakeDiscovery) -> None:
    """Guards against a proxy that never learns of a change: HTTP allows a body without a length."""
    discovery.watch.set_enabled(True)
    sock, _ = discovery.receive_request()
    body = f'{{"seq":8,"hosts":[{DRAINING}]}}'
    sock.sendall(f"HTTP/1.1 200 OK\r\n\r\n{body}".encode())
    sock.close()
    discovery.wait_for_results(1)
    assert discovery.received_lists[0] is not None
    assert discovery.received_lists[0].endpoints[0].health == "draining"
    assert discovery.receive_request()[1].startswith("GET /v1/endpoints?from=8&hold_ms=60")


@pytest.mark.parametrize(
    "silence", ["without an answer", "in the middle of an answer", "while the address changes"]
)
def test_changes_are_polled_however_the_watch_falls_silent(
    discovery: FakeDiscovery, silence: str
) -> None:
    discovery.watch.set_enabled(True)
    sock, _ = discovery.receive_request()
    if silence == "in the middle of an answer":
        sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{"seq":8')
    if silence == "while the address changes":
        discovery.receive_request()  # the short poll, sent before discovery's address changes
        discovery.watch.change_address(discovery.listener.getsockname())
    sock, request_line = discovery.receive_request()
    assert ("hold_ms=0" in request_line) == (silence != "while the address changes")
    discovery.answer(sock, f'{{"seq":8,"whole":true,"hosts":[{DRAINING}]}}'.encode())
    assert discovery.received_lists[0] is not None
    assert discovery.received_lists[0].endpoints[0].health == "draining"
    assert discovery.receive_next_request(sock).endswith("?from=8&hold_ms=60 HTTP/1.1")


def test_list_is_requested_at_once_when_discovery_can_be_reached_again() -> None:
    """Guards against a late list: a connect begun while discovery was cut off may never come up.

    The next one must not wait for the hold time of a watch that was never opened.
    """
    discovery = FakeDiscovery(backlog=0)
    only_accepted = socket.create_connection(discovery.listener.getsockname())
    discovery.watch.set_enabled(True)
    cut_until_s = time.monotonic() + 1.5
    while time.monotonic() < cut_until_s:
        discovery.run_iteration()
    discovery.listener.accept()[0].close()  # makes room for one more connection
    discovery.receive_request()
    assert time.monotonic() - cut_until_s < CONNECT_BOUND_S + SLACK_S
    only_accepted.close()


def test_connect_timeout_does_not_end_a_watch_that_discovery_holds(
    discovery: FakeDiscovery, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_module, "CONNECT_TIMEOUT_US", 50_000)
    monkeypatch.setattr(watch_module, "WATCH_HOLD_MS", 400)
    discovery.watch.set_enabled(True)
    held_sock, _ = discovery.receive_request()
    held_since_s = time.monotonic()
    discovery.receive_request()
    assert time.monotonic() - held_since_s > 0.35
    held_sock.close()


READY = '{"host":"s0","dial":"127.0.0.1:1"}'
DRAINING = '{"host":"s0","dial":"127.0.0.1:1","health":"draining"}'


@pytest.mark.parametrize(
    "invalid_list",
    [
        '{"seq":8,"whole":true,"hosts":[]}',
        f'{{"seq":8,"whole":true,"hosts":[{READY},{DRAINING}]}}',
        f'{{"seq":3,"whole":false,"hosts":[{DRAINING}]}}',
        f'{{"seq":3,"whole":true,"hosts":[{READY}]}}',
    ],
)
def test_invalid_or_outdated_list_is_a_failure(
    discovery_long_timeouts: FakeDiscovery, invalid_list: str
) -> None:
    """An empty list would remove all servers, and an old one would restore removed servers."""
    discovery_long_timeouts.watch.set_enabled(True)
    discovery_long_timeouts.answer(
        discovery_long_timeouts.receive_request()[0], invalid_list.encode()
    )
    assert discovery_long_timeouts.received_lists == [None]
    # A polled complete list is applied whatever its version, as discovery may have restarted.
    discovery_long_timeouts.watch.set_enabled(True)
    sock, request_line = discovery_long_timeouts.receive_request()
    assert request_line == "GET /v1/endpoints HTTP/1.1"
    discovery_long_timeouts.answer(sock, f'{{"seq":4,"whole":true,"hosts":[{READY}]}}'.encode())
    complete_list = discovery_long_timeouts.received_lists[-1]
    assert complete_list is not None
    assert complete_list.version == 4
    assert len(complete_list.endpoints) == 1


def test_changes_that_name_a_server_twice_are_applied_in_their_order(
    discovery_long_timeouts: FakeDiscovery,
) -> None:
    discovery_long_timeouts.watch.set_enabled(True)
    discovery_long_timeouts.answer(
        discovery_long_timeouts.receive_request()[0],
        f'{{"seq":8,"hosts":[{DRAINING},{READY}]}}'.encode(),
    )
    update = discovery_long_timeouts.received_lists[0]
    assert update is not None
    assert [entry.health for entry in update.endpoints] == ["draining", "ready"]
