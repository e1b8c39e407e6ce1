"""The toy servers start without a terminal, and the README's example prints what it states."""

from __future__ import annotations

import contextlib
import io
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


TOYS = """
import toy_server as toys
toys.DISCOVERY = "127.0.0.1", 0
toys.SERVERS = dict.fromkeys(toys.SERVERS, toys.DISCOVERY)
toys.main()
"""


def test_toys_start_without_a_terminal() -> None:
    """``make toy </dev/null`` must start: a selector raises an error for /dev/null on stdin."""
    devnull, pipe = subprocess.DEVNULL, subprocess.PIPE
    command = [sys.executable, "-c", TOYS]
    with subprocess.Popen(
        command, stdin=devnull, stdout=pipe, stderr=pipe, text=True, cwd=ROOT / "example"
    ) as toys:
        assert toys.stdout is not None
        assert toys.stderr is not None
        printed = toys.stdout.readline()
        toys.terminate()
        assert "standard input cannot be watched" in printed, toys.stderr.read()


def test_readme_example_prints_the_stated_output() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.DOTALL)
    assert code is not None
    expected = re.search(r"print\(.*\)  # (.*)", code.group(1))
    assert expected is not None
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(code.group(1), {})
    assert out.getvalue().strip() == expected.group(1)
