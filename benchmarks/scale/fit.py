"""Fits of a cost over its size: a line, a power law, and a line that bends once. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy

MIN_POINTS = 4  # a line with a bend has four parameters
BEND_GAIN = 0.25  # a bend is told if it leaves at most this share of the line's squared error
BEND_TURN = 1.5  # and the slopes on both sides differ by this factor
MIN_ERROR = 0.05  # and the line alone misses by this share of the mean at least


@dataclass(frozen=True, slots=True)
class Line:
    """`cost = intercept + slope * size`. `slope_error`: its standard error. `error`: the root mean square of
    what the line misses by, as a share of the mean cost."""

    intercept: float
    slope: float
    slope_error: float
    error: float

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size


@dataclass(frozen=True, slots=True)
class Power:
    """`cost = factor * size ** exponent`. `error`: as of a line."""

    factor: float
    exponent: float
    error: float

    def at(self, size: float) -> float:
        return float(self.factor * float(size) ** self.exponent)


@dataclass(frozen=True, slots=True)
class Bend:
    """Where the line changes its slope, and its slopes before and after."""

    size: float
    before: float
    after: float


@dataclass(frozen=True, slots=True)
class Fit:
    """`power`: None where a size or a cost is not positive."""

    line: Line
    power: Power | None
    bend: Bend | None


def fit(sizes: Sequence[float], costs: Sequence[float]) -> Fit:
    """Raises ValueError for fewer than `MIN_POINTS` points."""
    if len(sizes) != len(costs) or len(sizes) < MIN_POINTS:
        raise ValueError(f"{len(sizes)} sizes and {len(costs)} costs: {MIN_POINTS} of each are needed")
    x, y = numpy.asarray(sizes, dtype=float), numpy.asarray(costs, dtype=float)
    line, squares = _line(x, y)
    return Fit(line, _power(x, y), _bend(x, y, line, squares))


def _relative(misses: numpy.ndarray, y: numpy.ndarray) -> float:
    mean = float(numpy.abs(y).mean())
    return float(numpy.sqrt((misses**2).mean())) / mean if mean else 0.0


def _line(x: numpy.ndarray, y: numpy.ndarray) -> tuple[Line, float]:
    """The line of least squares, and its squared error."""
    matrix = numpy.column_stack([numpy.ones_like(x), x])
    (intercept, slope), *_ = numpy.linalg.lstsq(matrix, y, rcond=None)
    misses = y - (intercept + slope * x)
    squares = float((misses**2).sum())
    spread = float(((x - x.mean()) ** 2).sum())
    slope_error = float(numpy.sqrt(squares / (len(x) - 2) / spread)) if spread else 0.0
    return Line(float(intercept), float(slope), slope_error, _relative(misses, y)), squares


def _power(x: numpy.ndarray, y: numpy.ndarray) -> Power | None:
    if (x <= 0).any() or (y <= 0).any():
        return None
    exponent, log_factor = numpy.polyfit(numpy.log(x), numpy.log(y), 1)
    factor = float(numpy.exp(log_factor))
    return Power(factor, float(exponent), _relative(y - factor * x**exponent, y))


def _bend(x: numpy.ndarray, y: numpy.ndarray, line: Line, squares: float) -> Bend | None:
    """The best continuous line with one bend, at one of the sizes between the first and the last."""
    inner = numpy.unique(x)[1:-1]
    if line.error < MIN_ERROR or not len(inner):
        return None
    best: tuple[float, Bend] | None = None
    for size in inner:
        matrix = numpy.column_stack([numpy.ones_like(x), x, numpy.maximum(0.0, x - size)])
        (intercept, before, turn), *_ = numpy.linalg.lstsq(matrix, y, rcond=None)
        left = float(((y - matrix @ numpy.array([intercept, before, turn])) ** 2).sum())
        if best is None or left < best[0]:
            best = left, Bend(float(size), float(before), float(before + turn))
    assert best is not None
    left, bend = best
    small, large = sorted((abs(bend.before), abs(bend.after)))
    turns = large > BEND_TURN * small or bend.before * bend.after < 0
    return bend if left <= BEND_GAIN * squares and turns else None
