"""The log lines and metrics in the operation page must match those of the program."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from larchhaven.net.core.metrics import Metrics

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "operation.md").read_text(encoding="utf-8")


def section(title: str) -> str:
    return PAGE.partition(f"\n## {title}\n")[2].partition("\n## ")[0]


def quoted(title: str) -> list[str]:
    """Return the code spans in the first column of a section's table."""
    rows = re.findall(r"^\| (`.*?) \|", section(title), re.MULTILINE)
    return [name for row in rows for name in re.findall(r"`([^`]+)`", row)]


def strings(function: ast.FunctionDef) -> Iterator[str]:
    """Yield the string literals in the body of a function, except its docstring."""
    has_docstring = ast.get_docstring(function) is not None
    for statement in function.body[1:] if has_docstring else function.body:
        for node in ast.walk(statement):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                yield node.value


def logged() -> set[str]:
    """Return the string literals of all functions that write to the log."""
    found: set[str] = set()
    for path in sorted((ROOT / "larchhaven").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.FunctionDef) and any(
                isinstance(call, ast.Call)
                and isinstance(call.func, ast.Attribute)
                and call.func.attr in ("info", "warning")
                for call in ast.walk(node)
            ):
                found.update(strings(node))
    return found


def test_log_lines_of_the_page_exist_in_the_program() -> None:
    lines, texts = quoted("Log lines"), logged()
    assert len(lines) >= 15
    assert not [line for line in lines if not any(line in text for text in texts)]


@pytest.mark.parametrize("phrase", re.findall(r"[Ll]ogs?(?: says)?\s+`([^`:]+)", PAGE))
def test_log_lines_in_the_text_are_in_the_table(phrase: str) -> None:
    assert phrase in quoted("Log lines")


def test_metrics_of_the_page_are_those_of_the_program() -> None:
    metrics = msgspec.json.decode(Metrics.for_classes(["chat"]).encode())
    assert set(quoted("Metrics")) == set(metrics)
