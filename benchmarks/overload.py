"""Measures the priority weight served by offered load, with and without load shedding, beside an upper bound.

    python -m benchmarks.overload [--seeds 3] [--proxies 3 30 300] [--loads 0.5 0.8 1 1.2 1.5 2 3]
                                  [--ways before now static rest] [--length 20] [--places 2000]
                                  [--page FILE.html]

Simulates the fleet of `examples/days/overload-hall-lost.toml` without its fault on the virtual clock,
with the same arrivals for each variant. `before` has no load shedding, `now` has it, `static` keeps the
initial concurrency limits, and `rest` is `now` with the defaults of `[connections]`. `--loads` are
multiples of the work that all cores can do. `--places` is the number of connections that a server
accepts; it is high, so that 300 instances are limited by load and not by connections.

Prints JSON by variant, size and load: the share of the requested priority weight that was served, in
total and in the worst window; both relative to the bound; the served share by class; and the share of the
cores' time that went into requests served in time. The bound serves the classes in the order of priority
weight per unit of work until the cores are used up, without queueing or late responses. Seeds, cores and
the minimum and maximum over the seeds are included. Each row is also printed on standard error as soon as
it is known. `--page` draws the curves (needs the extra `plots`).
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from statistics import fmean
from typing import Any

from client_proxy.emulator.event_log import AttemptOutcome
from client_proxy.emulator.report import build_report
from client_proxy.emulator.scenario import Scenario
from client_proxy.emulator.scenario_reader import load_scenario
from client_proxy.emulator.simulation import SimulationResult, simulate
from client_proxy.limits.settings import OverloadSettings
from client_proxy.operators import NO_FEATURES, OperatorSettings
from client_proxy.optional_dependencies import require
from client_proxy.routing.idle_timeout import ConnectionSettings

ROOT = Path(__file__).resolve().parents[1]
SCENARIO_FILE = ROOT / "examples" / "days" / "overload-hall-lost.toml"
# A concurrency window that hardly changes from its initial size, like a fixed limit for each server.
STATIC_LIMITS = OverloadSettings(growth=0.01, cut=0.01)
VARIANTS = {
    "before": NO_FEATURES,
    "now": OperatorSettings(overload=OverloadSettings()),
    "static": OperatorSettings(overload=STATIC_LIMITS),
    "rest": OperatorSettings(overload=OverloadSettings(), connections=ConnectionSettings()),
}


def core_ms_per_s(scenario: Scenario) -> float:
    return sum(1000.0 * spec.server_type.cores * spec.server_type.speed for spec in scenario.servers())


def mean_work_ms(scenario: Scenario) -> float:
    total = sum(cls.share for cls in scenario.classes)
    return sum(cls.share * cls.work_ms for cls in scenario.classes) / total


def served_bound(scenario: Scenario, load_multiple: float) -> float:
    """Returns the share of the priority weight that the cores could serve at this load."""
    remaining_share = 1.0 / load_multiple  # share of the requested work that the cores can still do
    total = sum(cls.share * cls.work_ms for cls in scenario.classes)
    total_weight = sum(cls.share * cls.priority_weight for cls in scenario.classes)
    served = 0.0
    for cls in sorted(scenario.classes, key=lambda c: c.priority_weight / c.work_ms, reverse=True):
        class_part = cls.share * cls.work_ms / total
        served_part = min(class_part, max(0.0, remaining_share))
        remaining_share -= served_part
        served += cls.share * cls.priority_weight / total_weight * served_part / class_part
    return served


def useful_core_share(result: SimulationResult) -> float:
    """Returns the share of the cores' time that went into requests served in time."""
    served_attempt_ids = {
        attempt.attempt_id
        for each in result.event_log.requests
        if each.outcome == "served"
        for attempt in each.attempts
        if attempt.outcome is AttemptOutcome.SERVED
    }
    work = sum(
        result.event_log.attempts[a.attempt_id].work_ms
        for a in result.event_log.arrivals
        if a.attempt_id in served_attempt_ids
    )
    return work / (core_ms_per_s(result.scenario) * result.scenario.duration_s)


def run_job(job: tuple[str, int, int, float, float, int]) -> dict[str, Any]:
    variant, seed, proxies, load_multiple, length_s, places = job
    scenario = load_scenario(SCENARIO_FILE)
    kinds = tuple(replace(kind, max_connections=places) for kind in scenario.server_types)
    rate = load_multiple * core_ms_per_s(scenario) / mean_work_ms(scenario)
    clients = replace(scenario.clients, proxies=proxies, rate_per_s=rate)
    scenario = replace(
        scenario, seed=seed, duration_s=length_s, server_types=kinds, clients=clients, faults=()
    )
    result = simulate(scenario, operators=VARIANTS[variant])
    report = build_report(result)
    return {
        "served": report.served_share,
        "worst_window": report.worst_window,
        "useful": useful_core_share(result),
        "choked": sum(any(s.state == "choked" for s in each) for each in result.event_log.samples.values()),
        "broken": int(report.broken),
        **{name: cls.served / max(1, cls.asked) for name, cls in report.classes.items()},
    }


def spread(values: list[float]) -> dict[str, float]:
    return {"mean": round(fmean(values), 4), "least": round(min(values), 4), "most": round(max(values), 4)}


def draw(summaries: list[dict[str, Any]], page: Path) -> None:
    """Writes the curves as one HTML page that contains the picture."""
    import io

    from matplotlib.figure import Figure

    sizes = sorted({row["proxies"] for row in summaries})
    figure = Figure(figsize=(5.0 * len(sizes), 4.2), layout="constrained")
    axes = figure.subplots(1, len(sizes), squeeze=False)[0]
    for ax, size in zip(axes, sizes, strict=True):
        rows = [row for row in summaries if row["proxies"] == size]
        for variant in dict.fromkeys(row["way"] for row in rows):
            selected = [row for row in rows if row["way"] == variant]
            loads = [row["load"] for row in selected]
            line = ax.plot(loads, [row["served"]["mean"] for row in selected], marker="o", label=variant)[0]
            low, high = ([row["served"][end] for row in selected] for end in ("least", "most"))
            ax.fill_between(loads, low, high, color=line.get_color(), alpha=0.2)
        selected = rows[: len({row["load"] for row in rows})]
        loads, most = [row["load"] for row in selected], [row["bound"] for row in selected]
        ax.plot(loads, most, color="black", linestyle="--", label="bound")
        ax.set(title=f"{size} instances", xlabel="work offered over what cores do", ylim=(0, 1.02))
        ax.grid(alpha=0.3)
    axes[0].set_ylabel("worth served over worth asked for")
    axes[0].legend()
    out = io.StringIO()
    figure.savefig(out, format="svg")
    svg = out.getvalue()
    head = "<!doctype html><meta charset='utf-8'><title>Worth served over offered load</title>"
    page.write_text(head + svg[svg.index("<svg") :], encoding="utf-8")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--proxies", type=int, nargs="*", default=[3, 30, 300])
    parser.add_argument("--loads", type=float, nargs="*", default=[0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0])
    parser.add_argument("--ways", nargs="*", choices=list(VARIANTS), default=["before", "now", "static"])
    parser.add_argument("--length", type=float, default=20.0)
    parser.add_argument("--places", type=int, default=2000)
    parser.add_argument("--page", type=Path)
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    args = parser.parse_args()
    if args.page:
        require("--page", "plots", "matplotlib")  # fail now rather than after hours of simulation
    scenario = load_scenario(SCENARIO_FILE)
    seeds = [scenario.seed + number for number in range(args.seeds)]
    cases = [
        (variant, size, load_multiple)
        for size in args.proxies
        for variant in args.ways
        for load_multiple in args.loads
    ]
    jobs = [
        (variant, s, size, load_multiple, args.length, args.places)
        for variant, size, load_multiple in cases
        for s in seeds
    ]
    results = []
    with ProcessPoolExecutor(args.jobs) as pool:
        for job, result in zip(jobs, pool.map(run_job, jobs), strict=True):
            results.append(result)
            print(*job[:4], f"{result['served']:.4f}", file=sys.stderr, flush=True)
    summaries = []
    for number, (variant, size, load_multiple) in enumerate(cases):
        selected = results[number * len(seeds) : (number + 1) * len(seeds)]
        most = served_bound(scenario, load_multiple)
        row: dict[str, Any] = {
            "proxies": size,
            "way": variant,
            "load": load_multiple,
            "bound": round(most, 4),
        }
        row |= {
            name: spread([each[name] for each in selected])
            for name in selected[0]
            if name not in ("broken", "choked")
        }
        row["of_bound"] = round(row["served"]["mean"] / most, 4)
        row["worst_of_bound"] = round(row["worst_window"]["least"] / most, 4)
        row["choked_servers"] = [each["choked"] for each in selected]
        row["rules_broken"] = sum(each["broken"] for each in selected)
        summaries.append(row)
    header = {"day": SCENARIO_FILE.stem, "seeds": seeds, "cores": os.cpu_count(), "length_s": args.length}
    print(json.dumps({**header, "places": args.places, "found": summaries}, indent=1))
    if args.page is not None:
        draw(summaries, args.page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
