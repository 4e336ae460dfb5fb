"""A drill as a page: a lane for each process, faults, states and answers on one axis of time. Needs the extra
`plots`."""

from __future__ import annotations

import base64
import html
import io
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any
from zlib import crc32

from client_proxy.fault_injection import invariants as checks
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
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    begun = checks.records_of_kind(records, "begin")
    zero = begun[0]["t"] if begun else (records[0]["t"] if records else 0.0)
    lanes = [*plan.instances(), *plan.racks()] + (["d"] if plan.fleet.line == "run" else [])
    row = {name: len(lanes) - n for n, name in enumerate(lanes)}
    figure, (top, bottom) = pyplot.subplots(
        2, 1, sharex=True, figsize=(14, 2.5 + 0.35 * len(lanes)), height_ratios=[len(lanes), 3]
    )
    _faults(top, records, row, zero)
    for name, spans in checks.troubles(records).items():
        for span in spans:
            if name in row and span.why in STATES:
                end = min(span.end_s, records[-1]["t"])
                where = [(span.begin_s - zero, end - span.begin_s)]
                top.broken_barh(where, (row[name] - 0.35, 0.7), color=STATES[span.why])
    points: dict[str, tuple[list[float], list[float]]] = defaultdict(lambda: ([], []))
    for op in checks.records_of_kind(records, "op"):
        ending = op["ending"] if op["ending"] in COLOURS else "lost"
        points[ending][0].append(op["end"] - zero)
        points[ending][1].append(row[op["instance"]] + 0.25 - 0.5 * (crc32(op["id"].encode()) % 100) / 100)
    for ending, (xs, ys) in points.items():
        top.scatter(xs, ys, s=3, color=COLOURS[ending], label=f"{ending}: {len(xs)}", zorder=3)
    for breach in verdict.breaches:
        if breach.who in row:
            top.plot([breach.t - zero], [row[breach.who]], marker="x", color="red", markersize=9, zorder=4)
    top.set_yticks([row[name] for name in lanes], lanes)
    top.legend(loc="upper right", fontsize=7)
    end = checks.records_of_kind(records, "end")
    windows = checks.shares(records, zero, end[0]["t"] if end else zero)
    bottom.step([w[0] - zero for w in windows], [w[2] / w[1] if w[1] else 1.0 for w in windows], where="post")
    bottom.set_ylim(0, 1.05)
    bottom.set_ylabel("served")
    bottom.set_xlabel("seconds")
    drawn = io.BytesIO()
    figure.tight_layout()
    figure.savefig(drawn, format="png", dpi=110)
    pyplot.close(figure)
    out.write_text(_page(plan, verdict, base64.b64encode(drawn.getvalue()).decode()))


def _faults(axes: Any, records: Sequence[Record], row: dict[str, int], zero: float) -> None:
    for fault in checks.records_of_kind(records, "fault"):
        for name in fault["who"] + fault["to"]:
            if name in row:
                span = [(fault["begin"] - zero, max(0.05, fault["end"] - fault["begin"]))]
                axes.broken_barh(span, (row[name] - 0.45, 0.9), color="#f3c6c0", zorder=0)
        if fault["who"][0] in row:
            where = fault["begin"] - zero, row[fault["who"][0]] + 0.3
            axes.text(*where, fault["what"], fontsize=6, zorder=5)


def _page(plan: Plan, verdict: Verdict, picture: str) -> str:
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
