"""Figures that are extracted from a scale run's report."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from benchmarks.capacity import __main__ as command
from benchmarks.capacity.failures import FAILURES
from benchmarks.capacity.rows import ROWS
from benchmarks.capacity.scale_report import SOURCES, ReportError, extract_runs


def figure(name: str, role: str, value: float) -> dict[str, Any]:
    return {"name": name, "role": role, "unit": "", "least": value / 2, "median": value, "most": 2 * value}


def report(**changed: Any) -> dict[str, Any]:
    quiet_day = {
        "name": "quiet",
        "kind": "quiet",
        "figures": [figure("processor time", "real instance, control alone", 0.5)],
        "without_lease": {},
    }
    region_cut_day = {
        "name": "region-cut",
        "kind": "region-cut",
        "figures": [],
        "without_lease": {
            "east": figure("without a lease", "hollow follower", 0.0),
            "west": figure("without a lease", "hollow follower", 88.0),
        },
    }
    changes_day = {
        "name": "crowded",
        "kind": "changes",
        "figures": [figure("change in force everywhere", "", 1.2)],
        "without_lease": {},
    }
    complete_report = {
        "plan": "two-years",
        "outcome": "passed",
        "why": "",
        "instances": 680,
        "days": [quiet_day, changes_day, region_cut_day],
    }
    return complete_report | changed


def test_figures_are_converted_to_the_units_of_the_slopes() -> None:
    runs = extract_runs(report(), 680, "the command")
    assert set(runs) == {"control_part_core", "region_refused_s", "change_last_ms_680"}
    assert runs["control_part_core"] == {"command": "the command", "unit": "of a core", "value": 0.005}
    assert runs["region_refused_s"]["value"] == 176.0
    assert runs["change_last_ms_680"]["value"] == 1200.0


def test_a_day_with_losses_is_not_counted_as_one_without() -> None:
    faulty_day = {**report()["days"][1], "name": "crowded-troubled"}
    runs = extract_runs(report(days=[faulty_day]), 680, "the command")
    assert runs == {"loss_change_s": {"command": "the command", "unit": "s", "value": 2.4}}


@pytest.mark.parametrize("changed", [{"outcome": "refused", "why": "too busy"}, {"instances": 25}])
def test_runs_that_failed_or_were_too_small_raise_an_error(changed: dict[str, Any]) -> None:
    with pytest.raises(ReportError, match="two-years"):
        extract_runs(report(**changed), 680, "the command")


def test_every_source_is_needed_by_a_row_or_a_failure() -> None:
    needed = {name for row in ROWS for name in row.needs}
    needed |= {name for failure in FAILURES for name in failure.needs}
    needed |= {failure.scale_run_figure for failure in FAILURES}
    assert {source.run for source in SOURCES} <= needed


def test_the_command_merges_runs_and_series_into_the_slopes(tmp_path: Path) -> None:
    slopes, report_file, series = tmp_path / "slopes.json", tmp_path / "report.json", tmp_path / "series.json"
    slopes.write_text(
        json.dumps({"series": {}, "runs": {}, "not_measured": {"control_part_core": "due", "new.a": "due"}})
    )
    report_file.write_text(json.dumps(report()))
    series.write_text(json.dumps({"series": {"old.a": {"command": "run"}, "other.b": {"command": "run"}}}))
    command.merge_runs(slopes, [report_file], "abc")
    command.merge_series(slopes, [series], ["old", "new"], "abc")
    content = json.loads(slopes.read_text())
    assert content["not_measured"] == {}
    assert content["runs"]["control_part_core"]["command"].endswith("two-years.toml (on abc)")
    assert content["series"] == {"new.a": {"command": "run (on abc)"}, "other.b": {"command": "run (on abc)"}}
