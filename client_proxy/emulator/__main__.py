"""`python -m client_proxy.emulator`: rehearse a scripted day, compare two builds on it, look for bad ones."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
from dataclasses import replace
from pathlib import Path

from client_proxy.emulator.compare import compare, format_comparison, read_side
from client_proxy.emulator.event_log import ClientRequest
from client_proxy.emulator.explore import Finding, explore
from client_proxy.emulator.page import render_page
from client_proxy.emulator.report import build_report, format_report, format_window
from client_proxy.emulator.scenario import Scenario
from client_proxy.emulator.scenario_reader import load_scenario
from client_proxy.emulator.simulation import SimulationResult, run_on_real_clock, simulate
from client_proxy.operators import NOTHING, load_operators
from client_proxy.toml_table import TomlError

KEPT, BROKEN, UNUSABLE = 0, 1, 2


def arguments() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m client_proxy.emulator", description=__doc__)
    verbs = parser.add_subparsers(dest="verb", required=True)

    replay = verbs.add_parser("replay", help="play a day; exit code 1 if a rule broke")
    replay.add_argument("day", help="the day's TOML file")
    replay.add_argument("--json", metavar="FILE", help="write the whole report there")
    replay.add_argument("--html", metavar="FILE", help="draw the day as one page")
    replay.add_argument("--seed", type=int, help="instead of the day's own")
    replay.add_argument("--clock", choices=("virtual", "real"), default="virtual")
    replay.add_argument("--proxies", type=int, help="instead of the day's own number")
    replay.add_argument("--build", type=Path, help="a checkout whose daemon is run (real clock only)")
    replay.add_argument("--operators", type=Path, help="the proxies' operators' TOML file")
    replay.add_argument("--quiet", action="store_true", help="no progress")

    check = verbs.add_parser("check", help="check a day's file, and say what is wrong with it")
    check.add_argument("day", nargs="+")

    versus = verbs.add_parser("compare", help="two builds (folders) or settings (TOML files) on one day")
    versus.add_argument("a")
    versus.add_argument("b")
    versus.add_argument("day")
    versus.add_argument("--seeds", type=int, default=10)
    versus.add_argument("--clock", choices=("virtual", "real"), default="virtual")
    versus.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    versus.add_argument("--json", metavar="FILE")

    search = verbs.add_parser("explore", help="vary a day, and keep what breaks a rule or loses service")
    search.add_argument("day")
    search.add_argument("--seeds", type=int, default=200)
    search.add_argument("--first", type=int, default=0, help="the first seed")
    search.add_argument("--out", type=Path, default=Path("found"), help="folder for what is found")
    search.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    search.add_argument("--whole", action="store_true", help="do not cut findings down")
    search.add_argument("--json", metavar="FILE")
    return parser


def chosen(args: argparse.Namespace) -> Scenario:
    """Return the scenario of the command line, with its options applied.

    Raises:
        TomlError: the scenario or an option is not usable.
    """
    scenario = load_scenario(args.day)
    if args.seed is not None:
        scenario = replace(scenario, seed=args.seed)
    if args.proxies is not None:
        if args.proxies < 1:
            raise TomlError("--proxies: at least 1")
        faults = tuple(
            replace(fault, proxies=tuple(p for p in fault.proxies if p < args.proxies))
            for fault in scenario.faults
            if not fault.proxies or min(fault.proxies) < args.proxies
        )
        clients = replace(scenario.clients, proxies=args.proxies, relative_rates=())
        scenario = replace(scenario, clients=clients, faults=faults)
    return scenario


def do_replay(args: argparse.Namespace) -> int:
    """Run a scenario and report on it; return the exit code."""
    scenario = chosen(args)
    if args.build is not None and args.clock != "real":
        raise TomlError("--build: another build's daemon runs on the real clock only")

    def progress(passed_s: float, ended: list[ClientRequest]) -> None:
        print(format_window(passed_s, ended), file=sys.stderr, flush=True)

    operators = load_operators(args.operators) if args.operators else NOTHING
    shown = None if args.quiet else progress
    result: SimulationResult
    if args.clock == "virtual":
        result = simulate(scenario, shown, operators)
    else:
        result = asyncio.run(run_on_real_clock(scenario, shown, args.build, args.operators))
    report = build_report(result)
    if args.json:
        Path(args.json).write_text(report.to_json(), encoding="utf-8")
    if args.html:
        Path(args.html).write_text(render_page(report), encoding="utf-8")
    print(format_report(report), end="")
    return BROKEN if report.broken else KEPT


def do_check(args: argparse.Namespace) -> int:
    """Check scenario files; return the exit code."""
    worst = KEPT
    for path in args.day:
        try:
            scenario = load_scenario(path)
            servers, faults = len(scenario.servers()), len(scenario.faults)
            print(f"{path}: {scenario.name}, {servers} servers, {faults} incidents")
        except TomlError as error:
            print(error, file=sys.stderr)
            worst = UNUSABLE
    return worst


def do_compare(args: argparse.Namespace) -> int:
    """Compare two builds or settings; return the exit code."""
    scenario = load_scenario(args.day)
    sides = (read_side(args.a), read_side(args.b))
    seeds = [scenario.seed + number for number in range(max(1, args.seeds))]
    result = compare(
        sides, scenario, seeds, args.clock, args.jobs, lambda line: print(line, file=sys.stderr, flush=True)
    )
    if args.json:
        Path(args.json).write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    print(format_comparison(result), end="")
    return BROKEN if any(result["broken"].values()) else KEPT


def do_explore(args: argparse.Namespace) -> int:
    """Look for variations that are findings; return the exit code."""
    scenario = load_scenario(args.day)
    served: dict[int, float] = {}

    def on_result(seed: int, share: float, finding: Finding | None) -> None:
        served[seed] = share
        found = f"  {finding.verdict}: {finding.file}" if finding else ""
        if finding or len(served) % 10 == 0:
            print(f"{len(served):5d} of {args.seeds}  served {share:.4f}{found}", file=sys.stderr, flush=True)

    findings = explore(scenario, args.seeds, args.out, args.jobs, on_result, args.first, not args.whole)
    shares = sorted(served.values())
    summary = {
        "day": scenario.name,
        "seeds": args.seeds,
        "first": args.first,
        "least_served": shares[0] if shares else None,
        "median_served": shares[len(shares) // 2] if shares else None,
        "findings": [
            {
                "seed": f.seed,
                "verdict": str(f.verdict),
                "served": f.served,
                "file": f.file,
                "plays": f.minimization_runs,
            }
            for f in findings
        ],
    }
    if args.json:
        Path(args.json).write_text(json.dumps(summary, indent=1) + "\n", encoding="utf-8")
    print(json.dumps(summary, indent=1))
    return BROKEN if any(f.verdict.rules or f.verdict.crashed for f in findings) else KEPT


def main() -> int:
    """Run the command line; return the exit code."""
    args = arguments().parse_args()
    verbs = {"replay": do_replay, "check": do_check, "compare": do_compare, "explore": do_explore}
    try:
        return verbs[args.verb](args)
    except (TomlError, RuntimeError, OSError) as error:
        print(error, file=sys.stderr)
        return UNUSABLE


if __name__ == "__main__":
    sys.exit(main())
