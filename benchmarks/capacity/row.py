"""One row of the capacity page, and what comes out of it with the measured slopes. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from benchmarks.capacity.plan import BUDGETS, SIZES, Budgets, Sizes
from benchmarks.capacity.slopes import MissingSlope, NotMeasured, Slopes

Figure = Callable[[Sizes, Slopes], float]


class Role(Enum):
    DATA_PATH = "client proxy, data path"
    CONTROL_PART = "client proxy, control part"
    CONTROL_MACHINE = "control machine"
    AUTHOR = "author and command"
    DISCOVERY = "discovery"
    ROLLOUT = "rollout driver"


class Kind(Enum):
    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor"
    MEMORY = "memory"
    TIME = "time"


@dataclass(frozen=True, slots=True)
class Mechanism:
    """What carries the quantity, or bounds it, and the file where it stands."""

    name: str
    file: str


@dataclass(frozen=True, slots=True)
class Claim:
    """What was expected of a figure before it was measured, and whether a value bears it out."""

    said: str
    holds: Callable[[float], bool]

    def verdict(self, value: float) -> str:
        return f"{self.said}: {'confirmed' if self.holds(value) else 'refuted'}"


@dataclass(frozen=True, slots=True)
class Row:
    """`formula`: the figure in words, as `figure` computes it. `needs`: the measurements behind it. `budget`:
    None where operators state none. `loses_service`: calls are refused or fail by it; late is not lost.
    `before`: the row that stands for the same today; this one is of the code before a mend."""

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
    before: str = ""


class RowError(ValueError):
    """A row whose measurement is missing; told by the row's name."""


@dataclass(frozen=True, slots=True)
class Computed:
    """`value` None: not measured, for `reason`. `ratio` None: no budget is stated, or it is not measured."""

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
    """Raises RowError by the row's name if a measurement of it is missing."""
    budget = row.budget(budgets) if row.budget is not None else None
    for name in row.needs:
        if name not in slopes.series and name not in slopes.runs and name not in slopes.not_measured:
            raise RowError(f"row {row.name!r}: {MissingSlope(name)}")
    try:
        return Computed(row, row.figure(sizes, slopes), budget)
    except NotMeasured as missing:
        return Computed(row, None, budget, missing.reason)
    except MissingSlope as missing:
        raise RowError(f"row {row.name!r}: {missing}, and it is not among the row's needs") from None


def by_ratio(rows: Sequence[Computed]) -> list[Computed]:
    """The largest ratio first; then rows without a budget; then what was not measured."""

    def rank(found: Computed) -> tuple[int, float]:
        if found.value is None:
            return 2, 0.0
        return (1, 0.0) if found.ratio is None else (0, -found.ratio)

    return sorted(rows, key=rank)


def as_it_stands(rows: Sequence[Computed]) -> list[Computed]:
    """Without the rows of code before a mend."""
    return [found for found in rows if not found.row.before]


def as_it_was(rows: Sequence[Computed]) -> list[Computed]:
    """With rows of code before a mend in the place of those of today."""
    mended = {found.row.before for found in rows if found.row.before}
    return [found for found in rows if found.row.name not in mended]


def over_budget(rows: Sequence[Computed]) -> list[Computed]:
    """Measured rows over their budget that lose no service, the largest ratio first."""
    return [
        found
        for found in by_ratio(rows)
        if not found.row.loses_service and (found.ratio is not None and found.ratio > 1)
    ]


def first_to_mend(rows: Sequence[Computed]) -> list[Computed]:
    """Measured rows that lose service, over their budget, the largest ratio first."""
    return [
        found
        for found in by_ratio(rows)
        if found.row.loses_service and (found.ratio is not None and found.ratio > 1)
    ]
