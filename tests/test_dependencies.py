"""Packages import only lower layers, and decision modules have no I/O and no clock of their own."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1] / "client_proxy"

# The packages of higher layers by package, which it must not import.
ABOVE_PROXY = frozenset({"cli", "emulator", "fault_injection", "scale"})
ABOVE_DECISIONS = ABOVE_PROXY | {"proxy"}
FORBIDDEN_PACKAGES = {
    "api": ABOVE_DECISIONS,
    "balancer": ABOVE_DECISIONS,
    "limits": ABOVE_DECISIONS,
    "routing": ABOVE_DECISIONS,
    "outlier": ABOVE_DECISIONS,
    "warm_state": ABOVE_DECISIONS,
    "rollout": ABOVE_DECISIONS,
    "membership": ABOVE_DECISIONS,
    "consensus": ABOVE_DECISIONS,
    "config": ABOVE_DECISIONS,
    "proxy": ABOVE_PROXY,
    "emulator": frozenset({"cli", "fault_injection", "scale"}),
}
SIDE_EFFECT_MODULES = frozenset(
    {"asyncio", "os", "selectors", "signal", "socket", "subprocess", "threading", "time"}
)
DECISION_MODULES = ("token_bucket", "rates", "recovery_probe")
# The modules with I/O by decision package: sockets, disks, clocks and commands.
MODULES_WITH_IO = {
    "api": frozenset[str](),
    "balancer": frozenset[str](),
    "limits": frozenset[str](),
    "routing": frozenset[str](),
    "outlier": frozenset[str](),
    "warm_state": frozenset({"snapshot_store"}),
    "rollout": frozenset({"rollout_executor"}),
    "membership": frozenset({"__main__", "gossip", "keys", "link"}),
    "consensus": frozenset(
        {"body_transfer", "disaster_recovery", "lease_monitor", "policy_source", "store", "transport"}
    ),
}


def imported_modules(source: str) -> Iterator[str]:
    """Yields every module that a source text imports, including imports inside of functions."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def project_imports(source: str) -> set[str]:
    """Returns the project's top-level packages and modules that a source text imports."""
    return {name.split(".")[1] for name in imported_modules(source) if name.startswith("client_proxy.")}


def side_effect_imports(source: str) -> set[str]:
    """Returns the modules with side effects that a source text imports."""
    return {name.split(".")[0] for name in imported_modules(source)} & SIDE_EFFECT_MODULES


def test_every_package_has_a_rule_or_is_in_the_top_layer() -> None:
    packages = {path.parent.name for path in ROOT.glob("*/__init__.py")}
    assert packages - FORBIDDEN_PACKAGES.keys() <= ABOVE_PROXY | {"capacity"}


@pytest.mark.parametrize("package", sorted(FORBIDDEN_PACKAGES))
def test_a_package_imports_no_higher_layer(package: str) -> None:
    for path in (ROOT / package).rglob("*.py"):
        assert not project_imports(path.read_text()) & FORBIDDEN_PACKAGES[package], path


@pytest.mark.parametrize("package", ["", *sorted(MODULES_WITH_IO)])
def test_decision_modules_import_nothing_with_side_effects(package: str) -> None:
    if package:
        paths = [path for path in (ROOT / package).rglob("*.py") if path.stem not in MODULES_WITH_IO[package]]
    else:
        paths = [ROOT / f"{name}.py" for name in DECISION_MODULES]
    assert paths
    for path in paths:
        assert not side_effect_imports(path.read_text()), path


def test_imports_inside_functions_are_found() -> None:
    source = (
        "def f():\n    from client_proxy.proxy import clock\n    import time as t\nfrom os.path import join\n"
    )
    assert project_imports(source) == {"proxy"}
    assert side_effect_imports(source) == {"time", "os"}
