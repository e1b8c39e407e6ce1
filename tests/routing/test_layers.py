"""Modules of the routing package import only from the layers that its docstring allows."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from graphlib import TopologicalSorter
from pathlib import Path

import larchhaven.routing

FOLDER = Path(larchhaven.routing.__file__).parent
PREFIX = "larchhaven.routing."


def imported_modules(path: Path) -> Iterator[str]:
    """Yield the names of the routing modules that a module imports."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith(PREFIX):
            yield (node.module or "").removeprefix(PREFIX)


IMPORTS = {
    path.stem: set(imported_modules(path))
    for path in FOLDER.glob("*.py")
    if path.stem != "__init__"
}


def test_imports_between_modules_have_no_cycles() -> None:
    assert len(list(TopologicalSorter(IMPORTS).static_order())) == len(IMPORTS)


def test_modules_import_nothing_from_a_layer_above() -> None:
    layers = (larchhaven.routing.__doc__ or "").split("\n- ")[1:]
    depth = {
        module: index
        for index, layer in enumerate(layers)
        for module in re.findall(r"``(\w+)``", layer)
    }
    assert set(depth) == set(IMPORTS)
    for module, imports in IMPORTS.items():
        assert not [each for each in imports if depth[each] < depth[module]], module
