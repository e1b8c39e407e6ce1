"""Links, files, modules, classes and methods that the documentation names must exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = sorted([ROOT / "README.md", ROOT / "CHANGELOG.md", *(ROOT / "docs").rglob("*.md")])
# Design notes and the changelog describe earlier versions: their links must work, but they may use
# names that no longer exist.
CURRENT_PAGES = [page for page in PAGES if "design" not in page.parts and page.stem != "CHANGELOG"]

LINK = re.compile(r"\]\((?!https?:)([^)#\s]*)(#[^)\s]*)?\)")
PATH = re.compile(r"`((?:larchhaven|tests|benchmarks|example|deploy)/[\w./-]*\w/?)`")


def anchors(page: Path) -> set[str]:
    headings = re.findall(r"^#+ (.*)$", page.read_text(encoding="utf-8"), re.MULTILINE)
    return {re.sub(r"[^\w\- ]", "", text.lower()).replace(" ", "-") for text in headings}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_link_targets_exist(page: Path) -> None:
    for target, anchor in LINK.findall(page.read_text(encoding="utf-8")):
        path = (page.parent / target).resolve() if target else page
        assert path.exists(), f"{target} does not exist"
        assert not anchor or anchor[1:] in anchors(path), f"{target}{anchor} does not exist"


@pytest.mark.parametrize("page", CURRENT_PAGES, ids=lambda page: page.name)
def test_named_files_exist(page: Path) -> None:
    names = PATH.findall(page.read_text(encoding="utf-8"))
    assert not [name for name in names if not (ROOT / name).exists()]


def defined_names() -> set[str]:
    """Return the names of all classes, and of their methods as ``Class.method``."""
    names = set()
    for path in (ROOT / "larchhaven").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ClassDef):
                names.add(node.name)
                methods = [each for each in node.body if isinstance(each, ast.FunctionDef)]
                names |= {f"{node.name}.{method.name}" for method in methods}
    return names


def test_classes_and_methods_in_the_architecture_page_exist() -> None:
    text = (ROOT / "docs" / "architecture.md").read_text(encoding="utf-8")
    current, _, _ = text.partition("### Earlier names")
    named = re.findall(r"`(?:[\w/]+\.)?([A-Z][a-z]\w*[a-z](?:\.\w+)?)`", current)
    assert len(named) > 20
    assert not set(named) - defined_names()


def test_modules_in_the_architecture_page_exist() -> None:
    text = (ROOT / "docs" / "architecture.md").read_text(encoding="utf-8")
    current, _, _ = text.partition("### Earlier names")
    names = re.findall(r"`((?:net|routing|gossip|membership|memory|simulator)/[\w/]+)", current)
    missing = [
        name
        for name in names
        if not (ROOT / "larchhaven" / name).is_dir()
        and not (ROOT / "larchhaven" / f"{name}.py").exists()
    ]
    assert not missing
