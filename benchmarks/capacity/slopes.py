"""The checked-in measurements (`docs/capacity/slopes.json`), as formulas use them. Reads one file."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

Json = dict[str, Any]
POWER_GAIN = 0.5  # a power law is told in place of the line if it misses by less than this share of it


class MissingSlope(KeyError):
    """A measurement that a formula needs stands neither among the measured nor among the not measured."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.name = name

    def __str__(self) -> str:
        return f"no measurement {self.name!r} in the slopes"


class NotMeasured(ValueError):
    """A measurement that a formula needs was not made; the reason is told."""

    def __init__(self, name: str, reason: str) -> None:
        super().__init__(f"{name}: {reason}")
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Slopes:
    """`series`: by name, what `benchmarks.scale` measured. `runs`: by name, one figure of another run, with
    its command. `not_measured`: by name, why."""

    series: Json
    runs: Json
    not_measured: dict[str, str]

    def _series(self, name: str) -> Json:
        """Raises MissingSlope or NotMeasured."""
        if name in self.series:
            found: Json = self.series[name]
            return found
        if name in self.not_measured:
            raise NotMeasured(name, self.not_measured[name])
        raise MissingSlope(name)

    def at(self, name: str, size: float) -> float:
        """The median that was measured at this size. Raises MissingSlope or NotMeasured, also for a size
        that was not among the sizes."""
        found = self._series(name)["at"]
        key = f"{size:g}"
        if key not in found:
            raise NotMeasured(name, f"not measured at {key}")
        return float(found[key]["median"])

    def least(self, name: str, size: float) -> float:
        """The least of the rounds at this size: for times by the wall, which others on the machine only
        lengthen. Raises as `at`."""
        self.at(name, size)
        return float(self._series(name)["at"][f"{size:g}"]["least"])

    def slope(self, name: str) -> float:
        """Of the fitted line, by unit of its axis."""
        return float(self._series(name)["fit"]["line"]["slope"])

    def intercept(self, name: str) -> float:
        return float(self._series(name)["fit"]["line"]["intercept"])

    def line(self, name: str, size: float) -> float:
        """The fitted line's cost at any size."""
        return self.intercept(name) + self.slope(name) * size

    def run(self, name: str) -> float:
        """One figure of another run. Raises MissingSlope or NotMeasured."""
        if name in self.runs:
            return float(self.runs[name]["value"])
        if name in self.not_measured:
            raise NotMeasured(name, self.not_measured[name])
        raise MissingSlope(name)

    def described(self, name: str) -> str:
        """The fit in a few words, or the run's figure, for the table."""
        if name in self.runs:
            return f"{name}: {self.run(name):.4g} {self.runs[name]['unit']}"
        series = self._series(name)
        line, power, bend = (series["fit"][key] for key in ("line", "power", "bend"))
        if power is not None and power["error"] < POWER_GAIN * line["error"]:
            return f"{name}: ~ size^{power['exponent']:.2f}, error {power['error']:.0%}"
        text = f"{name}: {line['slope']:.3g} ± {line['slope_error']:.2g} by {series['axis'].split(',')[0]}"
        text += f", error {line['error']:.0%}"
        if bend is not None:
            text += f", bends at {bend['size']:g}"
        return text


def load(path: Path) -> Slopes:
    """Raises OSError or ValueError."""
    found = json.loads(path.read_text())
    return Slopes(found["series"], found["runs"], found["not_measured"])
