"""The report of a scale run, as types that are written as JSON, and the budgets for its measurements."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from statistics import median
from typing import Any, Literal

Outcome = Literal["passed", "failed", "error", "refused"]
Standing = Literal["over", "under", "not measured", ""]
NO_ROLE = ""
CONTROL_ALONE = "real instance, control alone"
AUTHOR = "author"

CHANGE_S = 3.0  # seconds; from the proposal of a change until it is in force everywhere
CONTROL_CPU_PERCENT = 1.2  # % of a core; cost of the control part per client proxy
CONTROL_MB = 32.0  # memory of the control part per client proxy
CONTROL_KB_PER_S = 22.0  # sent and received by the control part of a client proxy
ADDED_MS = 0.87  # ms added to a call, 99th percentile; a scale run doesn't measure it


@dataclass(frozen=True, slots=True)
class Measurement:
    """A row of the report: least, median and most of `count` values. All three are None without any value."""

    name: str
    role: str
    unit: str
    least: float | None
    median: float | None
    most: float | None
    count: int
    budget: float | None = None

    @property
    def standing(self) -> Standing:
        """Whether the largest value is over or under the budget; empty without a budget."""
        if self.budget is None:
            return ""
        if self.most is None:
            return "not measured"
        return "over" if self.most > self.budget else "under"


def summarize(
    name: str, unit: str, values: Iterable[float], role: str = NO_ROLE, budget: float | None = None
) -> Measurement:
    """Reduces values to a row of the report, rounded to 4 decimals."""
    found = sorted(values)
    if not found:
        return Measurement(name, role, unit, None, None, None, 0, budget)
    least, middle, most = (round(value, 4) for value in (found[0], median(found), found[-1]))
    return Measurement(name, role, unit, least, middle, most, len(found), budget)


@dataclass
class ChangeRow:
    """A change of the policy. Times are seconds since its author's first try; None: not within the day."""

    name: str
    author: int
    by: str
    outcome: str
    tries: int
    at_s: float  # seconds; from the beginning of the day to the first try
    decided_s: float | None
    in_force_s: float | None
    last: str = ""  # name of the instance that adopted it last
    missing: int = 0  # number of instances that were running and never adopted it
    why: str = ""  # reason of the first instance that refused it; empty if it was not refused
    by_away: bool = False  # whether its control machine was down or cut off at the first try


@dataclass
class DayReport:
    """Results of one day of the plan."""

    name: str
    kind: str
    length_s: float
    figures: list[Measurement] = field(default_factory=list)
    changes: list[ChangeRow] = field(default_factory=list)
    proposals: dict[str, int] = field(default_factory=dict)  # number of proposals by outcome
    without_lease: dict[str, Measurement] = field(
        default_factory=dict
    )  # by region; seconds per hollow instance
    calls: dict[str, dict[str, int]] = field(
        default_factory=dict
    )  # by region; number of client calls by ending
    notes: list[str] = field(default_factory=list)

    def find(self, name: str, role: str = NO_ROLE) -> Measurement | None:
        return next((each for each in self.figures if (each.name, each.role) == (name, role)), None)


@dataclass
class Report:
    """Results of a scale run.

    Outcomes: `passed`: the run went as planned; a measurement over its budget is shown and is no failure.
    `failed`: a hollow instance died, is overloaded or doesn't report. `error`: another process of the run
    failed. `refused`: the machine was too busy for a result."""

    plan: str
    seed: int
    instances: int
    control: int
    real: int
    processes: int
    outcome: Outcome = "passed"
    why: str = ""
    days: list[DayReport] = field(default_factory=list)
    lateness: dict[str, Any] = field(default_factory=dict)
    took_s: float = 0.0

    def to_json(self) -> dict[str, Any]:
        """Returns the report in JSON's types, with the standing of each measurement."""
        document = asdict(self)
        for day, day_json in zip(self.days, document["days"], strict=True):
            for row, row_json in zip(day.figures, day_json["figures"], strict=True):
                row_json["standing"] = row.standing
        return document
