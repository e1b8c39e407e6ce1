"""The README's example runs as printed."""

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


def test_toys_start_where_nobody_can_type() -> None:
    """Guards ``make toy </dev/null``: the selector rejects what is no terminal; the toys ended."""
    nobody, pipe = subprocess.DEVNULL, subprocess.PIPE
    command = [sys.executable, "-c", TOYS]
    with subprocess.Popen(
        command, stdin=nobody, stdout=pipe, stderr=pipe, text=True, cwd=ROOT / "example"
    ) as toys:
        assert toys.stdout is not None
        assert toys.stderr is not None
        said = toys.stdout.readline()
        toys.terminate()
        assert "nobody can type" in said, toys.stderr.read()


def test_readme_example_prints_what_it_says() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.DOTALL)
    assert code is not None
    expected = re.search(r"print\(.*\)  # (.*)", code.group(1))
    assert expected is not None
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(code.group(1), {})
    assert out.getvalue().strip() == expected.group(1)
