"""Formats the tables of `docs/CAPACITY.md` and inserts them between the markers of the page. No I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence

from benchmarks.capacity.failures import FAILURES, Failure
from benchmarks.capacity.row import (
    Computed,
    Role,
    compute,
    current_rows,
    other_over_budget,
    rows_before_fixes,
    service_losing_over_budget,
    sort_by_ratio,
)
from benchmarks.capacity.rows import ROWS
from benchmarks.capacity.slopes import Slopes

NOT_MEASURED = "not measured"
MAX_ROWS_TO_FIX = 3


class PageError(ValueError):
    """The page does not have a table's markers exactly once."""


def figure(value: float) -> str:
    """Formats a number with three significant digits, without an exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{float(f'{value:.3g}'):.10f}".rstrip("0").rstrip(".")


def _value_text(result: Computed) -> str:
    if result.value is None:
        return f"{NOT_MEASURED}: {result.reason}"
    return f"{figure(result.value)} {result.row.unit}"


def _ratio_text(result: Computed) -> str:
    return "-" if result.ratio is None else figure(result.ratio)


def _budget_text(result: Computed) -> str:
    return "none stated" if result.budget is None else figure(result.budget)


def _claim_text(result: Computed) -> str:
    claim = result.row.claim
    if claim is None:
        return "-"
    return f"{claim.expectation}: {NOT_MEASURED}" if result.value is None else claim.verdict(result.value)


def _slope_text(result: Computed, slopes: Slopes) -> str:
    known = [name for name in result.row.needs if name not in slopes.not_measured]
    return "; ".join(slopes.describe(name) for name in known) or "-"


def _markdown_table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def ratio_table(computed: Sequence[Computed]) -> str:
    """Formats a table of all rows, the largest ratio of figure to budget first."""
    head = ("row", "role", "figure", "budget", "ratio", "loses service", "expected")
    rows = [
        (
            result.row.name,
            result.row.role.value,
            _value_text(result),
            _budget_text(result),
            _ratio_text(result),
            "yes" if result.row.loses_service else "no",
            _claim_text(result),
        )
        for result in sort_by_ratio(computed)
    ]
    return _markdown_table(head, rows)


def _numbered_list(rows: Sequence[Computed]) -> str:
    lines = [
        f"{number}. {result.row.name}: {_value_text(result)}, budget {_budget_text(result)}, "
        f"ratio {_ratio_text(result)}"
        for number, result in enumerate(rows, 1)
    ]
    return "\n".join(lines) or "None is over its budget."


def first_to_fix(computed: Sequence[Computed]) -> str:
    """Formats the list of the rows over their budget that lose service, the worst first."""
    return _numbered_list(service_losing_over_budget(computed)[:MAX_ROWS_TO_FIX])


def role_table(role: Role, computed: Sequence[Computed], slopes: Slopes) -> str:
    """Formats the table of a role with formulas, slopes and mechanisms."""
    head = ("quantity", "row", "formula", "measured slope", "at 680", "mechanism", "file")
    rows = [
        (
            result.row.kind.value,
            result.row.name,
            result.row.formula,
            _slope_text(result, slopes),
            _value_text(result),
            result.row.mechanism.name,
            f"`{result.row.mechanism.file}`",
        )
        for result in computed
        if result.row.role is role
    ]
    return _markdown_table(head, rows)


def failure_table(slopes: Slopes, every: Sequence[Failure] = FAILURES) -> str:
    """Formats the table of the planned failures."""
    head = ("failure", "what is lost", "for how long", "what bounds it", "run")
    return _markdown_table(
        head,
        [
            (each.name, each.lost, each.duration_text(slopes), each.bound, each.evidence(slopes))
            for each in every
        ],
    )


def command_list(slopes: Slopes) -> str:
    """Formats the list of the commands that measured the figures, each listed once."""
    result = {str(each["command"]) for each in (*slopes.series.values(), *slopes.runs.values())}
    return "\n".join(f"- `{command}`" for command in sorted(result))


def not_measured_list(computed: Sequence[Computed], slopes: Slopes) -> str:
    """Formats the list of measurements that were not made, with their reasons."""
    lines = [f"- {name}: {reason}" for name, reason in sorted(slopes.not_measured.items())]
    return "\n".join(lines) or "Nothing."


def tables(slopes: Slopes) -> dict[str, str]:
    """Returns the text of every table by the name of its markers.

    Raises RowError if a measurement of a row is missing."""
    computed = [compute(row, slopes) for row in ROWS]
    made = {
        "decided": first_to_fix(rows_before_fixes(computed)),
        "first": first_to_fix(current_rows(computed)),
        "over": _numbered_list(other_over_budget(current_rows(computed))),
        "ratios": ratio_table(computed),
        "failures": failure_table(slopes),
        "commands": command_list(slopes),
        "not measured": not_measured_list(computed, slopes),
    }
    return made | {role.value: role_table(role, computed, slopes) for role in Role}


def insert_tables(page: str, made: dict[str, str]) -> str:
    """Returns the page with the text between each table's markers replaced.

    Raises PageError if a table's markers are not on the page exactly once."""
    for name, table in made.items():
        begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        pattern = re.compile(f"{re.escape(begin)}.*?{re.escape(end)}", re.DOTALL)
        if len(pattern.findall(page)) != 1:
            raise PageError(f"the page must contain the markers of table {name!r} exactly once")
        whole = f"{begin}\n\n{table}\n\n{end}"
        page = pattern.sub(lambda result, whole=whole: whole, page)  # type: ignore[misc]
    return page
