"""Renders a report as a self-contained HTML page: service over time and the load of each server."""

from __future__ import annotations

from html import escape
from itertools import groupby

from client_proxy.emulator.report import OUTCOMES, Report, format_report

WIDTH, LEFT, ROW, TOP = 1000, 130, 46, 150
"""Sizes in SVG units: the drawing's width, its left margin, a server's row, the height of the top chart."""
COLOURS = {"served": "#4c9f70", "late": "#e0b040", "refused": "#6d8fc9", "failed": "#c75050"}
STATES = {
    "cold": "#bcd7f0",
    "choked": "#f0c0a0",
    "frozen": "#c9c9f2",
    "vanished": "#8f8fa8",
    "down": "#555560",
    "fell": "#a03030",
    "draining": "#e8e0b0",
}
"""Background colours of server states; other states are not coloured."""
STYLE = (
    "body{font:14px system-ui,sans-serif;margin:24px;color:#222;max-width:1180px}"
    "svg{width:100%;height:auto}text{font:11px system-ui,sans-serif;fill:#333}"
    "pre{background:#f6f6f4;padding:12px;overflow:auto}.bad{color:#a02020;font-weight:600}"
    ".key span{display:inline-block;width:12px;height:12px;margin:0 4px 0 14px;vertical-align:-1px}"
)


def svg_rect(x: float, y: float, width: float, height: float, colour: str, title: str = "") -> str:
    """Return an SVG rectangle, with a tooltip if it has a title."""
    tooltip = f"<title>{escape(title)}</title>" if title else ""
    size = f'x="{x:.1f}" y="{y:.1f}" width="{max(width, 0.5):.1f}" height="{height:.1f}"'
    return f'<rect {size} fill="{colour}">{tooltip}</rect>'


def svg_text(x: float, y: float, content: str, anchor: str = "start") -> str:
    """Return an SVG text."""
    return f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}">{escape(content)}</text>'


def svg_line(points: list[tuple[float, float]], colour: str) -> str:
    """Return an SVG line through points."""
    path = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
    return f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="1.2"/>'


class Page:
    """The page of one report.

    Attributes:
        report: the report.
        parts: the SVG elements drawn so far.
        span_s: the time that the horizontal axis covers.
    """

    def __init__(self, report: Report) -> None:
        self.report = report
        self.parts: list[str] = []
        last_sample_s = [s["samples"][-1][0] for s in report.servers.values() if s["samples"]]
        self.span_s: float = max([report.length_s, *last_sample_s])

    def x_position(self, at_s: float) -> float:
        """Return the horizontal position of a time."""
        return LEFT + (WIDTH - LEFT - 10) * min(max(at_s, 0.0), self.span_s) / self.span_s

    def draw_service(self) -> None:
        """Draw stacked bars of requests by outcome, for the windows in which they began."""
        windows = self.report.windows
        sums = [
            {outcome: sum(window[name][outcome] for name in self.report.classes) for outcome in OUTCOMES}
            for window in windows
        ]
        maximum = max([1, *(sum(counts.values()) for counts in sums)])
        height_limit = TOP - 30
        for window, count in zip(windows, sums, strict=True):
            begin_s = window["from_s"]
            end_s = min(self.report.length_s, begin_s + self.report.length_s / max(1, len(windows)))
            y = float(TOP - 10)
            for outcome in OUTCOMES:
                height = height_limit * count[outcome] / maximum
                y -= height
                title = f"{begin_s:g} s: {outcome} {count[outcome]}"
                if height:
                    width = self.x_position(end_s) - self.x_position(begin_s) - 1
                    self.parts.append(
                        svg_rect(self.x_position(begin_s), y, width, height, COLOURS[outcome], title)
                    )
        self.parts.append(svg_text(LEFT - 8, 30, f"{maximum} requests", "end"))
        self.parts.append(svg_text(LEFT - 8, TOP - 12, "0", "end"))

    def draw_servers(self) -> int:
        """Draw a row for each server; return the y coordinate below the last row."""
        y = TOP + 14
        for name, server in self.report.servers.items():
            samples = server["samples"]
            baseline = y + ROW - 8
            self.parts.append(svg_text(LEFT - 8, y + 16, name, "end"))
            maximum = max([4, *(sample[1] + sample[2] for sample in samples)])
            self.parts.append(svg_text(LEFT - 8, y + 30, f"{server['kind']}, most {maximum}", "end"))
            position = 0
            for state, group in groupby(samples, key=lambda sample: sample[4]):
                samples_of_state = list(group)
                begin_s = samples_of_state[0][0]
                position += len(samples_of_state)
                end_s = samples[position][0] if position < len(samples) else samples_of_state[-1][0]
                if state in STATES:
                    title = f"{name} {state}, {begin_s:g} to {end_s:g} s"
                    width = self.x_position(end_s) - self.x_position(begin_s)
                    self.parts.append(
                        svg_rect(self.x_position(begin_s), y, width, ROW - 8, STATES[state], title)
                    )
            height_limit = ROW - 12
            held = [
                (self.x_position(s[0]), baseline - height_limit * (s[1] + s[2]) / maximum) for s in samples
            ]
            running = [(self.x_position(s[0]), baseline - height_limit * s[1] / maximum) for s in samples]
            self.parts += [svg_line(held, "#c75050"), svg_line(running, "#2f6f4f")]
            self.parts.append(svg_rect(LEFT, baseline, WIDTH - LEFT - 10, 0.6, "#bbb"))
            y += ROW
        return y

    def draw_marks(self, bottom: int) -> None:
        """Draw the time axis and a vertical line for each mark, with its text where it fits."""
        text_free_from = 0.0
        for at_s, what in self.report.marks:
            x = self.x_position(at_s)
            self.parts.append(
                f'<line x1="{x:.1f}" x2="{x:.1f}" y1="18" y2="{bottom}" stroke="#9060a0" '
                f'stroke-width="0.7" stroke-dasharray="3 3"><title>{at_s:g} s: {escape(what)}</title></line>'
            )
            if x >= text_free_from:
                self.parts.append(svg_text(x + 2, 14, what))
                text_free_from = x + 7.0 * len(what) + 8
        for tick in range(0, int(self.span_s) + 1, max(1, round(self.span_s / 12))):
            self.parts.append(svg_text(self.x_position(tick), bottom + 14, f"{tick} s", "middle"))

    def to_html(self) -> str:
        """Return the page as HTML."""
        self.draw_service()
        bottom = self.draw_servers()
        self.draw_marks(bottom)
        svg = f'<svg viewBox="0 0 {WIDTH} {bottom + 20}">{"".join(self.parts)}</svg>'
        report = self.report
        verdict = '<p class="bad">A rule broke.</p>' if report.broken else "<p>All rules were kept.</p>"
        colours = [*COLOURS.items(), *STATES.items()]
        key = "".join(f'<span style="background:{colour}"></span>{name}' for name, colour in colours)
        marks = "".join(f"<li>{at_s:g} s: {escape(what)}</li>" for at_s, what in report.marks)
        title = escape(f"{report.day}, seed {report.seed}, {report.clock} clock")
        return (
            f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title>'
            f"<style>{STYLE}</style><h1>{title}</h1>{verdict}"
            f"<p>Worth served {report.served_share:.4f}, in the worst window {report.worst_window:.4f}.</p>"
            f'<p class="key">{key}</p>{svg}<p>Red: requests held by a server; green: requests it ran.</p>'
            f"<h2>Figures</h2><pre>{escape(format_report(report))}</pre>"
            f"<h2>Time line</h2><ul>{marks}</ul></html>\n"
        )


def render_page(report: Report) -> str:
    """Return a report as a self-contained HTML page."""
    return Page(report).to_html()
