"""Rows of the capacity page, and their figures computed from the measured slopes. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from benchmarks.capacity.plan import BUDGETS, SIZES, Budgets, Sizes
from benchmarks.capacity.slopes import MissingSlope, NotMeasured, Slopes

Figure = Callable[[Sizes, Slopes], float]


class Role(Enum):
    """The part of the fleet that bears a cost; the values are headings of the page."""

    DATA_PATH = "client proxy, data path"
    CONTROL_PART = "client proxy, control part"
    CONTROL_MACHINE = "control machine"
    AUTHOR = "author and command"
    DISCOVERY = "discovery"
    ROLLOUT = "rollout driver"


class Kind(Enum):
    """The kind of quantity; the values are printed on the page."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor"
    MEMORY = "memory"
    TIME = "time"


@dataclass(frozen=True, slots=True)
class Mechanism:
    """The mechanism that causes or bounds a quantity, and the source file that implements it."""

    name: str
    file: str


@dataclass(frozen=True, slots=True)
class Claim:
    """An expectation stated before the measurement, and the check whether a measured value confirms it."""

    expectation: str
    is_confirmed_by: Callable[[float], bool]

    def verdict(self, value: float) -> str:
        return f"{self.expectation}: {'confirmed' if self.is_confirmed_by(value) else 'refuted'}"


@dataclass(frozen=True, slots=True)
class Row:
    """One quantity of the capacity page.

    `formula` describes in words what `figure` computes. `needs` names the measurements that it uses. `budget`
    is None where operators state none. `loses_service` says whether requests are rejected or fail because of
    it; late requests do not count as lost. `replaced_by` is set for a row measured with older code, before a
    fix: it names the row of the same quantity with the current code."""

    name: str
    role: Role
    kind: Kind
    formula: str
    unit: str
    figure: Figure
    needs: tuple[str, ...]
    budget: Callable[[Budgets], float] | None
    loses_service: bool
    mechanism: Mechanism
    claim: Claim | None = None
    replaced_by: str = ""


class RowError(ValueError):
    """A measurement that a row needs is missing; the message has the row's name."""


@dataclass(frozen=True, slots=True)
class Computed:
    """A row with its figure and budget.

    `value` is None if the row was not measured; `reason` then says why. `ratio` is None if there is no value
    or no budget."""

    row: Row
    value: float | None
    budget: float | None
    reason: str = ""

    @property
    def ratio(self) -> float | None:
        if self.value is None or self.budget is None:
            return None
        return self.value / self.budget


def compute(row: Row, slopes: Slopes, sizes: Sizes = SIZES, budgets: Budgets = BUDGETS) -> Computed:
    """Computes the figure and the budget of a row.

    Raises RowError, with the row's name, if a measurement that it needs is missing."""
    budget = row.budget(budgets) if row.budget is not None else None
    for name in row.needs:
        if name not in slopes.series and name not in slopes.runs and name not in slopes.not_measured:
            raise RowError(f"row {row.name!r}: {MissingSlope(name)}")
    try:
        return Computed(row, row.figure(sizes, slopes), budget)
    except NotMeasured as missing:
        return Computed(row, None, budget, missing.reason)
    except MissingSlope as missing:
        raise RowError(f"row {row.name!r}: {missing}, and the row's needs do not list it") from None


def sort_by_ratio(rows: Sequence[Computed]) -> list[Computed]:
    """Sorts rows by ratio, the largest first, then rows without a budget, then rows not measured."""

    def rank(result: Computed) -> tuple[int, float]:
        if result.value is None:
            return 2, 0.0
        return (1, 0.0) if result.ratio is None else (0, -result.ratio)

    return sorted(rows, key=rank)


def current_rows(rows: Sequence[Computed]) -> list[Computed]:
    """Returns the rows measured with the current code."""
    return [result for result in rows if not result.row.replaced_by]


def rows_before_fixes(rows: Sequence[Computed]) -> list[Computed]:
    """Returns the rows with those measured before a fix in place of the ones that replaced them."""
    replaced_names = {result.row.replaced_by for result in rows if result.row.replaced_by}
    return [result for result in rows if result.row.name not in replaced_names]


def other_over_budget(rows: Sequence[Computed]) -> list[Computed]:
    """Returns the measured rows that are over their budget and lose no service, the largest ratio first."""
    return [
        result
        for result in sort_by_ratio(rows)
        if not result.row.loses_service and (result.ratio is not None and result.ratio > 1)
    ]


def service_losing_over_budget(rows: Sequence[Computed]) -> list[Computed]:
    """Returns the measured rows that are over their budget and lose service, the largest ratio first."""
    return [
        result
        for result in sort_by_ratio(rows)
        if result.row.loses_service and (result.ratio is not None and result.ratio > 1)
    ]
