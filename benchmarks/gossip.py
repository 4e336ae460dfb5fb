"""Measures gossip in clusters on a virtual clock (`emulator/simulated_cluster.py`).

    python -m benchmarks.gossip sick        [--sizes 4 20 200] [--liars 0 1 3] [--seeds 5] [--page F]
    python -m benchmarks.gossip traffic     [--sizes 20 500 5000]
    python -m benchmarks.gossip detection   [--sizes 20 50] [--seeds 10]
    python -m benchmarks.gossip schedules   [--first 1] [--count 2000]
    python -m benchmarks.gossip structures
    python -m benchmarks.gossip days        [--seeds 5] [DAY ...]

sick: one server fails all requests under sparse traffic (60 requests a second in total, at most two per
instance); the priority weight lost until the end of the run, with and without gossip, and with Byzantine
reporters among the instances. traffic: datagrams and bytes a second, CPU and memory per instance, in a quiet
cluster and while a server is sick. detection: the time from the death of an instance to the first suspicion
and until all others consider it dead, in periods, beside the expectation of SWIM. schedules: random fault
schedules (`emulator/fault_schedule.py`); prints the seeds that fail. structures: the order of the broadcast
queue by levels, compared with sorting at each datagram. days: whole daemons in shipped scenarios, with and
without gossip. All print JSON."""

from __future__ import annotations

import argparse
import json
import os
import resource
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from math import e, exp, log
from multiprocessing import get_context
from pathlib import Path
from statistics import fmean, stdev
from typing import Any

from client_proxy.emulator.byzantine_reporters import (
    AccusesAll,
    AccusesFirst,
    AccusesTwo,
    Equivocates,
    PraisesAll,
)
from client_proxy.emulator.fault_schedule import draw_schedule, run_schedule
from client_proxy.emulator.report import build_report
from client_proxy.emulator.scenario_reader import load_scenario
from client_proxy.emulator.simulated_cluster import SimulatedCluster
from client_proxy.emulator.simulation import simulate
from client_proxy.membership.broadcast_queue import BroadcastQueue
from client_proxy.membership.codec import pack_record
from client_proxy.membership.members import MemberState
from client_proxy.membership.messages import Suspect
from client_proxy.membership.node import GossipNode
from client_proxy.membership.settings import GossipSettings, SwimSettings
from client_proxy.operators import NO_FEATURES, OperatorSettings
from client_proxy.optional_dependencies import require

ROOT = Path(__file__).resolve().parents[1]
SICK_FROM_S, END_S = 25.0, 55.0
LIAR_TYPES: dict[str, type[GossipNode]] = {
    "all": AccusesAll,
    "one": AccusesFirst,
    "two": AccusesTwo,
    "praise": PraisesAll,
    "both ways": Equivocates,
}


def spread(values: list[float]) -> dict[str, float]:
    noise = stdev(values) if len(values) > 1 else 0.0
    return {
        "mean": round(fmean(values), 4),
        "stdev": round(noise, 4),
        "least": min(values),
        "most": max(values),
    }


# A sick server


def run_sick_server(job: tuple[int, int, str, bool, int]) -> dict[str, Any]:
    instances, liars, lie, gossip, seed = job
    step = max(1, instances // max(1, liars))
    liar_numbers = [step * n + step // 2 for n in range(liars)]
    cluster = SimulatedCluster(
        instances,
        gossip=GossipSettings() if gossip else None,
        node_types=dict.fromkeys(liar_numbers, LIAR_TYPES[lie]) if gossip else None,
        seed=seed,
    )
    cluster.start()
    cluster.schedule_traffic(min(60.0, 2.0 * instances), 3000.0, 1000.0 * END_S)
    sick_server = sorted(cluster.servers)[4]
    cluster.call_at(1000.0 * SICK_FROM_S, lambda: setattr(cluster.servers[sick_server], "failure_share", 1.0))
    healthy_servers = [name for name in cluster.servers if name != sick_server]
    deprioritizing_shares, wrong_shares, attempts_before = [], [], {}
    at_ms = 1000.0 * SICK_FROM_S
    while at_ms < 1000.0 * END_S:
        at_ms += 500.0
        cluster.run(at_ms)
        if gossip:
            deprioritizing_shares.append(
                round(cluster.deprioritizing_share(sick_server, excluded=liar_numbers), 3)
            )
            wrong_shares.append(
                max(cluster.deprioritizing_share(name, excluded=liar_numbers) for name in healthy_servers)
            )
        if at_ms == 1000.0 * (END_S - 15.0):
            attempts_before = {name: cluster.servers[name].attempt_count for name in healthy_servers}
    cluster.run(1000.0 * END_S + 2000.0)
    lost, requested_weight = cluster.lost_weight(1000.0 * SICK_FROM_S, 1000.0 * END_S, excluded=liar_numbers)
    half_s = next((0.5 * (n + 1) for n, share in enumerate(deprioritizing_shares) if share >= 0.5), None)
    return {
        "lost": lost,
        "share": lost / requested_weight,
        "half_s": half_s,
        "leaning": deprioritizing_shares,
        "wrongly": max(wrong_shares, default=0.0),
        "wrongly_mean": fmean(wrong_shares) if wrong_shares else 0.0,
        "unused": sum(
            cluster.servers[name].attempt_count == before for name, before in attempts_before.items()
        ),
        "asked_sick": cluster.servers[sick_server].attempt_count,
    }


def sick(args: argparse.Namespace) -> dict[str, Any]:
    jobs = [
        (size, liars, lie, gossip, seed)
        for size in args.sizes
        for gossip in (False, True)
        for liars in (args.liars if gossip else [0])
        for lie in (args.tales if liars else ["all"])
        for seed in range(1, args.seeds + 1)
        if liars < size / 4
    ]
    jobs.sort(key=lambda job: -job[0])
    with ProcessPoolExecutor(args.jobs) as pool:
        results = list(zip(jobs, pool.map(run_sick_server, jobs), strict=True))
    figures: dict[str, Any] = {}
    for size, liars, lie, gossip in sorted({job[:4] for job in jobs}):
        group_results = [result for job, result in results if job[:4] == (size, liars, lie, gossip)]
        name = f"{size} instances, " + (
            "alone" if not gossip else f"{liars} liars" + (f" ({lie})" if liars else "")
        )
        figures[name] = {
            "lost_share": spread([r["share"] for r in group_results]),
            "lost_worth": spread([r["lost"] for r in group_results]),
            "half_lean_after_s": [r["half_s"] for r in group_results],
            "leaned_wrongly_most": max(r["wrongly"] for r in group_results),
            "leaned_wrongly_mean": round(fmean(r["wrongly_mean"] for r in group_results), 4),
            "healthy_servers_unused": sum(r["unused"] for r in group_results),
        }
    if args.page:
        draw(args.page, results)
    return figures


def draw(page: str, results: list[tuple[Any, dict[str, Any]]]) -> None:
    """Draws the share of instances that deprioritize the sick server over time, by cluster size."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for size in sorted({job[0] for job, _ in results}):
        group_results = [r["leaning"] for job, r in results if job[0] == size and job[3] and not job[1]]
        if group_results:
            mean = [fmean(column) for column in zip(*group_results, strict=True)]
            axes.plot([0.5 * (n + 1) for n in range(len(mean))], mean, label=f"{size} instances")
    axes.set_xlabel("seconds since the server is sick")
    axes.set_ylabel("share of instances that draw it less")
    axes.legend()
    figure.savefig(page)


# Traffic


def measure_traffic(size: int) -> dict[str, Any]:
    settled_s = 40.0 if size <= 500 else 30.0
    empty_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    cluster = SimulatedCluster(
        size, gossip=GossipSettings(swim=SwimSettings(most_members=256 if size <= 500 else 64))
    )
    cluster.start(spread_ms=10_000.0)
    cluster.schedule_traffic(60.0, 3000.0, 1000.0 * (settled_s + 20.0))
    figures: dict[str, Any] = {}

    def measure_span(name: str, from_s: float, until_s: float) -> None:
        cluster.run(1000.0 * from_s)
        nodes = [i.node for i in cluster.instances if i.node is not None]
        before = [
            (n.counters.sent, n.counters.sent_bytes, n.counters.accepted, n.counters.verified) for n in nodes
        ]
        start_s = time.process_time()
        cluster.run(1000.0 * until_s)
        cpu_s, span_s = time.process_time() - start_s, until_s - from_s
        after = [
            (n.counters.sent, n.counters.sent_bytes, n.counters.accepted, n.counters.verified) for n in nodes
        ]
        rates = [
            [(a - b) / span_s for a, b in zip(x, y, strict=True)] for x, y in zip(after, before, strict=True)
        ]
        names = ("sent_per_s", "bytes_per_s", "taken_per_s", "verified_per_s")
        figures[name] = {
            what: {"mean": round(fmean(r[n] for r in rates), 2), "most": round(max(r[n] for r in rates), 2)}
            for n, what in enumerate(names)
        }
        # Of the whole cluster, with balancers and network: an upper bound for the gossip of an instance.
        figures[name]["cpu_ms_per_s_and_instance"] = round(1000.0 * cpu_s / span_s / size, 3)

    measure_span("quiet", settled_s, settled_s + 5.0)
    figures["members_known"] = {
        "least": min(
            len(i.node.swim.members.present_members()) for i in cluster.instances if i.node is not None
        ),
        "most": max(
            len(i.node.swim.members.present_members()) for i in cluster.instances if i.node is not None
        ),
    }
    name = sorted(cluster.servers)[4]
    cluster.servers[name].failure_share = 1.0
    measure_span("sick server", settled_s + 5.0, settled_s + 15.0)
    figures["lean_after_10_s"] = round(cluster.deprioritizing_share(name), 3)
    # With the balancer and the datagrams in flight: an upper bound for the gossip of an instance.
    full_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    figures["kib_an_instance_and_all"] = round((full_kib - empty_kib) / size, 1)
    return figures


def traffic(args: argparse.Namespace) -> dict[str, Any]:
    with ProcessPoolExecutor(args.jobs, max_tasks_per_child=1, mp_context=get_context("spawn")) as pool:
        return dict(zip(map(str, args.sizes), pool.map(measure_traffic, args.sizes), strict=True))


# Detection


def measure_detection(job: tuple[int, int]) -> dict[str, float]:
    size, seed = job
    cluster = SimulatedCluster(size, gossip=GossipSettings(), seed=seed)
    cluster.start()
    cluster.run(60_000.0)
    joined_s = 60.0
    victim = size // 2
    cluster.kill(victim)
    start_s = cluster.now_ms
    first = last = all_suspect = -1.0
    while last < 0 and cluster.now_ms < start_s + 300_000.0:
        cluster.run(cluster.now_ms + 50.0)
        seen = [
            m.state
            for i in cluster.instances
            if i.number != victim and i.node is not None and (m := i.node.swim.members.get(victim + 1))
        ]
        if first < 0 and MemberState.SUSPECT in seen:
            first = (cluster.now_ms - start_s) / 1000.0
        if all_suspect < 0 and MemberState.ALIVE not in seen:
            all_suspect = (cluster.now_ms - start_s) / 1000.0
        if all(state is MemberState.DEAD for state in seen):
            last = (cluster.now_ms - start_s) / 1000.0
    cluster.restart(victim)
    restart_ms = cluster.now_ms
    while cluster.now_ms < restart_ms + 120_000.0:
        cluster.run(cluster.now_ms + 50.0)
        members = [
            i.node.swim.members.get(victim + 1)
            for i in cluster.instances
            if i.number != victim and i.node is not None
        ]
        if all(m is not None and m.state is MemberState.ALIVE for m in members):
            break
    return {
        "joined_s": joined_s,
        "first": first,
        "heard": all_suspect,
        "last": last,
        "back": (cluster.now_ms - restart_ms) / 1000.0,
    }


def detection(args: argparse.Namespace) -> dict[str, Any]:
    jobs = [(size, seed) for size in args.sizes for seed in range(1, args.seeds + 1)]
    with ProcessPoolExecutor(args.jobs) as pool:
        results = list(zip(jobs, pool.map(measure_detection, jobs), strict=True))
    figures: dict[str, Any] = {}
    for size in args.sizes:
        group_results = [result for job, result in results if job[0] == size]
        figures[str(size)] = {
            "first_suspicion_periods": spread([r["first"] for r in group_results]),
            # SWIM, section 3.1: if all members probe at random, the time to the first detection is geometric
            # with 1 - e^-1 per period; the duration of a probe is added to it.
            "swim_expects_periods": round(e / (e - 1), 3),
            "all_suspect_s": spread([r["heard"] for r in group_results]),
            "epidemic_expects_periods_about": round(log(size) / (1 - exp(-1)), 2),
            "all_bury_s": spread([r["last"] for r in group_results]),
            "back_with_all_s": spread([r["back"] for r in group_results]),
        }
    return figures


# Schedules


def run_random_schedule(seed: int) -> tuple[int, list[str], list[str]]:
    schedule = draw_schedule(seed)
    try:
        return seed, schedule.descriptions, run_schedule(schedule)
    except Exception as error:
        return seed, schedule.descriptions, [repr(error)]


def schedules(args: argparse.Namespace) -> dict[str, Any]:
    seeds = range(args.first, args.first + args.count)
    with ProcessPoolExecutor(args.jobs) as pool:
        results = list(pool.map(run_random_schedule, seeds, chunksize=4))
    failed_runs = [
        {"seed": s, "troubles": troubles, "wrong": wrong} for s, troubles, wrong in results if wrong
    ]
    kinds: dict[str, int] = {}
    for _, troubles, _ in results:
        for text in troubles:
            kinds[text.split()[0]] = kinds.get(text.split()[0], 0) + 1
    return {
        "first": args.first,
        "played": len(results),
        "failed": len(failed_runs),
        "troubles": kinds,
        "failures": failed_runs[:20],
    }


# Structures


def structures(args: argparse.Namespace) -> dict[str, Any]:
    """Measures taking 200 bytes from the broadcast queue and adding an entry, compared with a sorted list."""
    figures: dict[str, Any] = {}
    for entry_count in (16, 64, 256, 1024):
        queue = BroadcastQueue(entry_count)
        entries_by_number: dict[int, list[Any]] = {}
        for number in range(entry_count):
            queue.put(number, Suspect(number, 1, 1))
            entries_by_number[number] = [0, pack_record(Suspect(number, 1, 1))]
        rounds = 2000
        start_s = time.perf_counter()
        for number in range(rounds):
            queue.take(200, 1_000_000)
            queue.put(number % entry_count, Suspect(number, 1, 1))
        levels_us = 1e6 * (time.perf_counter() - start_s) / rounds
        start_s = time.perf_counter()
        for number in range(rounds):
            room_bytes = 200
            for entry in sorted(entries_by_number.values(), key=lambda entry: entry[0]):
                if len(entry[1]) <= room_bytes:
                    room_bytes -= len(entry[1])
                    entry[0] += 1
            entries_by_number[number % entry_count] = [0, pack_record(Suspect(number, 1, 1))]
        sorted_us = 1e6 * (time.perf_counter() - start_s) / rounds
        figures[str(entry_count)] = {"levels_us": round(levels_us, 1), "sorted_us": round(sorted_us, 1)}
    return figures


# Whole daemons


def simulate_day(job: tuple[str, bool, int]) -> dict[str, Any]:
    name, gossip, seed = job
    day = replace(load_scenario(ROOT / "examples" / "days" / f"{name}.toml"), seed=seed)
    result = simulate(day, operators=OperatorSettings(gossip=GossipSettings()) if gossip else NO_FEATURES)
    report = build_report(result)
    return {
        "served": report.served_share,
        "broken": sum(report.rules.values()),
        "failures": len(result.failures),
    }


def days(args: argparse.Namespace) -> dict[str, Any]:
    jobs = [(n, g, s) for n in args.days for g in (False, True) for s in range(1, args.seeds + 1)]
    with ProcessPoolExecutor(args.jobs) as pool:
        results = list(zip(jobs, pool.map(simulate_day, jobs), strict=True))
    figures: dict[str, Any] = {}
    for name in args.days:
        for gossip in (False, True):
            group_results = [result for job, result in results if job[:2] == (name, gossip)]
            figures[f"{name}, {'on' if gossip else 'off'}"] = {
                "served": spread([r["served"] for r in group_results]),
                "rules_broken": sum(r["broken"] for r in group_results),
                "failures": sum(r["failures"] for r in group_results),
            }
    return figures


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    subparsers = parser.add_subparsers(dest="what", required=True)
    subparser = subparsers.add_parser("sick")
    subparser.add_argument("--sizes", type=int, nargs="*", default=[4, 20, 200])
    subparser.add_argument("--liars", type=int, nargs="*", default=[0, 1, 3])
    subparser.add_argument("--seeds", type=int, default=5)
    subparser.add_argument("--tales", nargs="*", choices=list(LIAR_TYPES), default=list(LIAR_TYPES))
    subparser.add_argument("--page")
    subparser = subparsers.add_parser("traffic")
    subparser.add_argument("--sizes", type=int, nargs="*", default=[20, 500, 5000])
    subparser = subparsers.add_parser("detection")
    subparser.add_argument("--sizes", type=int, nargs="*", default=[20, 50])
    subparser.add_argument("--seeds", type=int, default=10)
    subparser = subparsers.add_parser("schedules")
    subparser.add_argument("--first", type=int, default=1)
    subparser.add_argument("--count", type=int, default=2000)
    subparsers.add_parser("structures")
    subparser = subparsers.add_parser("days")
    subparser.add_argument("days", nargs="*", default=["calm-morning", "freeze-spreads", "wedding-saturday"])
    subparser.add_argument("--seeds", type=int, default=5)
    args = parser.parse_args()
    if getattr(args, "page", None):
        require("--page", "plots", "matplotlib")  # fail now rather than after hours of simulation
    commands = {f.__name__: f for f in (sick, traffic, detection, schedules, structures, days)}
    start_s = time.time()
    figures = commands[args.what](args)
    header = {"what": args.what, "cores": os.cpu_count(), "wall_s": round(time.time() - start_s, 1)}
    print(json.dumps({**header, "found": figures}, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
