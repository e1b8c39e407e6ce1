"""Tests of decoding and encoding the simulator's lines, and of the host as a process."""

from __future__ import annotations

import io
import math
import subprocess
import sys

import pytest

from larchhaven.routing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    MigrateConnection,
    PollEndpoints,
    RejectRequest,
    SendGossip,
    StartAttempt,
    StartTimer,
    WatchEndpoints,
)
from larchhaven.routing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
    ConnectionRestored,
    Event,
    GossipReceived,
    HealthCheckCompleted,
    LoadReport,
    MessageDelayObserved,
    RequestArrived,
    TimerFired,
)
from larchhaven.routing.gossip_messages import UnrecognizedMessage
from larchhaven.routing.settings import DeduplicationScope, Idempotency
from larchhaven.routing.settings_codec import decode_flat
from larchhaven.simulator import codec
from larchhaven.simulator.host import SimulatorHost
from larchhaven.text_fields import FormatError

OPTIONS = (
    "contract.answer_slack=8000 contract.ask_within=10000000 contract.cold=9000000 "
    "contract.cold_from=0.3 "
    "contract.stop_sending_within=500000 contract.tip_after=3000000 contract.tip_multiple=4.0 "
    "discovery=automatic family=conn family_info.message_aim=150000.0,- family_info.mode=pass "
    "family_info.tenant_quota_connections=null,12.0 index=1 instances=3 kinds=a,b "
    "parties.count=2 parties.0.share=0.4 parties.1.share=0.6 policy_limits.cancel=true "
    "policy_limits.most_tries=4 policy_limits.parallel_tries=false policy_limits.probes=false "
    "prices.probe=0.004 report.fields=x0,unheard_of report.how=pull services.count=2 "
    "services.0.aim=300000 services.0.deadline=1200000 services.0.repeat=idempotent "
    "services.0.stream=true "
    "services.1.aim=300000 services.1.deadline=1200000 services.1.group=cell "
    "services.1.repeat=deduplicated services.1.stream=false services.1.window=5000000 "
    "tick=5000 weights=nominal something.new=1 zone=0 zones=here"
)
OPENING = (
    f"clock 1000 1\ncontext 4\nopen_instance 77 {OPTIONS}\nview remembered 3 2\n"
    "server 0 1.5 - 0 on 0 10.0.0.1:7000\nserver 1 2 900 0 fading 1 10.0.0.2:7000\nyour_turn\n"
)


def run_host(text: str) -> tuple[int, list[str]]:
    """Run a host on an input; return its exit code and the lines of its reply."""
    out = io.StringIO()
    code = SimulatorHost(io.StringIO(text), out).run()
    return code, out.getvalue().splitlines()


def test_settings_are_decoded_and_unknown_keys_are_ignored() -> None:
    settings = decode_flat(OPTIONS)
    assert settings.classes[1].idempotency is Idempotency.WITH_KEY
    assert settings.classes[1].deduplication_scope is DeduplicationScope.CELL
    assert [c.message_latency_objective_us for c in settings.classes] == [150_000, 0]
    assert [t.connection_quota for t in settings.tenants] == [math.inf, 12.0]
    assert settings.costs.health_check == 0.004
    assert settings.report_fields == ("load_ratio", "unheard_of")


@pytest.mark.parametrize(
    "missing", ["tick", "services.0.aim", "contract.cold", "services.1.repeat"]
)
def test_error_names_the_missing_setting(missing: str) -> None:
    remaining = " ".join(pair for pair in OPTIONS.split(" ") if not pair.startswith(missing + "="))
    with pytest.raises(FormatError, match=f"setting {missing}"):
        decode_flat(remaining)


def test_proxy_index_beyond_the_proxy_count_is_rejected() -> None:
    with pytest.raises(FormatError, match="index"):
        decode_flat(OPTIONS.replace("index=1", "index=3"))


@pytest.mark.parametrize(
    "removed", ["parties.0.share=0.4 ", "family_info.tenant_quota_connections=null,12.0 "]
)
def test_tenant_share_and_quota_are_optional(removed: str) -> None:
    """A missing share is 0 and a missing quota is unlimited; the sum of shares is not checked."""
    tenants = decode_flat(OPTIONS.replace(removed, "")).tenants
    assert len(tenants) == 2
    assert tenants[0].connection_quota == math.inf
    assert (
        decode_flat(OPTIONS.replace("share=0.4", "share=0.9")).tenants[0].capacity_fraction == 0.9
    )


@pytest.mark.parametrize("price", ["probe", "cross_zone", "moves"])
def test_missing_prices_are_zero_and_negative_prices_are_rejected(price: str) -> None:
    """A negative cost inverts routing decisions: a negative cross-zone cost favors other zones."""
    costs = decode_flat(OPTIONS).costs
    assert (costs.health_check, costs.cross_zone, costs.migration) == (0.004, 0.0, 0.0)
    with pytest.raises(FormatError, match="prices must not be negative"):
        decode_flat(f"{OPTIONS} prices.{price}=-1")


@pytest.mark.parametrize(
    ("line", "event"),
    [
        ("submit 9 1 - - 240000 - - 0 1 0", RequestArrived(9, 1, 240_000, is_mid_flow=True)),
        (
            "submit 9 0 2 55 240000 12000 8 1 0 1",
            RequestArrived(9, 0, 240_000, 2, 55, 0.012, 8, True, False, True),
        ),
        (
            "resumed 9 240000 0 1 12000 0 7 2 h:1 0 8",
            ConnectionRestored(RequestArrived(9, 1, 240_000, 2, 7, 0.012, 8), "h:1"),
        ),
        ("wakeup 77", TimerFired(77)),
        (
            "echo GOOD h:1 1400 x0:0.4,utilization:0.62,new:3",
            HealthCheckCompleted(
                "h:1", AttemptResult.OK, 1400, LoadReport(load_ratio=0.4, utilization=0.62)
            ),
        ),
        ("echo LATE h:1 1400 -", HealthCheckCompleted("h:1", AttemptResult.TIMEOUT, 1400)),
        ("from_peer 2 aGkgNw==", GossipReceived(2, UnrecognizedMessage(b"hi 7"))),
        ("from_peer 2 -", GossipReceived(2, UnrecognizedMessage(b""))),
        ("hint_update 9 0 5000 1 h:1", ConnectionLoadChanged(9, 0, "h:1", 0.005)),
        ("hint_update 9 0 55.5 2 h:1", MessageDelayObserved(9, 0, "h:1", 55_500.0)),
        ("aborted 9", ClientDisconnected(9)),
        (
            "ended 9 0 h:1 RST 18500 1 -",
            AttemptEnded(9, 0, "h:1", AttemptResult.RESET, 18_500, True),
        ),
        ("streaming 9 0 h:1 9250", ConnectionEstablished(9, 0, "h:1", 9250)),
    ],
)
def test_events_are_decoded(line: str, event: Event) -> None:
    assert codec.decode_event(line.split(" ")) == event


def test_actions_are_encoded() -> None:
    actions: list[Action] = [
        StartAttempt(1, "h:1", 80_000),
        RejectRequest(1, 5),
        FailRequest(1),
        CancelAttempt(1, 0),
        MigrateConnection(1),
        CheckHealth("h:1"),
        SendGossip(None, UnrecognizedMessage(b"hi 7")),
        SendGossip(2, UnrecognizedMessage(b"")),
        StartTimer(7, 9),
        WatchEndpoints(),
        WatchEndpoints(False),
        PollEndpoints(),
        CloseIdleConnections("h:1"),
        LogMessage("two\nlines"),
    ]
    assert codec.encode_actions(actions) == [
        "place 1 80000 h:1",
        "push_back 1 5",
        "report_failure 1",
        "stop_attempt 1 0",
        "move 1",
        "inspect h:1",
        "signal * aGkgNw==",
        "signal 2 -",
        "after 7 9",
        "stream_changes 1",
        "stream_changes 0",
        "query_all",
        "close h:1",
        "trace two lines",
    ]


def test_restart_within_one_batch_discards_the_state_of_the_old_proxy() -> None:
    """Events of the old proxy's requests that arrive after its restart cause no actions."""
    text = OPENING + "clock 2000 2\ncontext 4\nsubmit 9 0 0 - 1200000 - - 0 0 0\nyour_turn\n"
    text += f"clock 3000 3\ncontext 4\nteardown\nopen_instance 78 {OPTIONS}\n"
    text += "view remembered 3 0\nyour_turn\n"
    text += "clock 4000 4\ncontext 4\nended 9 0 10.0.0.1:7000 RST 5 0 -\naborted 12\nyour_turn\n"
    code, lines = run_host(text)
    assert code == 0
    assert lines[:2] == ["next 1", "on_behalf 4"]
    assert lines[2].startswith("place 9 ")
    assert lines[2].endswith(" 10.0.0.1:7000")
    assert lines[3:] == ["next 2", "next 3", "next 4"]


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("whatever 1", "expected an event"),
        ("wakeup", "expected 'wakeup key_back'"),
        ("wakeup soon", "key_back to be an integer"),
        ("aborted 1 2", "found 2 fields"),
        ("view sometimes 1 0", "expected kind"),
        ("view all 1 1", "'server' line"),
        ("echo GOOD h:1 1 x0", "name:value"),
        ("echo GOOD h:1 1 x0:nan", "number"),
        ("from_peer 1 ?", "base64"),
        ("hint_update 1 0 3 9 h:1", "1 or 2"),
        ("ended 1 0 h:1 SUPER 5 0 -", "expected reason"),
        ("open_instance 5", "found 1 fields"),
        ("context x", "i to be an integer"),
    ],
)
def test_invalid_line_is_reported_as_one_fault(
    line: str, expected: str, capsys: pytest.CaptureFixture[str]
) -> None:
    code, lines = run_host(OPENING + f"clock 2000 2\ncontext 4\n{line}\nyour_turn\n")
    faults = [text for text in lines if text.startswith("fault ")]
    assert code != 0
    assert len(faults) == 1
    assert lines[-1] == "next 2"
    assert "batch 2, line " in faults[0]
    assert expected in faults[0]
    assert faults[0].removeprefix("fault ") in capsys.readouterr().err


def test_host_process_replies_and_exits_at_the_end_of_its_input() -> None:
    command = [sys.executable, "-m", "larchhaven.simulator"]
    text = OPENING + "clock 2000 2\nyour_turn\n"
    done = subprocess.run(
        command, input=text, capture_output=True, text=True, timeout=60, check=False
    )
    assert (done.returncode, done.stdout, done.stderr) == (0, "next 1\nnext 2\n", "")
    done = subprocess.run(
        command, input="hello\n", capture_output=True, text=True, timeout=60, check=False
    )
    assert done.returncode != 0
    assert "Traceback" not in done.stderr
    assert "expected 'clock" in done.stderr
