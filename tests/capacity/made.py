"""Builds slopes with round figures, so that the results of formulas can be computed by hand."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from benchmarks.capacity.slopes import Slopes


def series(at: Mapping[int, float], slope: float = 0.0, intercept: float = 0.0) -> dict[str, Any]:
    """Returns a series in the format that `benchmarks.scale` writes, with the same value in every round."""
    line = {"intercept": intercept, "slope": slope, "slope_error": 0.0, "error": 0.0}
    return {
        "command": "made by hand",
        "unit": "ms",
        "axis": "size",
        "basis": "counted",
        "rounds": 1,
        "at": {str(size): {"least": value, "median": value, "most": value} for size, value in at.items()},
        "fit": {"line": line, "power": None, "bend": None},
    }


def slopes(**entries: dict[str, Any]) -> Slopes:
    """Returns slopes with these series; `__` in a keyword stands for the point in a series' name."""
    return Slopes({name.replace("__", "."): entry for name, entry in entries.items()}, {}, {})
