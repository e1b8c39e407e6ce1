"""Tests of the memory caps of a running proxy: each cap holds under abuse of its purpose."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from larchhaven.memory.account import MemoryAccount
from larchhaven.memory.item_costs import REQUEST_ID_BYTES
from larchhaven.memory.purposes import MemoryPurpose
from larchhaven.net.admin.administrative_ejection import (
    AdministrativeEjections,
    EjectionNotSavedError,
)
from larchhaven.net.core import log_setup
from larchhaven.net.hot_restart import RemoteIdentities
from larchhaven.testbed.outcome import ScenarioOutcome
from larchhaven.testbed.scenario_file import load_scenario
from larchhaven.testbed.scenario_player import play_scenario
from tests.proxy_harness import ProxyProcess, make_request_line

BACKGROUND_TRAFFIC = """
seed: 5 classes { name: "chat" worth: 1 } classes { name: "exam" worth: 5 }
terminals { class: "chat" arrivals_per_second: 10 stay_seconds: 1 message_seconds: 0.3 }
terminals { class: "exam" arrivals_per_second: 5 stay_seconds: 1 message_seconds: 0.3 }
"""
SERVERS = "servers { count: 4 capacity: 400 setup_ms: 2 }"
GRANT = "grant { memory_mb: 64 sockets: 1024 }"
INCOMPLETE_REQUESTS = (
    "terminals { habit: HALF_COMMAND class: 'chat' arrivals_per_second: 60 stay_seconds: 9 }"
)


def play_and_check_scenario(
    text: str, operator: str | None = None, seconds: float = 5, exam_busy: bool = False
) -> ScenarioOutcome:
    """Play a scenario beside background traffic; check the invariants and the exam class's answers.

    Args:
        text: The scenario, without its length and its background traffic.
        operator: The text of the operators' file, if any.
        seconds: The length of the scenario.
        exam_busy: Whether requests of the exam class may be rejected.
    """
    scenario, complaints = load_scenario(f"{BACKGROUND_TRAFFIC} seconds: {seconds} {text}")
    assert not complaints
    outcome = asyncio.run(play_scenario(scenario, sample_interval_s=0.25, operator_text=operator))
    assert outcome.holds, outcome.failures
    # The class with the highest priority weight must be served throughout the scenario.
    answers = outcome.classes["exam"].answers
    assert set(answers) <= {"UP", "BUSY"}, outcome.classes
    assert bool(answers.get("BUSY", 0)) <= exam_busy, outcome.classes
    return outcome


def final_account(outcome: ScenarioOutcome) -> dict[str, Any]:
    """Return the memory account after all clients have left; no connection may remain charged."""
    account = outcome.idle_memory_reports["n0"]
    assert account["purposes"]["connections"]["used"] == 0
    assert account["errors"] == 0
    assert account["resident_peak"] <= account["grant"]
    return dict(account)


@pytest.mark.parametrize(
    ("purpose", "operator", "abuse"),
    [
        (
            "connections",
            "memory { connections: 0.2 }",
            'terminals { class: "chat" arrivals_per_second: 80 stay_seconds: 9 patience_ms: 1000 }',
        ),
        (
            "tables",
            "memory { tables: 0.5 }",
            'terminals { class: "chat" arrivals_per_second: 60 stay_seconds: 9 id_bytes: 2000 }',
        ),
        (
            "buffers",
            "memory { buffers: 0.52 }",
            INCOMPLETE_REQUESTS,
        ),
        (
            "kernel",
            "memory { kernel: 0.25 }",
            "terminals { habit: NEVER_READ class: 'chat' arrivals_per_second: 2 stay_seconds: 9 }",
        ),
        ("probes", "memory { probes: 0.1 }", "servers { count: 70 capacity: 60 }"),
    ],
)
def test_cap_holds_under_abuse_and_other_purposes_are_unaffected(
    purpose: str, operator: str, abuse: str
) -> None:
    outcome = play_and_check_scenario(f"{GRANT} {SERVERS} {abuse}", operator)
    account = final_account(outcome)
    usage = account["purposes"][purpose]
    # Kernel buffers are sampled four times per second. Two clients that arrive between two samples
    # add up to 48 KB each. Without the cap, clients hold 873 KB, three times as much.
    max_bytes = usage["cap"] + (2 * 49_152 if purpose == "kernel" else 0)
    assert usage["refused"] > 0, usage
    assert usage["high"] <= max_bytes, usage
    other_rejecting = [
        name for name, state in account["purposes"].items() if state["refused"] and name != purpose
    ]
    assert other_rejecting == [], account["purposes"]
    assert outcome.classes["chat"].answers["UP"] >= 30


def test_grant_of_32_mb_holds_in_a_surge_of_three_times_the_connections_that_fit() -> None:
    outcome = play_and_check_scenario(
        "grant { memory_mb: 32 sockets: 1024 } servers { count: 40 capacity: 60 setup_ms: 2 }"
        " events { at_seconds: 1 surge: 1440 }"
        " terminals { class: 'chat' arrivals_per_second: 0 }",
        seconds=6,
        # The test bed, busy with 1,440 clients, may send a request line too late.
        exam_busy=True,
    )
    assert outcome.classes["exam"].answers["UP"] >= 15
    account = final_account(outcome)
    answers = outcome.classes["chat"].answers
    # Every client gets an answer, and as many are served as fit.
    assert answers["BUSY"] > 500
    assert answers["UP"] > 350
    assert set(answers) == {"UP", "BUSY"}
    assert account["resident_peak"] <= 32 << 20
    assert account["descriptors"]["refused"] + account["purposes"]["tables"]["refused"] > 0


def test_caps_set_below_usage_close_no_connection_but_hold_for_new_ones() -> None:
    outcome = play_and_check_scenario(
        f"{GRANT} {SERVERS} terminals {{ class: 'chat' arrivals_per_second: 40 stay_seconds: 30 }}"
        " events { at_seconds: 3 operator: 'memory { connections: 0.2 }' }",
        "memory { }",
        seconds=6,
        exam_busy=True,  # the reserve is in use, too
    )
    usage = final_account(outcome)["purposes"]["connections"]
    assert usage["cap"] == int(0.2 * (1 << 20))
    assert usage["high"] > usage["cap"]
    assert usage["refused"] > 0
    chat = outcome.classes["chat"]
    assert chat.lost_connections == chat.migrations == 0
    assert chat.answers["BUSY"] > 0


def test_reload_of_an_invalid_file_or_of_caps_beyond_the_grant_changes_nothing() -> None:
    outcome = play_and_check_scenario(
        f"{GRANT} {SERVERS}"
        " events { at_seconds: 0.5 operator: 'memory { connections: 0.2 tabels: 1 }' }"
        " events { at_seconds: 2 operator: 'memory { buffers: 400 }' }",
        "memory { connections: 3 } log { form: JSON }",
        seconds=4,
    )
    assert final_account(outcome)["purposes"]["connections"]["cap"] == 3 << 20
    assert outcome.log_lines >= 3


def test_log_in_json_has_the_same_keys_on_every_line(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, request: pytest.FixtureRequest
) -> None:
    path = tmp_path / "operator.textproto"
    path.write_text("log { form: JSON }")
    monkeypatch.setenv("EDGE_OPERATOR", str(path))
    proxy = ProxyProcess(tmp_path)
    request.addfinalizer(proxy.process.kill)  # even if the test fails
    invalid_client = proxy.connect_client("NONSENSE \x1b[2J")
    assert invalid_client.read_line() == "ERR"
    path.write_text("log { form: JSN }")
    proxy.process.send_signal(signal.SIGHUP)
    lines = [json.loads(proxy.read_log_line())]
    while "operators' file not reloaded" not in lines[-1]["detail"]:
        lines.append(json.loads(proxy.read_log_line()))
    assert ":1:13: 'log.form' has no value 'JSN': write JSON" in lines[-1]["detail"]
    path.write_text("log { form: TEXT }")
    proxy.process.send_signal(signal.SIGHUP)
    while "operators' file reloaded" not in (line := proxy.read_log_line()):
        assert line, "the log ended before the operators' file was reloaded"
    assert proxy.call("GET", "/v1/metrics")[1]["config_reload_errors"] == 1
    assert "Traceback" not in proxy.close()
    assert all(tuple(line) == log_setup.JSON_KEYS for line in lines)
    assert lines[0]["event"] == "request line invalid"
    assert "\x1b" not in lines[0]["detail"]


def test_shed_callers_of_the_admin_api_are_counted(proxy: ProxyProcess) -> None:
    callers = [socket.create_connection(proxy.admin_address) for _ in range(30)]
    for caller in callers:
        caller.sendall(b"GET /v1/")
    account = proxy.call("GET", "/v1/memory")[1]
    assert account["purposes"]["management"]["refused"] >= 6
    assert 0 < account["purposes"]["management"]["used"] <= account["purposes"]["management"]["cap"]
    for caller in callers:
        caller.close()


@pytest.mark.parametrize("proxy", [{"inherits_socket": True}], indirect=True)
def test_hot_restart_beyond_the_cap_transfers_every_connection(
    proxy: ProxyProcess, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """The successor must adopt established connections even if they exceed its cap."""
    connections = [proxy.establish("c=exam,d=2000,g=ab,h=1000") for _ in range(60)]
    path = tmp_path / "operator.textproto"
    path.write_text("memory { connections: 0.16 }")
    monkeypatch.setenv("EDGE_OPERATOR", str(path))
    successor = proxy.start_successor()
    proxy.process.terminate()
    assert proxy.process.wait(20) == 0
    for client, server in connections:
        client.send_line("still")
        assert server.read_line() == "still"
    account = successor.call("GET", "/v1/memory")[1]["purposes"]["connections"]
    assert account["used"] > account["cap"]
    new_client = successor.connect_client(make_request_line("c=exam,d=2000,g=ab"))
    assert new_client.read_line().startswith("BUSY")
    for client, server in connections:
        client.close()
        server.close()
    proxy.process = successor.process


def test_ejection_beyond_the_cap_is_rejected_but_can_always_be_removed(tmp_path: Path) -> None:
    is_within_cap = [True]
    ejections = AdministrativeEjections(
        str(tmp_path), lambda server_id, is_ejected: None, lambda path, size: is_within_cap[0]
    )
    ejections.set_ejected("s0", True)
    is_within_cap[0] = False
    with pytest.raises(EjectionNotSavedError, match="used up"):
        ejections.set_ejected("s1", True)
    assert "s0" in ejections
    assert "s1" not in ejections
    ejections.set_ejected("s0", False)
    assert "s0" not in ejections


def test_request_ids_of_the_other_process_are_stored_up_to_the_cap() -> None:
    account = MemoryAccount(
        {**dict.fromkeys(MemoryPurpose, 0), MemoryPurpose.PEERS: 3 * REQUEST_ID_BYTES}
    )
    identities = RemoteIdentities(account)
    for number in range(5):
        identities.add(bytes([number]))
        identities.add(bytes([number]))
    assert account.usage(MemoryPurpose.PEERS).rejected == 4
    assert account.used_bytes(MemoryPurpose.PEERS) == 3 * REQUEST_ID_BYTES
    for number in range(5):
        identities.discard(bytes([number]))
    assert account.used_bytes(MemoryPurpose.PEERS) == 0 == account.excess_releases
