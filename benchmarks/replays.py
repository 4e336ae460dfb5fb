"""Checks that replays of the shipped scenarios are identical under load, and compares the two clocks.

    python -m benchmarks.replays [--replays 10] [--load 4] [--real] [DAY.toml ...]

Each scenario is simulated `--replays` times on the virtual clock, each time in a separate process with
another hash seed, while `--load` processes keep other cores busy; all event logs must be identical. With
`--real` it also runs on the real clock, without the busy processes, and the shares of the outcomes are
compared with those on the virtual clock. Prints JSON; exits with 1 if an event log differed.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
OUTCOMES = ("served", "late", "refused", "failed")


def replay(scenario_file: Path, clock: str, hash_seed: int) -> tuple[dict[str, Any], float]:
    with tempfile.TemporaryDirectory() as folder:
        out = Path(folder) / "out.json"
        env = os.environ | {"PYTHONHASHSEED": str(hash_seed), "PYTHONPATH": str(ROOT)}
        command = [sys.executable, "-m", "client_proxy.emulator", "replay", str(scenario_file), "--quiet"]
        start_s = time.perf_counter()
        done = subprocess.run(
            [*command, "--clock", clock, "--json", str(out)],
            cwd=ROOT,
            env=env,
            capture_output=True,
            text=True,
        )
        if not out.is_file():
            raise SystemExit(f"{scenario_file}: {done.stderr}")
        return json.loads(out.read_text()), time.perf_counter() - start_s


def outcome_shares(report: dict[str, Any]) -> dict[str, dict[str, float]]:
    return {
        name: {each: round(class_report[each] / max(1, class_report["asked"]), 5) for each in OUTCOMES}
        for name, class_report in report["classes"].items()
    }


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("days", nargs="*", type=Path)
    parser.add_argument("--replays", type=int, default=10)
    parser.add_argument("--load", type=int, default=4, help="processes that keep other cores busy")
    parser.add_argument("--jobs", type=int, default=4, help="replays that run at the same time")
    parser.add_argument("--real", action="store_true")
    args = parser.parse_args()
    days = args.days or sorted((ROOT / "examples" / "days").glob("*.toml"))
    busy_processes = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(args.load)]
    result: dict[str, Any] = {"cores": os.cpu_count(), "replays": args.replays, "load": args.load, "days": {}}
    all_identical = True
    virtual_reports: dict[Path, dict[str, Any]] = {}
    try:
        for scenario_file in days:
            with ThreadPoolExecutor(args.jobs) as pool:
                results = list(
                    pool.map(lambda n, d=scenario_file: replay(d, "virtual", n), range(args.replays))
                )
            digests = {report["digest"] for report, _ in results}
            counts = {json.dumps(outcome_shares(report)) for report, _ in results}
            all_identical = all_identical and len(digests) == 1
            report = virtual_reports[scenario_file] = results[0][0]
            wall_times_s = sorted(wall_s for _, wall_s in results)
            result["days"][scenario_file.stem] = {
                "seed": report["seed"],
                "ledgers": len(digests),
                "counts": len(counts),
                "digest": report["digest"],
                "rules": report["rules"],
                "virtual_s": report["length_s"],
                "wall_s": {"least": round(wall_times_s[0], 2), "most": round(wall_times_s[-1], 2)},
                "served_share": report["served_share"],
            }
    finally:
        for process in busy_processes:
            process.kill()
            process.wait()
    if args.real:
        for scenario_file in days:
            report, _ = replay(scenario_file, "real", 0)
            virtual_shares, real_shares = (
                outcome_shares(virtual_reports[scenario_file]),
                outcome_shares(report),
            )
            widest_gap = max(
                abs(virtual_shares[name][each] - real_shares[name][each])
                for name in virtual_shares
                for each in OUTCOMES
            )
            result["days"][scenario_file.stem]["real"] = {
                "rules": report["rules"],
                "virtual": virtual_shares,
                "real": real_shares,
                "widest_gap": round(widest_gap, 5),
                "served_share": report["served_share"],
            }
    print(json.dumps(result, indent=1))
    return 0 if all_identical else 1


if __name__ == "__main__":
    sys.exit(main())
