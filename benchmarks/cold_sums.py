"""Compares what all proxies together send to servers that have just started with what the rule allows.

    python -m benchmarks.cold_sums [--proxies 3 20 30 200] [--seeds 6] [--length 16] [--jobs 4]

Simulates the scenario `join-many` on the virtual clock: six of ten servers are replaced within 7 s, and the
proxies have uneven traffic. Servers start with less capacity, and the rule allows less, than at any known
site; the load is the same for each number of proxies. Each case runs once as it is and once with a third of
the proxies restarted one after the other during slow start, with the platform's settings file of operators.

For each server and each window of `fall_ms` after its start, the work that arrived, in requests of mean work,
is compared with N, the work that the settings allow (`fall_multiple` x the share of its capacity that the
server certainly has x the window). The excess over N is divided by 2 x sqrt(N) + 2, the deviation attributed
to chance; above 1 a server may crash.

Prints JSON by number of proxies and restarts: the distribution of the highest excess of each server start
(median, 95th percentile, largest), the number of starts above 0 and above 1, overload crashes (emulated
servers allow nothing for chance), and the share of the priority weight that was served.
"""

from __future__ import annotations

import argparse
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from itertools import product
from math import sqrt
from pathlib import Path
from statistics import median
from typing import Any

from client_proxy.emulator.report import build_report
from client_proxy.emulator.scenario import Fault
from client_proxy.emulator.scenario_reader import load_scenario
from client_proxy.emulator.simulation import UNIX_START_S, SimulationResult, simulate
from client_proxy.operators import load_operators

ROOT = Path(__file__).resolve().parents[1]
SCENARIO_FILE = ROOT / "examples" / "days" / "join-many.toml"
OPERATORS_FILE = ROOT / "deploy" / "platform.toml"
# Stricter than at any known site, so that an ordinary share already overloads a server in slow start.
CRASH_MULTIPLE, SLOW_START_SHARE = 1.5, 0.15
Job = tuple[int, bool, int, float]


def excesses(result: SimulationResult) -> list[float]:
    """Returns the highest excess of each server start that began with slow start."""
    scenario, rules = result.scenario, result.scenario.rules
    mean_ms = sum(c.share * c.work_ms for c in scenario.classes) / sum(c.share for c in scenario.classes)
    starts = {
        (t.server, t.since_ms / 1000.0 - UNIX_START_S) for t in result.event_log.notifications if t.since_ms
    }
    work_ms = {name: item.work_ms for name, item in result.event_log.attempts.items()}
    highest_excesses = []
    for server, start_s in sorted(starts):
        kind = result.specs[server].server_type
        arrivals = sorted(
            (a.arrived_s, work_ms[a.attempt_id] / mean_ms)
            for a in result.event_log.arrivals
            if a.server == server and start_s <= a.arrived_s < start_s + rules.slow_start_ms / 1000.0
        )
        highest, window_start, window_work = float("-inf"), 0, 0.0
        for at_s, work in arrivals:
            window_work += work
            while arrivals[window_start][0] < at_s - rules.crash_window_ms / 1000.0:
                window_work -= arrivals[window_start][1]
                window_start += 1
            warmth = min(
                1.0,
                rules.slow_start_share
                + (1 - rules.slow_start_share) * (at_s - start_s) * 1000.0 / rules.slow_start_ms,
            )
            capacity_ms = kind.cores * kind.speed * warmth * rules.crash_window_ms
            allowed = rules.crash_multiple * capacity_ms / mean_ms
            highest = max(highest, (window_work - allowed) / (2 * sqrt(allowed) + 2))
        if arrivals:
            highest_excesses.append(highest)
    return highest_excesses


def run_job(job: Job) -> tuple[list[float], int, float]:
    """Simulates one case; returns the excesses, the number of overload crashes and the served share."""
    proxies, restarts, seed, length_s = job
    scenario = load_scenario(SCENARIO_FILE)
    rates = tuple(
        scenario.clients.relative_rates[n % len(scenario.clients.relative_rates)] for n in range(proxies)
    )
    scenario_faults = scenario.faults
    if restarts:
        restarted_proxies = tuple(range(0, proxies, 3))
        scenario_faults += (
            Fault(
                at_s=4.0,
                kind="proxy_restart",
                proxies=restarted_proxies,
                stagger_s=6.0 / len(restarted_proxies),
                downtime_s=0.5,
            ),
        )
    clients = replace(scenario.clients, proxies=proxies, relative_rates=rates)
    rules = replace(scenario.rules, crash_multiple=CRASH_MULTIPLE, slow_start_share=SLOW_START_SHARE)
    slow_start_s = rules.slow_start_ms / 1000.0
    kinds = tuple(
        replace(k, cold_capacity=SLOW_START_SHARE, warm_up_s=slow_start_s, warm_up_requests=0)
        for k in scenario.server_types
    )
    scenario = replace(
        scenario,
        seed=seed,
        duration_s=length_s,
        clients=clients,
        faults=scenario_faults,
        rules=rules,
        server_types=kinds,
    )
    result = simulate(scenario, operators=load_operators(str(OPERATORS_FILE)))
    return excesses(result), len(result.event_log.overload_crashes), build_report(result).served_share


def summarize(proxies: int, restarts: bool, results: list[tuple[list[float], int, float]]) -> dict[str, Any]:
    highest_excesses = sorted(highest for excesses_of_run, _, _ in results for highest in excesses_of_run)
    return {
        "proxies": proxies,
        "restarts": restarts,
        "days": len(results),
        "lives": len(highest_excesses),
        "median": round(median(highest_excesses), 3),
        "p95": round(highest_excesses[int(0.95 * (len(highest_excesses) - 1))], 3),
        "largest": round(highest_excesses[-1], 3),
        "above_0": sum(highest > 0 for highest in highest_excesses),
        "above_1": sum(highest > 1 for highest in highest_excesses),
        "falls": sum(crashes for _, crashes, _ in results),
        "served": round(sum(served for _, _, served in results) / len(results), 4),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--proxies", type=int, nargs="+", default=[3, 20, 30, 200])
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--length", type=float, default=16.0)
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    rows = []
    with ProcessPoolExecutor(args.jobs) as pool:
        kinds = list(product(args.proxies, (False, True)))
        runs = {
            kind: [pool.submit(run_job, (*kind, seed, args.length)) for seed in range(1, args.seeds + 1)]
            for kind in kinds
        }
        for (proxies, restarts), running in runs.items():
            rows.append(summarize(proxies, restarts, [item.result() for item in running]))
            print(json.dumps(rows[-1]), file=sys.stderr, flush=True)
    print(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
