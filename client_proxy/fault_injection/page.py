"""Draws a drill as an HTML page: a lane per process with faults, states and answers over time.

Needs the extra `plots`.
"""

from __future__ import annotations

import base64
import html
import io
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any
from zlib import crc32

from client_proxy.fault_injection import invariants
from client_proxy.fault_injection.history import Record
from client_proxy.fault_injection.plan import Plan
from client_proxy.fault_injection.scenario_runner import Verdict

COLOURS = {
    "served": "#3a7d44",
    "refused": "#e0a030",
    "failed": "#c0392b",
    "gone": "#777777",
    "lost": "#000000",
}
STATES = {"down": "#555555", "stopped": "#8e44ad"}


def draw(plan: Plan, records: Sequence[Record], verdict: Verdict, out: Path) -> None:
    """Write the page of a drill to the file `out`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    begin_records = invariants.records_of_kind(records, "begin")
    start_s = begin_records[0]["t"] if begin_records else (records[0]["t"] if records else 0.0)
    lane_names = [*plan.instances(), *plan.racks()] + (["d"] if plan.fleet.line == "run" else [])
    row_of = {name: len(lane_names) - n for n, name in enumerate(lane_names)}
    figure, (lane_axes, share_axes) = pyplot.subplots(
        2, 1, sharex=True, figsize=(14, 2.5 + 0.35 * len(lane_names)), height_ratios=[len(lane_names), 3]
    )
    _draw_faults(lane_axes, records, row_of, start_s)
    for name, spans in invariants.excused_spans(records).items():
        for span in spans:
            if name in row_of and span.why in STATES:
                end = min(span.end_s, records[-1]["t"])
                bar = [(span.begin_s - start_s, end - span.begin_s)]
                lane_axes.broken_barh(bar, (row_of[name] - 0.35, 0.7), color=STATES[span.why])
    points: dict[str, tuple[list[float], list[float]]] = defaultdict(lambda: ([], []))
    for op in invariants.records_of_kind(records, "op"):
        ending = op["ending"] if op["ending"] in COLOURS else "lost"
        points[ending][0].append(op["end"] - start_s)
        points[ending][1].append(row_of[op["instance"]] + 0.25 - 0.5 * (crc32(op["id"].encode()) % 100) / 100)
    for ending, (xs, ys) in points.items():
        lane_axes.scatter(xs, ys, s=3, color=COLOURS[ending], label=f"{ending}: {len(xs)}", zorder=3)
    for breach in verdict.breaches:
        if breach.who in row_of:
            lane_axes.plot(
                [breach.t - start_s], [row_of[breach.who]], marker="x", color="red", markersize=9, zorder=4
            )
    lane_axes.set_yticks([row_of[name] for name in lane_names], lane_names)
    lane_axes.legend(loc="upper right", fontsize=7)
    end = invariants.records_of_kind(records, "end")
    windows = invariants.served_by_window(records, start_s, end[0]["t"] if end else start_s)
    share_axes.step(
        [w[0] - start_s for w in windows], [w[2] / w[1] if w[1] else 1.0 for w in windows], where="post"
    )
    share_axes.set_ylim(0, 1.05)
    share_axes.set_ylabel("served")
    share_axes.set_xlabel("seconds")
    image = io.BytesIO()
    figure.tight_layout()
    figure.savefig(image, format="png", dpi=110)
    pyplot.close(figure)
    out.write_text(_render_page(plan, verdict, base64.b64encode(image.getvalue()).decode()))


def _draw_faults(axes: Any, records: Sequence[Record], row_of: dict[str, int], start_s: float) -> None:
    for fault in invariants.records_of_kind(records, "fault"):
        for name in fault["who"] + fault["to"]:
            if name in row_of:
                span = [(fault["begin"] - start_s, max(0.05, fault["end"] - fault["begin"]))]
                axes.broken_barh(span, (row_of[name] - 0.45, 0.9), color="#f3c6c0", zorder=0)
        if fault["who"][0] in row_of:
            bar = fault["begin"] - start_s, row_of[fault["who"][0]] + 0.3
            axes.text(*bar, fault["what"], fontsize=6, zorder=5)


def _render_page(plan: Plan, verdict: Verdict, picture: str) -> str:
    rows = "".join(
        f"<tr><td>{html.escape(b.rule)}</td><td>{html.escape(b.who)}</td><td>{html.escape(b.what)}</td></tr>"
        for b in verdict.breaches[:200]
    )
    return f"""<!doctype html><meta charset="utf-8"><title>{html.escape(plan.name)}</title>
<h1>{html.escape(plan.name)}: {verdict.outcome}</h1><p>{html.escape(plan.about)}</p>
<p>{html.escape(verdict.why)}</p><img alt="lanes" src="data:image/png;base64,{picture}">
<table border="1"><tr><th>rule</th><th>who</th><th>what</th></tr>{rows}</table>
<pre>{html.escape(str(verdict.figures))}</pre>
"""
