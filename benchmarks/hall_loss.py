"""Losing a hall, at 80% of what the others bear: without tiers, with them, and with strict priority.

    python -m benchmarks.hall_loss [--seeds 3] [--proxies 6] [--ways none tiers strict] [--operators FILE]

The same day (`examples/days/hall-lost-busy.toml`) on the virtual clock for every seed and way. By way: the
share of entries and extracts served in time in the 30 s after the loss and the 60 s after the return; the
highest load on a returning server over what it bears warm, by spans of a push window; the highest load from
other halls on a surviving one while the hall was away, over what that one bears; attempts outside the proxy's
own hall, by request; how long after the return the hall took its even share again. Prints JSON.
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
DAY = ROOT / "examples" / "days" / "hall-lost-busy.toml"
LOSS_S, RETURN_S = 30.0, 60.0
# The simplest rival: the own hall first, then the next, with no limit and no pace.
STRICT = LocalitySettings(
    overprovisioning=10.0,
    spillover_share=1.0,
    panic_threshold=0.0,
    ramp_start_share=1.0,
    ramp_s=0.1,
    unavailable_after=1000,
)


def operators(way: str, file: str) -> OperatorSettings:
    if way == "none":
        return OperatorSettings()
    return OperatorSettings(STRICT) if way == "strict" else load_operators(file)


def service(played: SimulationResult, from_s: float, span_s: float) -> dict[str, float]:
    asked: dict[str, int] = {}
    served: dict[str, int] = {}
    for each in played.event_log.requests:
        at_s = each.requested_s - played.start_s
        if from_s <= at_s < from_s + span_s:
            asked[each.class_name] = asked.get(each.class_name, 0) + 1
            served[each.class_name] = served.get(each.class_name, 0) + (each.outcome == "served")
    return {name: round(served[name] / asked[name], 4) for name in sorted(asked)}


def loads(played: SimulationResult, hall: str, from_s: float) -> tuple[float, float]:
    """The highest load on a server of that hall over what it bears warm, in spans of the push window, and the
    longest that one stayed above 1."""
    window_s = played.scenario.rules.crash_window_ms / 1000.0
    highest = longest_s = 0.0
    for name, spec in played.specs.items():
        if spec.zone != hall:
            continue
        bears_ms = 1000.0 * spec.server_type.cores * spec.server_type.speed * window_s
        sums: dict[int, float] = {}
        for arrival in played.event_log.arrivals:
            at_s = arrival.arrived_s - played.start_s - from_s
            if arrival.server == name and at_s >= 0:
                number = int(at_s / window_s)
                work_ms = played.event_log.attempts[arrival.attempt_id].work_ms
                sums[number] = sums.get(number, 0.0) + work_ms
        over = 0
        for number in range(max(sums, default=0) + 1):
            ratio = sums.get(number, 0.0) / bears_ms
            highest = max(highest, ratio)
            over = over + 1 if ratio > 1.0 else 0
            longest_s = max(longest_s, over * window_s)
    return round(highest, 3), longest_s


def spill(played: SimulationResult, lost: str, from_s: float, to_s: float) -> float:
    """The highest load from other halls on a surviving one, over what it bears, by push windows."""
    window_s = played.scenario.rules.crash_window_ms / 1000.0
    bears: dict[str, float] = {}
    for spec in played.specs.values():
        bears[spec.zone] = (
            bears.get(spec.zone, 0.0) + 1000.0 * spec.server_type.cores * spec.server_type.speed * window_s
        )
    sums: dict[tuple[str, int], float] = {}
    for arrival in played.event_log.arrivals:
        at_s, hall = arrival.arrived_s - played.start_s, played.specs[arrival.server].zone
        if hall not in (lost, played.scenario.zone_of(arrival.proxy)) and from_s <= at_s < to_s:
            place = hall, int((at_s - from_s) / window_s)
            sums[place] = sums.get(place, 0.0) + played.event_log.attempts[arrival.attempt_id].work_ms
    return round(max((work / bears[hall] for (hall, _), work in sums.items()), default=0.0), 3)


def full_use_s(played: SimulationResult, hall: str, from_s: float) -> float | None:
    """When, after the return, the hall first took 0.9 of its share before the loss in a span of 5 s."""
    loss_s = min(i.at_s for i in played.scenario.faults)

    def part(begin_s: float, end_s: float) -> float:
        inside = [a for a in played.event_log.arrivals if begin_s <= a.arrived_s - played.start_s < end_s]
        there = sum(1 for a in inside if played.specs[a.server].zone == hall)
        return there / max(1, len(inside))

    usual = part(2.0, loss_s)
    at_s = from_s
    while at_s + 5.0 <= played.scenario.duration_s:
        if part(at_s, at_s + 5.0) >= 0.9 * usual:
            return at_s - from_s
        at_s += 1.0
    return None


def one(job: tuple[str, int, str, int]) -> dict[str, Any]:
    way, seed, file, proxies = job
    day = replace(load_scenario(DAY), seed=seed)
    day = replace(day, clients=replace(day.clients, proxies=proxies))
    lost = day.faults[0]
    played = simulate(day, operators=operators(way, file))
    back_s = lost.at_s + lost.duration_s
    highest, over_s = loads(played, lost.zone, back_s)
    crossed = sum(1 for a in played.event_log.arrivals if played.specs[a.server].zone != day.zone_of(a.proxy))
    return {
        "after_loss": service(played, lost.at_s, LOSS_S),
        "after_return": service(played, back_s, RETURN_S),
        "highest_load": highest,
        "highest_spill": spill(played, lost.zone, lost.at_s, back_s),
        "longest_over_s": over_s,
        "crossings_a_request": round(crossed / max(1, len(played.event_log.attempts)), 4),
        "full_use_s": full_use_s(played, lost.zone, back_s),
        "rules": played.rule_check.counts(),
        "choked": sum(any(s.state == "choked" for s in of) for of in played.event_log.samples.values()),
    }


def gathered(results: list[dict[str, Any]]) -> dict[str, Any]:
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
    parser.add_argument("--proxies", type=int, default=load_scenario(DAY).clients.proxies)
    parser.add_argument("--ways", nargs="*", default=["none", "tiers", "strict"])
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    args = parser.parse_args()
    first = load_scenario(DAY).seed
    seeds = [first + number for number in range(args.seeds)]
    work = [(way, seed, args.operators, args.proxies) for way in args.ways for seed in seeds]
    with ProcessPoolExecutor(args.jobs) as pool:
        results = list(pool.map(one, work))
    found = {
        way: gathered([r for (w, *_), r in zip(work, results, strict=True) if w == way]) for way in args.ways
    }
    told = {"day": DAY.stem, "seeds": seeds, "cores": os.cpu_count(), "proxies": args.proxies}
    print(json.dumps({**told, "ways": found}, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
