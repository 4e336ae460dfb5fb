"""Checked-in measurements (`docs/capacity/slopes.json`), as the formulas read them. Reads one file."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

Json = dict[str, Any]
# A power law is described instead of the line if its error is less than this share of the line's error.
MAX_POWER_ERROR_SHARE = 0.5


class MissingSlope(KeyError):
    """A needed measurement is listed neither as measured nor as not measured."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.name = name

    def __str__(self) -> str:
        return f"the slopes file has no measurement {self.name!r}"


class NotMeasured(ValueError):
    """A needed measurement was not made; `reason` says why."""

    def __init__(self, name: str, reason: str) -> None:
        super().__init__(f"{name}: {reason}")
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Slopes:
    """Measurements by name.

    `series` has what `benchmarks.scale` measured at several sizes. `runs` has single figures of other runs,
    each with its command. `not_measured` has the reason for each measurement that was not made."""

    series: Json
    runs: Json
    not_measured: dict[str, str]

    def _series(self, name: str) -> Json:
        """Returns a measured series.

        Raises MissingSlope or NotMeasured."""
        if name in self.series:
            entry: Json = self.series[name]
            return entry
        if name in self.not_measured:
            raise NotMeasured(name, self.not_measured[name])
        raise MissingSlope(name)

    def median_at(self, name: str, size: float) -> float:
        """Returns the median measured at this size.

        Raises MissingSlope, or NotMeasured, also if the series was not measured at this size."""
        entry = self._series(name)["at"]
        key = f"{size:g}"
        if key not in entry:
            raise NotMeasured(name, f"not measured at {key}")
        return float(entry[key]["median"])

    def minimum_at(self, name: str, size: float) -> float:
        """Returns the minimum over the rounds at this size.

        Meant for wall clock times, which other processes on the machine can only lengthen. Raises the same
        errors as `median_at`."""
        self.median_at(name, size)
        return float(self._series(name)["at"][f"{size:g}"]["least"])

    def slope(self, name: str) -> float:
        """Returns the slope of the fitted line, per unit of its axis."""
        return float(self._series(name)["fit"]["line"]["slope"])

    def intercept(self, name: str) -> float:
        return float(self._series(name)["fit"]["line"]["intercept"])

    def fitted_at(self, name: str, size: float) -> float:
        """Returns the cost at any size according to the fitted line."""
        return self.intercept(name) + self.slope(name) * size

    def run(self, name: str) -> float:
        """Returns the figure of a single run.

        Raises MissingSlope or NotMeasured."""
        if name in self.runs:
            return float(self.runs[name]["value"])
        if name in self.not_measured:
            raise NotMeasured(name, self.not_measured[name])
        raise MissingSlope(name)

    def describe(self, name: str) -> str:
        """Describes the fit of a series, or the figure of a single run, for the page's table."""
        if name in self.runs:
            return f"{name}: {self.run(name):.4g} {self.runs[name]['unit']}"
        series = self._series(name)
        line, power, bend = (series["fit"][key] for key in ("line", "power", "bend"))
        if power is not None and power["error"] < MAX_POWER_ERROR_SHARE * line["error"]:
            return f"{name}: ~ size^{power['exponent']:.2f}, error {power['error']:.0%}"
        text = f"{name}: {line['slope']:.3g} ± {line['slope_error']:.2g} by {series['axis'].split(',')[0]}"
        text += f", error {line['error']:.0%}"
        if bend is not None:
            text += f", bends at {bend['size']:g}"
        return text


def load(path: Path) -> Slopes:
    """Reads the slopes file.

    Raises OSError if it cannot be read, ValueError if it is not JSON, KeyError if a part is missing."""
    entry = json.loads(path.read_text())
    return Slopes(entry["series"], entry["runs"], entry["not_measured"])
