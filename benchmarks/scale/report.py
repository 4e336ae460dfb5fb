"""Reports measured series as JSON, and as a page with a plot of each. The page needs the extra `plots`."""

from __future__ import annotations

import base64
import html
import io
from collections.abc import Sequence
from dataclasses import asdict
from statistics import median
from typing import Any

from benchmarks.scale.cost import Series
from benchmarks.scale.fit import Fit, fit

Json = dict[str, Any]
DIGITS = 6  # significant digits in the JSON
PLOT_SIZE_IN = (7.0, 3.6)


def round_value(value: float) -> float:
    """Rounds to `DIGITS` significant digits."""
    return float(f"{value:.{DIGITS}g}")


def _round_values(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _round_values(each) for key, each in value.items()}
    return round_value(value) if isinstance(value, float) else value


def fit_series(series: Series) -> Fit:
    """Fits all readings of all rounds, not their medians, so that the error is that of a single reading."""
    sizes = [size for size, values in series.readings.items() for _ in values]
    costs = [value for values in series.readings.values() for value in values]
    return fit(sizes, costs)


def entry(series: Series, command: str) -> Json:
    """Returns the JSON entry of a series; `at` has least, median and most by size."""
    at = {
        str(size): {"least": min(values), "median": median(values), "most": max(values)}
        for size, values in series.readings.items()
    }
    rounds = max(len(values) for values in series.readings.values())
    results: Json = _round_values({"at": at, "fit": asdict(fit_series(series))})
    description = {"unit": series.unit, "axis": series.axis, "basis": series.basis, "rounds": rounds}
    return {"command": command, **description, **results}


def document(all_series: Sequence[Series], command: str, machine: Json) -> Json:
    return {"machine": machine, "series": {series.name: entry(series, command) for series in all_series}}


def page(all_series: Sequence[Series], command: str) -> str:
    """Returns a self-contained HTML page."""
    parts = [_section(series) for series in all_series]
    return (
        '<!doctype html><meta charset="utf-8"><title>Costs by size</title>'
        f"<h1>Costs by size</h1><p><code>{html.escape(command)}</code></p>{''.join(parts)}\n"
    )


def _section(series: Series) -> str:
    fitted = fit_series(series)
    return (
        f"<h2>{html.escape(series.name)}</h2><p>{html.escape(describe_fit(fitted, series.unit))}</p>"
        f'<img alt="{html.escape(series.name)} by size" src="data:image/png;base64,{_plot(series, fitted)}">'
    )


def describe_fit(fitted: Fit, unit: str) -> str:
    """Describes a fit in one line of text."""
    line = fitted.line
    text = f"line: {line.intercept:.4g} + {line.slope:.4g} (±{line.slope_error:.2g}) x size {unit}, "
    text += f"error {line.error:.1%}"
    if fitted.power is not None:
        power = fitted.power
        text += f"; power: {power.factor:.4g} x size^{power.exponent:.2f}, error {power.error:.1%}"
    if fitted.bend is not None:
        text += f"; bends at {fitted.bend.size:g}: {fitted.bend.before:.4g}, then {fitted.bend.after:.4g}"
    return text


def _plot(series: Series, fitted: Fit) -> str:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    sizes = sorted(series.readings)
    figure, axes = pyplot.subplots(figsize=PLOT_SIZE_IN)
    for size in sizes:
        values = series.readings[size]
        axes.plot([size] * len(values), values, "o", color="#34618e", markersize=3)
    axes.plot(sizes, [fitted.line.at(size) for size in sizes], "-", color="#c0392b", label="line")
    if fitted.power is not None:
        axes.plot(sizes, [fitted.power.at(size) for size in sizes], "--", color="#3a7d44", label="power")
    axes.set_xlabel(series.axis)
    axes.set_ylabel(f"{series.name}, {series.unit}")
    axes.legend()
    image = io.BytesIO()
    figure.tight_layout()
    figure.savefig(image, format="png", dpi=90)
    pyplot.close(figure)
    return base64.b64encode(image.getvalue()).decode()
