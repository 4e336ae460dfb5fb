"""Measures the first seconds of an instance after a restart, with and without its stored warm state.

    python -m benchmarks.learned [--seeds 4] [--json F]

Three instances send 40 requests a second each to three racks of two servers; one rack is always 300 ms
further away. After ten seconds one instance is shut down gracefully and starts again one second later. Its
requests of the following five seconds are measured. Each seed runs once without and once with warm state."""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
from pathlib import Path
from statistics import mean, quantiles
from typing import Any

from client_proxy.fault_injection import history, invariants, scenario_runner
from client_proxy.fault_injection.plan import AimTable, FaultTable, FleetTable, LoadTable, Plan

OBSERVED_S = 5.0  # s; from when the restarted instance listens


def run_drill(folder: Path, seed: int, learned: bool) -> dict[str, Any]:
    plan = Plan(
        name="learned", seed=seed, length_s=18.0, fleet=FleetTable(instances=3, racks=3, learned=learned),
        load=LoadTable(rate=40.0), aim=AimTable(whole_s=1),
        fault=(
            FaultTable(kind="delay", who=("i0", "i1", "i2"), to=("r1",), ms=300.0, at_s=0.5),
            FaultTable(kind="term", who=("i1",), at_s=10.0, for_s=1.0),
        ),
    )  # fmt: skip
    verdict = asyncio.run(scenario_runner.run(plan, folder))
    records = list(history.read(folder / "history.jsonl"))
    states = [r for r in invariants.records_of_kind(records, "state") if r["who"] == "i1"]
    listening_s = max(r["t"] for r in states if r["state"] == "listening")
    instance_requests = [o for o in invariants.records_of_kind(records, "op") if o["instance"] == "i1"]
    observed_requests = [o for o in instance_requests if listening_s <= o["begin"] < listening_s + OBSERVED_S]
    latencies_ms = [1000 * (o["end"] - o["begin"]) for o in observed_requests if o["ending"] == "served"]
    row = {
        "learned": learned, "seed": seed, "outcome": verdict.outcome, "requests": len(observed_requests),
        "served": len(latencies_ms), "mean_ms": round(mean(latencies_ms), 1),
        "p90_ms": round(quantiles(latencies_ms, n=10)[8], 1),
        "slow": sum(t > 300 for t in latencies_ms),
    }  # fmt: skip
    print(json.dumps(row), flush=True)
    return row


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="learn-") as folder:
        rows = [
            run_drill(Path(folder) / f"{seed}-{learned}", seed, learned)
            for seed in range(1, args.seeds + 1)
            for learned in (False, True)
        ]
    if args.json:
        args.json.write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
