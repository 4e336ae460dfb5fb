"""Gossip between instances, measured in clusters on a virtual clock (`emulator/simulated_cluster.py`).

    python -m benchmarks.gossip sick        [--sizes 4 20 200] [--liars 0 1 3] [--seeds 5] [--page F]
    python -m benchmarks.gossip traffic     [--sizes 20 500 5000]
    python -m benchmarks.gossip detection   [--sizes 20 50] [--seeds 10]
    python -m benchmarks.gossip schedules   [--first 1] [--count 2000]
    python -m benchmarks.gossip structures
    python -m benchmarks.gossip days        [--seeds 5] [DAY ...]

sick: a server that fails all it gets, sparse traffic (60 requests a second over all, two an instance at
most): worth lost until the end of the run, with gossip and without, with liars among the instances. traffic:
datagrams and bytes a second, CPU and memory an instance, on a quiet day and while a server is sick.
detection: from a death to the first suspicion and to the last burial, in periods, beside SWIM's expectation.
schedules: random bad days (`emulator/fault_schedule.py`); prints the seeds that fail. structures: the
rumours' order by levels beside a sort at each datagram. days: whole daemons on shipped days, with gossip and
without. All print JSON."""

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
SICK_S, END_S = 25.0, 55.0
TALES: dict[str, type[GossipNode]] = {
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


def sick_one(job: tuple[int, int, str, bool, int]) -> dict[str, Any]:
    instances, liars, tale, gossip, seed = job
    step = max(1, instances // max(1, liars))
    lying = [step * n + step // 2 for n in range(liars)]
    town = SimulatedCluster(
        instances,
        gossip=GossipSettings() if gossip else None,
        node_types=dict.fromkeys(lying, TALES[tale]) if gossip else None,
        seed=seed,
    )
    town.start()
    town.schedule_traffic(min(60.0, 2.0 * instances), 3000.0, 1000.0 * END_S)
    sick = sorted(town.servers)[4]
    town.call_at(1000.0 * SICK_S, lambda: setattr(town.servers[sick], "failure_share", 1.0))
    healthy = [name for name in town.servers if name != sick]
    leaning, wrongly, used = [], [], {}
    at_ms = 1000.0 * SICK_S
    while at_ms < 1000.0 * END_S:
        at_ms += 500.0
        town.run(at_ms)
        if gossip:
            leaning.append(round(town.deprioritizing_share(sick, excluded=lying), 3))
            wrongly.append(max(town.deprioritizing_share(name, excluded=lying) for name in healthy))
        if at_ms == 1000.0 * (END_S - 15.0):
            used = {name: town.servers[name].attempt_count for name in healthy}
    town.run(1000.0 * END_S + 2000.0)
    lost, whole = town.lost_weight(1000.0 * SICK_S, 1000.0 * END_S, excluded=lying)
    half = next((0.5 * (n + 1) for n, share in enumerate(leaning) if share >= 0.5), None)
    return {
        "lost": lost,
        "share": lost / whole,
        "half_s": half,
        "leaning": leaning,
        "wrongly": max(wrongly, default=0.0),
        "wrongly_mean": fmean(wrongly) if wrongly else 0.0,
        "unused": sum(town.servers[name].attempt_count == before for name, before in used.items()),
        "asked_sick": town.servers[sick].attempt_count,
    }


def sick(args: argparse.Namespace) -> dict[str, Any]:
    jobs = [
        (size, liars, tale, gossip, seed)
        for size in args.sizes
        for gossip in (False, True)
        for liars in (args.liars if gossip else [0])
        for tale in (args.tales if liars else ["all"])
        for seed in range(1, args.seeds + 1)
        if liars < size / 4
    ]
    jobs.sort(key=lambda job: -job[0])
    with ProcessPoolExecutor(args.jobs) as pool:
        results = list(zip(jobs, pool.map(sick_one, jobs), strict=True))
    found: dict[str, Any] = {}
    for size, liars, tale, gossip in sorted({job[:4] for job in jobs}):
        of = [result for job, result in results if job[:4] == (size, liars, tale, gossip)]
        name = f"{size} instances, " + (
            "alone" if not gossip else f"{liars} liars" + (f" ({tale})" if liars else "")
        )
        found[name] = {
            "lost_share": spread([r["share"] for r in of]),
            "lost_worth": spread([r["lost"] for r in of]),
            "half_lean_after_s": [r["half_s"] for r in of],
            "leaned_wrongly_most": max(r["wrongly"] for r in of),
            "leaned_wrongly_mean": round(fmean(r["wrongly_mean"] for r in of), 4),
            "healthy_servers_unused": sum(r["unused"] for r in of),
        }
    if args.page:
        draw(args.page, results)
    return found


def draw(page: str, results: list[tuple[Any, dict[str, Any]]]) -> None:
    """The share of instances that lean against the sick server, over time, by size."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for size in sorted({job[0] for job, _ in results}):
        of = [r["leaning"] for job, r in results if job[0] == size and job[3] and not job[1]]
        if of:
            mean = [fmean(column) for column in zip(*of, strict=True)]
            axes.plot([0.5 * (n + 1) for n in range(len(mean))], mean, label=f"{size} instances")
    axes.set_xlabel("seconds since the server is sick")
    axes.set_ylabel("share of instances that draw it less")
    axes.legend()
    figure.savefig(page)


# Traffic


def traffic_one(size: int) -> dict[str, Any]:
    settled_s = 40.0 if size <= 500 else 30.0
    empty_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    town = SimulatedCluster(
        size, gossip=GossipSettings(swim=SwimSettings(most_members=256 if size <= 500 else 64))
    )
    town.start(spread_ms=10_000.0)
    town.schedule_traffic(60.0, 3000.0, 1000.0 * (settled_s + 20.0))
    found: dict[str, Any] = {}

    def over(name: str, from_s: float, until_s: float) -> None:
        town.run(1000.0 * from_s)
        nodes = [i.node for i in town.instances if i.node is not None]
        before = [
            (n.counters.sent, n.counters.sent_bytes, n.counters.accepted, n.counters.verified) for n in nodes
        ]
        began = time.process_time()
        town.run(1000.0 * until_s)
        cpu_s, span_s = time.process_time() - began, until_s - from_s
        after = [
            (n.counters.sent, n.counters.sent_bytes, n.counters.accepted, n.counters.verified) for n in nodes
        ]
        rates = [
            [(a - b) / span_s for a, b in zip(x, y, strict=True)] for x, y in zip(after, before, strict=True)
        ]
        names = ("sent_per_s", "bytes_per_s", "taken_per_s", "verified_per_s")
        found[name] = {
            what: {"mean": round(fmean(r[n] for r in rates), 2), "most": round(max(r[n] for r in rates), 2)}
            for n, what in enumerate(names)
        }
        # All of the town: balancers, network and all. An instance's gossip costs no more than this.
        found[name]["cpu_ms_per_s_and_instance"] = round(1000.0 * cpu_s / span_s / size, 3)

    over("quiet", settled_s, settled_s + 5.0)
    found["members_known"] = {
        "least": min(
            len(i.node.swim.members.present_members()) for i in town.instances if i.node is not None
        ),
        "most": max(len(i.node.swim.members.present_members()) for i in town.instances if i.node is not None),
    }
    name = sorted(town.servers)[4]
    town.servers[name].failure_share = 1.0
    over("sick server", settled_s + 5.0, settled_s + 15.0)
    found["lean_after_10_s"] = round(town.deprioritizing_share(name), 3)
    # With its balancer, and with what is on the way in the town: no instance's gossip keeps more than this.
    full_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    found["kib_an_instance_and_all"] = round((full_kib - empty_kib) / size, 1)
    return found


def traffic(args: argparse.Namespace) -> dict[str, Any]:
    with ProcessPoolExecutor(args.jobs, max_tasks_per_child=1, mp_context=get_context("spawn")) as pool:
        return dict(zip(map(str, args.sizes), pool.map(traffic_one, args.sizes), strict=True))


# Detection


def detection_one(job: tuple[int, int]) -> dict[str, float]:
    size, seed = job
    town = SimulatedCluster(size, gossip=GossipSettings(), seed=seed)
    town.start()
    town.run(60_000.0)
    joined_s = 60.0
    victim = size // 2
    town.kill(victim)
    began = town.now_ms
    first = last = heard = -1.0
    while last < 0 and town.now_ms < began + 300_000.0:
        town.run(town.now_ms + 50.0)
        seen = [
            m.state
            for i in town.instances
            if i.number != victim and i.node is not None and (m := i.node.swim.members.get(victim + 1))
        ]
        if first < 0 and MemberState.SUSPECT in seen:
            first = (town.now_ms - began) / 1000.0
        if heard < 0 and MemberState.ALIVE not in seen:
            heard = (town.now_ms - began) / 1000.0
        if all(state is MemberState.DEAD for state in seen):
            last = (town.now_ms - began) / 1000.0
    town.restart(victim)
    back = town.now_ms
    while town.now_ms < back + 120_000.0:
        town.run(town.now_ms + 50.0)
        members = [
            i.node.swim.members.get(victim + 1)
            for i in town.instances
            if i.number != victim and i.node is not None
        ]
        if all(m is not None and m.state is MemberState.ALIVE for m in members):
            break
    return {
        "joined_s": joined_s,
        "first": first,
        "heard": heard,
        "last": last,
        "back": (town.now_ms - back) / 1000.0,
    }


def detection(args: argparse.Namespace) -> dict[str, Any]:
    jobs = [(size, seed) for size in args.sizes for seed in range(1, args.seeds + 1)]
    with ProcessPoolExecutor(args.jobs) as pool:
        results = list(zip(jobs, pool.map(detection_one, jobs), strict=True))
    found: dict[str, Any] = {}
    for size in args.sizes:
        of = [result for job, result in results if job[0] == size]
        found[str(size)] = {
            "first_suspicion_periods": spread([r["first"] for r in of]),
            # SWIM, section 3.1: the time to the first detection is geometric with 1 - e^-1 a period, if all
            # probe
            # at random, and a probe's own time comes on top.
            "swim_expects_periods": round(e / (e - 1), 3),
            "all_suspect_s": spread([r["heard"] for r in of]),
            "epidemic_expects_periods_about": round(log(size) / (1 - exp(-1)), 2),
            "all_bury_s": spread([r["last"] for r in of]),
            "back_with_all_s": spread([r["back"] for r in of]),
        }
    return found


# Schedules


def schedule_one(seed: int) -> tuple[int, list[str], list[str]]:
    schedule = draw_schedule(seed)
    try:
        return seed, schedule.descriptions, run_schedule(schedule)
    except Exception as error:
        return seed, schedule.descriptions, [repr(error)]


def schedules(args: argparse.Namespace) -> dict[str, Any]:
    seeds = range(args.first, args.first + args.count)
    with ProcessPoolExecutor(args.jobs) as pool:
        results = list(pool.map(schedule_one, seeds, chunksize=4))
    bad = [{"seed": s, "troubles": troubles, "wrong": wrong} for s, troubles, wrong in results if wrong]
    kinds: dict[str, int] = {}
    for _, troubles, _ in results:
        for text in troubles:
            kinds[text.split()[0]] = kinds.get(text.split()[0], 0) + 1
    return {
        "first": args.first,
        "played": len(results),
        "failed": len(bad),
        "troubles": kinds,
        "failures": bad[:20],
    }


# Structures


def structures(args: argparse.Namespace) -> dict[str, Any]:
    """Take 200 bytes of rumours, and put a new one, over and over."""
    found: dict[str, Any] = {}
    for held in (16, 64, 256, 1024):
        rumours = BroadcastQueue(held)
        plain: dict[int, list[Any]] = {}
        for number in range(held):
            rumours.put(number, Suspect(number, 1, 1))
            plain[number] = [0, pack_record(Suspect(number, 1, 1))]
        rounds = 2000
        began = time.perf_counter()
        for number in range(rounds):
            rumours.take(200, 1_000_000)
            rumours.put(number % held, Suspect(number, 1, 1))
        levels_us = 1e6 * (time.perf_counter() - began) / rounds
        began = time.perf_counter()
        for number in range(rounds):
            room = 200
            for entry in sorted(plain.values(), key=lambda entry: entry[0]):
                if len(entry[1]) <= room:
                    room -= len(entry[1])
                    entry[0] += 1
            plain[number % held] = [0, pack_record(Suspect(number, 1, 1))]
        sorted_us = 1e6 * (time.perf_counter() - began) / rounds
        found[str(held)] = {"levels_us": round(levels_us, 1), "sorted_us": round(sorted_us, 1)}
    return found


# Whole daemons


def day_one(job: tuple[str, bool, int]) -> dict[str, Any]:
    name, gossip, seed = job
    day = replace(load_scenario(ROOT / "examples" / "days" / f"{name}.toml"), seed=seed)
    played = simulate(day, operators=OperatorSettings(gossip=GossipSettings()) if gossip else NO_FEATURES)
    of = build_report(played)
    return {"served": of.served_share, "broken": sum(of.rules.values()), "failures": len(played.failures)}


def days(args: argparse.Namespace) -> dict[str, Any]:
    jobs = [(n, g, s) for n in args.days for g in (False, True) for s in range(1, args.seeds + 1)]
    with ProcessPoolExecutor(args.jobs) as pool:
        results = list(zip(jobs, pool.map(day_one, jobs), strict=True))
    found: dict[str, Any] = {}
    for name in args.days:
        for gossip in (False, True):
            of = [result for job, result in results if job[:2] == (name, gossip)]
            found[f"{name}, {'on' if gossip else 'off'}"] = {
                "served": spread([r["served"] for r in of]),
                "rules_broken": sum(r["broken"] for r in of),
                "failures": sum(r["failures"] for r in of),
            }
    return found


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    of = parser.add_subparsers(dest="what", required=True)
    one = of.add_parser("sick")
    one.add_argument("--sizes", type=int, nargs="*", default=[4, 20, 200])
    one.add_argument("--liars", type=int, nargs="*", default=[0, 1, 3])
    one.add_argument("--seeds", type=int, default=5)
    one.add_argument("--tales", nargs="*", choices=list(TALES), default=list(TALES))
    one.add_argument("--page")
    one = of.add_parser("traffic")
    one.add_argument("--sizes", type=int, nargs="*", default=[20, 500, 5000])
    one = of.add_parser("detection")
    one.add_argument("--sizes", type=int, nargs="*", default=[20, 50])
    one.add_argument("--seeds", type=int, default=10)
    one = of.add_parser("schedules")
    one.add_argument("--first", type=int, default=1)
    one.add_argument("--count", type=int, default=2000)
    of.add_parser("structures")
    one = of.add_parser("days")
    one.add_argument("days", nargs="*", default=["calm-morning", "freeze-spreads", "wedding-saturday"])
    one.add_argument("--seeds", type=int, default=5)
    args = parser.parse_args()
    if getattr(args, "page", None):
        require("--page", "plots", "matplotlib")  # before hours of work, not after
    commands = {f.__name__: f for f in (sick, traffic, detection, schedules, structures, days)}
    began = time.time()
    found = commands[args.what](args)
    told = {"what": args.what, "cores": os.cpu_count(), "wall_s": round(time.time() - began, 1)}
    print(json.dumps({**told, "found": found}, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
