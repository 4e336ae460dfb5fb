"""The import contracts of pyproject.toml hold, and each fails on an import that it forbids."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
LAYERS = "No package imports upwards"
EFFECTS = "Decisions have no I/O and no clock"
CYCLES = "No cycles within a package"

FORBIDDEN_IMPORTS = {
    "a decision module that imports the proxy": ("limits/priority.py", "client_proxy.proxy.config", LAYERS),
    "a foundation that imports a decision": ("clock.py", "client_proxy.limits.priority", LAYERS),
    "a balancer that waits": ("balancer/balancer.py", "asyncio", EFFECTS),
    "a limit with a clock of its own": ("limits/priority.py", "time", EFFECTS),
    "routing that reads the environment": ("routing/connected.py", "os", EFFECTS),
    "an import that is hidden behind another": ("rates.py", "client_proxy.endpoint_directory", EFFECTS),
    "two modules that import each other": ("api/events.py", "client_proxy.api.policy_hook", CYCLES),
}


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """A copy of the package and of its contracts."""
    shutil.copytree(ROOT / "client_proxy", tmp_path / "client_proxy")
    shutil.copy(ROOT / "pyproject.toml", tmp_path)
    return tmp_path


def run_lint_imports(checkout: Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [str(Path(sys.executable).with_name("lint-imports")), "--no-cache"],
        cwd=checkout,
        env=os.environ | {"PYTHONPATH": str(checkout)},
        capture_output=True,
        text=True,
        timeout=120,
    )


def test_all_contracts_hold(checkout: Path) -> None:
    result = run_lint_imports(checkout)
    assert result.returncode == 0, result.stdout
    for contract in (LAYERS, EFFECTS, CYCLES):
        assert f"{contract} KEPT" in result.stdout


@pytest.mark.parametrize("case", FORBIDDEN_IMPORTS)
def test_a_forbidden_import_breaks_its_contract(case: str, checkout: Path) -> None:
    file, imported, contract = FORBIDDEN_IMPORTS[case]
    path = checkout / "client_proxy" / file
    path.write_text(f"{path.read_text()}\nimport {imported}\n")
    result = run_lint_imports(checkout)
    assert result.returncode == 1, result.stdout
    assert f"{contract} BROKEN" in result.stdout
