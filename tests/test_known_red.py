"""What is in KNOWN-RED.txt is passed over and printed; everything else fails the run as ever."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red

TESTS = """
import pytest
def test_good(): pass
def test_bad(): assert False
@pytest.mark.parametrize("number", [1, 2])
def test_half(number): assert number == 1
"""
BAD, HALF = (
    "tests/test_it.py::test_bad; a cause; issue 7",
    "tests/test_it.py::test_half[2]; another; issue 8",
)
NO_TEST, NO_FILE = (
    "tests/test_it.py::test_no; a cause; issue 7",
    "tests/test_no.py::test_no; a cause; issue 7",
)
CONFTEST = "from tests.known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary"
GOOD = "tests/test_it.py::test_good; mended; issue 9"


@pytest.mark.parametrize("processes", ["0", "2"])
@pytest.mark.parametrize(
    ("lines", "code", "printed"),
    [
        ([BAD, HALF], 0, f"known red, passed over: {BAD.replace('; a', ' (a')})"),
        (
            [BAD, HALF, GOOD],
            0,
            f"known red, passes now: take its line out: {GOOD.replace('; m', ' (m')})",
        ),
        ([BAD], 1, "FAILED tests/test_it.py::test_half[2]"),
        ([], 1, "FAILED tests/test_it.py::test_bad"),
        ([BAD, HALF, NO_TEST], None, "there is no test tests/test_it.py::test_no"),
        ([BAD, HALF, NO_FILE], None, "there is no test tests/test_no.py::test_no"),
        (
            [BAD, HALF, "tests/test_it.py::test_good"],
            None,
            "KNOWN-RED.txt:3: write 'test; cause; issue'",
        ),
        ([BAD] * 4, None, "4 lines, and 3 are the most"),
    ],
)
def test_only_what_is_listed_is_passed_over(
    tmp_path: Path, lines: list[str], code: int | None, printed: str, processes: str
) -> None:
    tests = tmp_path / "tests"
    tests.mkdir()
    (tests / "__init__.py").touch()
    shutil.copy(str(known_red.__file__), tests / "known_red.py")
    (tests / "conftest.py").write_text(CONFTEST)
    (tests / "test_it.py").write_text(TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\npythonpath = .\n")
    if lines:
        (tmp_path / known_red.FILE).write_text("".join(line + "\n" for line in lines))
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-n", processes],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
    )
    output = run.stdout + run.stderr
    assert printed in output, output
    assert run.returncode == code if code is not None else run.returncode not in (0, 5)
