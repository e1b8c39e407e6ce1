"""The shape the operators ask of the code: small modules, and decisions without I/O or a clock."""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "larchhaven"

GENERATED_SUFFIX = "_pb2"
PURE = ("routing", "gossip", "membership", "memory")

# Packages from the lowest up: each imports only itself and those before it.
LAYERS = (
    "errors",
    "text_fields",
    "routing",
    "gossip",
    "simulator",
    "membership",
    "memory",
    "operator",
    "net/core",
    "net/control",
    "net/text_protocol",
    "net/admin",
    "net",
)

MAX_LINE_LENGTH = 100
MAX_MODULE_LINES = 400
MAX_FUNCTION_LINES = 40
MAX_CLASS_LINES = 300
MAX_CLASS_METHODS = 25
FUNCTION_NODES = (ast.FunctionDef, ast.AsyncFunctionDef)

IMPURE_MODULES = frozenset(
    {"datetime", "io", "os", "pathlib", "select", "selectors", "signal", "socket", "subprocess"}
    | {"threading", "time"}
)


def modules(name: str) -> list[Path]:
    """Return the modules of a package, or the one; those that protoc generates are not ours."""
    path = PACKAGE / name
    if not path.is_dir():
        return [path]
    return sorted(found for found in path.rglob("*.py") if not found.name.endswith("_pb2.py"))


def imported(tree: ast.Module) -> Iterator[str]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ""


def oversized(path: Path) -> Iterator[str]:
    """Yield what is larger than the operators' guides allow in one module."""
    text = path.read_text(encoding="utf-8")
    if max(map(len, text.splitlines()), default=0) > MAX_LINE_LENGTH:
        yield "a line"
    if len(text.splitlines()) > MAX_MODULE_LINES:
        yield "the module"
    for node in ast.walk(ast.parse(text)):
        lines = (getattr(node, "end_lineno", 0) or 0) - getattr(node, "lineno", 0) + 1
        if isinstance(node, FUNCTION_NODES) and lines > MAX_FUNCTION_LINES:
            yield f"function {node.name}: {lines} lines"
        elif isinstance(node, ast.ClassDef):
            methods = sum(isinstance(member, FUNCTION_NODES) for member in node.body)
            if lines > MAX_CLASS_LINES or methods > MAX_CLASS_METHODS:
                yield f"class {node.name}: {lines} lines, {methods} methods"


def test_modules_keep_to_the_guides() -> None:
    found = {
        str(path.relative_to(ROOT)): large
        for path in modules("")
        if (large := list(oversized(path)))
    }
    assert not found


@pytest.mark.parametrize("name", PURE)
def test_decisions_do_no_io_and_read_no_clock(name: str) -> None:
    for path in modules(name):
        names = set(imported(ast.parse(path.read_text(encoding="utf-8"))))
        assert not {name for name in names if name.partition(".")[0] in IMPURE_MODULES}, path
        assert not {name for name in names if name.startswith(("larchhaven.net", "larchhaven.sim"))}


def layer_of(module: str) -> int | None:
    """Return the layer of a module by its dotted name; None for one that is no part of a proxy."""
    path = module.removeprefix("larchhaven.").replace(".", "/")
    found = [layer for layer in LAYERS if path == layer or path.startswith(f"{layer}/")]
    return LAYERS.index(max(found, key=len)) if found else None


def test_packages_import_nothing_from_a_layer_above() -> None:
    faults = []
    for path in PACKAGE.rglob("*.py"):
        own = layer_of(".".join(path.relative_to(ROOT).with_suffix("").parts))
        for name in imported(ast.parse(path.read_text(encoding="utf-8"))):
            other = layer_of(name)
            if own is not None and other is not None and other > own:
                faults.append(f"{path.relative_to(ROOT)} imports {name}")
    assert not faults


def test_deploy_file_names_every_module_with_decisions() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    routing = [str(path.relative_to(ROOT)) for path in modules("routing")]
    assert deploy["policy"] == routing
    assert all((ROOT / path).exists() for path in deploy["node"])
