"""Measures what clients lose by kind of fault in a fleet of real processes, and how long recovery takes.

    python -m benchmarks.drills faults [--instances 12] [--seeds 1] [--json F] [--page F]
    python -m benchmarks.drills size [--sizes 3 12 30 60]
    python -m benchmarks.drills rounds [--rounds 50]

`faults`: one drill for each kind of fault and seed; the fault hits a third of the instances, or a rack,
for three seconds. `size`: the same drill, with one short stop, with a growing number of instances, to
find where the rig itself becomes the limit. `rounds`: repeated faults in one fleet, to observe the memory
and descriptors of its processes. All times depend on the machine that runs it."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import tempfile
import time
from pathlib import Path
from typing import Any

from client_proxy.fault_injection import history, invariants, scenario_runner
from client_proxy.fault_injection.plan import AimTable, FaultTable, FleetTable, LoadTable, Plan

FAULT_DURATION_S = 3.0
RACK = ("r1",)


def fault_kinds(third: tuple[str, ...]) -> dict[str, tuple[FaultTable, ...]]:
    """Returns the faults of each kind by name; "none" has no fault."""

    def single_fault(kind: str, who: tuple[str, ...] = third, **more: Any) -> tuple[FaultTable, ...]:
        return (
            FaultTable.model_validate(
                {"kind": kind, "who": who, "at_s": 2.0, "for_s": FAULT_DURATION_S, **more}
            ),
        )

    return {
        "none": (),
        "instances killed": single_fault("kill"),
        "instances ended in order": single_fault("term"),
        "instances stopped": single_fault("stop"),
        "instances that fail to start": single_fault("bad-start"),
        "a busy neighbour on their core": single_fault("busy"),
        "clocks 5% fast": single_fault("clock", rate=1.05),
        "rack killed": single_fault("kill", RACK),
        "rack stopped": single_fault("stop", RACK),
        "cut to a rack, both ways": single_fault("silent", to=RACK),
        "cut from a rack, one way": single_fault("silent", RACK, to=third, back=False),
        "resets to a rack": single_fault("reset", to=RACK),
        "200 ms to a rack": single_fault("delay", to=RACK, ms=200.0),
        "a trickle to a rack": single_fault("trickle", to=RACK, bytes_per_s=1000.0),
        "cut to their clients": single_fault("silent", to=("c",)),
    }


def make_plan(instances: int, seed: int, name: str, faults: tuple[FaultTable, ...], length_s: float) -> Plan:
    fleet = FleetTable(instances=instances, racks=4)
    return Plan(
        name="bench", about=name, seed=seed, length_s=length_s, fleet=fleet,
        load=LoadTable(rate=20), aim=AimTable(whole_s=6, stale_s=3), fault=faults,
    )  # fmt: skip


def cpu_s() -> float:
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    return used.ru_utime + used.ru_stime


def run_drill(plan: Plan, folder: Path) -> dict[str, Any]:
    before_s, start_s = cpu_s(), time.monotonic()
    verdict = asyncio.run(scenario_runner.run(plan, folder))
    took_s = time.monotonic() - start_s
    figures = verdict.figures
    late = max((each["worst_s"] for each in verdict.lateness.values()), default=0.0)
    row = {
        "what": plan.about, "seed": plan.seed, "instances": plan.fleet.instances,
        "outcome": verdict.outcome, "why": verdict.why, "rules": verdict.rules(), "asked": figures["asked"],
        "unserved": figures["unserved"], "tries": figures["tries"], "whole_after_s": figures["whole_after_s"],
        "took_s": round(took_s, 1), "cores": round((cpu_s() - before_s) / took_s, 2), "rig_late_s": late,
        "folder": str(folder),
    }  # fmt: skip
    print(json.dumps({k: row[k] for k in row if k != "folder"}), flush=True)
    return row


def faults(args: argparse.Namespace, folder: Path) -> list[dict[str, Any]]:
    third = tuple(f"i{n}" for n in range(1, 1 + args.instances // 3))
    rows = []
    for seed in range(1, args.seeds + 1):
        for number, (name, fault_tables) in enumerate(fault_kinds(third).items()):
            drill_plan = make_plan(args.instances, seed, name, fault_tables, 6.0)
            rows.append(run_drill(drill_plan, folder / f"{number}-{seed}"))
    return rows


def sizes(args: argparse.Namespace, folder: Path) -> list[dict[str, Any]]:
    stop = FaultTable(kind="stop", who=("i1",), at_s=2.0, for_s=1.0)
    return [run_drill(make_plan(n, 1, f"{n} instances", (stop,), 6.0), folder / str(n)) for n in args.sizes]


def rounds(args: argparse.Namespace, folder: Path) -> list[dict[str, Any]]:
    """Runs stops, cuts and resets in turn on the same processes, and reports their memory and descriptors."""
    each: list[FaultTable] = []
    for n in range(args.rounds):
        at_s = 2.0 + 1.5 * n
        who, rack = (f"i{n % 3}",), (f"r{n % 4}",)
        kind = ("stop", "reset", "silent")[n % 3]
        to = () if kind == "stop" else rack
        each.append(FaultTable(kind=kind, who=who, to=to, at_s=at_s, for_s=0.8))  # type: ignore[arg-type]
    row = run_drill(
        make_plan(3, 1, f"{args.rounds} rounds", tuple(each), 4.0 + 1.5 * args.rounds), folder / "rounds"
    )
    samples = invariants.records_of_kind(list(history.read(folder / "rounds" / "history.jsonl")), "look")
    row["looks"] = [{k: sample[k] for k in ("who", "fds", "rss_kb", "rested")} for sample in samples]
    print(json.dumps(row["looks"]))
    return [row]


def page(rows: list[dict[str, Any]], out: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(dict.fromkeys(row["what"] for row in rows))
    share = {n: [r["unserved"] / r["asked"] for r in rows if r["what"] == n and r["asked"]] for n in names}
    whole = [r for r in rows if r["whole_after_s"] is not None]
    after = {n: [r["whole_after_s"] for r in whole if r["what"] == n] for n in names}
    figure, (left, right) = pyplot.subplots(1, 2, sharey=True, figsize=(12, 0.4 * len(names) + 1.5))
    left.barh(names, [sum(share[n]) / len(share[n]) if share[n] else 0.0 for n in names], color="#c0392b")
    left.set_xlabel("share of all that was asked for and not served")
    right.barh(names, [max(after[n], default=0.0) for n in names], color="#35618f")
    right.set_xlabel("seconds until whole again, at most")
    left.invert_yaxis()
    figure.tight_layout()
    figure.savefig(out, dpi=110)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("faults", "size", "rounds"))
    parser.add_argument("--instances", type=int, default=12)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 12, 30, 60])
    parser.add_argument("--rounds", type=int, default=50)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--page", type=Path, help="write a chart to this PNG file")
    args = parser.parse_args()
    run = {"faults": faults, "size": sizes, "rounds": rounds}[args.what]
    with tempfile.TemporaryDirectory(prefix="drills-") as folder:
        rows = run(args, Path(folder))
    if args.json:
        args.json.write_text(json.dumps({"cores": os.cpu_count(), "rows": rows}, indent=1))
    if args.page:
        page(rows, args.page)


if __name__ == "__main__":
    main()
