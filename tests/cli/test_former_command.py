"""The command's former name runs the same command and prints a notice with the new name once."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from client_proxy.cli.former_command import NOTICE

ROOT = Path(__file__).resolve().parents[2]


def run(entry_point: str, *words: str) -> subprocess.CompletedProcess[str]:
    """Runs an entry point of pyproject.toml as its console script does."""
    module, function = entry_point.split(":")
    script = f"import sys; from {module} import {function} as main; sys.exit(main())"
    command = [sys.executable, "-c", script, *words]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize("words", [("--help",), ("version",), ("check", "examples/absent.toml")])
def test_former_name_runs_the_same_command_and_prints_the_new_name_once(words: tuple[str, ...]) -> None:
    scripts = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["scripts"]
    new = run(scripts["client-proxy"], *words)
    former = run(scripts["cedarcross"], *words)
    assert former.returncode == new.returncode
    assert former.stdout.partition("\n")[2] == new.stdout.partition("\n")[2]
    assert former.stderr.startswith(NOTICE + "\n")
    assert former.stderr.count(NOTICE) == 1
    assert NOTICE not in new.stderr
