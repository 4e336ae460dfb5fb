"""A change of the list by agreement, on real processes: how long until all decide by it, and what it costs.

    python -m benchmarks.agreement changes [--sizes 5 20 60] [--changes 6] [--json F]
    python -m benchmarks.agreement model   [--depth 6] [--walks 200]

`changes`: a fleet of each size under load, three seats, one change after the other, none down; then again
with a third of the instances killed while they are made. Milliseconds from the proposal to the first and to
the last instance that decides by it; the observed overlap (the last request that reached a dropped server,
after the first instance had switched) beside the stated one; requests lost, late or refused, beside a quiet
minute's. `model`: states that the model checker visits, and random schedules."""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from datetime import datetime
from pathlib import Path
from statistics import median, quantiles
from typing import Any

from cedarcross.agreement.explorer import Model, exhaust, walk
from cedarcross.rig import checks, drill, history
from cedarcross.rig.plan import AimTable, FaultTable, FleetTable, LoadTable, Plan

LEASE_MS = 1500.0
EVERY_S = 3.5


def plan(size: int, changes: int, down: bool, quiet: bool = False) -> Plan:
    fleet = FleetTable(instances=size, racks=4, per_rack=4, seats=3, lease_ms=LEASE_MS)
    names = [f"r{n % 4}-{1 + n // 4}" for n in range(changes)]
    faults = [
        FaultTable(kind="propose", who=("i0",), at_s=1.5 + EVERY_S * n, drop=(name,))
        for n, name in enumerate([] if quiet else names)
    ]
    length_s = 2.0 + EVERY_S * changes
    if down:
        third = tuple(f"i{n}" for n in range(3, 3 + (size - 3) // 3 + 1) if n < size)
        faults.append(FaultTable(kind="kill", who=third, at_s=1.0, for_s=length_s - 2.0))
    return Plan(
        name="agreement", seed=3, length_s=length_s, fleet=fleet, load=LoadTable(rate=20),
        aim=AimTable(whole_s=4, stale_s=LEASE_MS / 950.0), fault=tuple(faults),
    )  # fmt: skip


def switches(folder: Path, plan_: Plan, offset_s: float) -> dict[int, list[float]]:
    """By version, when instances began to decide by it, on the history's clock."""
    found: dict[int, list[float]] = {}
    for name in plan_.instances():
        for line in (folder / f"{name}.log").read_text().splitlines():
            if '"event": "deciding by version' not in line:
                continue
            said = json.loads(line)
            at_s = datetime.fromisoformat(said["timestamp"]).timestamp() - offset_s
            found.setdefault(int(said["event"].split()[3].rstrip(",")), []).append(at_s)
    return found


def measured(stated: Plan, folder: Path, what: str) -> dict[str, Any]:
    offset_s = time.time() - time.monotonic()
    verdict = asyncio.run(drill.run(stated, folder))
    records = list(history.read(folder / "history.jsonl"))
    begun = switches(folder, stated, offset_s)
    first_ms, last_ms, overlaps = [], [], []
    faults = [r for r in checks.of(records, "fault") if r["what"] == "propose"]
    arrived = checks.arrivals(records)
    down = {n for f in stated.fault if f.kind == "kill" for n in f.who}
    for number, fault in enumerate(sorted(faults, key=lambda r: float(r["begin"])), 2):
        up = sorted(t for t in begun.get(number, []))[: len(stated.instances()) - len(down)]
        if fault["seen"]["i0"].get("what") != "decided" or not up:
            continue
        first_ms.append(1000 * (up[0] - fault["begin"]))
        last_ms.append(1000 * (up[-1] - fault["begin"]))
        dropped = stated.fault[fault["n"]].drop[0]
        late = [a["first"] for a in arrived if a["server"] == dropped]
        overlaps.append(1000 * max(0.0, max(late, default=0.0) - up[0]))
    ops = checks.of(records, "op")
    row: dict[str, Any] = {
        "what": what, "instances": stated.fleet.instances, "down": len(down), "outcome": verdict.outcome,
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
                stated = plan(size, args.changes, down=what == "down", quiet=what == "quiet")
                rows.append(measured(stated, Path(folder) / f"{size}-{what}", what))
    return rows


def model(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for name, made in {
        "3 seats, 1 change": Model(followers=0, wakes=1, ticks=2, finishers=0),
        "3 seats, 1 follower, 1 change, a crash": Model(followers=1, wakes=1, ticks=2, crashes=1),
    }.items():
        begin_s = time.monotonic()
        found = exhaust(made, args.depth, most=400_000)
        took_s = round(time.monotonic() - begin_s, 1)
        rows.append({"what": name, "states": found.states, "by_depth": found.by_depth, "broken": found.broken,
                     "took_s": took_s})  # fmt: skip
        print(json.dumps(rows[-1]), flush=True)
    big = Model(
        followers=2, changes=2, ticks=14, crashes=2, amnesias=1, twice=2, finishers=3, wakes=12, reseats=True
    )  # fmt: skip
    begin_s, steps, broken = time.monotonic(), 0, ""
    for seed in range(args.walks):
        walked = walk(big, seed, 300)
        steps, broken = steps + walked.states, broken or walked.broken
    rows.append({"what": f"{args.walks} random schedules", "steps": steps, "broken": broken,
                 "took_s": round(time.monotonic() - begin_s, 1)})  # fmt: skip
    print(json.dumps(rows[-1]), flush=True)
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("changes", "model"))
    parser.add_argument("--sizes", type=int, nargs="+", default=[5, 20, 60])
    parser.add_argument("--changes", type=int, default=6)
    parser.add_argument("--depth", type=int, default=6)
    parser.add_argument("--walks", type=int, default=200)
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    rows = {"changes": changes, "model": model}[args.what](args)
    if args.json:
        args.json.write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
