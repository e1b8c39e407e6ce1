"""The real program as a process, spoken to as by clients, instances and discovery."""

from __future__ import annotations

import contextlib
import copy
import json
import os
import select
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from larchhaven.gossip.codec import LOAD_REPORTS
from larchhaven.gossip.codec import decode as decode_message
from larchhaven.net.configuration import decode_configuration
from larchhaven.net.control.event_queue import order_events_after_pause
from larchhaven.routing.events import (
    EndpointListKind,
    EndpointListUpdate,
    GossipReceived,
    ProxyDraining,
)
from tests.proxy_harness import (
    PATIENCE,
    ROOT,
    SETTINGS,
    Proxy,
    Wire,
    answer_watch,
    dial,
    host,
    listener,
    opening,
)

PLAIN = "c=chat,d=2000,g=ab"


def test_ping_is_answered_and_a_first_line_may_follow(proxy: Proxy) -> None:
    client = proxy.client("PING")
    assert client.line() == "PONG"
    client.send("PING")
    assert client.line() == "PONG"
    client.send(opening(PLAIN))
    assert proxy.accept().line().startswith("OPEN 9b1f03aa")


def test_first_line_is_forwarded_with_only_d_changed_and_lines_pass_both_ways(proxy: Proxy) -> None:
    first = opening("c=chat,d=2000,g=ab,x-new=5")
    client = proxy.client(first)
    instance = proxy.accept()
    head, _, fields = instance.line().rpartition(" ")
    assert head == first.rpartition(" ")[0]
    pairs = [pair.split("=") for pair in fields.split(",")]
    assert [pair for pair in pairs if pair[0] != "d"] == [
        ["c", "chat"],
        ["g", "ab"],
        ["x-new", "5"],
    ]
    assert pairs[1][0] == "d"
    assert 0 < int(pairs[1][1]) <= 2000
    instance.send("UP some receipt")
    assert client.line() == "UP some receipt"
    for number in range(3):
        client.send(f"question {number}")
        assert instance.line() == f"question {number}"
        instance.send("LOAD 120000")
        instance.send(f"answer {number}")
        assert [client.line(), client.line()] == ["LOAD 120000", f"answer {number}"]


def test_split_and_pipelined_bytes_reach_the_instance_whole(proxy: Proxy) -> None:
    client = proxy.client()
    for byte in f"{opening(PLAIN)}\r\n".encode():
        client.sock.sendall(bytes([byte]))
    client.sock.sendall(b"early\r\nbin\x00\xff\xfe")
    instance = proxy.accept()
    assert instance.line().startswith("OPEN ")
    instance.sock.sendall(b"U")
    instance.sock.sendall(b"P 1\r\nhi\r\n")
    assert [client.line(), client.line()] == ["UP 1", "hi"]
    assert instance.file.read(13) == b"early\r\nbin\x00\xff\xfe"


def test_large_flow_against_a_slow_reader_comes_through_whole(proxy: Proxy) -> None:
    """Guards the backpressure: what one side does not take must neither be lost nor pile up."""
    client, instance = proxy.opened()
    block = bytes(range(256)) * 16
    instance.sock.settimeout(0.3)
    sent = 0
    with contextlib.suppress(TimeoutError):  # the proxy takes no more: the client does not read yet
        while sent < 20_000 * len(block):
            sent += instance.sock.send(block)
    assert sent < 20_000 * len(block)
    instance.sock.settimeout(PATIENCE)
    got = client.file.read(sent)
    assert got == (block * (sent // len(block) + 1))[:sent]


@pytest.mark.parametrize(
    "answer", ["BUSY", "BUSY x0=0.9", "ERR", "what", "end", "reset", "9" * 5000]
)
def test_failed_execution_is_ended_before_the_next_begins(proxy: Proxy, answer: str) -> None:
    client = proxy.client(opening(PLAIN))
    first = proxy.accept()
    first.line()
    if answer == "end":
        first.close()
    elif answer == "reset":
        first.reset()
    else:
        first.send(answer)
    second = proxy.accept()
    if answer not in ("end", "reset"):
        with contextlib.suppress(ConnectionResetError):
            assert first.file.read() == b""
    assert second.line().startswith("OPEN 9b1f03aa")
    second.send("UP 2")
    assert client.line() == "UP 2"


@pytest.mark.parametrize("proxy", [{"servers": 0}], indirect=True)
def test_command_without_an_instance_is_refused(proxy: Proxy) -> None:
    client = proxy.client(opening("c=chat,d=300,g=ab"))
    assert client.line().startswith("BUSY")
    assert client.line() == ""


def test_all_instances_refuse_and_the_client_hears_at_once(proxy: Proxy) -> None:
    """Guards against a given-up command that is held back until its deadline, here a minute away."""
    client = proxy.client(opening("c=chat,d=60000,g=ab"))
    for _ in proxy.instances:
        instance = proxy.accept()
        instance.line()
        instance.send("BUSY")
    assert client.line().startswith("BUSY")


def test_silent_instance_costs_no_more_than_the_deadline(proxy: Proxy) -> None:
    client = proxy.client(opening("c=chat,d=300,g=ab"))
    waiting = proxy.accept()
    assert client.line().startswith("BUSY")
    assert client.line() == ""
    waiting.close()


@pytest.mark.parametrize(
    "first",
    [
        b"HELLO\r\n",
        b"\r\n",
        b"OPEN 1 2\r\n",
        b"OPEN 1 2 c=none,d=1\r\n",
        b"OPEN 1 zz c=chat,d=1\r\n",
        b"OPEN 1 2 c=chat,d=-5\r\n",
        b"OPEN 1 2 c=chat,d=x\r\n",
        b"OPEN 1 2 c\r\n",
        b"\x00\xff\xfe\r\n",
        b"OPEN 1 2 c=chat,d=99999999999999999999999999999999999\r\n",
        b"x" * 4096,
        b"x" * 20000,
        b"OPEN 1 22222222222222222 c=chat,d=5\r\n",
        b"OPEN 1 2 c=chat,h=nan\r\n",
        "OPEN 1 2 c=çay,d=5\r\n".encode(),
        b"STATS\r\n",
    ],
)
def test_bad_first_line_gets_one_failed_answer_and_the_end(proxy: Proxy, first: bytes) -> None:
    client = proxy.client()
    client.sock.sendall(first)
    assert client.line() == "ERR"
    assert client.line() == ""
    assert proxy.client("PING").line() == "PONG"


@pytest.mark.parametrize("last", ["BYE", "BYE x0=0.5", "MOVE"])
def test_last_line_and_end_of_the_instance_reach_the_client(proxy: Proxy, last: str) -> None:
    client, instance = proxy.opened()
    instance.send(last)
    instance.close()
    assert [client.line(), client.line()] == [last, ""]


def test_last_line_ends_the_connection_even_if_the_instance_does_not(proxy: Proxy) -> None:
    client, instance = proxy.opened()
    instance.send("MOVE")
    assert [client.line(), client.line()] == ["MOVE", ""]
    assert instance.line() == ""


@pytest.mark.parametrize("line", ["ERR", "BUSY 5", "MOVES", "BYES"])
def test_other_lines_do_not_end_a_connection_that_stands(proxy: Proxy, line: str) -> None:
    """Guards lines between client and instance that only look like the proxy's business."""
    client, instance = proxy.opened()
    instance.send(line)
    assert client.line() == line
    client.sock.settimeout(0.6)  # after a last line the end would come within this time
    with pytest.raises(TimeoutError):
        client.sock.recv(1)
    client.send("go on")
    assert instance.line() == "go on"


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("who", ["client", "instance"])
def test_one_side_s_end_is_passed_on_in_the_same_way(proxy: Proxy, who: str, how: str) -> None:
    client, instance = proxy.opened()
    leaving, left = (client, instance) if who == "client" else (instance, client)
    leaving.sock.sendall(b"last words\r\nhalf")
    assert left.line() == "last words"
    if how == "end":
        leaving.close()
        assert left.file.read() == b"half"
    else:
        assert left.file.read(4) == b"half"
        leaving.reset()
        with pytest.raises(ConnectionResetError):
            left.file.read()


def test_client_that_leaves_early_ends_its_execution(proxy: Proxy) -> None:
    client = proxy.client(opening(PLAIN))
    instance = proxy.accept()
    instance.line()
    client.close()
    assert instance.line() == ""


@pytest.mark.parametrize("wait", [3_600_001, 4_294_967, 99_999_999_999])
def test_client_that_waits_for_over_an_hour_is_served(proxy: Proxy, wait: int) -> None:
    """Guards connections that stood before the run where they end at the proxy: each says d=4294967.

    Seen on a deployment of that kind: all of them were answered ``ERR``, and each was one lost.
    """
    client = proxy.client(opening(f"c=chat,d={wait},g=ab,at=s1"))
    instance = proxy.accept(proxy.instances[1])
    told = instance.line().partition(",d=")[2].partition(",")[0]
    assert 0 < int(told) <= 3_600_000
    instance.send("UP 3")
    assert client.line() == "UP 3"


def test_pinned_connection_goes_to_its_instance_only(proxy: Proxy) -> None:
    for number in (1, 0, 1):
        client = proxy.client(opening(f"{PLAIN},at=s{number}"))
        instance = proxy.accept(proxy.instances[number])
        assert instance.line().endswith(f"at=s{number}")
        instance.send("UP 3")
        assert client.line() == "UP 3"


@pytest.mark.parametrize("number", [0, 1])
def test_connection_that_arrives_mid_flow_goes_to_its_holder(proxy: Proxy, number: int) -> None:
    """Guards a connection whose packets left and came back: any other instance would reset it."""
    client = proxy.client(opening(f"{PLAIN},at=s{number}"))
    instance = proxy.accept(proxy.instances[number])
    for _ in range(5):
        instance.line()
        instance.send("UP 1")
        assert client.line() == "UP 1"
        client.close()
        assert instance.line() == ""
        client = proxy.client(opening(f"{PLAIN},mid=1"))
        instance = proxy.accept(proxy.instances[number])


@pytest.mark.parametrize("proxy", [{"instances": 2}], indirect=True)
@pytest.mark.parametrize("number", [0, 1])
def test_other_proxies_are_told_and_asked_where_a_connection_stands(
    proxy: Proxy, number: int
) -> None:
    """Guards connections whose proxy ends: their packets come to one that did not place them."""
    assert proxy.peer.recv(300) == b"S"
    proxy.opened(f"{PLAIN},at=s{number}")
    told, own = proxy.peer.recvfrom(300)
    unknown = opening(f"{PLAIN},mid=1").replace("7f3a9c21", "00000000")
    client = proxy.client(unknown)
    asked = proxy.peer.recv(300)
    assert asked[:1] == b"Q"
    assert told[:1] == b"H"
    assert len(told) == len(asked) + 2
    proxy.peer.sendto(b"H" + asked[1:] + told[-2:], own)
    instance = proxy.accept(proxy.instances[number])
    assert "mid=1" in instance.line()
    client.close()


def test_silent_connection_is_moved(proxy: Proxy) -> None:
    """Guards against connections that sit on a hung instance, which keeps them open and says nothing."""
    client, instance = proxy.opened()
    client.send("are you there")
    assert instance.line() == "are you there"
    assert [client.line(), client.line()] == ["MOVE", ""]
    assert instance.line() == ""


def resident_mb(proxy: Proxy) -> float:
    status = Path(f"/proc/{proxy.process.pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_watch_is_renewed_and_its_news_are_heeded(proxy: Proxy) -> None:
    discovery = Wire(proxy.discovery.accept()[0])
    drains = host("s0", proxy.instances[0], "draining")
    told = json.dumps({"seq": 8, "whole": False, "hosts": [drains]})
    assert answer_watch(discovery, told).startswith("GET /v1/endpoints?from=7&hold_ms=")
    assert discovery.line().startswith("GET /v1/endpoints?from=8&hold_ms=")
    while discovery.line():
        pass
    clients = [proxy.client(opening(PLAIN)) for _ in range(6)]
    for _ in clients:
        assert proxy.accept(proxy.instances[1]).line()
    whole = json.dumps({"seq": 9, "whole": True, "hosts": [host("s0", proxy.instances[0])]})
    discovery.sock.sendall(
        f"HTTP/1.1 200 OK\r\nContent-Length: {len(whole)}\r\n\r\n{whole}".encode()
    )
    assert discovery.line().startswith("GET /v1/endpoints?from=9&hold_ms=")
    client = proxy.client(opening(f"{PLAIN},at=s0"))
    assert proxy.accept(proxy.instances[0]).line()
    client.close()


PATIENT = [
    {**service, "aim": 40_000_000, "deadline": 60_000_000} for service in SETTINGS["services"]
]


@pytest.mark.parametrize("proxy", [{"services": PATIENT}], indirect=True)
def test_list_is_heard_first_at_a_start_where_lists_are_pushed(proxy: Proxy) -> None:
    """Guards the drain rule: the last process's list is old, and all news count from the first moment."""
    clients = [proxy.client(opening("c=chat,d=50000,g=ab")) for _ in range(4)]
    late = proxy.client("PING")
    assert late.line() == "PONG"  # what came before it has been read, and a whole turn has passed
    late.send("PING")
    assert late.line() == "PONG"
    assert not select.select(proxy.instances, [], [], 0)[0]
    told = json.dumps(
        {"seq": 8, "whole": False, "hosts": [host("s0", proxy.instances[0], "draining")]}
    )
    assert "hold_ms=0" in answer_watch(Wire(proxy.discovery.accept()[0]), told)
    for _ in clients:
        assert proxy.accept(proxy.instances[1]).line()


@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_clients_of_a_draining_instance_are_told_to_move(proxy: Proxy) -> None:
    """Guards against clients that learn of a drain only when their instance leaves and cuts them off."""
    ends = []
    for number in (0, 1, 0):
        client = proxy.client(opening(f"{PLAIN},at=s{number}"))
        instance = proxy.accept(proxy.instances[number])
        instance.line()
        instance.send("UP 1")
        assert client.line() == "UP 1"
        ends.append((client, instance))
    told = json.dumps({"seq": 8, "hosts": [host("s0", proxy.instances[0], "draining")]})
    answer_watch(Wire(proxy.discovery.accept()[0]), told)
    for client, instance in (ends[0], ends[2]):
        assert [client.line(), client.line(), instance.line()] == ["MOVE", "", ""]
    client, instance = ends[1]
    client.send("still here")
    assert instance.line() == "still here"


@pytest.mark.parametrize(
    ("body", "status"),
    [
        ("", "503 Service Unavailable"),
        ("{", "200 OK"),
        ('{"seq":"x","hosts":[]}', "200 OK"),
        ('{"seq":8,"hosts":[{"host":1}]}', "200 OK"),
        ("\xff\x00", "200 OK"),
        ("", "what is this"),
    ],
)
@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_bad_answer_of_discovery_is_asked_again_and_the_old_list_stays(
    proxy: Proxy, body: str, status: str
) -> None:
    answer_watch(Wire(proxy.discovery.accept()[0]), body, status)
    again = Wire(proxy.discovery.accept()[0])
    assert again.line().startswith("GET /v1/endpoints?from=7&hold_ms=")
    again.reset()
    client = proxy.client(opening(PLAIN))
    assert proxy.accept().line()
    client.close()
    assert Wire(proxy.discovery.accept()[0]).line()


@pytest.mark.parametrize("first", ["answers", "fails", "is not there"])
@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_reload_follows_discovery_and_keeps_what_stands(proxy: Proxy, first: str) -> None:
    """Guards against an end by SIGHUP, and against a version of the old address that mutes the new one."""
    client, instance = proxy.opened(f"{PLAIN},at=s1")
    old = Wire(proxy.discovery.accept()[0])
    assert old.sock.recv(1, socket.MSG_PEEK)  # the call is out before the address changes
    moved = listener()
    proxy.configuration["discovery"] = dial(moved)
    if first == "is not there":
        address = moved.getsockname()
        moved.close()
    proxy.reload(json.dumps(proxy.configuration))
    assert old.file.read().endswith(b"\r\n\r\n")  # the old watch ends with no more calls
    if first == "is not there":
        assert "reloaded" in proxy.log_line()
        assert "watch failed, retrying" in proxy.log_line()
        moved = socket.create_server(address)
        moved.settimeout(PATIENCE)
    if first == "fails":
        assert answer_watch(Wire(moved.accept()[0]), "", "503 Busy").startswith(
            "GET /v1/endpoints HTTP"
        )
    discovery = Wire(moved.accept()[0])
    hosts = [host("s0", proxy.instances[0], "draining"), host("s1", proxy.instances[1])]
    told = json.dumps({"seq": 3, "whole": True, "hosts": hosts})
    assert answer_watch(discovery, told).startswith("GET /v1/endpoints HTTP")
    assert discovery.line().startswith("GET /v1/endpoints?from=3&hold_ms=")
    others = [proxy.client(opening(PLAIN)) for _ in range(6)]
    for _ in others:
        assert proxy.accept(proxy.instances[1]).line()
    client.send("still here")
    assert instance.line() == "still here"


@pytest.mark.parametrize("text", ["", "{", '{"settings":{}}', "gone"])
@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_unusable_file_is_one_log_line_and_the_old_one_stays(proxy: Proxy, text: str) -> None:
    discovery = Wire(proxy.discovery.accept()[0])
    if text == "gone":
        proxy.path.unlink()
        proxy.process.send_signal(signal.SIGHUP)
    else:
        proxy.reload(text)
    assert "configuration not reloaded" in proxy.log_line()
    whole = json.dumps({"seq": 9, "whole": True, "hosts": [host("s0", proxy.instances[0])]})
    assert answer_watch(discovery, whole).startswith("GET /v1/endpoints?from=7")
    assert discovery.line().startswith("GET /v1/endpoints?from=9")
    proxy.opened(f"{PLAIN},at=s0")
    proxy.reload(json.dumps(proxy.configuration))
    assert "configuration reloaded" in proxy.log_line()


@pytest.mark.parametrize(
    "proxy", [{"servers": 1, "policy_limits": {"probes": True}}], indirect=True
)
@pytest.mark.parametrize(
    "answer", ["PONG x0=0.4,util=0.3,qps=9", "ERR", "BUSY", "NO", "\x00", "end"]
)
def test_any_answer_to_a_probe_lets_the_command_go_on(proxy: Proxy, answer: str) -> None:
    client = proxy.client(opening(PLAIN))
    probe = proxy.accept()
    assert probe.line() == "STATS"
    if answer == "end":
        probe.close()
    else:
        probe.send(answer)
    instance = proxy.accept()
    assert instance.line().startswith("OPEN ")
    instance.send("UP 1")
    assert client.line() == "UP 1"


def test_stop_serves_what_still_comes_and_keeps_what_stands(proxy: Proxy) -> None:
    client, instance = proxy.opened()
    proxy.process.send_signal(signal.SIGTERM)
    late, late_instance = proxy.opened()
    client.send("still here")
    assert instance.line() == "still here"
    for end in (client, late):
        end.close()
    assert [instance.line(), late_instance.line()] == ["", ""]
    instance.close()
    late_instance.close()
    assert proxy.process.wait(PATIENCE) == 0


@pytest.mark.parametrize("proxy", [{"family_info": {"mode": "proxy", "park": 0}}], indirect=True)
def test_stop_moves_what_stands_where_connections_end_at_the_proxy(proxy: Proxy) -> None:
    ends = [proxy.opened() for _ in range(4)]
    proxy.process.send_signal(signal.SIGTERM)
    assert [[client.line(), client.line()] for client, _ in ends] == [["MOVE", ""]] * 4
    assert proxy.process.wait(PATIENCE) == 0


@pytest.mark.parametrize("proxy", [{"sockets": 160}], indirect=True)
@pytest.mark.parametrize("says", ["", "PING\r\n", "OPEN half", "HELLO\r\n"])
def test_clients_that_say_nothing_or_stay_keep_nobody_out(proxy: Proxy, says: str) -> None:
    """Guards usual clients, who waited in line behind silent ones until these had had their ten seconds."""
    held = [proxy.client() for _ in range(300)]
    for wire in held:
        with contextlib.suppress(OSError):  # some have had to give way already
            wire.sock.sendall(says.encode())
    client, instance = proxy.opened("c=chat,d=1000,g=ab")
    client.send("still here")
    assert instance.line() == "still here"
    assert held[0].file.read() in (
        b"",
        b"BUSY\r\n",
        b"ERR\r\n",
        b"PONG\r\nBUSY\r\n",
        b"PONG\r\nERR\r\n",
    )


def test_silent_client_is_told_and_ended(proxy: Proxy) -> None:
    client = proxy.client()
    assert [client.line(), client.line()] == ["ERR", ""]


def test_answer_reaches_a_client_that_sends_much_before_it_reads(proxy: Proxy) -> None:
    """Guards the answer to a value of many megabytes, which a reset would eat."""
    client = proxy.client()
    for _ in range(10):  # over the second that a quiet client has to read its answer
        client.sock.sendall(b"x" * 6_000_000)
        time.sleep(0.15)
    assert [client.line(), client.line()] == ["ERR", ""]
    assert resident_mb(proxy) < 60


def test_id_of_an_open_command_is_turned_away_and_meets_no_instance(proxy: Proxy) -> None:
    """Guards instances, which answer ERR to the second one and would seem to fail."""
    first = opening(PLAIN)
    client = proxy.client(first)
    instance = proxy.accept()
    second = proxy.client(first.replace("7f3a9c21", "00000000"))
    assert [second.line(), second.line()] == ["ERR", ""]
    instance.send("UP 1")
    assert client.line() == "UP 1"
    third = proxy.client(first)
    assert [third.line(), third.line()] == ["ERR", ""]
    client.close()
    assert instance.line().startswith("OPEN")
    assert instance.line() == ""
    again = proxy.client(first)
    assert proxy.accept().line().startswith("OPEN")
    again.close()


@pytest.mark.parametrize(
    ("config", "told"),
    [
        (None, "EDGE_CONFIG is not set"),
        ("missing", "cannot be read"),
        ("{", "not as it should be"),
        ('{"listen":"127.0.0.1:0"}', "settings"),
        ('{"settings":{},"seed":"1"}', "settings"),
    ],
)
def test_bad_configuration_is_one_plain_line(tmp_path: Path, config: str | None, told: str) -> None:
    path = tmp_path / "config.json"
    if config is not None and config != "missing":
        path.write_text(config)
    refused_in_one_line(path if config is not None else None, told)


def refused_in_one_line(path: Path | None, told: str) -> None:
    """Start the program with this configuration, and see it end at once with one line and 2."""
    environment = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
    if path is not None:
        environment["EDGE_CONFIG"] = str(path)
    done = subprocess.run(
        [sys.executable, "-m", "larchhaven"],
        cwd=ROOT,
        env=environment,
        check=False,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    assert told in done.stderr
    assert done.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("members", "quotas", "told"),
    [
        ([{"name": "a", "share": -0.5}], [10], "share must not be negative"),
        ([{"name": "a", "share": 0.5}], [-1], "quota must not be negative"),
        ([{"name": "a", "share": 0.5}], ["many"], "expected"),
        ([{"name": "a", "share": "half"}], [10], "expected"),
    ],
)
def test_bad_shares_are_one_plain_line(
    tmp_path: Path, members: list[dict[str, Any]], quotas: list[Any], told: str
) -> None:
    """Guards settings of members, which nothing read before: what makes no sense must not start."""
    given = copy.deepcopy(SETTINGS)
    given["parties"] = members
    given["family_info"]["tenant_quota_connections"] = quotas
    path = tmp_path / "config.json"
    config = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "settings": given}
    path.write_text(json.dumps(config))
    refused_in_one_line(path, told)


@pytest.mark.parametrize("parties", [["a", 3], [{"share": 0.5}], [{"name": "a"}, None], {}, None])
def test_strange_lists_of_members_name_nobody_and_start(parties: Any) -> None:
    """Guards the start: an entry that was no object ended it, and a nameless member took strangers in."""
    raw = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:1",
        "settings": {**SETTINGS, "parties": parties},
    }
    assert set(decode_configuration(json.dumps(raw).encode(), {}).tenant_indexes) <= {"a"}


def test_no_address_but_the_given_one_is_listened_on(proxy: Proxy) -> None:
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.2", proxy.address[1]))


@pytest.mark.parametrize("proxy", [{"discovery": "subscribe"}], indirect=True)
def test_list_is_heard_first_after_a_sleep(proxy: Proxy) -> None:
    """Guards the drain rule: told while asleep, and asked at the same moment.

    The process is stopped; clients ask, then discovery tells that a server drains, and its grace goes by.
    """
    watch = Wire(proxy.discovery.accept()[0])
    clients = [proxy.client() for _ in range(12)]
    proxy.opened(
        f"{PLAIN},at=s1"
    )  # after all of them: they are accepted, and their lines come in one turn
    proxy.process.send_signal(signal.SIGSTOP)
    for client in clients:
        client.send(opening(PLAIN))
    hosts = [host("s0", proxy.instances[0], "draining"), host("s1", proxy.instances[1])]
    hosts += [
        host(f"x{i}", proxy.instances[1], "gone") for i in range(300)
    ]  # several turns to read
    answer_watch(watch, json.dumps({"seq": 9, "whole": False, "hosts": hosts}))
    grace_s = proxy.configuration["settings"]["contract"]["stop_sending_within"] / 1e6
    time.sleep(grace_s + 0.5)
    proxy.process.send_signal(signal.SIGCONT)
    for _ in clients:
        instance = proxy.accept(*proxy.instances)
        assert instance.sock.getsockname() == proxy.instances[1].getsockname()
        instance.send("UP r1")
    assert all(client.line() == "UP r1" for client in clients)
    assert "process paused, resumed: paused_s=" in proxy.log_line()


def test_what_others_told_of_loads_while_asleep_is_not_believed() -> None:
    listed, told = (
        EndpointListUpdate(EndpointListKind.FAILED),
        GossipReceived(1, decode_message(LOAD_REPORTS + b"abc")),
    )
    held = GossipReceived(1, decode_message(b"Habcdef"))
    assert order_events_after_pause([told, ProxyDraining(0), held, listed]) == [
        listed,
        ProxyDraining(0),
        held,
    ]
