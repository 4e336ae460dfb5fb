"""A new policy in stages over real processes, and the judge by itself.

    python -m benchmarks.rollout real  [--instances 12] [--kinds good deadline ...] [--json F]
    python -m benchmarks.rollout judge [--runs 10000] [--json F]

`real`: a fleet under load with an agreed policy; a new one is rolled out that is as good, or worse in one of
several ways. Seconds to its end, how it ended, and what clients did not get, beside the same seconds without
a rollout and beside a change of all at once. `killed`: the driver is killed in each stage. `judge`: simulated
rollouts: how often equal versions are stopped, and after how many windows worse ones."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

from numpy.random import default_rng

from client_proxy.cli.control import ask
from client_proxy.fault_injection import history, invariants, scenario_runner
from client_proxy.fault_injection.fleet import Fleet
from client_proxy.fault_injection.plan import FleetTable, LoadTable, Plan
from client_proxy.rollout.canary_analysis import Baseline, Comparison, OutcomeCount, Verdict

PLAN = """
shares = [0.08, 0.25, 0.5, 1.0]
past_s = 6
warm_s = 1
least_s = 5
least_requests = 60
most_s = 25
borne = 0.05
undecided = "go-on"
"""
MOST_S = 150.0
KINDS = [
    "none",
    "good",
    "good, killed",
    "good, rack stopped",
    "deadline",
    "deadline, at once",
    "one class",
    "no class",
]


def worse(kind: str, text: str) -> str:
    """The new policy's text."""
    if kind == "deadline":  # nobody can be served in that time
        return text.replace("deadline_ms = 1500", "deadline_ms = 8").replace("aim_ms = 900", "aim_ms = 4")
    if kind == "one class":
        return _last(text)
    if kind == "no class":
        return text.replace('name = "extract-issue"', 'name = "extract-issues"')
    return text.replace("attempts = 3", "attempts = 2")


def _last(text: str) -> str:
    """The last class alone gets a deadline that nobody can keep."""
    at = text.rindex("[[class]]")
    end = text.index("[[server]]", at) if "[[server]]" in text[at:] else len(text)
    part = text[at:end].replace("deadline_ms = 1500", "deadline_ms = 8").replace("aim_ms = 900", "aim_ms = 4")
    return text[:at] + part + text[end:]


async def stopped(fleet: Fleet, rack: str, after_s: float, for_s: float) -> None:
    """A fault of servers in the middle of a stage."""
    await asyncio.sleep(after_s)
    fleet.racks[rack].signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    fleet.racks[rack].signal(signal.SIGCONT)


async def asked(fleet: Fleet, name: str, question: dict[str, Any]) -> dict[str, Any]:
    return await asyncio.to_thread(ask, fleet.home(name) / "control.sock", question)


async def run(folder: Path, instances: int, kind: str) -> dict[str, Any]:
    stated = Plan(
        name="rollout", seed=8, length_s=MOST_S,
        fleet=FleetTable(
            instances=instances, racks=3, per_rack=3, seats=3, lease_ms=1500.0, whole=True, halls=2
        ),
        load=LoadTable(rate=20.0, deadline_ms=1500.0),
    )  # fmt: skip
    folder.mkdir(parents=True)
    made = scenario_runner.Drill(stated, folder, lambda _: None)
    fleet = made.fleet
    row: dict[str, Any] = {"what": kind, "instances": instances}
    try:
        await fleet.start()
        await made._begin_load()
        await made._until_ready()
        new, plan = folder / "new.toml", folder / "plan.toml"
        text = fleet._policy_file(fleet.versions[1]).decode()
        new.write_text(worse(kind.partition(", ")[0], text))
        plan.write_text(PLAN)
        killed, troubles = 0, 0
        tasks: list[asyncio.Task[None]] = []
        begin_s = time.monotonic()
        if kind.endswith("at once"):
            await asked(fleet, "i0", {"do": "propose", "file": str(new), "change": "all"})
            await asyncio.sleep(20.0)
        elif kind != "none":
            question = {"do": "rollout", "op": "start", "file": str(new), "plan": str(plan), "name": "try"}
            said = await asked(fleet, "i0", question | {"who": "bench", "why": kind})
            if not said["ok"]:
                return row | {"refused": said["why"]}
            stages: list[list[Any]] = []
            last: Any = None
            while time.monotonic() < begin_s + MOST_S:
                await asyncio.sleep(0.2)
                agreed = (await asked(fleet, "i2", {"do": "status"})).get("agreement", {})
                now = agreed.get("rollout")
                place = (now["stage"], now["what"]) if now else None
                troubles += bool(now and now["troubled"])
                if place != last:
                    at_s = round(time.monotonic() - begin_s, 1)
                    stages.append([at_s, *(place or ("over",)), *(now["members"] if now else [])])
                    if place is not None and kind.endswith("killed") and place[0] in (1, 2):
                        # The one that drives is gone for good after its step; the next one follows.
                        victim = ("i0", "i1")[killed] if killed < 1 else ""
                        if victim:
                            fleet.ended_by_plan.add(victim)
                            await fleet.instances[victim].kill()
                            killed += 1
                    if place == (2, "running") and kind.endswith("rack stopped"):
                        tasks.append(asyncio.create_task(stopped(fleet, "r1", 2.0, 10.0)))
                    last = place
                if place is None and stages and len(stages) > 1:
                    break
            row["stages"] = stages
        else:
            await asyncio.sleep(30.0)
        row["took_s"] = round(time.monotonic() - begin_s, 1)
        told = await asked(fleet, "i2", {"do": "history"})
        row["ended"] = told["versions"][-1]["why"]
        await asyncio.sleep(1.0)
        await fleet.clients.ask("end")
        records = history.merged(sorted(folder.glob("*.jsonl")))
        ops = [o for o in invariants.records_of_kind(records, "op") if o["begin"] >= begin_s]
        things = {o["logical"] for o in ops}
        served = {o["logical"] for o in ops if o["ending"] == "served"}
        good = {o["logical"] for o in ops if o["ending"] == "served" and o["end"] - o["begin"] <= 0.9}
        row |= {
            "asked": len(things), "unserved": len(things) - len(served), "late": len(served) - len(good),
            "troubles": troubles, "tries": dict(Counter(o["ending"] for o in ops)), "killed": killed,
        }  # fmt: skip
        rules = [*invariants.check_effects(stated, records), *invariants.check_processes(stated, records)]
        row["breaches"] = sorted({b.rule for b in rules if b.rule != "crash" or not killed})
    finally:
        await fleet.end()
    return row


def real(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    with tempfile.TemporaryDirectory(prefix="roll-") as folder:
        for number, kind in enumerate(args.kinds):
            rows.append(asyncio.run(run(Path(folder) / str(number), args.instances, kind)))
            print(json.dumps(rows[-1]), flush=True)
    return rows


def simulated(task: tuple[int, float, float]) -> tuple[str, int]:
    """One rollout of two classes over four stages of 12 instances with 20 requests a second each: how it
    ends, and after how many windows."""
    seed, more, spread = task
    random = Random(seed)
    draws = default_rng(seed)
    alpha = 0.01 / (4 * 3)

    def lost(asked: int, share: float) -> int:
        return int(draws.binomial(asked, min(1.0, max(0.0, share))))

    shares = {name: (0.005 + 0.01 * random.random(), random.gauss(0, 0.002)) for name in ("a", "b")}

    def window(new: int, old: int, worse_by: float) -> dict[str, tuple[OutcomeCount, OutcomeCount]]:
        found = {}
        for name, (usual, off) in shares.items():
            now = usual + random.gauss(0, spread)
            n, o = 10 * new, 10 * old
            found[name] = (OutcomeCount(n, lost(n, now + off + worse_by)), OutcomeCount(o, lost(o, now)))
        found[""] = (found["a"][0] + found["b"][0], found["a"][1] + found["b"][1])
        return found

    count = 0
    for new in (1, 3, 6, 11):
        past = [window(new, 12 - new, 0.0) for _ in range(30)]
        compared = {name: Comparison(alpha, Baseline([w[name] for w in past])) for name in past[0]}
        for _ in range(60):
            count += 1
            for name, pair in window(new, 12 - new, more).items():
                compared[name].add(*pair)
            if any(each.verdict(0.02) is Verdict.WORSE for each in compared.values()):
                return "stopped", count
    return "went on", count


def judge(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    for more in (0.0, 0.005, 0.01, 0.02, 0.05):
        for spread in (0.0, 0.005):
            runs = args.runs if more == 0.0 else max(200, args.runs // 10)
            with ProcessPoolExecutor(args.jobs) as pool:
                ends = list(pool.map(simulated, [(n, more, spread) for n in range(runs)], chunksize=20))
            stopped = sorted(count for end, count in ends if end == "stopped")
            row = {"worse_by": more, "spread": spread, "runs": runs, "stopped": len(stopped)}
            if stopped:
                row |= {"windows_median": stopped[len(stopped) // 2], "windows_most": stopped[-1]}
            rows.append(row)
            print(json.dumps(row), flush=True)
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("real", "judge"))
    parser.add_argument("--instances", type=int, default=12)
    parser.add_argument("--kinds", nargs="+", default=KINDS)
    parser.add_argument("--runs", type=int, default=10_000)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    rows = {"real": real, "judge": judge}[args.what](args)
    if args.json:
        args.json.write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
