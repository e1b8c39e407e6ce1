"""The pages name only what is there: files, modules, links and the parts of pages."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = sorted([ROOT / "README.md", ROOT / "CHANGELOG.md", *(ROOT / "docs").rglob("*.md")])
# Design notes are records of their day: their links hold, the names in them are those of then.
CURRENT_PAGES = [page for page in PAGES if "design" not in page.parts and page.stem != "CHANGELOG"]

LINK = re.compile(r"\]\((?!https?:)([^)#\s]*)(#[^)\s]*)?\)")
PATH = re.compile(r"`((?:larchhaven|tests|benchmarks|example|deploy)/[\w./-]*\w/?)`")


def anchors(page: Path) -> set[str]:
    headings = re.findall(r"^#+ (.*)$", page.read_text(encoding="utf-8"), re.MULTILINE)
    return {re.sub(r"[^\w\- ]", "", text.lower()).replace(" ", "-") for text in headings}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_somewhere(page: Path) -> None:
    for target, anchor in LINK.findall(page.read_text(encoding="utf-8")):
        path = (page.parent / target).resolve() if target else page
        assert path.exists(), f"{target} is not there"
        assert not anchor or anchor[1:] in anchors(path), f"{target}{anchor} is not there"


@pytest.mark.parametrize("page", CURRENT_PAGES, ids=lambda page: page.name)
def test_files_that_a_page_names_are_there(page: Path) -> None:
    names = PATH.findall(page.read_text(encoding="utf-8"))
    assert not [name for name in names if not (ROOT / name).exists()]


def test_modules_of_the_page_of_architecture_are_there() -> None:
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
