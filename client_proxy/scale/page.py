"""Draws a scale report as an HTML page with plots. Needs the extra `plots`."""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path
from typing import Any

from client_proxy.scale.measure import CPU, MEMORY, SENT_AND_RECEIVED
from client_proxy.scale.report import CHANGE_S, DayReport, Measurement, Report

PLOTTED = (CPU, MEMORY, SENT_AND_RECEIVED)  # measurements with a plot by role


def write_page(report: Report, out: Path) -> None:
    """Writes the page to `out`. Raises OSError if it can't be written."""
    parts = [_day_section(day) for day in report.days]
    title = html.escape(f"{report.plan}: {report.outcome}")
    out.write_text(
        f'<!doctype html><meta charset="utf-8"><title>{title}</title><h1>{title}</h1>'
        f"<p>{html.escape(report.why)}</p><p>{report.instances} hollow instances, {report.control} control "
        f"machines, {report.real} real instances, {report.took_s:.0f} s</p>{''.join(parts)}"
    )


def _day_section(day: DayReport) -> str:
    rows = "".join(_table_row(row) for row in [*day.figures, *day.without_lease.values()])
    notes = "".join(f"<p>{html.escape(note)}</p>" for note in day.notes)
    return (
        f'<h2>{html.escape(day.name)}, {day.length_s:.0f} s</h2><img alt="plots" '
        f'src="data:image/png;base64,{_plots(day)}">{notes}<p>proposals: {html.escape(str(day.proposals))}'
        f"</p><p>calls: {html.escape(str(day.calls))}</p>"
        '<table border="1"><tr><th>role</th><th>figure</th><th>unit</th><th>least</th><th>median</th>'
        f"<th>most</th><th>of</th><th>budget</th><th>most is</th></tr>{rows}</table>"
    )


def _table_row(row: Measurement) -> str:
    values = ("" if value is None else f"{value:g}" for value in (row.least, row.median, row.most))
    budget = "" if row.budget is None else f"{row.budget:g}"
    cells = (row.role, row.name, row.unit, *values, str(row.count), budget, row.standing)
    return "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in cells) + "</tr>"


def _plots(day: DayReport) -> str:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 1 + len(PLOTTED), figsize=(16, 3.5))
    _plot_changes(axes[0], day)
    for plot, name in zip(axes[1:], PLOTTED, strict=True):
        _plot_by_role(plot, [row for row in day.figures if row.name == name and row.most is not None], name)
    figure.tight_layout()
    image = io.BytesIO()
    figure.savefig(image, format="png", dpi=90)
    pyplot.close(figure)
    return base64.b64encode(image.getvalue()).decode()


def _plot_changes(axes: Any, day: DayReport) -> None:
    """Plots the time until each change was in force everywhere over the time of its first try."""
    points = [(row.at_s, row.in_force_s) for row in day.changes if row.in_force_s is not None]
    axes.scatter([at_s for at_s, _ in points], [took_s for _, took_s in points], s=14)
    axes.axhline(CHANGE_S, color="#c0392b", linewidth=1)
    axes.set_title("change in force everywhere, s", fontsize=9)
    axes.set_xlabel("second of the day")


def _plot_by_role(axes: Any, rows: list[Measurement], name: str) -> None:
    for height, row in enumerate(rows):
        axes.plot([row.least, row.most], [height, height], color="#555555")
        axes.plot([row.median], [height], marker="o", color="#3a7d44")
        if row.budget is not None:
            axes.plot([row.budget], [height], marker="|", markersize=14, color="#c0392b")
    axes.set_yticks(range(len(rows)), [row.role for row in rows], fontsize=7)
    axes.set_title(f"{name}, {rows[0].unit}" if rows else name, fontsize=9)
