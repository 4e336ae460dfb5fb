"""Measures connections at each server, and service, by the number of instances at the same total load.

    python -m benchmarks.fleet_size [--proxies 30 100 300 500] [--days calm frozen] [--places 76] [--rate 60]
                                    [--ways off rest adaptive] [--seeds 1] [--length 60] [--page FILE.html]

Simulates the shipped fleet of nine servers on the virtual clock at a tenth of its capacity. `calm` has no
fault; `frozen` stops one server after a quarter of the time, for a quarter of the time. `off` has no
`[connections]` table; `rest` has its defaults; `adaptive` sets an idle timeout of ten minutes, so that only
the limit inferred from rejected connections applies.

Prints JSON by variant, scenario and number of instances: the share of the priority weight that was
served, in total and in the worst window; open connections at a server, mean and highest, over the second
half; connections made and rejected; and wall clock seconds. Seeds, cores and the exponent of the mean
number of open connections over the number of instances are included. Each row is also printed on standard
error as soon as it is known. `--page` draws the curves (needs the extra `plots`).
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
SCENARIO_FILE = ROOT / "examples" / "days" / "hall-lost-busy.toml"
VARIANTS = {
    "off": NO_FEATURES,
    "rest": OperatorSettings(connections=ConnectionSettings()),
    "adaptive": OperatorSettings(connections=ConnectionSettings(idle_timeout_s=600.0)),
}
Job = tuple[str, str, int, int, int, float, float]


def run_job(job: Job) -> dict[str, Any]:
    variant, scenario_kind, proxies, seed, places, rate, length_s = job
    day = load_scenario(SCENARIO_FILE)
    scenario_faults: tuple[Fault, ...] = ()
    if scenario_kind == "frozen":
        server = day.servers()[0].name
        scenario_faults = (
            Fault(at_s=length_s / 4, kind="freeze", duration_s=length_s / 4, servers=(server,)),
        )
    clients = replace(day.clients, proxies=proxies, rate_per_s=rate, relative_rates=())
    kinds = tuple(replace(kind, max_connections=places) for kind in day.server_types)
    day = replace(
        day, seed=seed, duration_s=length_s, server_types=kinds, clients=clients, faults=scenario_faults
    )
    start_s = perf_counter()
    result = simulate(day, operators=VARIANTS[variant])
    report = build_report(result)
    late_samples = [s for each in result.event_log.samples.values() for s in each if s.at_s >= length_s / 2]
    open_connections = [float(s.connections) for s in late_samples if s.at_s <= length_s]
    return {
        "served": report.served_share,
        "worst_window": report.worst_window,
        "open_mean": fmean(open_connections),
        "open_highest": max(open_connections),
        "made": float(sum(result.event_log.accepted_connections.values())),
        "turned_away": float(report.fates.get("turned away", 0)),
        "broken": float(report.broken),
        "wall_s": perf_counter() - start_s,
    }


def fit_exponent(rows: list[dict[str, Any]]) -> float | None:
    """Fits the exponent of the mean open connections over the number of instances.

    Uses least squares on logarithms. Returns None if all rows have the same number of instances."""
    points = [(log(row["proxies"]), log(max(0.01, row["open_mean"]))) for row in rows]
    mean_x, mean_y = fmean(x for x, _ in points), fmean(y for _, y in points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return round(sum((x - mean_x) * (y - mean_y) for x, y in points) / spread, 3) if spread else None


def draw(rows_found: list[dict[str, Any]], page: Path) -> None:
    import io

    from matplotlib.figure import Figure

    days = list(dict.fromkeys(row["day"] for row in rows_found))
    figure = Figure(figsize=(9.0, 4.0 * len(days)), layout="constrained")
    for axes, day in zip(figure.subplots(len(days), 2, squeeze=False), days, strict=True):
        for variant in dict.fromkeys(row["way"] for row in rows_found):
            selected = [row for row in rows_found if row["way"] == variant and row["day"] == day]
            sizes = [row["proxies"] for row in selected]
            axes[0].plot(sizes, [row["open_mean"] for row in selected], marker="o", label=variant)
            axes[1].plot(sizes, [row["worst_window"] for row in selected], marker="o", label=variant)
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
    parser.add_argument("--ways", nargs="*", choices=list(VARIANTS), default=list(VARIANTS))
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--places", type=int, default=76)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--length", type=float, default=60.0)
    parser.add_argument("--page", type=Path)
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    args = parser.parse_args()
    if args.page:
        require("--page", "plots", "matplotlib")  # fail now rather than after hours of simulation
    first = load_scenario(SCENARIO_FILE).seed
    seeds = [first + number for number in range(args.seeds)]
    cases = [(variant, day, size) for day in args.days for variant in args.ways for size in args.proxies]
    jobs = [(*cell, seed, args.places, args.rate, args.length) for cell in cases for seed in seeds]
    results = []
    with ProcessPoolExecutor(args.jobs) as pool:
        for job, result in zip(jobs, pool.map(run_job, jobs), strict=True):
            results.append(result)
            print(*job[:4], f"{result['served']:.4f}", file=sys.stderr, flush=True)
    rows_found: list[dict[str, Any]] = []
    for number, (variant, day, size) in enumerate(cases):
        selected = results[number * len(seeds) : (number + 1) * len(seeds)]
        row: dict[str, Any] = {"way": variant, "day": day, "proxies": size}
        rows_found.append(
            row | {name: round(fmean(each[name] for each in selected), 4) for name in selected[0]}
        )
    exponents = {
        f"{variant} {day}": fit_exponent(
            [row for row in rows_found if row["way"] == variant and row["day"] == day]
        )
        for day in args.days
        for variant in args.ways
    }
    report = {"day": SCENARIO_FILE.stem, "seeds": seeds, "cores": os.cpu_count(), "length_s": args.length}
    report |= {"places": args.places, "rate_per_s": args.rate, "exponents": exponents}
    print(json.dumps({**report, "found": rows_found}, indent=1))
    if args.page is not None:
        draw(rows_found, args.page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
