"""Hot restart: two processes of the proxy share a listening socket that the test holds."""

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
    """Start the process that a successor replaces."""
    process = ProxyProcess(tmp_path, inherits_socket=True, **getattr(request, "param", {}))
    yield process
    assert "Traceback" not in process.close()


def terminate(predecessor: ProxyProcess) -> None:
    predecessor.process.send_signal(signal.SIGTERM)
    assert predecessor.process.wait(TIMEOUT_S) == 0


def kill_and_check_log(successor: ProxyProcess) -> None:
    successor.process.kill()
    _, log = successor.process.communicate()
    assert "Traceback" not in log, log


def count_pending(proxy: ProxyProcess) -> int:
    return int(proxy.call("GET", "/v1/metrics")[1]["pending"])


@pytest.mark.parametrize(
    "predecessor", [{}, {"family_info": {"mode": "proxy", "park": 0}}], indirect=True
)
def test_connections_continue_in_the_successor_byte_for_byte(predecessor: ProxyProcess) -> None:
    """A hot restart neither disconnects nor migrates clients, even in the middle of a line."""
    pairs = [predecessor.establish() for _ in range(3)]
    client, server = pairs[0]
    client.sock.sendall(b"half a li")
    server.sock.sendall(b"first\r\nhalf an an")
    assert client.read_line() == "first"
    assert server.file.read(9) == b"half a li"
    slow_client, fast_server = pairs[1]
    block = b"0123456789abcde\n" * 512
    fast_server.sock.settimeout(0.3)
    sent = 0

    def send_blocks() -> None:
        nonlocal sent
        while True:
            sent += fast_server.sock.send(block)

    with pytest.raises(TimeoutError):  # the client does not read, so all buffers fill up
        send_blocks()
    fast_server.sock.settimeout(TIMEOUT_S)
    successor = predecessor.start_successor()
    terminate(predecessor)
    client.send_line("ne")
    assert server.read_line() == "ne"
    server.send_line("swer")
    assert client.read_line() == "half an answer"
    assert slow_client.file.read(sent) == (block * (sent // len(block) + 1))[:sent]
    pairs[2][0].reset()
    with pytest.raises(ConnectionResetError):
        pairs[2][1].file.read()
    assert count_pending(successor) == 2
    kill_and_check_log(successor)


def test_request_in_flight_is_finished_and_its_connection_transferred(
    predecessor: ProxyProcess,
) -> None:
    """A request in flight at a hot restart gets one attempt and one answer.

    The predecessor finishes it, and the successor rejects a duplicate instead of attempting it too.
    """
    idle_client = predecessor.connect_client()
    assert predecessor.connect_client("PING").read_line() == "PONG"  # earlier clients are accepted
    first_line = make_request_line("c=chat,d=3000,g=ab")
    waiting_client = predecessor.connect_client(first_line)
    server = predecessor.accept()
    assert server.read_line()
    successor = predecessor.start_successor()
    predecessor.process.send_signal(signal.SIGTERM)
    while b"shutdown started" not in predecessor.read_log_line().encode():
        pass
    idle_client.send_line(make_request_line("c=chat,d=3000,g=ab"))
    second_server = predecessor.accept()
    assert second_server.read_line()
    duplicate = successor.connect_client(first_line)
    assert duplicate.read_line() == "ERR"  # its identity is open in the predecessor
    for client, upstream in ((waiting_client, server), (idle_client, second_server)):
        upstream.send_line("UP 1")
        assert client.read_line() == "UP 1"
    assert predecessor.process.wait(TIMEOUT_S) == 0
    waiting_client.send_line("still there")
    assert server.read_line() == "still there"
    kill_and_check_log(successor)


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
    kill_and_check_log(proxy)


def test_ejection_requested_from_either_process_applies_to_both(predecessor: ProxyProcess) -> None:
    successor = predecessor.start_successor()
    for target, observer, name in ((predecessor, successor, "s0"), (successor, predecessor, "s1")):
        unavailable_before = observer.call("GET", "/v1/metrics")[1]["members_unavailable"]
        assert target.call("POST", f"/v1/exam-servers/{name}/suspend")[0] == 200
        deadline_s = time.monotonic() + TIMEOUT_S
        while observer.call("GET", "/v1/metrics")[1]["members_unavailable"] == unavailable_before:
            assert time.monotonic() < deadline_s
    kill_and_check_log(successor)


@pytest.mark.parametrize("number", [0, 1])
def test_successor_sends_mid_flow_packets_to_the_server_of_their_connection(
    tmp_path: Path, number: int
) -> None:
    """Packets may reach the successor although the predecessor established their connection."""
    predecessor = ProxyProcess(tmp_path, inherits_socket=True, instances=2)
    client = predecessor.connect_client(
        first_line := make_request_line(f"{REQUEST_FIELDS},at=s{number}")
    )
    server = predecessor.accept(predecessor.servers[number])
    assert server.read_line()
    server.send_line("UP 1")
    assert client.read_line() == "UP 1"
    successor = predecessor.start_successor()
    terminate(predecessor)
    rerouted = successor.connect_client(first_line.replace(f"at=s{number}", "mid=1"))
    assert "mid=1" in predecessor.accept(predecessor.servers[number]).read_line()
    rerouted.close()
    kill_and_check_log(successor)
    predecessor.close()


@pytest.mark.parametrize(
    "predecessor_state",
    ["nothing", "a file", "a dead socket", "silence", "garbage", "another version"],
)
def test_process_starts_on_its_own_if_the_predecessor_is_absent_stale_or_broken(
    tmp_path: Path, predecessor_state: str
) -> None:
    path = tmp_path / "larchhaven-upgrade.sock"
    directory_fd = os.open(tmp_path, os.O_RDONLY)
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as predecessor_socket:
        if predecessor_state == "a file":
            path.write_text("not a socket")
        elif predecessor_state != "nothing":
            predecessor_socket.bind(f"/proc/self/fd/{directory_fd}/{path.name}")
            predecessor_socket.listen()
        if predecessor_state == "a dead socket":
            predecessor_socket.close()
        proxy = ProxyProcess(tmp_path, inherits_socket=True)
        assert proxy.call("GET", "/v1/readyz")[0] == 200
        connection = proxy.establish()
        connection[0].close()
    os.close(directory_fd)
    assert "Traceback" not in proxy.close()


@pytest.mark.parametrize(
    "data", [b"\xff\x00garbage", b"x" * 200_000, msgspec.msgpack.encode(RestartHello(99))]
)
def test_invalid_message_on_the_hot_restart_socket_changes_nothing(
    predecessor: ProxyProcess, tmp_path: Path, data: bytes
) -> None:
    directory_fd = os.open(tmp_path, os.O_RDONLY)
    while not (tmp_path / "larchhaven-upgrade.sock").exists():
        assert predecessor.process.poll() is None  # clients can connect before the file exists
        time.sleep(0.01)
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as unknown_peer:
        unknown_peer.settimeout(TIMEOUT_S)
        unknown_peer.connect(f"/proc/self/fd/{directory_fd}/larchhaven-upgrade.sock")
        unknown_peer.send(data)
        assert unknown_peer.recv(100) == b""
    os.close(directory_fd)
    connection = predecessor.establish()
    successor = predecessor.start_successor()
    terminate(predecessor)
    connection[0].send_line("still there")
    assert connection[1].read_line() == "still there"
    assert count_pending(successor) == 1
    kill_and_check_log(successor)


def receive_own_update(
    peer: socket.socket, session_id: int | None = None, excluded_session_id: int | None = None
) -> Message:
    """Wait for a membership message that carries the sender's own stamp.

    Args:
        peer: The socket of the peer that the test plays.
        session_id: The session id of the process that sent the message; None allows any.
        excluded_session_id: The session id whose messages are skipped; None skips none.
    """
    for _ in range(2_000):
        data = peer.recv(300)
        if data[:1] != DATAGRAM_PREFIX:
            continue  # gossip from the balancer
        message = decode(data, [KEY])
        if (
            message.stamp
            and session_id in (None, message.session_id)
            and message.session_id != excluded_session_id
        ):
            return message
    raise AssertionError("no matching membership message received")


def test_incarnation_is_handed_over_and_one_process_is_the_member(tmp_path: Path) -> None:
    """Exactly one process of a proxy takes part in the membership during a hot restart.

    If both did, they would suspect each other. If neither did, peers would declare the proxy dead.
    """
    (tmp_path / "operator.textproto").write_text(
        'membership { on: true key: "a key for this test" }'
    )
    predecessor = ProxyProcess(
        tmp_path, inherits_socket=True, instances=2, policy_limits={"may_tell": True}
    )
    first = receive_own_update(predecessor.peer)
    successor = predecessor.start_successor()
    second = receive_own_update(predecessor.peer, excluded_session_id=first.session_id)
    assert second.stamp >> 2 > first.stamp >> 2
    assert second.stamp & 3 == MemberState.ALIVE
    successor.process.kill()
    successor.process.communicate()
    third = receive_own_update(predecessor.peer, excluded_session_id=second.session_id)
    while third.session_id == first.session_id and third.stamp <= second.stamp:
        # Sent before the handover, and only now read from the socket.
        third = receive_own_update(predecessor.peer, excluded_session_id=second.session_id)
    assert third.stamp >> 2 > first.stamp >> 2
    host, port = predecessor.configuration["peer_listen"].split(":")
    peer_message = Message(MessageKind.GOSSIP, 1, 0, make_stamp(5, MemberState.ALIVE))
    predecessor.peer.sendto(
        DatagramAuthenticator(1, 2, 7, [KEY]).seal(peer_message), (host, int(port))
    )
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
