"""What was measured as JSON, and as a page with a plot of each series. The page needs the extra `plots`."""

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
DIGITS = 6  # significant ones in the JSON
PLOT_SIZE_IN = (7.0, 3.6)


def rounded(value: float) -> float:
    return float(f"{value:.{DIGITS}g}")


def _rounded(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _rounded(each) for key, each in value.items()}
    return rounded(value) if isinstance(value, float) else value


def fit_of(series: Series) -> Fit:
    """Over every reading of every round, not over their medians: the error is that of a reading."""
    sizes = [size for size, values in series.readings.items() for _ in values]
    costs = [value for values in series.readings.values() for value in values]
    return fit(sizes, costs)


def entry(series: Series, command: str) -> Json:
    """One series as it stands in the JSON: `at` has least, median and most by size."""
    at = {
        str(size): {"least": min(values), "median": median(values), "most": max(values)}
        for size, values in series.readings.items()
    }
    rounds = max(len(values) for values in series.readings.values())
    found: Json = _rounded({"at": at, "fit": asdict(fit_of(series))})
    told = {"unit": series.unit, "axis": series.axis, "basis": series.basis, "rounds": rounds}
    return {"command": command, **told, **found}


def document(every: Sequence[Series], command: str, machine: Json) -> Json:
    return {"machine": machine, "series": {series.name: entry(series, command) for series in every}}


def page(every: Sequence[Series], command: str) -> str:
    """A page of HTML that stands by itself."""
    parts = [_section(series) for series in every]
    return (
        '<!doctype html><meta charset="utf-8"><title>Costs by size</title>'
        f"<h1>Costs by size</h1><p><code>{html.escape(command)}</code></p>{''.join(parts)}\n"
    )


def _section(series: Series) -> str:
    found = fit_of(series)
    return (
        f"<h2>{html.escape(series.name)}</h2><p>{html.escape(words(found, series.unit))}</p>"
        f'<img alt="{html.escape(series.name)} by size" src="data:image/png;base64,{_plot(series, found)}">'
    )


def words(found: Fit, unit: str) -> str:
    """The fit in one line of text."""
    line = found.line
    text = f"line: {line.intercept:.4g} + {line.slope:.4g} (±{line.slope_error:.2g}) x size {unit}, "
    text += f"error {line.error:.1%}"
    if found.power is not None:
        power = found.power
        text += f"; power: {power.factor:.4g} x size^{power.exponent:.2f}, error {power.error:.1%}"
    if found.bend is not None:
        text += f"; bends at {found.bend.size:g}: {found.bend.before:.4g}, then {found.bend.after:.4g}"
    return text


def _plot(series: Series, found: Fit) -> str:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    sizes = sorted(series.readings)
    figure, axes = pyplot.subplots(figsize=PLOT_SIZE_IN)
    for size in sizes:
        values = series.readings[size]
        axes.plot([size] * len(values), values, "o", color="#34618e", markersize=3)
    axes.plot(sizes, [found.line.at(size) for size in sizes], "-", color="#c0392b", label="line")
    if found.power is not None:
        axes.plot(sizes, [found.power.at(size) for size in sizes], "--", color="#3a7d44", label="power")
    axes.set_xlabel(series.axis)
    axes.set_ylabel(f"{series.name}, {series.unit}")
    axes.legend()
    drawn = io.BytesIO()
    figure.tight_layout()
    figure.savefig(drawn, format="png", dpi=90)
    pyplot.close(figure)
    return base64.b64encode(drawn.getvalue()).decode()
