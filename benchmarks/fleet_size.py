"""Connections at each server, and service, over the number of instances at the same total load.

    python -m benchmarks.fleet_size [--proxies 30 100 300 500] [--days calm frozen] [--places 76] [--rate 60]
                                    [--ways off rest adaptive] [--seeds 1] [--length 60] [--page FILE.html]

The shipped fleet of nine servers on the virtual clock, a tenth of what it bears. `calm`: nothing happens;
`frozen`: one server stands still from a quarter of the day on, for a quarter of it. `off`: no table;
`rest`: `[connections]` as it is by default; `adaptive`: a stated rest of ten minutes, so that only what is
inferred from refusals bounds it. By way, day and number: worth served in all and in the worst window; open
connections at a server, mean and highest, over the second half; connections made and turned away; wall
seconds. Prints JSON with seeds, cores and the exponent of the mean open connections over the number of
instances; one row as soon as it is known on standard error; with `--page` draws the curves (needs the extra
`plots`).
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from math import log
from pathlib import Path
from statistics import fmean
from time import perf_counter
from typing import Any

from client_proxy.emulator.report import build_report
from client_proxy.emulator.scenario import Fault
from client_proxy.emulator.scenario_reader import load_scenario
from client_proxy.emulator.simulation import simulate
from client_proxy.operators import NO_FEATURES, OperatorSettings
from client_proxy.optional_dependencies import require
from client_proxy.routing.idle_timeout import ConnectionSettings

ROOT = Path(__file__).resolve().parents[1]
DAY = ROOT / "examples" / "days" / "hall-lost-busy.toml"
WAYS = {
    "off": NO_FEATURES,
    "rest": OperatorSettings(connections=ConnectionSettings()),
    "adaptive": OperatorSettings(connections=ConnectionSettings(idle_timeout_s=600.0)),
}
Job = tuple[str, str, int, int, int, float, float]


def one(job: Job) -> dict[str, Any]:
    way, kind_of_day, proxies, seed, places, rate, length_s = job
    day = load_scenario(DAY)
    incidents: tuple[Fault, ...] = ()
    if kind_of_day == "frozen":
        server = day.servers()[0].name
        incidents = (Fault(at_s=length_s / 4, kind="freeze", duration_s=length_s / 4, servers=(server,)),)
    clients = replace(day.clients, proxies=proxies, rate_per_s=rate, relative_rates=())
    kinds = tuple(replace(kind, max_connections=places) for kind in day.server_types)
    day = replace(day, seed=seed, duration_s=length_s, server_types=kinds, clients=clients, faults=incidents)
    began_s = perf_counter()
    played = simulate(day, operators=WAYS[way])
    told = build_report(played)
    looks = [s for each in played.event_log.samples.values() for s in each if s.at_s >= length_s / 2]
    open_at = [float(s.connections) for s in looks if s.at_s <= length_s]
    return {
        "served": told.served_share,
        "worst_window": told.worst_window,
        "open_mean": fmean(open_at),
        "open_highest": max(open_at),
        "made": float(sum(played.event_log.accepted_connections.values())),
        "turned_away": float(told.fates.get("turned away", 0)),
        "broken": float(told.broken),
        "wall_s": perf_counter() - began_s,
    }


def exponent(rows: list[dict[str, Any]]) -> float | None:
    """Of the mean open connections over the number of instances, by least squares on logarithms."""
    points = [(log(row["proxies"]), log(max(0.01, row["open_mean"]))) for row in rows]
    mean_x, mean_y = fmean(x for x, _ in points), fmean(y for _, y in points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return round(sum((x - mean_x) * (y - mean_y) for x, y in points) / spread, 3) if spread else None


def draw(found: list[dict[str, Any]], page: Path) -> None:
    import io

    from matplotlib.figure import Figure

    days = list(dict.fromkeys(row["day"] for row in found))
    figure = Figure(figsize=(9.0, 4.0 * len(days)), layout="constrained")
    for axes, day in zip(figure.subplots(len(days), 2, squeeze=False), days, strict=True):
        for way in dict.fromkeys(row["way"] for row in found):
            own = [row for row in found if row["way"] == way and row["day"] == day]
            sizes = [row["proxies"] for row in own]
            axes[0].plot(sizes, [row["open_mean"] for row in own], marker="o", label=way)
            axes[1].plot(sizes, [row["worst_window"] for row in own], marker="o", label=way)
        axes[0].set(title=f"{day}: open connections at a server", xlabel="instances", ylim=(0, None))
        axes[1].set(title=f"{day}: worth served, worst window", xlabel="instances", ylim=(0, 1.02))
        axes[0].legend()
    out = io.StringIO()
    figure.savefig(out, format="svg")
    svg = out.getvalue()
    head = "<!doctype html><meta charset='utf-8'><title>Connections over the number of instances</title>"
    page.write_text(head + svg[svg.index("<svg") :], encoding="utf-8")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--proxies", type=int, nargs="*", default=[30, 100, 300, 500])
    parser.add_argument("--days", nargs="*", choices=["calm", "frozen"], default=["calm", "frozen"])
    parser.add_argument("--ways", nargs="*", choices=list(WAYS), default=list(WAYS))
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--places", type=int, default=76)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--length", type=float, default=60.0)
    parser.add_argument("--page", type=Path)
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    args = parser.parse_args()
    if args.page:
        require("--page", "plots", "matplotlib")  # before hours of work, not after
    first = load_scenario(DAY).seed
    seeds = [first + number for number in range(args.seeds)]
    cells = [(way, day, size) for day in args.days for way in args.ways for size in args.proxies]
    jobs = [(*cell, seed, args.places, args.rate, args.length) for cell in cells for seed in seeds]
    results = []
    with ProcessPoolExecutor(args.jobs) as pool:
        for job, result in zip(jobs, pool.map(one, jobs), strict=True):
            results.append(result)
            print(*job[:4], f"{result['served']:.4f}", file=sys.stderr, flush=True)
    found: list[dict[str, Any]] = []
    for number, (way, day, size) in enumerate(cells):
        own = results[number * len(seeds) : (number + 1) * len(seeds)]
        row: dict[str, Any] = {"way": way, "day": day, "proxies": size}
        found.append(row | {name: round(fmean(each[name] for each in own), 4) for name in own[0]})
    exponents = {
        f"{way} {day}": exponent([row for row in found if row["way"] == way and row["day"] == day])
        for day in args.days
        for way in args.ways
    }
    told = {"day": DAY.stem, "seeds": seeds, "cores": os.cpu_count(), "length_s": args.length}
    told |= {"places": args.places, "rate_per_s": args.rate, "exponents": exponents}
    print(json.dumps({**told, "found": found}, indent=1))
    if args.page is not None:
        draw(found, args.page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
