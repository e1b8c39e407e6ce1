"""The shape the operators ask of the code: small modules, and decisions without I/O or a clock."""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "larchhaven"

# Packages and modules that are finished; ``docs/ROADMAP.md`` lists the others.
FINISHED: tuple[str, ...] = (
    "__main__.py",
    "cli",
    "gossip",
    "membership",
    "memory",
    "net/admin/administrative_ejection.py",
    "net/admin/backend.py",
    "net/admin/http_api.py",
    "net/admin/memory_accounting.py",
    "net/admin/metrics.py",
    "net/admin/operator_file.py",
    "net/admin/process_memory.py",
    "net/admin/sampled_memory.py",
    "net/configuration.py",
    "net/control/arrival_gate.py",
    "net/control/attempt_runner.py",
    "net/control/connection_limits.py",
    "net/control/dispatcher.py",
    "net/control/drain_guard.py",
    "net/control/endpoint_directory.py",
    "net/control/established_connections.py",
    "net/control/event_queue.py",
    "net/control/health_checks.py",
    "net/control/interfaces.py",
    "net/control/membership_log.py",
    "net/control/membership_report.py",
    "net/control/membership_switch.py",
    "net/control/membership_transport.py",
    "net/control/message_delay_filter.py",
    "net/control/open_identities.py",
    "net/control/request.py",
    "net/control/request_spec.py",
    "net/control/request_table.py",
    "net/core",
    "net/graceful_shutdown.py",
    "net/hot_restart.py",
    "net/hot_restart_messages.py",
    "net/hot_restart_socket.py",
    "net/lifecycle.py",
    "net/peer_messaging.py",
    "net/proxy.py",
    "net/reload.py",
    "net/resources.py",
    "net/state_transfer.py",
    "net/upstream_servers.py",
    "operator",
    "plots.py",
    "routing",
    "simulator",
    "soak",
    "testbed",
)
PURE = ("routing", "gossip", "membership", "memory")

MAX_LINE_LENGTH = 100
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
    for node in ast.walk(ast.parse(text)):
        lines = (getattr(node, "end_lineno", 0) or 0) - getattr(node, "lineno", 0) + 1
        if isinstance(node, FUNCTION_NODES) and lines > MAX_FUNCTION_LINES:
            yield f"function {node.name}: {lines} lines"
        elif isinstance(node, ast.ClassDef):
            methods = sum(isinstance(member, FUNCTION_NODES) for member in node.body)
            if lines > MAX_CLASS_LINES or methods > MAX_CLASS_METHODS:
                yield f"class {node.name}: {lines} lines, {methods} methods"


@pytest.mark.parametrize("name", FINISHED)
def test_finished_modules_keep_to_the_guides(name: str) -> None:
    found = {
        str(path.relative_to(ROOT)): large
        for path in modules(name)
        if (large := list(oversized(path)))
    }
    assert not found


@pytest.mark.parametrize("name", PURE)
def test_decisions_do_no_io_and_read_no_clock(name: str) -> None:
    for path in modules(name):
        names = set(imported(ast.parse(path.read_text(encoding="utf-8"))))
        assert not {name for name in names if name.partition(".")[0] in IMPURE_MODULES}, path
        assert not {name for name in names if name.startswith(("larchhaven.net", "larchhaven.sim"))}


def test_deploy_file_names_every_module_with_decisions() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    routing = [str(path.relative_to(ROOT)) for path in modules("routing")]
    assert deploy["policy"] == routing
    assert all((ROOT / path).exists() for path in deploy["node"])
