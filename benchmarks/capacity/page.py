"""The tables of `docs/CAPACITY.md`, between markers, and the page with them put in. No I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence

from benchmarks.capacity.failures import FAILURES, Failure
from benchmarks.capacity.row import (
    Computed,
    Role,
    as_it_stands,
    as_it_was,
    by_ratio,
    compute,
    first_to_mend,
    over_budget,
)
from benchmarks.capacity.rows import ROWS
from benchmarks.capacity.slopes import Slopes

NOT_MEASURED = "not measured"
FIRST = 3


class PageError(ValueError):
    """A table's markers are not on the page."""


def figure(value: float) -> str:
    """Three digits, without an exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{float(f'{value:.3g}'):.10f}".rstrip("0").rstrip(".")


def _value(found: Computed) -> str:
    if found.value is None:
        return f"{NOT_MEASURED}: {found.reason}"
    return f"{figure(found.value)} {found.row.unit}"


def _ratio(found: Computed) -> str:
    return "-" if found.ratio is None else figure(found.ratio)


def _budget(found: Computed) -> str:
    return "none stated" if found.budget is None else figure(found.budget)


def _claim(found: Computed) -> str:
    claim = found.row.claim
    if claim is None:
        return "-"
    return f"{claim.said}: {NOT_MEASURED}" if found.value is None else claim.verdict(found.value)


def _slope(found: Computed, slopes: Slopes) -> str:
    known = [name for name in found.row.needs if name not in slopes.not_measured]
    return "; ".join(slopes.described(name) for name in known) or "-"


def _table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def ratios(computed: Sequence[Computed]) -> str:
    """Every row, the largest ratio first."""
    head = ("row", "role", "figure", "budget", "ratio", "loses service", "expected")
    rows = [
        (
            found.row.name,
            found.row.role.value,
            _value(found),
            _budget(found),
            _ratio(found),
            "yes" if found.row.loses_service else "no",
            _claim(found),
        )
        for found in by_ratio(computed)
    ]
    return _table(head, rows)


def _numbered(rows: Sequence[Computed]) -> str:
    lines = [
        f"{number}. {found.row.name}: {_value(found)}, budget {_budget(found)}, ratio {_ratio(found)}"
        for number, found in enumerate(rows, 1)
    ]
    return "\n".join(lines) or "None is over its budget."


def first(computed: Sequence[Computed]) -> str:
    """The rows to mend first."""
    return _numbered(first_to_mend(computed)[:FIRST])


def of_role(role: Role, computed: Sequence[Computed], slopes: Slopes) -> str:
    head = ("quantity", "row", "formula", "measured slope", "at 680", "mechanism", "file")
    rows = [
        (
            found.row.kind.value,
            found.row.name,
            found.row.formula,
            _slope(found, slopes),
            _value(found),
            found.row.mechanism.name,
            f"`{found.row.mechanism.file}`",
        )
        for found in computed
        if found.row.role is role
    ]
    return _table(head, rows)


def failures(slopes: Slopes, every: Sequence[Failure] = FAILURES) -> str:
    head = ("failure", "what is lost", "for how long", "what bounds it", "run")
    return _table(
        head,
        [(each.name, each.lost, each.lasts(slopes), each.bound, each.evidence(slopes)) for each in every],
    )


def commands(slopes: Slopes) -> str:
    """Every command behind a figure of the page, once."""
    found = {str(each["command"]) for each in (*slopes.series.values(), *slopes.runs.values())}
    return "\n".join(f"- `{command}`" for command in sorted(found))


def missing(computed: Sequence[Computed], slopes: Slopes) -> str:
    lines = [f"- {name}: {reason}" for name, reason in sorted(slopes.not_measured.items())]
    return "\n".join(lines) or "Nothing."


def tables(slopes: Slopes) -> dict[str, str]:
    """By the marker's name. Raises RowError."""
    computed = [compute(row, slopes) for row in ROWS]
    made = {
        "decided": first(as_it_was(computed)),
        "first": first(as_it_stands(computed)),
        "over": _numbered(over_budget(as_it_stands(computed))),
        "ratios": ratios(computed),
        "failures": failures(slopes),
        "commands": commands(slopes),
        "not measured": missing(computed, slopes),
    }
    return made | {role.value: of_role(role, computed, slopes) for role in Role}


def put_in(page: str, made: dict[str, str]) -> str:
    """Raises PageError if a table has no markers on the page."""
    for name, table in made.items():
        begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        pattern = re.compile(f"{re.escape(begin)}.*?{re.escape(end)}", re.DOTALL)
        if len(pattern.findall(page)) != 1:
            raise PageError(f"the markers of {name!r} are not on the page once")
        whole = f"{begin}\n\n{table}\n\n{end}"
        page = pattern.sub(lambda found, whole=whole: whole, page)  # type: ignore[misc]
    return page
