"""Fits of a cost by size: a line, a power law, and a line with one bend. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy

MIN_POINTS = 4  # a line with a bend has four parameters
# A bend is reported only if all three hold.
BEND_GAIN = 0.25  # its squared error is at most this share of that of the line without a bend
BEND_TURN = 1.5  # the slopes on both sides differ by more than this factor, or in sign
MIN_ERROR = 0.05  # the line without a bend has at least this relative error


@dataclass(frozen=True, slots=True)
class Line:
    """The line `cost = intercept + slope * size`.

    `slope_error` is the standard error of the slope. `error` is the root mean square of the residuals, as a
    share of the mean cost."""

    intercept: float
    slope: float
    slope_error: float
    error: float

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size


@dataclass(frozen=True, slots=True)
class Power:
    """The power law `cost = factor * size ** exponent`; `error` is defined as for a line."""

    factor: float
    exponent: float
    error: float

    def at(self, size: float) -> float:
        return float(self.factor * float(size) ** self.exponent)


@dataclass(frozen=True, slots=True)
class Bend:
    """The size at which a line changes its slope, and the slopes before and after it."""

    size: float
    before: float
    after: float


@dataclass(frozen=True, slots=True)
class Fit:
    """All fits of a series.

    `power` is None if a size or a cost is not positive, `bend` if the line has no significant bend."""

    line: Line
    power: Power | None
    bend: Bend | None


def fit(sizes: Sequence[float], costs: Sequence[float]) -> Fit:
    """Fits costs by size. Raises ValueError for fewer than `MIN_POINTS` points."""
    if len(sizes) != len(costs) or len(sizes) < MIN_POINTS:
        raise ValueError(f"{len(sizes)} sizes and {len(costs)} costs: {MIN_POINTS} of each are needed")
    x, y = numpy.asarray(sizes, dtype=float), numpy.asarray(costs, dtype=float)
    line, squared_error = _line(x, y)
    return Fit(line, _power(x, y), _bend(x, y, line, squared_error))


def _relative_error(residuals: numpy.ndarray, y: numpy.ndarray) -> float:
    mean = float(numpy.abs(y).mean())
    return float(numpy.sqrt((residuals**2).mean())) / mean if mean else 0.0


def _line(x: numpy.ndarray, y: numpy.ndarray) -> tuple[Line, float]:
    """Returns the least-squares line and its sum of squared residuals."""
    matrix = numpy.column_stack([numpy.ones_like(x), x])
    (intercept, slope), *_ = numpy.linalg.lstsq(matrix, y, rcond=None)
    residuals = y - (intercept + slope * x)
    squared_error = float((residuals**2).sum())
    spread = float(((x - x.mean()) ** 2).sum())
    slope_error = float(numpy.sqrt(squared_error / (len(x) - 2) / spread)) if spread else 0.0
    return Line(float(intercept), float(slope), slope_error, _relative_error(residuals, y)), squared_error


def _power(x: numpy.ndarray, y: numpy.ndarray) -> Power | None:
    if (x <= 0).any() or (y <= 0).any():
        return None
    exponent, log_factor = numpy.polyfit(numpy.log(x), numpy.log(y), 1)
    factor = float(numpy.exp(log_factor))
    return Power(factor, float(exponent), _relative_error(y - factor * x**exponent, y))


def _bend(x: numpy.ndarray, y: numpy.ndarray, line: Line, squared_error: float) -> Bend | None:
    """Returns the best bend at one of the inner sizes, or None if it is no significant improvement."""
    inner = numpy.unique(x)[1:-1]
    if line.error < MIN_ERROR or not len(inner):
        return None
    best: tuple[float, Bend] | None = None
    for size in inner:
        matrix = numpy.column_stack([numpy.ones_like(x), x, numpy.maximum(0.0, x - size)])
        (intercept, before, turn), *_ = numpy.linalg.lstsq(matrix, y, rcond=None)
        bent_error = float(((y - matrix @ numpy.array([intercept, before, turn])) ** 2).sum())
        if best is None or bent_error < best[0]:
            best = bent_error, Bend(float(size), float(before), float(before + turn))
    assert best is not None
    bent_error, bend = best
    small, large = sorted((abs(bend.before), abs(bend.after)))
    slope_changes = large > BEND_TURN * small or bend.before * bend.after < 0
    return bend if bent_error <= BEND_GAIN * squared_error and slope_changes else None
