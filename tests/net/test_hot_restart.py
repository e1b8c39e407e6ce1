"""Hot restart: two processes of the program on a listening socket that the test holds."""

from __future__ import annotations

import os
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from larchhaven.membership.authenticator import DatagramAuthenticator
from larchhaven.membership.codec import DATAGRAM_PREFIX, decode
from larchhaven.membership.member import MemberState, make_stamp
from larchhaven.membership.messages import Message, MessageKind
from larchhaven.net.control.membership_switch import derive_key
from larchhaven.net.hot_restart_messages import (
    RestartHello,
)
from tests.proxy_harness import TIMEOUT_S, ProxyProcess, make_request_line

REQUEST_FIELDS = "c=chat,d=2000,g=ab"
KEY = derive_key("a key for this test")


@pytest.fixture
def predecessor(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[ProxyProcess]:
    """Start the process that is to be replaced."""
    made = ProxyProcess(tmp_path, inherits_socket=True, **getattr(request, "param", {}))
    yield made
    assert "Traceback" not in made.close()


def stop(predecessor: ProxyProcess) -> None:
    predecessor.process.send_signal(signal.SIGTERM)
    assert predecessor.process.wait(TIMEOUT_S) == 0


def finish(successor: ProxyProcess) -> None:
    successor.process.kill()
    _, log = successor.process.communicate()
    assert "Traceback" not in log, log


def count_pending(proxy: ProxyProcess) -> int:
    return int(proxy.call("GET", "/v1/metrics")[1]["pending"])


@pytest.mark.parametrize(
    "predecessor", [{}, {"family_info": {"mode": "proxy", "park": 0}}], indirect=True
)
def test_connections_continue_in_the_successor_byte_for_byte(predecessor: ProxyProcess) -> None:
    """Guards clients against a disconnect or migration by a hot restart, even within a line."""
    pairs = [predecessor.establish() for _ in range(3)]
    client, server = pairs[0]
    client.sock.sendall(b"half a li")
    server.sock.sendall(b"first\r\nhalf an an")
    assert client.read_line() == "first"
    assert server.file.read(9) == b"half a li"
    flooded, source = pairs[1]
    block = b"0123456789abcde\n" * 512
    source.sock.settimeout(0.3)
    sent = 0

    def send_blocks() -> None:
        nonlocal sent
        while True:
            sent += source.sock.send(block)

    with pytest.raises(TimeoutError):  # the client does not read: buffers fill on the way
        send_blocks()
    source.sock.settimeout(TIMEOUT_S)
    successor = predecessor.start_successor()
    stop(predecessor)
    client.send_line("ne")
    assert server.read_line() == "ne"
    server.send_line("swer")
    assert client.read_line() == "half an answer"
    assert flooded.file.read(sent) == (block * (sent // len(block) + 1))[:sent]
    pairs[2][0].reset()
    with pytest.raises(ConnectionResetError):
        pairs[2][1].file.read()
    assert count_pending(successor) == 2
    finish(successor)


def test_request_in_flight_is_finished_and_its_connection_transferred(
    predecessor: ProxyProcess,
) -> None:
    """Guards that a request in flight at a hot restart gets one attempt and one answer."""
    silent = predecessor.connect_client()
    assert predecessor.connect_client("PING").read_line() == "PONG"  # those before it are accepted
    first = make_request_line("c=chat,d=3000,g=ab")
    waiting = predecessor.connect_client(first)
    server = predecessor.accept()
    assert server.read_line()
    successor = predecessor.start_successor()
    predecessor.process.send_signal(signal.SIGTERM)
    while b"shutdown started" not in predecessor.read_log_line().encode():
        pass
    silent.send_line(make_request_line("c=chat,d=3000,g=ab"))
    second = predecessor.accept()
    assert second.read_line()
    again = successor.connect_client(first)
    assert again.read_line() == "ERR"  # the predecessor holds a request of this identity
    for end, at in ((waiting, server), (silent, second)):
        at.send_line("UP 1")
        assert end.read_line() == "UP 1"
    assert predecessor.process.wait(TIMEOUT_S) == 0
    waiting.send_line("still there")
    assert server.read_line() == "still there"
    finish(successor)


def test_no_request_is_rejected_during_hot_restarts(predecessor: ProxyProcess) -> None:
    proxy = predecessor
    for _ in range(3):
        successor = proxy.start_successor()
        proxy.process.send_signal(signal.SIGTERM)
        clients = [successor.connect_client(make_request_line(REQUEST_FIELDS)) for _ in range(10)]
        for _ in clients:
            server = predecessor.accept()
            assert server.read_line()
            server.send_line("UP 1")
        assert {client.read_line() for client in clients} == {"UP 1"}
        assert proxy.process.wait(TIMEOUT_S) == 0
        for client in clients:
            client.close()
        proxy = successor
    finish(proxy)


def test_both_processes_apply_an_ejection_called_at_either(predecessor: ProxyProcess) -> None:
    successor = predecessor.start_successor()
    for called, other, name in ((predecessor, successor, "s0"), (successor, predecessor, "s1")):
        before = other.call("GET", "/v1/metrics")[1]["members_unavailable"]
        assert called.call("POST", f"/v1/exam-servers/{name}/suspend")[0] == 200
        until = time.monotonic() + TIMEOUT_S
        while other.call("GET", "/v1/metrics")[1]["members_unavailable"] == before:
            assert time.monotonic() < until
    finish(successor)


@pytest.mark.parametrize("number", [0, 1])
def test_successor_knows_the_server_of_a_connection(tmp_path: Path, number: int) -> None:
    """Guards packets that reach the successor while their connection is with the predecessor."""
    predecessor = ProxyProcess(tmp_path, inherits_socket=True, instances=2)
    client = predecessor.connect_client(
        first := make_request_line(f"{REQUEST_FIELDS},at=s{number}")
    )
    server = predecessor.accept(predecessor.servers[number])
    assert server.read_line()
    server.send_line("UP 1")
    assert client.read_line() == "UP 1"
    successor = predecessor.start_successor()
    stop(predecessor)
    again = successor.connect_client(first.replace(f"at=s{number}", "mid=1"))
    assert "mid=1" in predecessor.accept(predecessor.servers[number]).read_line()
    again.close()
    finish(successor)
    predecessor.close()


@pytest.mark.parametrize(
    "what", ["nothing", "a file", "a dead socket", "silence", "garbage", "another version"]
)
def test_predecessor_that_is_absent_stale_or_broken_means_a_plain_start(
    tmp_path: Path, what: str
) -> None:
    path = tmp_path / "larchhaven-upgrade.sock"
    folder = os.open(tmp_path, os.O_RDONLY)
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as other:
        if what == "a file":
            path.write_text("not a socket")
        elif what != "nothing":
            other.bind(f"/proc/self/fd/{folder}/{path.name}")
            other.listen()
        if what == "a dead socket":
            other.close()
        proxy = ProxyProcess(tmp_path, inherits_socket=True)
        assert proxy.call("GET", "/v1/readyz")[0] == 200
        ends = proxy.establish()
        ends[0].close()
    os.close(folder)
    assert "Traceback" not in proxy.close()


@pytest.mark.parametrize(
    "said", [b"\xff\x00garbage", b"x" * 200_000, msgspec.msgpack.encode(RestartHello(99))]
)
def test_unknown_peer_at_the_hot_restart_socket_changes_nothing(
    predecessor: ProxyProcess, tmp_path: Path, said: bytes
) -> None:
    folder = os.open(tmp_path, os.O_RDONLY)
    while not (tmp_path / "larchhaven-upgrade.sock").exists():
        assert predecessor.process.poll() is None  # it listens to clients a moment earlier
        time.sleep(0.01)
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as unknown_peer:
        unknown_peer.settimeout(TIMEOUT_S)
        unknown_peer.connect(f"/proc/self/fd/{folder}/larchhaven-upgrade.sock")
        unknown_peer.send(said)
        assert unknown_peer.recv(100) == b""
    os.close(folder)
    ends = predecessor.establish()
    successor = predecessor.start_successor()
    stop(predecessor)
    ends[0].send_line("still there")
    assert ends[1].read_line() == "still there"
    assert count_pending(successor) == 1
    finish(successor)


def receive_own_update(
    peer: socket.socket, session_id: int | None = None, other_than: int | None = None
) -> Message:
    """Wait for what a process says of itself: one of this session, or of any but that one."""
    for _ in range(2_000):
        data = peer.recv(300)
        if data[:1] != DATAGRAM_PREFIX:
            continue  # gossip of the decisions
        message = decode(data, [KEY])
        if (
            message.stamp
            and session_id in (None, message.session_id)
            and message.session_id != other_than
        ):
            return message
    raise AssertionError("only others speak")


def test_incarnation_is_handed_over_and_one_process_speaks(tmp_path: Path) -> None:
    """Guards against two processes that accuse each other, and a proxy that nobody speaks for."""
    (tmp_path / "operator.textproto").write_text(
        'membership { on: true key: "a key for this test" }'
    )
    predecessor = ProxyProcess(
        tmp_path, inherits_socket=True, instances=2, policy_limits={"may_tell": True}
    )
    first = receive_own_update(predecessor.peer)
    successor = predecessor.start_successor()
    second = receive_own_update(predecessor.peer, other_than=first.session_id)
    assert second.stamp >> 2 > first.stamp >> 2
    assert second.stamp & 3 == MemberState.ALIVE
    successor.process.kill()
    successor.process.communicate()
    third = receive_own_update(predecessor.peer, other_than=second.session_id)
    while third.session_id == first.session_id and third.stamp <= second.stamp:
        # This one was still in the socket.
        third = receive_own_update(predecessor.peer, other_than=second.session_id)
    assert third.stamp >> 2 > first.stamp >> 2
    host, port = predecessor.configuration["peer_listen"].split(":")
    speaks = Message(MessageKind.GOSSIP, 1, 0, make_stamp(5, MemberState.ALIVE))
    predecessor.peer.sendto(DatagramAuthenticator(1, 2, 7, [KEY]).seal(speaks), (host, int(port)))
    while len(predecessor.call("GET", "/v1/members")[1]["members"]) < 2:
        time.sleep(0.01)
    predecessor.process.send_signal(signal.SIGTERM)
    while (
        receive_own_update(predecessor.peer, session_id=third.session_id).stamp & 3
        != MemberState.LEFT
    ):
        pass
    assert predecessor.process.wait(TIMEOUT_S) == 0
    assert "Traceback" not in predecessor.close()
