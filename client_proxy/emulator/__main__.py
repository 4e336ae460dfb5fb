"""Command line of the emulator: replays a scenario, compares two builds on it, and explores variations.

Run it as `python -m client_proxy.emulator`.
"""

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
from client_proxy.operators import NO_FEATURES, load_operators
from client_proxy.toml_table import TomlError

EXIT_OK, EXIT_VIOLATION, EXIT_ERROR = 0, 1, 2
"""Exit codes: all rules were kept; a rule was violated or a proxy crashed; the input is unusable."""


def create_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m client_proxy.emulator", description=__doc__)
    commands = parser.add_subparsers(dest="verb", required=True)

    replay = commands.add_parser(
        "replay", help="replay a scenario; the exit code is 1 if a rule was violated"
    )
    replay.add_argument("day", help="the scenario's TOML file")
    replay.add_argument("--json", metavar="FILE", help="write the report to this file as JSON")
    replay.add_argument("--html", metavar="FILE", help="write the report to this file as an HTML page")
    replay.add_argument("--seed", type=int, help="a seed to use instead of the scenario's")
    replay.add_argument("--clock", choices=("virtual", "real"), default="virtual")
    replay.add_argument("--proxies", type=int, help="a number of proxies to use instead of the scenario's")
    replay.add_argument("--build", type=Path, help="the checkout whose daemon is run (real clock only)")
    replay.add_argument("--operators", type=Path, help="the operators' TOML file of all proxies")
    replay.add_argument("--quiet", action="store_true", help="print no progress")

    check = commands.add_parser("check", help="check scenario files and print their errors")
    check.add_argument("day", nargs="+")

    comparison = commands.add_parser(
        "compare", help="compare two builds (folders) or settings (TOML files) on a scenario"
    )
    comparison.add_argument("a")
    comparison.add_argument("b")
    comparison.add_argument("day")
    comparison.add_argument("--seeds", type=int, default=10)
    comparison.add_argument("--clock", choices=("virtual", "real"), default="virtual")
    comparison.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    comparison.add_argument("--json", metavar="FILE")

    exploration = commands.add_parser(
        "explore", help="run variations of a scenario and keep those that violate a rule or lose service"
    )
    exploration.add_argument("day")
    exploration.add_argument("--seeds", type=int, default=200)
    exploration.add_argument("--first", type=int, default=0, help="the first seed")
    exploration.add_argument("--out", type=Path, default=Path("found"), help="the folder for findings")
    exploration.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    exploration.add_argument("--whole", action="store_true", help="do not minimize findings")
    exploration.add_argument("--json", metavar="FILE")
    return parser


def load_chosen_scenario(args: argparse.Namespace) -> Scenario:
    """Load the scenario that the command line names and apply the options that change it.

    Raises:
        TomlError: the scenario or an option is invalid.
    """
    scenario = load_scenario(args.day)
    if args.seed is not None:
        scenario = replace(scenario, seed=args.seed)
    if args.proxies is not None:
        if args.proxies < 1:
            raise TomlError(f"--proxies: {args.proxies} is not allowed: at least 1")
        faults = tuple(
            replace(fault, proxies=tuple(p for p in fault.proxies if p < args.proxies))
            for fault in scenario.faults
            if not fault.proxies or min(fault.proxies) < args.proxies
        )
        clients = replace(scenario.clients, proxies=args.proxies, relative_rates=())
        scenario = replace(scenario, clients=clients, faults=faults)
    return scenario


def run_replay(args: argparse.Namespace) -> int:
    """Run a scenario and print its report; return the exit code."""
    scenario = load_chosen_scenario(args)
    if args.build is not None and args.clock != "real":
        raise TomlError("--build: another build's daemon needs the real clock (--clock real)")

    def progress(elapsed_s: float, ended: list[ClientRequest]) -> None:
        print(format_window(elapsed_s, ended), file=sys.stderr, flush=True)

    operators = load_operators(args.operators) if args.operators else NO_FEATURES
    progress_callback = None if args.quiet else progress
    result: SimulationResult
    if args.clock == "virtual":
        result = simulate(scenario, progress_callback, operators)
    else:
        result = asyncio.run(run_on_real_clock(scenario, progress_callback, args.build, args.operators))
    report = build_report(result)
    if args.json:
        Path(args.json).write_text(report.to_json(), encoding="utf-8")
    if args.html:
        Path(args.html).write_text(render_page(report), encoding="utf-8")
    print(format_report(report), end="")
    return EXIT_VIOLATION if report.broken else EXIT_OK


def run_check(args: argparse.Namespace) -> int:
    """Check scenario files; return the exit code."""
    exit_code = EXIT_OK
    for path in args.day:
        try:
            scenario = load_scenario(path)
            servers, faults = len(scenario.servers()), len(scenario.faults)
            print(f"{path}: {scenario.name}, {servers} servers, {faults} incidents")
        except TomlError as error:
            print(error, file=sys.stderr)
            exit_code = EXIT_ERROR
    return exit_code


def run_compare(args: argparse.Namespace) -> int:
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
    return EXIT_VIOLATION if any(result["broken"].values()) else EXIT_OK


def run_explore(args: argparse.Namespace) -> int:
    """Run variations of a scenario and print a summary; return the exit code."""
    scenario = load_scenario(args.day)
    served_by_seed: dict[int, float] = {}

    def on_result(seed: int, share: float, finding: Finding | None) -> None:
        served_by_seed[seed] = share
        found = f"  {finding.verdict}: {finding.file}" if finding else ""
        if finding or len(served_by_seed) % 10 == 0:
            print(
                f"{len(served_by_seed):5d} of {args.seeds}  served {share:.4f}{found}",
                file=sys.stderr,
                flush=True,
            )

    findings = explore(scenario, args.seeds, args.out, args.jobs, on_result, args.first, not args.whole)
    shares = sorted(served_by_seed.values())
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
    return EXIT_VIOLATION if any(f.verdict.rules or f.verdict.crashed for f in findings) else EXIT_OK


def main() -> int:
    """Run the command line; return the exit code."""
    args = create_parser().parse_args()
    commands = {"replay": run_replay, "check": run_check, "compare": run_compare, "explore": run_explore}
    try:
        return commands[args.verb](args)
    except (TomlError, RuntimeError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_ERROR


if __name__ == "__main__":
    sys.exit(main())
