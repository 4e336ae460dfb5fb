"""Measures the loss of a zone at 80% of the others' capacity, with three variants of zone routing.

    python -m benchmarks.hall_loss [--seeds 3] [--proxies 6] [--ways none tiers strict] [--operators FILE]

Simulates the same scenario (`examples/days/hall-lost-busy.toml`) on the virtual clock for each seed and
variant: `none` has no priority levels, `tiers` has those of the operators' file, `strict` always prefers
the proxy's own zone. Prints JSON by variant: the share of requests of each class served in time in the 30
s after the loss and the 60 s after the return; the highest load on a server of the returning zone as a
multiple of its warm capacity, by windows of `fall_ms`; the highest load from other zones on a surviving
zone as a multiple of its capacity while the zone was lost; attempts outside the proxy's own zone per
request; and how long after the return the zone received its usual share again.
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

from client_proxy.emulator.scenario_reader import load_scenario
from client_proxy.emulator.simulation import SimulationResult, simulate
from client_proxy.operators import OperatorSettings, load_operators
from client_proxy.routing.settings import LocalitySettings

ROOT = Path(__file__).resolve().parents[1]
SCENARIO_FILE = ROOT / "examples" / "days" / "hall-lost-busy.toml"
AFTER_LOSS_S, AFTER_RETURN_S = 30.0, 60.0
# Simple strict priority for comparison: the own zone first, then the next, without limits or a recovery ramp.
STRICT_PRIORITY = LocalitySettings(
    overprovisioning=10.0,
    spillover_share=1.0,
    panic_threshold=0.0,
    ramp_start_share=1.0,
    ramp_s=0.1,
    unavailable_after=1000,
)


def operators_of_variant(variant: str, file: str) -> OperatorSettings:
    if variant == "none":
        return OperatorSettings()
    return OperatorSettings(STRICT_PRIORITY) if variant == "strict" else load_operators(file)


def served_shares(result: SimulationResult, from_s: float, span_s: float) -> dict[str, float]:
    asked: dict[str, int] = {}
    served: dict[str, int] = {}
    for each in result.event_log.requests:
        at_s = each.requested_s - result.start_s
        if from_s <= at_s < from_s + span_s:
            asked[each.class_name] = asked.get(each.class_name, 0) + 1
            served[each.class_name] = served.get(each.class_name, 0) + (each.outcome == "served")
    return {name: round(served[name] / asked[name], 4) for name in sorted(asked)}


def loads_after_return(result: SimulationResult, zone: str, from_s: float) -> tuple[float, float]:
    """Returns the highest load on a server of the zone, and the longest time (s) that one stayed above 1.

    Load is the work that arrived in a window of the rule's length, as a multiple of the warm capacity."""
    window_s = result.scenario.rules.crash_window_ms / 1000.0
    highest = longest_s = 0.0
    for name, spec in result.specs.items():
        if spec.zone != zone:
            continue
        capacity_ms = 1000.0 * spec.server_type.cores * spec.server_type.speed * window_s
        work_by_window: dict[int, float] = {}
        for arrival in result.event_log.arrivals:
            at_s = arrival.arrived_s - result.start_s - from_s
            if arrival.server == name and at_s >= 0:
                number = int(at_s / window_s)
                work_ms = result.event_log.attempts[arrival.attempt_id].work_ms
                work_by_window[number] = work_by_window.get(number, 0.0) + work_ms
        windows_over = 0
        for number in range(max(work_by_window, default=0) + 1):
            ratio = work_by_window.get(number, 0.0) / capacity_ms
            highest = max(highest, ratio)
            windows_over = windows_over + 1 if ratio > 1.0 else 0
            longest_s = max(longest_s, windows_over * window_s)
    return round(highest, 3), longest_s


def highest_spillover(result: SimulationResult, lost: str, from_s: float, until_s: float) -> float:
    """Returns the highest load from other zones on a surviving zone, as a multiple of its capacity."""
    window_s = result.scenario.rules.crash_window_ms / 1000.0
    capacity_by_zone: dict[str, float] = {}
    for spec in result.specs.values():
        capacity_by_zone[spec.zone] = (
            capacity_by_zone.get(spec.zone, 0.0)
            + 1000.0 * spec.server_type.cores * spec.server_type.speed * window_s
        )
    work_by_window: dict[tuple[str, int], float] = {}
    for arrival in result.event_log.arrivals:
        at_s, zone = arrival.arrived_s - result.start_s, result.specs[arrival.server].zone
        if zone not in (lost, result.scenario.zone_of(arrival.proxy)) and from_s <= at_s < until_s:
            key = zone, int((at_s - from_s) / window_s)
            work_by_window[key] = (
                work_by_window.get(key, 0.0) + result.event_log.attempts[arrival.attempt_id].work_ms
            )
    return round(
        max((work / capacity_by_zone[zone] for (zone, _), work in work_by_window.items()), default=0.0), 3
    )


def time_to_usual_share_s(result: SimulationResult, zone: str, from_s: float) -> float | None:
    """Returns the time (s) from `from_s` until the zone has 0.9 of its share before the loss, over 5 s.

    Returns None if that does not happen before the scenario ends."""
    loss_s = min(i.at_s for i in result.scenario.faults)

    def zone_share(begin_s: float, end_s: float) -> float:
        arrivals = [a for a in result.event_log.arrivals if begin_s <= a.arrived_s - result.start_s < end_s]
        in_zone = sum(1 for a in arrivals if result.specs[a.server].zone == zone)
        return in_zone / max(1, len(arrivals))

    usual_share = zone_share(2.0, loss_s)
    at_s = from_s
    while at_s + 5.0 <= result.scenario.duration_s:
        if zone_share(at_s, at_s + 5.0) >= 0.9 * usual_share:
            return at_s - from_s
        at_s += 1.0
    return None


def run_job(job: tuple[str, int, str, int]) -> dict[str, Any]:
    """Simulates the scenario with one variant and seed, and returns its figures."""
    variant, seed, file, proxies = job
    scenario = replace(load_scenario(SCENARIO_FILE), seed=seed)
    scenario = replace(scenario, clients=replace(scenario.clients, proxies=proxies))
    lost = scenario.faults[0]
    result = simulate(scenario, operators=operators_of_variant(variant, file))
    return_s = lost.at_s + lost.duration_s
    highest, over_s = loads_after_return(result, lost.zone, return_s)
    cross_zone_attempts = sum(
        1 for a in result.event_log.arrivals if result.specs[a.server].zone != scenario.zone_of(a.proxy)
    )
    return {
        "after_loss": served_shares(result, lost.at_s, AFTER_LOSS_S),
        "after_return": served_shares(result, return_s, AFTER_RETURN_S),
        "highest_load": highest,
        "highest_spill": highest_spillover(result, lost.zone, lost.at_s, return_s),
        "longest_over_s": over_s,
        "crossings_a_request": round(cross_zone_attempts / max(1, len(result.event_log.attempts)), 4),
        "full_use_s": time_to_usual_share_s(result, lost.zone, return_s),
        "rules": result.rule_check.counts(),
        "choked": sum(any(s.state == "choked" for s in of) for of in result.event_log.samples.values()),
    }


def summarize(results: list[dict[str, Any]]) -> dict[str, Any]:
    classes = sorted(results[0]["after_loss"])

    def spread(values: list[float]) -> dict[str, float]:
        return {"mean": round(fmean(values), 4), "least": min(values), "most": max(values)}

    return {
        "after_loss": {c: spread([r["after_loss"][c] for r in results]) for c in classes},
        "after_return": {c: spread([r["after_return"][c] for r in results]) for c in classes},
        "highest_load": spread([r["highest_load"] for r in results]),
        "highest_spill": spread([r["highest_spill"] for r in results]),
        "longest_over_s": max(r["longest_over_s"] for r in results),
        "crossings_a_request": spread([r["crossings_a_request"] for r in results]),
        "full_use_s": [r["full_use_s"] for r in results],
        "choked_servers": [r["choked"] for r in results],
        "rules_broken": sum(sum(r["rules"].values()) for r in results),
    }


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--operators", default=str(ROOT / "deploy" / "operators.toml"))
    parser.add_argument("--proxies", type=int, default=load_scenario(SCENARIO_FILE).clients.proxies)
    parser.add_argument("--ways", nargs="*", default=["none", "tiers", "strict"])
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    args = parser.parse_args()
    first = load_scenario(SCENARIO_FILE).seed
    seeds = [first + number for number in range(args.seeds)]
    jobs = [(variant, seed, args.operators, args.proxies) for variant in args.ways for seed in seeds]
    with ProcessPoolExecutor(args.jobs) as pool:
        results = list(pool.map(run_job, jobs))
    summaries = {
        variant: summarize(
            [r for (job_variant, *_), r in zip(jobs, results, strict=True) if job_variant == variant]
        )
        for variant in args.ways
    }
    header = {"day": SCENARIO_FILE.stem, "seeds": seeds, "cores": os.cpu_count(), "proxies": args.proxies}
    print(json.dumps({**header, "ways": summaries}, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
