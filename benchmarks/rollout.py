"""Measures rollouts of a policy over real processes, and the canary analysis by itself.

    python -m benchmarks.rollout real  [--instances 12] [--kinds good deadline ...] [--json F]
    python -m benchmarks.rollout judge [--runs 10000] [--json F]

`real`: in a fleet under load with an agreed policy, a new policy is rolled out that is as good or worse
in one of several ways. Reports the seconds until the rollout ended, how it ended, and requests not
served, beside a run without a rollout and one that changes all instances at once. In the kind `good,
killed` the instance that drives the rollout is killed. `judge`: simulated rollouts; how often equally
good versions are stopped, and after how many windows worse ones are."""

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

ROLLOUT_PLAN = """
shares = [0.08, 0.25, 0.5, 1.0]
past_s = 6
warm_s = 1
least_s = 5
least_requests = 60
most_s = 25
borne = 0.05
undecided = "go-on"
"""
MAX_DURATION_S = 150.0
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


def changed_policy(kind: str, text: str) -> str:
    """Returns the text of the new policy of this kind."""
    if kind == "deadline":  # no request can be served in that time
        return text.replace("deadline_ms = 1500", "deadline_ms = 8").replace("aim_ms = 900", "aim_ms = 4")
    if kind == "one class":
        return tighten_last_class(text)
    if kind == "no class":
        return text.replace('name = "extract-issue"', 'name = "extract-issues"')
    return text.replace("attempts = 3", "attempts = 2")


def tighten_last_class(text: str) -> str:
    """Gives only the last class a deadline that no request can meet."""
    at = text.rindex("[[class]]")
    end = text.index("[[server]]", at) if "[[server]]" in text[at:] else len(text)
    part = text[at:end].replace("deadline_ms = 1500", "deadline_ms = 8").replace("aim_ms = 900", "aim_ms = 4")
    return text[:at] + part + text[end:]


async def stop_rack(fleet: Fleet, rack: str, after_s: float, for_s: float) -> None:
    """Stops the servers of a rack for a time, in the middle of a stage."""
    await asyncio.sleep(after_s)
    fleet.racks[rack].signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    fleet.racks[rack].signal(signal.SIGCONT)


async def ask_instance(fleet: Fleet, name: str, request: dict[str, Any]) -> dict[str, Any]:
    return await asyncio.to_thread(ask, fleet.home(name) / "control.sock", request)


async def run(folder: Path, instances: int, kind: str) -> dict[str, Any]:
    """Runs one rollout of this kind on real processes and returns its figures."""
    drill_plan = Plan(
        name="rollout", seed=8, length_s=MAX_DURATION_S,
        fleet=FleetTable(
            instances=instances, racks=3, per_rack=3, seats=3, lease_ms=1500.0, whole=True, halls=2
        ),
        load=LoadTable(rate=20.0, deadline_ms=1500.0),
    )  # fmt: skip
    folder.mkdir(parents=True)
    drill = scenario_runner.Drill(drill_plan, folder, lambda _: None)
    fleet = drill.fleet
    row: dict[str, Any] = {"what": kind, "instances": instances}
    try:
        await fleet.start()
        await drill._begin_load()
        await drill._until_ready()
        new, plan = folder / "new.toml", folder / "plan.toml"
        text = fleet._policy_file(fleet.versions[1]).decode()
        new.write_text(changed_policy(kind.partition(", ")[0], text))
        plan.write_text(ROLLOUT_PLAN)
        killed, troubled_count = 0, 0
        tasks: list[asyncio.Task[None]] = []
        start_s = time.monotonic()
        if kind.endswith("at once"):
            await ask_instance(fleet, "i0", {"do": "propose", "file": str(new), "change": "all"})
            await asyncio.sleep(20.0)
        elif kind != "none":
            request = {"do": "rollout", "op": "start", "file": str(new), "plan": str(plan), "name": "try"}
            answer = await ask_instance(fleet, "i0", request | {"who": "bench", "why": kind})
            if not answer["ok"]:
                return row | {"refused": answer["why"]}
            stages: list[list[Any]] = []
            previous: Any = None
            while time.monotonic() < start_s + MAX_DURATION_S:
                await asyncio.sleep(0.2)
                agreement = (await ask_instance(fleet, "i2", {"do": "status"})).get("agreement", {})
                rollout = agreement.get("rollout")
                position = (rollout["stage"], rollout["what"]) if rollout else None
                troubled_count += bool(rollout and rollout["troubled"])
                if position != previous:
                    at_s = round(time.monotonic() - start_s, 1)
                    stages.append([at_s, *(position or ("over",)), *(rollout["members"] if rollout else [])])
                    if position is not None and kind.endswith("killed") and position[0] in (1, 2):
                        # Kill the instance that drives the rollout for good; another one takes over.
                        victim = ("i0", "i1")[killed] if killed < 1 else ""
                        if victim:
                            fleet.ended_by_plan.add(victim)
                            await fleet.instances[victim].kill()
                            killed += 1
                    if position == (2, "running") and kind.endswith("rack stopped"):
                        tasks.append(asyncio.create_task(stop_rack(fleet, "r1", 2.0, 10.0)))
                    previous = position
                if position is None and stages and len(stages) > 1:
                    break
            row["stages"] = stages
        else:
            await asyncio.sleep(30.0)
        row["took_s"] = round(time.monotonic() - start_s, 1)
        history_answer = await ask_instance(fleet, "i2", {"do": "history"})
        row["ended"] = history_answer["versions"][-1]["why"]
        await asyncio.sleep(1.0)
        await fleet.clients.ask("end")
        records = history.merged(sorted(folder.glob("*.jsonl")))
        ops = [o for o in invariants.records_of_kind(records, "op") if o["begin"] >= start_s]
        logical_requests = {o["logical"] for o in ops}
        served = {o["logical"] for o in ops if o["ending"] == "served"}
        served_in_time = {
            o["logical"] for o in ops if o["ending"] == "served" and o["end"] - o["begin"] <= 0.9
        }
        row |= {
            "asked": len(logical_requests), "unserved": len(logical_requests) - len(served),
            "late": len(served) - len(served_in_time),
            "troubles": troubled_count, "tries": dict(Counter(o["ending"] for o in ops)), "killed": killed,
        }  # fmt: skip
        rules = [
            *invariants.check_effects(drill_plan, records),
            *invariants.check_processes(drill_plan, records),
        ]
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


def simulate_rollout(task: tuple[int, float, float]) -> tuple[str, int]:
    """Simulates one rollout; returns how it ended and after how many windows.

    Two classes, four stages, 12 instances with 20 requests a second each. `task` has the seed, the loss share
    that the new version adds, and the standard deviation of the loss share between windows."""
    seed, worse_share, spread = task
    random = Random(seed)
    draws = default_rng(seed)
    alpha = 0.01 / (4 * 3)

    def draw_losses(asked: int, share: float) -> int:
        return int(draws.binomial(asked, min(1.0, max(0.0, share))))

    shares = {name: (0.005 + 0.01 * random.random(), random.gauss(0, 0.002)) for name in ("a", "b")}

    def draw_window(new: int, old: int, added_share: float) -> dict[str, tuple[OutcomeCount, OutcomeCount]]:
        found = {}
        for name, (base_share, offset) in shares.items():
            now = base_share + random.gauss(0, spread)
            n, o = 10 * new, 10 * old
            found[name] = (
                OutcomeCount(n, draw_losses(n, now + offset + added_share)),
                OutcomeCount(o, draw_losses(o, now)),
            )
        found[""] = (found["a"][0] + found["b"][0], found["a"][1] + found["b"][1])
        return found

    count = 0
    for new in (1, 3, 6, 11):
        past_windows = [draw_window(new, 12 - new, 0.0) for _ in range(30)]
        comparisons = {
            name: Comparison(alpha, Baseline([w[name] for w in past_windows])) for name in past_windows[0]
        }
        for _ in range(60):
            count += 1
            for name, pair in draw_window(new, 12 - new, worse_share).items():
                comparisons[name].add(*pair)
            if any(each.verdict(0.02) is Verdict.WORSE for each in comparisons.values()):
                return "stopped", count
    return "went on", count


def judge(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    for worse_share in (0.0, 0.005, 0.01, 0.02, 0.05):
        for spread in (0.0, 0.005):
            runs = args.runs if worse_share == 0.0 else max(200, args.runs // 10)
            with ProcessPoolExecutor(args.jobs) as pool:
                results = list(
                    pool.map(simulate_rollout, [(n, worse_share, spread) for n in range(runs)], chunksize=20)
                )
            stopped = sorted(count for end, count in results if end == "stopped")
            row = {"worse_by": worse_share, "spread": spread, "runs": runs, "stopped": len(stopped)}
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
