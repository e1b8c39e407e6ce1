"""The size the operators allow the decision module, and the width of its lines."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
CHOICE = (ROOT / "larchhaven" / "choice.py").read_text().splitlines()


def test_module_is_small_enough_to_read() -> None:
    assert len([line for line in CHOICE if line.strip()]) <= 730
    assert max(map(len, CHOICE)) <= 110


def test_deploy_file_names_the_one_module_with_decisions() -> None:
    text = (ROOT / "deploy" / "balancer.toml").read_text()
    assert re.search(r'^policy = \["larchhaven/choice\.py"\]$', text, re.MULTILINE)
    imports = [line for line in CHOICE if re.match(r"\s*(from|import) ", line)]
    assert not [line for line in imports if re.search(r"wire|adapter|time|datetime|socket|os\b", line)]
