"""Measures changes of the server list by consensus: time until all instances use them, and their cost.

    python -m benchmarks.agreement changes [--sizes 5 20 60] [--changes 6] [--json F]
    python -m benchmarks.agreement model   [--depth 6] [--walks 200]
    python -m benchmarks.agreement hard    [--steps 24] [--jobs 3]
    python -m benchmarks.agreement virtual [--sizes 200 5000]
    python -m benchmarks.agreement cost    [--sizes 5 20]
    python -m benchmarks.agreement rescue

`changes`: real fleets of each size under load with three acceptors, first without changes, then with one
change after the other, then with a third of the instances killed meanwhile. Reports the milliseconds from the
proposal to the first and to the last instance that uses the new version; the observed overlap (the time from
the first switch to the last request that reached a removed server) beside the stated one; and requests not
served, beside those of the quiet run.

`model`: the states that the model checker visits, and random schedules.

`hard`: the shipped drills of difficult cases; then drills in which an author dies after each of its datagrams
in turn, and an author, an acceptor and a follower die at each step of writing to disk.

`virtual`: the same nodes on a virtual clock, with a share of them down during a change; also the messages and
bytes per instance while nothing changes.

`cost`: CPU per request in fleets without changes, with an agreed policy and with a watched file, in turn.

`rescue`: disaster recovery by hand after two of three acceptors are lost for good."""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path
from statistics import median, quantiles
from typing import Any

from client_proxy.cli.control import ask
from client_proxy.consensus.model import Model
from client_proxy.consensus.model_search import explore_exhaustively, walk_randomly
from client_proxy.consensus.simulated_cluster import ClusterSettings, SimulatedCluster
from client_proxy.fault_injection import history, invariants, scenario_runner
from client_proxy.fault_injection.changes import make_changes
from client_proxy.fault_injection.fleet import Fleet
from client_proxy.fault_injection.plan import AimTable, FaultTable, FleetTable, LoadTable, Plan, load
from client_proxy.fault_injection.scenario_runner import Verdict

LEASE_MS = 1500.0
CHANGE_INTERVAL_S = 3.5
DRILLS = Path("examples/drills")
HARD_DRILLS = (
    "policy-changes",
    "agreed-third-down",
    "agreed-minority",
    "agreed-clocks-and-stop",
    "agreed-hundred",
    "agreed-seats",
    "agreed-refused",
)


def make_plan(size: int, changes: int, down: bool, quiet: bool = False) -> Plan:
    fleet = FleetTable(instances=size, racks=4, per_rack=4, seats=3, lease_ms=LEASE_MS)
    names = [f"r{n % 4}-{1 + n // 4}" for n in range(changes)]
    faults = [
        FaultTable(kind="propose", who=("i0",), at_s=1.5 + CHANGE_INTERVAL_S * n, drop=(name,))
        for n, name in enumerate([] if quiet else names)
    ]
    length_s = 2.0 + CHANGE_INTERVAL_S * changes
    if down:
        third = tuple(f"i{n}" for n in range(3, 3 + (size - 3) // 3 + 1) if n < size)
        faults.append(FaultTable(kind="kill", who=third, at_s=1.0, for_s=length_s - 2.0))
    return Plan(
        name="agreement", seed=3, length_s=length_s, fleet=fleet, load=LoadTable(rate=20),
        aim=AimTable(whole_s=4, stale_s=LEASE_MS / 950.0), fault=tuple(faults),
    )  # fmt: skip


def switch_times(folder: Path, plan: Plan, offset_s: float) -> dict[int, list[float]]:
    """Returns by version number the times (s, clock of the history) at which instances began to use it."""
    found: dict[int, list[float]] = {}
    for name in plan.instances():
        for line in (folder / f"{name}.log").read_text().splitlines():
            if '"event": "deciding by version' not in line:
                continue
            event = json.loads(line)
            at_s = datetime.fromisoformat(event["timestamp"]).timestamp() - offset_s
            found.setdefault(int(event["event"].split()[3].rstrip(",")), []).append(at_s)
    return found


def measure_drill(plan: Plan, folder: Path, what: str) -> dict[str, Any]:
    offset_s = time.time() - time.monotonic()
    verdict = asyncio.run(scenario_runner.run(plan, folder))
    records = list(history.read(folder / "history.jsonl"))
    switched = switch_times(folder, plan, offset_s)
    first_ms, last_ms, overlaps = [], [], []
    faults = [r for r in invariants.records_of_kind(records, "fault") if r["what"] == "propose"]
    arrived = invariants.arrivals(records)
    down = {n for f in plan.fault if f.kind == "kill" for n in f.who}
    for number, fault in enumerate(sorted(faults, key=lambda r: float(r["begin"])), 2):
        up = sorted(t for t in switched.get(number, []))[: len(plan.instances()) - len(down)]
        if fault["seen"]["i0"].get("what") != "decided" or not up:
            continue
        first_ms.append(1000 * (up[0] - fault["begin"]))
        last_ms.append(1000 * (up[-1] - fault["begin"]))
        dropped = plan.fault[fault["n"]].drop[0]
        arrivals_s = [a["first"] for a in arrived if a["server"] == dropped]
        overlaps.append(1000 * max(0.0, max(arrivals_s, default=0.0) - up[0]))
    ops = invariants.records_of_kind(records, "op")
    row: dict[str, Any] = {
        "what": what, "instances": plan.fleet.instances, "down": len(down), "outcome": verdict.outcome,
        "why": verdict.why, "changes": len(faults), "decided": len(last_ms),
        "asked": verdict.figures["asked"], "unserved": verdict.figures["unserved"],
        "tries": verdict.figures["tries"],
        "p99_ms": round(1000 * quantiles([o["end"] - o["begin"] for o in ops], n=100)[98], 1),
    }  # fmt: skip
    if last_ms:
        row |= {
            "first_ms": [round(median(first_ms)), round(max(first_ms))],
            "last_ms": [round(median(last_ms)), round(max(last_ms))],
            "overlap_ms": [round(median(overlaps)), round(max(overlaps))],
            "stated_overlap_ms": round(LEASE_MS / 0.95),
        }
    print(json.dumps(row), flush=True)
    return row


def changes(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    with tempfile.TemporaryDirectory(prefix="agree-") as folder:
        for size in args.sizes:
            for what in ("quiet", "changes", "down"):
                plan = make_plan(size, args.changes, down=what == "down", quiet=what == "quiet")
                rows.append(measure_drill(plan, Path(folder) / f"{size}-{what}", what))
    return rows


def model(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for name, checked_model in {
        "3 seats, 1 change": Model(followers=0, renewals=1, ticks=2, recoveries=0),
        "3 seats, 1 follower, 1 change, a crash": Model(followers=1, renewals=1, ticks=2, crashes=1),
        "3 seats, 2 followers, 2 changes, a crash, a withdrawal": Model(
            followers=2, changes=2, renewals=1, ticks=3, crashes=1, withdrawals=1
        ),
    }.items():
        start_s = time.monotonic()
        found = explore_exhaustively(checked_model, args.depth, max_states=400_000)
        took_s = round(time.monotonic() - start_s, 1)
        rows.append({"what": name, "states": found.states, "by_depth": found.by_depth,
                     "broken": found.violation, "took_s": took_s})  # fmt: skip
        print(json.dumps(rows[-1]), flush=True)
    large_model = Model(
        followers=2, changes=2, ticks=14, crashes=2, state_losses=1, duplicates=2, recoveries=3,
        renewals=12, replaces_acceptors=True,
    )  # fmt: skip
    start_s, steps, broken = time.monotonic(), 0, ""
    for seed in range(args.walks):
        walk = walk_randomly(large_model, seed, 300)
        steps, broken = steps + walk.states, broken or walk.violation
    rows.append({"what": f"{args.walks} random schedules", "steps": steps, "broken": broken,
                 "took_s": round(time.monotonic() - start_s, 1)})  # fmt: skip
    print(json.dumps(rows[-1]), flush=True)
    return rows


def print_verdict(what: str, verdict: Verdict) -> dict[str, Any]:
    figures = verdict.figures
    row = {
        "what": what, "outcome": verdict.outcome, "why": verdict.why, "rules": verdict.rules(),
        "asked": figures.get("asked"), "served": figures.get("served"), "changes": figures.get("changes"),
        "tries": figures.get("tries"), "whole_after_s": figures.get("whole_after_s"),
    }  # fmt: skip
    print(json.dumps(row), flush=True)
    return row


def step_plans(steps: int) -> Iterator[tuple[str, Plan]]:
    """Yields one drill for each step at which a process can die during a change."""
    fleet = FleetTable(
        instances=5, racks=2, seats=3, lease_ms=800.0, whole=True, without=("r1-2",)
    )  # fmt: skip
    change = FaultTable(kind="propose", who=("i0",), at_s=1.05, anew=True, drop=("r0-2",))
    for who, kind in (("i0", "die-after"), ("i0", "die-at"), ("i1", "die-at"), ("i4", "die-at")):
        for step in range(1, steps + 1):
            others = tuple(f"i{n}" for n in range(5) if f"i{n}" != who)
            dies = FaultTable.model_validate({
                "kind": kind, "who": (who,), "to": others if kind == "die-after" else (), "at_s": 1.0,
                "for_s": 2.0, "step": step,
            })  # fmt: skip
            yield f"{kind} {who} {step}", Plan(
                name="step", seed=step, length_s=5.0, fleet=fleet, load=LoadTable(rate=15),
                aim=AimTable(whole_s=2.5, whole_share=0.97), fault=(dies, change),
            )  # fmt: skip


def hard(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    with tempfile.TemporaryDirectory(prefix="hard-") as folder:
        for name in HARD_DRILLS:
            verdict = asyncio.run(scenario_runner.run(load(DRILLS / f"{name}.toml"), Path(folder) / name))
            rows.append(print_verdict(name, verdict))
        remaining = list(step_plans(args.steps))

        async def run_remaining() -> None:
            while remaining:
                name, plan = remaining.pop(0)
                verdict = await scenario_runner.run(plan, Path(folder) / name.replace(" ", "-"))
                if verdict.outcome == "error" and "no such step" in verdict.why:
                    verdict.outcome = "over"  # the process makes fewer steps in that time
                rows.append(print_verdict(name, verdict))

        async def run_all() -> None:
            await asyncio.gather(*(run_remaining() for _ in range(args.jobs)))

        asyncio.run(run_all())
    outcomes = Counter(row["outcome"] for row in rows)
    rows.append({"what": "all", "outcomes": dict(outcomes)})
    print(json.dumps(rows[-1]), flush=True)
    return rows


def virtual(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    for size in args.sizes:
        for share in (0.0, 0.1, 0.33):
            for loss in (0.0, 0.01):
                start_s = time.monotonic()
                cluster = SimulatedCluster(ClusterSettings(size=size, loss=loss, seed=7))
                cluster.run(6000.0)
                quiet = sum(cluster.messages.values()), cluster.bytes_sent
                cluster.run(8000.0)
                rates = [
                    (a - b) / size / 2.0
                    for a, b in zip((sum(cluster.messages.values()), cluster.bytes_sent), quiet, strict=True)
                ]
                down = range(size - int(share * size), size)
                for n in down:
                    cluster.kill(n)
                cluster.run(cluster.now_ms + 100.0)
                proposed_ms, before = cluster.now_ms, (sum(cluster.messages.values()), cluster.bytes_sent)
                cluster.propose(0, "second")
                cluster.run(proposed_ms + 8000.0)
                for n in down:
                    cluster.restart(n)
                cluster.run(proposed_ms + 14_000.0)
                delays_ms = sorted(
                    at - proposed_ms for n, at in cluster.activated_ms[2].items() if n not in down
                )
                late_ms = sorted(
                    at - proposed_ms - 8000.0 for n, at in cluster.activated_ms[2].items() if n in down
                )
                row = {
                    "what": "virtual", "instances": size, "down": len(down), "loss": loss,
                    "decided": [result.outcome for result in cluster.results],
                    "deciding": cluster.count_active(2),
                    "first_ms": round(delays_ms[0]), "p50_ms": round(delays_ms[len(delays_ms) // 2]),
                    "p99_ms": round(delays_ms[int(0.99 * len(delays_ms))]), "last_ms": round(delays_ms[-1]),
                    "back_last_ms": round(late_ms[-1]) if late_ms else None,
                    "words_per_instance_s": round(rates[0], 2), "bytes_per_instance_s": round(rates[1], 1),
                    "words_in_14_s": sum(cluster.messages.values()) - before[0],
                    "took_s": round(time.monotonic() - start_s, 1),
                }  # fmt: skip
                print(json.dumps(row), flush=True)
                rows.append(row)
    return rows


def cost(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Measures fleets under the same load without changes, with a watched file and with an agreed policy."""
    rows = []
    with tempfile.TemporaryDirectory(prefix="cost-") as folder:
        for size in args.sizes:
            for turn in range(3):
                for seats in (0, 3):
                    fleet = FleetTable(
                        instances=size, racks=3, seats=seats, lease_ms=LEASE_MS, whole=bool(seats)
                    )
                    rate = 400.0 / size
                    plan = Plan(name="cost", seed=3, length_s=10.0, fleet=fleet, load=LoadTable(rate=rate))
                    verdict = asyncio.run(scenario_runner.run(plan, Path(folder) / f"{size}-{turn}-{seats}"))
                    records = list(history.read(Path(verdict.folder) / "history.jsonl"))
                    samples = [r for r in invariants.records_of_kind(records, "look") if r["who"] == "i4"]
                    first_sample, last_sample = samples[0], samples[-1]
                    ops = [o for o in invariants.records_of_kind(records, "op") if o["instance"] == "i4"]
                    cpu_s = last_sample["cpu_s"] - first_sample["cpu_s"]
                    row = {
                        "what": "agreed" if seats else "file", "instances": size, "turn": turn,
                        "outcome": verdict.outcome, "requests": len(ops),
                        "cpu_us_per_request": round(1e6 * cpu_s / max(1, len(ops))),
                        "cpu_ms_per_s": round(1e3 * cpu_s / (last_sample["t"] - first_sample["t"]), 1),
                        "rss_mb": round(last_sample["rss_kb"] / 1024, 1),
                    }  # fmt: skip
                    print(json.dumps(row), flush=True)
                    rows.append(row)
    return rows


async def run_rescue(folder: Path) -> dict[str, Any]:
    """Loses two of three acceptors, recovers with the third as the only acceptor, and measures the times."""
    from click.testing import CliRunner

    from client_proxy.cli.commands import main as command

    plan = Plan(
        name="rescue", seed=5, length_s=60.0,
        fleet=FleetTable(instances=5, racks=2, seats=3, lease_ms=800.0, whole=True, without=("r1-2",)),
        load=LoadTable(rate=15),
    )  # fmt: skip
    folder.mkdir()
    fleet = Fleet(plan, folder)
    row: dict[str, Any] = {"what": "rescue"}
    try:
        await fleet.start()
        await wait_for_readiness(fleet, ("i0", "i3", "i4"), True)
        changed = await make_changes(
            fleet, 0, FaultTable(kind="propose", who=("i0",), anew=True, drop=("r0-2",)), "i0"
        )
        row["change"] = changed["what"]
        start_s = time.monotonic()
        for name in ("i1", "i2"):
            await fleet.instances[name].kill()
        row["refuse_after_s"] = round(await wait_for_readiness(fleet, ("i0", "i3", "i4"), False) - start_s, 2)
        for name in ("i0", "i3", "i4"):
            await fleet.instances[name].kill()
        out = folder / "anew.toml"
        arguments = ["policy", "rescue", "--config", str(fleet.home("i0") / "serve.toml"), "--out", str(out)]
        row["without_yes"] = CliRunner().invoke(command, arguments).exit_code
        row["with_yes"] = CliRunner().invoke(command, [*arguments, "--yes"]).exit_code
        fleet.generation, fleet.voters, fleet.first_policy = 2, {"i0"}, out.read_bytes()
        for name in ("i0", "i3", "i4"):
            fleet.write_list(name)
        fleet.initialize_seats()
        start_s = time.monotonic()
        for name in ("i0", "i3", "i4"):
            await fleet.start_instance(name)
            await fleet.wait_for_instance(name)
        row["serve_after_s"] = round(await wait_for_readiness(fleet, ("i0", "i3", "i4"), True) - start_s, 2)
        # A lost acceptor returns with its old folder and file; it has no majority and must not become ready.
        config = fleet.home("i1") / "serve.toml"
        old = config.read_text()
        fleet.generation, fleet.voters, fleet.first_policy = 1, {"i0", "i1", "i2"}, None
        await fleet.start_instance("i1")
        assert config.read_text() == old
        await fleet.wait_for_instance("i1")
        await asyncio.sleep(3.0)
        row["old_one_ready"] = await readiness_status(fleet, "i1") == 200
        status = await asyncio.to_thread(ask, fleet.home("i0") / "control.sock", {"do": "status"})
        row["decides_by"] = status["agreement"]["decides_by"]
        row["servers"] = len(status["servers"])
    finally:
        await fleet.end()
    print(json.dumps(row), flush=True)
    return row


async def readiness_status(fleet: Fleet, name: str) -> int:
    """Returns the HTTP status of the instance's readiness path, or 0 if it cannot be reached."""
    host, port = fleet.links[f"c>{name}"]
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])
    except (OSError, IndexError):
        return 0


async def wait_for_readiness(fleet: Fleet, names: tuple[str, ...], wanted: bool) -> float:
    """Waits until the readiness of all instances is `wanted` and returns the time (s, monotonic clock)."""
    async with asyncio.timeout(30):
        while [await readiness_status(fleet, name) == 200 for name in names] != [wanted] * len(names):
            await asyncio.sleep(0.02)
    return time.monotonic()


def rescue(args: argparse.Namespace) -> list[dict[str, Any]]:
    with tempfile.TemporaryDirectory(prefix="rescue-") as folder:
        return [asyncio.run(run_rescue(Path(folder) / "r"))]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("changes", "model", "hard", "virtual", "cost", "rescue"))
    parser.add_argument("--sizes", type=int, nargs="+")
    parser.add_argument("--steps", type=int, default=24)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--changes", type=int, default=6)
    parser.add_argument("--depth", type=int, default=6)
    parser.add_argument("--walks", type=int, default=200)
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    args.sizes = args.sizes or {"virtual": [200, 5000], "cost": [5, 20]}.get(args.what, [5, 20, 60])
    kinds = {
        "changes": changes,
        "model": model,
        "hard": hard,
        "virtual": virtual,
        "cost": cost,
        "rescue": rescue,
    }
    rows = kinds[args.what](args)
    if args.json:
        args.json.write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
