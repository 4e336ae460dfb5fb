"""Commands whose optional packages are not installed say in one line what to install."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
DAY = ROOT / "examples" / "days" / "calm-morning.toml"

# Runs a module as if some packages were not installed: the path finder, which finds them, hides them.
HIDE_PACKAGES_SCRIPT = """
import runpy, sys
from importlib.machinery import PathFinder

class Hidden:
    @staticmethod
    def find_spec(name, path=None, target=None):
        return None if name.partition(".")[0] in HIDDEN else PathFinder.find_spec(name, path, target)

HIDDEN = sys.argv.pop(1).split(",")
sys.meta_path = [Hidden if finder is PathFinder else finder for finder in sys.meta_path]
sys.argv = sys.argv[1:]
runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
"""


def run_without_packages(hidden: str, *command: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-c", HIDE_PACKAGES_SCRIPT, hidden, *command],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


@pytest.mark.parametrize(
    ("hidden", "command", "extra"),
    [
        ("cryptography", ["client_proxy.emulator", "replay", str(DAY), "--operators", "FILE"], "gossip"),
        ("cryptography", ["client_proxy.membership", "group", "new"], "gossip"),
        ("click", ["client_proxy.cli", "version"], "cli"),
        ("pydantic,structlog", ["client_proxy.cli", "version"], "cli"),
        ("matplotlib", ["benchmarks.overload", "--page", "page.html"], "plots"),
        ("matplotlib", ["benchmarks.fleet_size", "--page", "page.html"], "plots"),
    ],
)
def test_one_line_names_the_extra_to_install(
    tmp_path: Path, hidden: str, command: list[str], extra: str
) -> None:
    file = tmp_path / "operators.toml"
    file.write_text('[gossip]\nkeys = "k"\nlisten = "127.0.0.1:1"\nseeds = ["127.0.0.1:2"]\n')
    result = run_without_packages(hidden, *(str(file) if word == "FILE" else word for word in command))
    assert result.returncode == 2
    assert result.stderr.count("\n") == 1
    assert f"pip install .[{extra}]" in result.stderr
    assert all(name in result.stderr for name in hidden.split(","))


def test_nothing_is_reported_if_all_packages_are_installed() -> None:
    result = run_without_packages("none", "client_proxy.cli", "version")
    assert result.returncode == 0
    assert "extra" not in result.stderr
