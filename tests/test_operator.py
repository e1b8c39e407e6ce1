"""Tests of the operators' file: its values, its error messages, and the generated schemas."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from larchhaven.net.admin.operator_file import read_blocking, read_compiled
from larchhaven.operator.operator_pb2 import Operator
from larchhaven.operator.read import read_file, read_text
from larchhaven.operator.schema_walker import MAX_COMPLAINTS
from larchhaven.operator.settings import Reading, Settings
from larchhaven.operator.text_parser import parse_message
from larchhaven.testbed.scenario_file import load_scenario

ROOT = Path(__file__).parent.parent
DEFAULT = ROOT / "deploy" / "operator.textproto"


def test_file_in_the_repository_contains_the_defaults() -> None:
    reading = read_file(str(DEFAULT))
    assert reading.settings == Settings()
    assert reading.complaints == []
    assert DEFAULT.read_text().splitlines()[reading.memory_position.line - 1].startswith("memory")


def test_values_are_converted_to_the_units_of_the_proxy() -> None:
    text = (
        "memory { buffers: 2.5 } admission { reserve_percent: 0 unread_seconds: 1.5 }"
        " log { form: JSON }"
    )
    assert read_text(text).settings == Settings({"buffers": 2_621_440}, 0.0, 1_500_000, True)


@pytest.mark.parametrize(
    ("text", "complaints"),
    [
        ("memory { bufers: 3 }", ["1:10: 'memory' has no field 'bufers': write 'buffers'"]),
        (
            "what: 1",
            [
                (
                    "1:1: the file has no field 'what':"
                    " the fields are memory, admission, log, membership"
                )
            ],
        ),
        (
            "\n memory {\n  tables: 0.1\n }",
            ["3:11: 'memory.tables' is 0.1 MB: write 0.5 to 4096 MB"],
        ),
        ("log { quiet_seconds: -1 }", ["1:22: 'log.quiet_seconds' is -1 s: write 1 to 3600 s"]),
        (
            "log { quiet_seconds: nan }",
            ["1:22: 'log.quiet_seconds' must be a finite number, not nan"],
        ),
        ('log { quiet_seconds: "5" }', ["1:22: 'log.quiet_seconds' must be a number, not '\"5\"'"]),
        ("log { form: JSN }", ["1:13: 'log.form' has no value 'JSN': write JSON"]),
        ("log { form JSON }", ["1:12: 'log.form' is a scalar field: write 'form: ...'"]),
        ("log: 3", ["1:6: 'log' is a message field: write 'log { ... }'"]),
        (
            "membership {\n on: true }",
            [
                (
                    "2:2: 'membership.on' needs 'membership.key': write 16 to 64 characters,"
                    " the same at all proxies"
                )
            ],
        ),
        (
            'membership { on: true key: "short" }',
            ["1:28: 'membership.key' is 5 characters: write 16 to 64 characters"],
        ),
        ("log {", ["1:6: the file ends before 'log' is closed: write '}'"]),
        (
            "memory { log: 1 log: 2 }\nmemory { }",
            [
                "1:17: 'memory.log' is set more than once: remove one, the first is at 1:10",
                "2:1: 'memory' is set more than once: remove one, the first is at 1:1",
            ],
        ),
        (
            "x { a: [1, {}] b < c: -2 > } memory { kernel: [1] files: {} }",
            [
                "1:1: the file has no field 'x': the fields are memory, admission, log, membership",
                "1:47: 'memory.kernel' must be a number, not a message or a list",
                "1:58: 'memory.files' must be a number, not a message or a list",
            ],
        ),
    ],
)
def test_complaint_has_its_position_and_a_correction(text: str, complaints: list[str]) -> None:
    found = [complaint.format("f").removeprefix("f:") for complaint in read_text(text).complaints]
    assert found == complaints


TOKENS = (
    "memory admission log { } < > : ; , [ ] -1 0.5 nan 1e999 buffers form JSON 'x' \"y # \n \x00 é"
)
VALID_FIELDS = ("memory { buffers: 3 }", "log { form: TEXT }")
FRAGMENTS = st.lists(st.sampled_from((*TOKENS.split(" "), *VALID_FIELDS)), max_size=25)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(FRAGMENTS.map(" ".join) | st.text(max_size=60))
@example("memory {" * 60)
@example("a: 1 " * 200)
def test_any_text_results_in_settings_or_complaints(text: str) -> None:
    """Malformed text must result in complaints; an exception would end the start in a traceback."""
    reading = read_text(text)
    assert len(reading.complaints) <= MAX_COMPLAINTS
    assert reading.complaints or reading.settings.log_repeat_interval_us > 0
    assert all(complaint.text for complaint in reading.complaints)
    parsed = parse_message(text, Operator)
    assert bool(parsed.complaints) == bool(reading.complaints)
    assert parsed.complaints or parsed.message.IsInitialized()


def test_reader_process_returns_the_result_of_the_reader(tmp_path: Path) -> None:
    path = tmp_path / "operator.textproto"
    path.write_text("memory { probes: 1 }")
    assert read_blocking(str(path)) == read_file(str(path))
    path.write_text("memory { probes: 0 }")
    assert read_blocking(str(path)).complaints == read_file(str(path)).complaints != []
    assert "cannot be read" in read_blocking(str(tmp_path / "none")).complaints[0].text
    path.write_bytes(b"\xff\xfe")
    assert "UTF-8" in read_file(str(path)).complaints[0].text
    compiled = tmp_path / "operator.json"
    compiled.write_bytes(msgspec.json.encode(Reading(Settings(log_repeat_interval_us=7), [])))
    assert read_blocking(str(compiled)).settings.log_repeat_interval_us == 7
    compiled.write_text('{"settings": 3}')
    assert read_compiled(str(compiled)).complaints
    assert read_compiled(str(tmp_path / "no.json")).complaints


@pytest.mark.parametrize(
    "name", ["operator/options", "operator/operator", "testbed/scenario", "model/experiment"]
)
def test_generated_schema_matches_its_source(name: str, tmp_path: Path) -> None:
    command = [sys.executable, "-m", "grpc_tools.protoc", "-I.", f"--python_out={tmp_path}"]
    subprocess.run([*command, f"larchhaven/{name}.proto"], cwd=ROOT, check=True)
    generated = (tmp_path / "larchhaven" / f"{name}_pb2.py").read_text()
    assert generated == (ROOT / "larchhaven" / f"{name}_pb2.py").read_text()


def test_references_to_unknown_names_in_a_scenario_are_reported() -> None:
    _, complaints = load_scenario('events { at_seconds: 1 drain: "s9" } terminals { class: "x" }')
    assert complaints == [
        "event drain: there is no exam server 's9'",
        "terminals: there is no class 'x', known are chat",
        "servers: write at least one group of exam servers",
    ]
    assert load_scenario("seconds: 0")[1] == ["1:10: 'seconds' is 0 s: write 0.5 to 864000 s"]
