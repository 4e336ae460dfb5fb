"""Compares two builds, or two settings, on one scenario and the same seeds, with the spread over the seeds.

A side is a folder that holds a build (a checkout), or a TOML file whose keys replace those of the scenario's
tables (`[rules]`, `[clients]` and so on). Each run has a process of its own.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean, stdev
from typing import Any

from client_proxy.checkout import CheckoutError, package_name
from client_proxy.emulator.errors import SideError
from client_proxy.emulator.scenario import Scenario
from client_proxy.emulator.scenario_reader import parse_scenario
from client_proxy.emulator.scenario_writer import format_scenario, format_value
from client_proxy.toml_table import TomlError, read_text

ROOT = Path(__file__).resolve().parents[2]
FIGURES = (
    "served_share",
    "worst_window",
    "worst_class",
    "attempts_per_request",
    "wasted_share",
    "connections",
)
"""Figures of a report that are compared."""


@dataclass(frozen=True)
class Side:
    """One side of a comparison: a build, or changes to the scenario's tables.

    Attributes:
        name: the command-line argument that names the side.
        build: the folder of the build; None: this build.
        changes: for each table of the file, the keys to replace and their values.
    """

    name: str
    build: Path | None
    changes: dict[str, dict[str, Any]]


@dataclass(frozen=True, slots=True)
class _Run:
    """A run of one side with one seed."""

    side: Side
    seed: int


def read_side(text: str) -> Side:
    """Return the side that a command-line argument names.

    Raises:
        TomlError: the argument is neither a checkout nor a TOML file of tables.
    """
    path = Path(text)
    if path.is_dir():
        try:
            package_name(path)
        except CheckoutError as error:
            raise TomlError(str(error)) from error
        return Side(text, path.resolve(), {})
    try:
        tables = tomllib.loads(read_text(path))
    except tomllib.TOMLDecodeError as error:
        raise TomlError(f"{text}: {error}") from None
    for key, value in tables.items():
        if not isinstance(value, dict):
            raise TomlError(f"{text}: {key}: must be a table of the scenario file, such as [clients]")
    return Side(text, None, tables)


def with_changes(scenario: Scenario, changes: dict[str, dict[str, Any]], name: str) -> Scenario:
    """Return the scenario with some of its tables' keys replaced.

    Args:
        scenario: the scenario.
        changes: for each table of the file, the keys to replace and their values.
        name: the name of the result in messages of errors.

    Raises:
        TomlError: the result is not a scenario.
    """
    document = tomllib.loads(format_scenario(scenario))
    for table, keys in changes.items():
        document.setdefault(table, {}).update(keys)
    lines = [
        f"{key} = {format_value(value)}" for key, value in document.items() if not _is_table_or_array(value)
    ]
    for key, value in document.items():
        if isinstance(value, dict):
            lines += [f"[{key}]", *_key_lines(value)]
        elif _is_table_or_array(value):
            for entry in value:
                lines += [f"[[{key}]]", *_key_lines(entry)]
    return parse_scenario("\n".join(lines), name)


def _key_lines(table: dict[str, Any]) -> list[str]:
    return [f"{key} = {format_value(value)}" for key, value in table.items()]


def _is_table_or_array(value: Any) -> bool:
    return isinstance(value, dict) or (isinstance(value, list) and bool(value) and isinstance(value[0], dict))


def run_side(side: Side, scenario: Scenario, seed: int, clock: str) -> dict[str, Any]:
    """Run one side in a process of its own and return its report.

    Raises:
        SideError: the run wrote no report; the message has its standard error.
    """
    with tempfile.TemporaryDirectory() as folder:
        file, out = Path(folder) / "day.toml", Path(folder) / "out.json"
        file.write_text(format_scenario(with_changes(scenario, side.changes, side.name)), encoding="utf-8")
        root = side.build or ROOT
        options = ["--seed", str(seed), "--clock", clock, "--quiet"]
        if not _has_emulator(root):
            # A build without an emulator runs its daemon under this build's emulator, on the real clock only.
            if clock != "real":
                raise SideError(f"{side.name} has no emulator: compare it with --clock real")
            options += ["--build", str(root)]
            root = ROOT
        module = f"{package_name(root)}.emulator"
        command = [sys.executable, "-m", module, "replay", str(file), "--json", str(out), *options]
        environment = os.environ | {"PYTHONPATH": str(root)}
        completed = subprocess.run(command, env=environment, cwd=root, capture_output=True, text=True)
        if not out.is_file():
            raise SideError(
                f"{side.name}, seed {seed}: no report: {completed.stderr.strip() or completed.returncode}"
            )
        report: dict[str, Any] = json.loads(out.read_text(encoding="utf-8"))
        return report


def _has_emulator(root: Path) -> bool:
    return (root / package_name(root) / "emulator" / "__main__.py").is_file()


def summarize_spread(values: list[float]) -> dict[str, float]:
    """Return the mean, the standard deviation, the least and the greatest of some values."""
    return {
        "mean": round(fmean(values), 5),
        "sd": round(stdev(values), 5) if len(values) > 1 else 0.0,
        "least": round(min(values), 5),
        "most": round(max(values), 5),
    }


def compare(
    sides: tuple[Side, Side],
    scenario: Scenario,
    seeds: list[int],
    clock: str,
    jobs: int,
    on_progress: Callable[[str], None],
) -> dict[str, Any]:
    """Run both sides on each seed and return the comparison as a JSON object.

    Both sides' runs on one seed have the same client requests and faults.

    Args:
        sides: the two sides.
        scenario: the scenario.
        seeds: the seeds.
        clock: `virtual` or `real`.
        jobs: the number of runs at the same time on the virtual clock.
        on_progress: called with a line of progress for each run.
    """
    planned_runs = [_Run(side, seed) for seed in seeds for side in sides]

    def run(planned_run: _Run) -> dict[str, Any]:
        report = run_side(planned_run.side, scenario, planned_run.seed, clock)
        on_progress(f"{planned_run.side.name}  seed {planned_run.seed}  served {report['served_share']:.4f}")
        return report

    # Runs on the real clock would slow each other down, so they run one at a time.
    with ThreadPoolExecutor(1 if clock == "real" else jobs) as pool:
        reports = list(pool.map(run, planned_runs))
    reports_a, reports_b = reports[0::2], reports[1::2]
    return {
        "day": scenario.name,
        "clock": clock,
        "seeds": seeds,
        "a": sides[0].name,
        "b": sides[1].name,
        "figures": {name: _compare_figure(name, reports_a, reports_b) for name in FIGURES},
        "broken": {"a": _count_broken(reports_a), "b": _count_broken(reports_b)},
    }


def _compare_figure(
    name: str, reports_a: list[dict[str, Any]], reports_b: list[dict[str, Any]]
) -> dict[str, dict[str, float]]:
    values_a = [float(report[name]) for report in reports_a]
    values_b = [float(report[name]) for report in reports_b]
    return {
        "a": summarize_spread(values_a),
        "b": summarize_spread(values_b),
        "b_minus_a": summarize_spread([b - a for a, b in zip(values_a, values_b, strict=True)]),
    }


def _count_broken(reports: list[dict[str, Any]]) -> int:
    return sum(1 for report in reports if any(report["rules"].values()) or report["crashed"])


def format_comparison(result: dict[str, Any]) -> str:
    """Return a comparison formatted for a terminal."""
    lines = [
        f"{result['day']}, {len(result['seeds'])} seeds, {result['clock']} clock",
        f"  A {result['a']}",
        f"  B {result['b']}",
        f"{'':22}{'A mean':>10}{'sd':>9}{'B mean':>10}{'sd':>9}{'B - A':>10}{'sd':>9}",
    ]
    for name, figure in result["figures"].items():
        columns = "".join(
            f"{figure[side]['mean']:10.4f}{figure[side]['sd']:9.4f}" for side in ("a", "b", "b_minus_a")
        )
        lines.append(f"{name:22}{columns}")
    broken = result["broken"]
    lines.append(f"plays on which a rule broke: A {broken['a']}, B {broken['b']}")
    return "\n".join(lines) + "\n"
