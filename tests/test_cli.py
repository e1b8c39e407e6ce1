"""The command line as people and programs meet it: exit codes, complaints, JSON, a proxy no larger for it."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from tests.rig import ROOT, Proxy

EXAMPLE = "example/config.json"
OPERATOR = "deploy/operator.textproto"


def run(*arguments: str, code: int = 0) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "larchhaven", *arguments]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120)
    assert done.returncode == code, (done.stdout, done.stderr)
    assert "Traceback" not in done.stderr
    return done


def test_help_teaches_each_command() -> None:
    whole = run("--help").stdout
    for command in ("serve", "check", "memory", "lab", "soak"):
        assert command in whole
    assert "Example" in run("soak", "--help").stdout
    assert "No such command" in run("frob", code=2).stderr


def test_check_passes_what_the_repository_ships() -> None:
    assert run("check", "--config", EXAMPLE, "--operator", OPERATOR).stdout == "no complaints\n"
    run("check", code=2)


@pytest.mark.parametrize(
    ("change", "place"),
    [
        (('"listen": "127.0.0.1:8080"', '"listen": 5'), ":3:"),
        (('"memory_mb": 192', '"memory_mb": "much"'), ":6:"),
        (('"seed"', "seed"), ":5:"),
        (('"aim": 500000', '"aim": "soon"'), ""),
    ],
)
def test_check_names_the_line_of_the_platforms_file(
    change: tuple[str, str], place: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_text((ROOT / EXAMPLE).read_text().replace(*change))
    done = run("check", "--config", str(path), code=2)
    assert f"{path}{place}" in done.stdout, done.stdout


def test_check_tells_all_at_once_and_sums_against_the_grant(tmp_path: Path) -> None:
    path = tmp_path / "operator.textproto"
    path.write_text("memory { bufers: 1 }\nlog { form: XML }\n")
    told = json.loads(run("check", "--operator", str(path), "--json", code=2).stdout)
    assert [(c["line"], c["column"]) for c in told["complaints"]] == [(1, 10), (2, 13)] and not told["holds"]
    path.write_text("\n memory { buffers: 400 }\n")
    told = json.loads(run("check", "--config", EXAMPLE, "--operator", str(path), "--json", code=2).stdout)
    assert [(c["line"], c["column"]) for c in told["complaints"]] == [(2, 2)]
    assert "of the 192 MB granted" in told["complaints"][0]["text"]


def test_plan_is_shown_for_a_grant() -> None:
    plan = json.loads(run("memory", "--grant", "64", "--start", "24", "--json").stdout)
    assert plan["planned"] + plan["margin"] + plan["start"] <= plan["grant"] == 64 << 20
    assert plan["connections_fit"] > 400 and len(plan["caps"]) == 9
    assert "at the cap:" in run("memory", "--grant", "64", "--start", "24").stdout
    assert "too small" in run("memory", "--grant", "16", "--start", "24", code=1).stdout


def test_live_account_is_shown(proxy: Proxy) -> None:
    address = "{}:{}".format(*proxy.management)
    ends = proxy.opened()
    shown = run("memory", "--live", address).stdout
    assert len(ends) == 2
    assert "connections" in shown and "descriptors" in shown
    account = json.loads(run("memory", "--live", address, "--json").stdout)
    assert account["purposes"]["connections"]["used"] > 0 and account["grant"] == 192 << 20
    run("memory", "--live", "nowhere", code=2)
    run("memory", "--live", "127.0.0.1:1", code=2)


def test_scenario_is_played_and_checked_again(tmp_path: Path) -> None:
    scenario = tmp_path / "day.textproto"
    scenario.write_text(
        'name: "tiny" seconds: 1.5 servers { count: 2 }'
        ' terminals { class: "chat" arrivals_per_second: 20 stay_seconds: 0.3 }'
    )
    records = tmp_path / "records.jsonl"
    played = json.loads(run("lab", "play", str(scenario), "--record", str(records), "--json").stdout)
    assert played["holds"] and played["classes"]["chat"]["answers"]["UP"] > 5
    assert run("lab", "check", str(records)).stdout == "holds\n"
    records.write_text('{"at":0,"kind":"ask","id":"a","wait":9}\n{"at":1,"kind":"answer","id":"a"}\n')
    assert "without an answer" in run("lab", "check", str(records), code=1).stdout
    records.write_text("what\n")
    assert ":1: not a record" in run("lab", "check", str(records), code=2).stderr
    scenario.write_text("servrs { }")
    assert "write 'servers'" in run("lab", "play", str(scenario), code=2).stderr


def test_soak_writes_its_verdict_and_report(tmp_path: Path) -> None:
    done = run(
        "soak", "--minutes", "0", "--abuse", "cut", "--abuse-minutes", "0.1", "--arrivals", "10",
        "--out", str(tmp_path), "--json",
    )  # fmt: skip
    verdict = json.loads(done.stdout)["cut"]
    assert verdict["holds"] and verdict["caps"]["connections"]["held"]
    report = (tmp_path / "cut.html").read_text()
    assert report.count("<svg") == 2 and "holds" in report
    assert (tmp_path / "cut.jsonl").stat().st_size > 1_000
    assert "known are" in run("soak", "--abuse", "nope", code=2).stderr


def test_serving_proxy_loads_nothing_that_only_tools_need() -> None:
    """Guards the size of a proxy: these libraries take 2 to 20 MB."""
    text = "import sys, larchhaven.__main__, larchhaven.net.node; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", text], cwd=ROOT, capture_output=True, text=True).stdout
    heavy = {"typer", "google.protobuf", "asyncio", "pythonjsonlogger", "subprocess", "ctypes", "numpy"}
    assert not heavy & set(loaded.split())
