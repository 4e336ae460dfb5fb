"""Measures the costs of the balancer at several sizes, and fits them.

    python -m benchmarks.scale [--costs NAMES] [--rounds 3] [--json F] [--page F] [--checkout DIR]

Each round measures every size once. Every reading is printed as a line of JSON. `--json` writes the series
with their fits, `--page` a page with plots (needs the extra `plots`). Processor time is that of the measured
processes, not wall-clock time. `--checkout` is the source tree whose daemon the data path costs run."""

from __future__ import annotations

import argparse
import json
import os
import platform
import sys
import time
from pathlib import Path
from typing import Any

from benchmarks.scale import catalogue, data_path_cost, report
from benchmarks.scale.cost import Series, run_rounds
from benchmarks.scale.data_path import ROOT


def _parse_arguments(words: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale")
    parser.add_argument("--costs", nargs="+", choices=sorted(catalogue.COSTS), metavar="NAME")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--checkout", type=Path, default=ROOT)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--page", type=Path)
    return parser.parse_args(words)


def machine() -> dict[str, Any]:
    """Describes the machine for the JSON document."""
    return {"cores": os.cpu_count(), "python": platform.python_version()}


def main(words: list[str] | None = None) -> int:
    command_line = sys.argv[1:] if words is None else words
    args = _parse_arguments(command_line)
    names = args.costs or list(catalogue.COSTS)
    costs = catalogue.COSTS | {cost.name: cost for cost in data_path_cost.costs(args.checkout.resolve())}
    series: list[Series] = []
    for name in names:
        begin_s = time.monotonic()
        series += run_rounds(costs[name], args.rounds, lambda line: print(line, flush=True))
        duration = {"cost": name, "took_s": round(time.monotonic() - begin_s, 1)}
        print(json.dumps(duration), flush=True)
    command = f"python -m benchmarks.scale --costs {' '.join(names)} --rounds {args.rounds}"
    if args.json is not None:
        args.json.write_text(json.dumps(report.document(series, command, machine()), indent=1) + "\n")
    if args.page is not None:
        args.page.write_text(report.page(series, command))
    return 0


if __name__ == "__main__":
    sys.exit(main())
