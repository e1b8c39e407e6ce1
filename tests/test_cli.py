"""The command line: exit codes, error messages and JSON output; the modules a proxy imports."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from tests.proxy_harness import ROOT, ProxyProcess

EXAMPLE = "example/config.json"
OPERATOR = "deploy/operator.textproto"


def run(*arguments: str, code: int = 0) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "larchhaven", *arguments]
    completed = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=120, check=False
    )
    assert completed.returncode == code, (completed.stdout, completed.stderr)
    assert "Traceback" not in completed.stderr
    return completed


def test_help_lists_commands_and_gives_examples() -> None:
    help_text = run("--help").stdout
    for command in ("serve", "check", "memory", "lab", "soak"):
        assert command in help_text
    assert "Example" in run("soak", "--help").stdout
    assert "No such command" in run("frob", code=2).stderr


def test_check_accepts_the_files_of_the_repository() -> None:
    assert run("check", "--config", EXAMPLE, "--operator", OPERATOR).stdout == "no complaints\n"
    run("check", code=2)


@pytest.mark.parametrize(
    ("change", "position"),
    [
        (('"listen": "127.0.0.1:8080"', '"listen": 5'), ":3:"),
        (('"memory_mb": 192', '"memory_mb": "much"'), ":6:"),
        (('"seed"', "seed"), ":5:"),
        (('"aim": 500000', '"aim": "soon"'), ""),
    ],
)
def test_check_reports_the_line_of_an_error_in_the_platforms_file(
    change: tuple[str, str], position: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_text((ROOT / EXAMPLE).read_text().replace(*change))
    completed = run("check", "--config", str(path), code=2)
    assert f"{path}{position}" in completed.stdout, completed.stdout


def test_check_reports_all_errors_and_caps_that_exceed_the_grant(tmp_path: Path) -> None:
    path = tmp_path / "operator.textproto"
    path.write_text("memory { bufers: 1 }\nlog { form: XML }\n")
    printed = json.loads(run("check", "--operator", str(path), "--json", code=2).stdout)
    assert [(c["line"], c["column"]) for c in printed["complaints"]] == [
        (1, 10),
        (2, 13),
    ]
    assert not printed["holds"]
    path.write_text("\n memory { buffers: 400 }\n")
    printed = json.loads(
        run("check", "--config", EXAMPLE, "--operator", str(path), "--json", code=2).stdout
    )
    assert [(c["line"], c["column"]) for c in printed["complaints"]] == [(2, 2)]
    assert "of the 192 MB granted" in printed["complaints"][0]["text"]


def test_memory_plan_fits_the_grant() -> None:
    plan = json.loads(run("memory", "--grant", "64", "--start", "24", "--json").stdout)
    assert plan["planned"] + plan["margin"] + plan["start"] <= plan["grant"] == 64 << 20
    assert plan["connections_fit"] > 400
    assert len(plan["caps"]) == 9
    assert "at the cap:" in run("memory", "--grant", "64", "--start", "24").stdout
    assert "too small" in run("memory", "--grant", "16", "--start", "24", code=1).stdout


def test_memory_shows_the_live_account(proxy: ProxyProcess) -> None:
    address = "{}:{}".format(*proxy.admin_address)
    connection_ends = proxy.establish()
    output = run("memory", "--live", address).stdout
    assert len(connection_ends) == 2
    assert "connections" in output
    assert "descriptors" in output
    account = json.loads(run("memory", "--live", address, "--json").stdout)
    assert account["purposes"]["connections"]["used"] > 0
    assert account["grant"] == 192 << 20
    run("memory", "--live", "nowhere", code=2)
    run("memory", "--live", "127.0.0.1:1", code=2)


def test_lab_plays_a_scenario_and_checks_its_records(tmp_path: Path) -> None:
    scenario = tmp_path / "day.textproto"
    scenario.write_text(
        'name: "tiny" seconds: 1.5 servers { count: 2 }'
        ' terminals { class: "chat" arrivals_per_second: 20 stay_seconds: 0.3 }'
    )
    records = tmp_path / "records.jsonl"
    played = json.loads(
        run("lab", "play", str(scenario), "--record", str(records), "--json").stdout
    )
    assert played["holds"]
    assert played["classes"]["chat"]["answers"]["UP"] > 5
    assert run("lab", "check", str(records)).stdout == "holds\n"
    records.write_text(
        '{"at":0,"kind":"ask","id":"a","wait":9}\n{"at":1,"kind":"answer","id":"a"}\n'
    )
    assert "without an answer" in run("lab", "check", str(records), code=1).stdout
    records.write_text("what\n")
    assert ":1: not an event record" in run("lab", "check", str(records), code=2).stderr
    scenario.write_text("servrs { }")
    assert "write 'servers'" in run("lab", "play", str(scenario), code=2).stderr


def test_soak_writes_verdict_and_report(tmp_path: Path) -> None:
    completed = run(
        "soak",
        "--minutes",
        "0",
        "--abuse",
        "cut",
        "--abuse-minutes",
        "0.1",
        "--arrivals",
        "10",
        "--out",
        str(tmp_path),
        "--json",
    )
    verdict = json.loads(completed.stdout)["cut"]
    assert verdict["holds"]
    assert verdict["caps"]["connections"]["held"]
    report = (tmp_path / "cut.html").read_text()
    assert report.count("<svg") == 2
    assert "holds" in report
    assert (tmp_path / "cut.jsonl").stat().st_size > 1_000
    assert (
        "unknown abuse 'nope': write one of never-read"
        in run("soak", "--abuse", "nope", code=2).stderr
    )


def test_proxy_does_not_import_libraries_of_the_tools() -> None:
    """Each of these libraries would add 2 to 20 MB to the resident size of a proxy."""
    text = "import sys, larchhaven.__main__, larchhaven.net.proxy; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", text], cwd=ROOT, capture_output=True, text=True, check=False
    ).stdout
    heavy = {
        "typer",
        "google.protobuf",
        "asyncio",
        "pythonjsonlogger",
        "subprocess",
        "ctypes",
        "numpy",
        "rpds",
    }
    assert not heavy & set(loaded.split())


SMALL_EXPERIMENT = """name: "small" seconds: 14 members: 5 zones: 2
faults { at_seconds: 5 who { numbers: "2" } kill: true }
"""


def test_model_run_reports_deaths_and_whether_they_are_agreed(tmp_path: Path) -> None:
    path = tmp_path / "small.textproto"
    path.write_text(SMALL_EXPERIMENT)
    printed = json.loads(run("model", "run", str(path), "--seed", "3", "--json").stdout)
    assert printed["holds"]
    assert printed["deaths"][0]["agreed"] < 9
    text = run("model", "run", str(path), "--seed", "3").stdout
    assert printed["trace"] in text
    assert "member 2 died at 5 s" in text
    assert text.endswith("holds\n")
    # The experiment ends before the members can agree on the death.
    path.write_text(SMALL_EXPERIMENT.replace("seconds: 14", "seconds: 6"))
    assert "time to agreement: never" in run("model", "run", str(path), code=1).stdout
    path.write_text("members: 3 faults { }")
    assert "say what happens" in run("model", "run", str(path), code=2).stderr


def test_model_sweep_is_reproducible_and_can_be_plotted(tmp_path: Path) -> None:
    path = tmp_path / "small.textproto"
    path.write_text(SMALL_EXPERIMENT)
    for out in ("one", "two"):
        axes = ("--members", "4,6", "--loss", "0,10", "--seeds", "2", "--jobs", "2", "--json")
        cells = json.loads(
            run("model", "sweep", str(path), *axes, "--out", str(tmp_path / out)).stdout
        )
    assert [(cell["members"], cell["loss_percent"], cell["plays"]) for cell in cells] == [
        (4, 0, 2),
        (4, 10, 2),
        (6, 0, 2),
        (6, 10, 2),
    ]
    assert all(
        cell["agreed"]["low"] <= cell["agreed"]["mean"] <= cell["agreed_most"] for cell in cells
    )
    for name in ("results.jsonl", "summary.json"):
        assert (tmp_path / "one" / name).read_bytes() == (tmp_path / "two" / name).read_bytes()
    page = tmp_path / "report.html"
    run("model", "plot", str(tmp_path / "one"), "--out", str(page))
    assert page.read_text().count("<svg") == 1
    assert "membership" in page.read_text()
    assert "results.jsonl" in run("model", "plot", str(tmp_path / "none"), code=2).stderr
    assert "sweep" in run("model", "sweep", str(path), "--members", "x", code=2).stderr


@pytest.mark.parametrize(
    ("option", "value", "complaint"),
    [
        ("--members", "8,4", "with 4 members, loss 0%: faults[1]: there is no member 6"),
        ("--members", "0", "members"),
        ("--members", "-3", "-3"),
        ("--members", "inf", "infinity"),
        ("--loss", "200", "loss_percent"),
    ],
)
def test_invalid_sweep_is_reported_in_one_line(
    tmp_path: Path, option: str, value: str, complaint: str
) -> None:
    """The variants are checked before they run: an error in a worker would print a traceback."""
    path = str(ROOT / "example" / "model" / "death.textproto")
    out = ("--out", str(tmp_path), "--seeds", "1")
    printed = run("model", "sweep", path, option, value, *out, code=2).stderr
    assert complaint in printed
    assert printed.count("\n") == 1
    assert "Traceback" not in printed


def test_model_search_reports_states_and_depth() -> None:
    printed = json.loads(
        run("model", "search", "--scene", "accused", "--depth", "3", "--json").stdout
    )
    assert printed[0]["states"] > 20
    assert printed[0]["deepest"] == 3
    assert not printed[0]["broken"]
    assert (
        "unknown scene 'none': write one of "
        in run("model", "search", "--scene", "none", code=2).stderr
    )


@pytest.mark.parametrize("proxy", [{"instances": 2}], indirect=True)
def test_members_shows_the_view_or_why_membership_is_off(proxy: ProxyProcess) -> None:
    address = "{}:{}".format(*proxy.admin_address)
    assert (
        "membership is off: the operators' file does not turn it on"
        in run("members", address, code=1).stdout
    )
    assert json.loads(run("members", address, "--json", code=1).stdout)["on"] is False
    (proxy.folder / "operator.textproto").write_text(
        'membership { on: true key: "sixteen letters!" }'
    )
    proxy.process.kill()
    proxy.process.communicate()
    proxy.start()
    printed = ""
    # With no answer from another member, the proxy joins after 1 s, and then lists itself.
    while "(this one)" not in printed:
        printed = run("members", "{}:{}".format(*proxy.admin_address), code=1).stdout
    assert "members not known yet: 1\n" in printed
    assert "not synchronized" in printed
    assert "HOST:PORT" in run("members", "nowhere", code=2).stderr
    assert "members" in run("members", "127.0.0.1:1", code=2).stderr
