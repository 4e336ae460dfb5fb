"""The tables of the capacity page match the checked-in slopes, and each row names the run behind it or says
that it was not measured."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from benchmarks.capacity.__main__ import PAGE, ROOT, SLOPES
from benchmarks.capacity.failures import FAILURES
from benchmarks.capacity.page import (
    NOT_MEASURED,
    PageError,
    figure,
    first_to_fix,
    insert_tables,
    ratio_table,
    tables,
)
from benchmarks.capacity.plan import BUDGETS
from benchmarks.capacity.row import (
    Computed,
    Kind,
    Role,
    Row,
    RowError,
    compute,
    current_rows,
    other_over_budget,
    rows_before_fixes,
    service_losing_over_budget,
    sort_by_ratio,
)
from benchmarks.capacity.rows import ROWS
from benchmarks.capacity.slopes import Slopes, load

REQUIRED = ("Lists", "Added time", "Services", "Depth", "Force within 3 s", "Authors", "Regions", "Gossip")


@pytest.fixture(scope="module")
def checked_in() -> Slopes:
    return load(SLOPES)


def without(slopes: Slopes, name: str) -> Slopes:
    return Slopes(
        {key: value for key, value in slopes.series.items() if key != name},
        {key: value for key, value in slopes.runs.items() if key != name},
        {key: value for key, value in slopes.not_measured.items() if key != name},
    )


def test_the_tables_of_the_page_match_the_slopes(checked_in: Slopes) -> None:
    page = PAGE.read_text()
    assert insert_tables(page, tables(checked_in)) == page, "run python -m benchmarks.capacity --write"


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
def test_a_missing_measurement_raises_an_error_with_the_rows_name(checked_in: Slopes, row: Row) -> None:
    for name in row.needs:
        with pytest.raises(RowError) as caught:
            compute(row, without(checked_in, name))
        assert row.name in str(caught.value)
        assert name in str(caught.value)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.name)
def test_every_row_has_a_measured_run_or_is_marked_not_measured(checked_in: Slopes, row: Row) -> None:
    assert row.needs
    result = compute(row, checked_in)
    if result.value is None:
        assert result.reason
        assert f"{NOT_MEASURED}: {result.reason}" in PAGE.read_text()
        return
    for name in row.needs:
        run = checked_in.series.get(name) or checked_in.runs[name]
        assert run["command"]


def test_every_failure_has_a_measured_run_or_is_marked_not_measured(checked_in: Slopes) -> None:
    for failure in FAILURES:
        evidence = failure.evidence(checked_in)
        assert (evidence == NOT_MEASURED) == failure.duration_text(checked_in).startswith(NOT_MEASURED), (
            failure.name
        )


def test_required_rows_exist() -> None:
    for name in REQUIRED:
        assert any(row.name.startswith(name) for row in ROWS), name


def test_every_role_has_state_messages_processor_time_and_memory() -> None:
    wanted = {Kind.STATE, Kind.MESSAGES, Kind.PROCESSOR, Kind.MEMORY}
    for role in Role:
        assert wanted <= {row.kind for row in ROWS if row.role is role}, role


def test_row_names_are_unique() -> None:
    assert len({row.name for row in ROWS}) == len(ROWS)


def test_files_of_mechanisms_exist() -> None:
    for row in ROWS:
        assert (ROOT / row.mechanism.file).is_file(), row.mechanism.file


def test_a_measurement_missing_from_a_rows_needs_raises_an_error_with_the_rows_name() -> None:
    row = replace(ROWS[0], needs=())
    with pytest.raises(RowError, match=ROWS[0].name):
        compute(row, Slopes({}, {}, {}))


def computed_row(name: str, value: float | None, budget: float | None, loses: bool = True) -> Computed:
    return Computed(replace(ROWS[0], name=name, loses_service=loses), value, budget, "no run")


def test_rows_are_sorted_by_ratio_with_those_without_one_last() -> None:
    rows = [
        computed_row("none", None, 1.0),
        computed_row("free", 9.0, None),
        computed_row("small", 1.0, 2.0),
        computed_row("large", 30.0, 2.0),
        computed_row("late", 90.0, 2.0, loses=False),
    ]
    assert [result.row.name for result in sort_by_ratio(rows)] == ["late", "large", "small", "free", "none"]
    assert [result.row.name for result in service_losing_over_budget(rows)] == ["large"]
    assert [result.row.name for result in other_over_budget(rows)] == ["late"]
    assert first_to_fix(rows).startswith("1. large")
    assert "| none | " in ratio_table(rows)


def test_a_row_from_before_a_fix_counts_only_among_the_rows_before_fixes() -> None:
    current_row = computed_row("lists", 1.0, 2.0)
    row_before_fix = computed_row("lists before", 30.0, 2.0)
    row_before_fix = replace(row_before_fix, row=replace(row_before_fix.row, replaced_by="lists"))
    rows = [current_row, row_before_fix, computed_row("other", 4.0, 2.0)]
    assert [result.row.name for result in service_losing_over_budget(rows_before_fixes(rows))] == [
        "lists before",
        "other",
    ]
    assert [result.row.name for result in service_losing_over_budget(current_rows(rows))] == ["other"]


def test_rows_from_before_a_fix_name_a_current_row() -> None:
    names = {row.name for row in ROWS if not row.replaced_by}
    assert {row.replaced_by for row in ROWS if row.replaced_by} <= names


def test_budgets_are_those_stated_by_operators() -> None:
    assert (BUDGETS.added_p99_ms, BUDGETS.in_force_ms) == (0.87, 3000.0)
    assert (BUDGETS.control_core, BUDGETS.control_mb, BUDGETS.control_bytes_per_s) == (0.012, 32.0, 22_000.0)


def test_a_page_without_a_tables_markers_raises_an_error() -> None:
    with pytest.raises(PageError, match="first"):
        insert_tables("nothing", {"first": "table"})


@pytest.mark.parametrize(
    ("value", "text"),
    [(0.0, "0"), (0.00312, "0.00312"), (12.345, "12.3"), (300.0, "300"), (91351.0, "91,400")],
)
def test_figures_have_three_significant_digits(value: float, text: str) -> None:
    assert figure(value) == text


def test_the_command_reports_a_page_that_differs_from_its_slopes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    from benchmarks.capacity import __main__ as command

    other = tmp_path / "CAPACITY.md"
    other.write_text(PAGE.read_text().replace("| yes |", "| perhaps |"))
    monkeypatch.setattr(command, "PAGE", other)
    assert command.main([]) == 1
    assert "run with --write" in capsys.readouterr().err
    assert command.main(["--write"]) == 0
    assert other.read_text() == PAGE.read_text()
