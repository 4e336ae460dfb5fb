"""Worth served over offered load: without admission, with it, with static limits, and the bound.

    python -m benchmarks.overload [--seeds 3] [--proxies 3 30 300] [--loads 0.5 0.8 1 1.2 1.5 2 3]
                                  [--ways before now static rest] [--length 20] [--places 2000]
                                  [--page FILE.html]

The fleet of `examples/days/overload-hall-lost.toml` with nothing lost, the same arrivals for every way, on
the virtual clock. `rest` is `now` with `[connections]` by its defaults. `--loads` are multiples of the work
that all cores do; `--places` are the connections that a server takes, so that with 300 instances it is the
load that is measured and not the want of connections. By way, size and load: the worth served over that
asked for, in all and in the worst window; both over the bound; service by class; the share of the cores'
time that went into answers which counted. The bound serves the classes by worth for a unit of work until
the cores are used up, with no waiting and no late answer. Prints JSON with the seeds, cores and the least
and most over the seeds, one row as soon as it is known on standard error; with `--page` draws the curves
(needs the extra `plots`).
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
DAY = ROOT / "examples" / "days" / "overload-hall-lost.toml"
# A window that hardly moves from what instances begin with: what a fixed limit a server would be.
STATIC = OverloadSettings(growth=0.01, cut=0.01)
WAYS = {
    "before": NO_FEATURES,
    "now": OperatorSettings(overload=OverloadSettings()),
    "static": OperatorSettings(overload=STATIC),
    "rest": OperatorSettings(overload=OverloadSettings(), connections=ConnectionSettings()),
}


def core_ms_per_s(day: Scenario) -> float:
    return sum(1000.0 * spec.server_type.cores * spec.server_type.speed for spec in day.servers())


def mean_work_ms(day: Scenario) -> float:
    total = sum(cls.share for cls in day.classes)
    return sum(cls.share * cls.work_ms for cls in day.classes) / total


def bound(day: Scenario, load_: float) -> float:
    """The share of the worth that cores could serve at this multiple of what they do."""
    left = 1.0 / load_  # of the work asked for
    total = sum(cls.share * cls.work_ms for cls in day.classes)
    worth = sum(cls.share * cls.priority_weight for cls in day.classes)
    served = 0.0
    for cls in sorted(day.classes, key=lambda c: c.priority_weight / c.work_ms, reverse=True):
        part = cls.share * cls.work_ms / total
        taken = min(part, max(0.0, left))
        left -= taken
        served += cls.share * cls.priority_weight / worth * taken / part
    return served


def useful(played: SimulationResult) -> float:
    """The share of the cores' time in the day that served somebody in time."""
    good = {
        tried.attempt_id
        for each in played.event_log.requests
        if each.outcome == "served"
        for tried in each.attempts
        if tried.outcome is AttemptOutcome.SERVED
    }
    work = sum(
        played.event_log.attempts[a.attempt_id].work_ms
        for a in played.event_log.arrivals
        if a.attempt_id in good
    )
    return work / (core_ms_per_s(played.scenario) * played.scenario.duration_s)


def one(job: tuple[str, int, int, float, float, int]) -> dict[str, Any]:
    way, seed, proxies, load_, length_s, places = job
    day = load_scenario(DAY)
    kinds = tuple(replace(kind, max_connections=places) for kind in day.server_types)
    rate = load_ * core_ms_per_s(day) / mean_work_ms(day)
    clients = replace(day.clients, proxies=proxies, rate_per_s=rate)
    day = replace(day, seed=seed, duration_s=length_s, server_types=kinds, clients=clients, faults=())
    played = simulate(day, operators=WAYS[way])
    of = build_report(played)
    return {
        "served": of.served_share,
        "worst_window": of.worst_window,
        "useful": useful(played),
        "choked": sum(any(s.state == "choked" for s in each) for each in played.event_log.samples.values()),
        "broken": int(of.broken),
        **{name: cls.served / max(1, cls.asked) for name, cls in of.classes.items()},
    }


def spread(values: list[float]) -> dict[str, float]:
    return {"mean": round(fmean(values), 4), "least": round(min(values), 4), "most": round(max(values), 4)}


def draw(found: list[dict[str, Any]], page: Path) -> None:
    """The curves as one HTML page, the picture inside."""
    import io

    from matplotlib.figure import Figure

    sizes = sorted({row["proxies"] for row in found})
    figure = Figure(figsize=(5.0 * len(sizes), 4.2), layout="constrained")
    axes = figure.subplots(1, len(sizes), squeeze=False)[0]
    for ax, size in zip(axes, sizes, strict=True):
        rows = [row for row in found if row["proxies"] == size]
        for way in dict.fromkeys(row["way"] for row in rows):
            own = [row for row in rows if row["way"] == way]
            loads = [row["load"] for row in own]
            line = ax.plot(loads, [row["served"]["mean"] for row in own], marker="o", label=way)[0]
            low, high = ([row["served"][end] for row in own] for end in ("least", "most"))
            ax.fill_between(loads, low, high, color=line.get_color(), alpha=0.2)
        own = rows[: len({row["load"] for row in rows})]
        loads, most = [row["load"] for row in own], [row["bound"] for row in own]
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
    parser.add_argument("--ways", nargs="*", choices=list(WAYS), default=["before", "now", "static"])
    parser.add_argument("--length", type=float, default=20.0)
    parser.add_argument("--places", type=int, default=2000)
    parser.add_argument("--page", type=Path)
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    args = parser.parse_args()
    if args.page:
        require("--page", "plots", "matplotlib")  # before hours of work, not after
    day = load_scenario(DAY)
    seeds = [day.seed + number for number in range(args.seeds)]
    cells = [(way, size, load_) for size in args.proxies for way in args.ways for load_ in args.loads]
    jobs = [(way, s, size, load_, args.length, args.places) for way, size, load_ in cells for s in seeds]
    results = []
    with ProcessPoolExecutor(args.jobs) as pool:
        for job, result in zip(jobs, pool.map(one, jobs), strict=True):
            results.append(result)
            print(*job[:4], f"{result['served']:.4f}", file=sys.stderr, flush=True)
    found = []
    for number, (way, size, load_) in enumerate(cells):
        own = results[number * len(seeds) : (number + 1) * len(seeds)]
        most = bound(day, load_)
        row: dict[str, Any] = {"proxies": size, "way": way, "load": load_, "bound": round(most, 4)}
        row |= {
            name: spread([each[name] for each in own]) for name in own[0] if name not in ("broken", "choked")
        }
        row["of_bound"] = round(row["served"]["mean"] / most, 4)
        row["worst_of_bound"] = round(row["worst_window"]["least"] / most, 4)
        row["choked_servers"] = [each["choked"] for each in own]
        row["rules_broken"] = sum(each["broken"] for each in own)
        found.append(row)
    told = {"day": DAY.stem, "seeds": seeds, "cores": os.cpu_count(), "length_s": args.length}
    print(json.dumps({**told, "places": args.places, "found": found}, indent=1))
    if args.page is not None:
        draw(found, args.page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
