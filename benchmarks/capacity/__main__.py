"""Writes the tables of docs/CAPACITY.md from the checked-in slopes, or checks that they match.

    python -m benchmarks.capacity [--write] [--merge F ...] [--cost-as OLD NEW] [--on COMMIT]
        [--scale F ...]

`--merge` first copies the series of these files, as `benchmarks.scale --json` writes them, into the slopes,
and removes their names from the list of what was not measured. `--scale` does the same with reports of
`client-proxy scale run --json`; only passed runs of the whole plan are accepted. `--cost-as` stores the cost
named OLD under the name NEW. `--on` is the measured commit, which is appended to each stored command."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from benchmarks.capacity.page import PageError, insert_tables, tables
from benchmarks.capacity.plan import SIZES
from benchmarks.capacity.row import RowError
from benchmarks.capacity.scale_report import ReportError, extract_runs
from benchmarks.capacity.slopes import load

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES = ROOT / "docs" / "capacity" / "slopes.json"


def _rename_cost(name: str, cost_as: list[str]) -> str:
    cost, _, quantity = name.partition(".")
    return f"{cost_as[1]}.{quantity}" if cost_as and cost == cost_as[0] else name


def merge_series(slopes: Path, files: list[Path], cost_as: list[str], commit: str) -> None:
    """Copies the measured series of `files` into the slopes file.

    Raises OSError, ValueError or KeyError if a file cannot be read or has another format."""
    content = json.loads(slopes.read_text())
    for file in files:
        series = json.loads(file.read_text())["series"]
        entries = {_rename_cost(name, cost_as): entry for name, entry in series.items()}
        if commit:
            for entry in entries.values():
                entry["command"] += f" (on {commit})"
        content["series"] |= entries
        for name in entries:
            content["not_measured"].pop(name, None)
    content["series"] = dict(sorted(content["series"].items()))
    slopes.write_text(json.dumps(content, indent=1, ensure_ascii=False) + "\n")


def merge_runs(slopes: Path, reports: list[Path], commit: str) -> None:
    """Copies the figures of scale run reports into the slopes file.

    Raises ReportError if a run did not pass or had too few instances, and OSError, ValueError or KeyError if
    a file cannot be read or has another format."""
    content = json.loads(slopes.read_text())
    for path in reports:
        report = json.loads(path.read_text())
        command = f"client-proxy scale run examples/scale/{report['plan']}.toml"
        entries = extract_runs(report, SIZES.hosts, command + (f" (on {commit})" if commit else ""))
        content["runs"] |= entries
        for name in entries:
            content["not_measured"].pop(name, None)
    content["runs"] = dict(sorted(content["runs"].items()))
    slopes.write_text(json.dumps(content, indent=1, ensure_ascii=False) + "\n")


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity")
    parser.add_argument("--write", action="store_true", help="write the tables into the page")
    parser.add_argument("--merge", type=Path, nargs="*", default=[])
    parser.add_argument("--scale", type=Path, nargs="*", default=[])
    parser.add_argument("--cost-as", nargs=2, default=[], metavar=("OLD", "NEW"))
    parser.add_argument("--on", default="", metavar="COMMIT")
    args = parser.parse_args(arguments)
    try:
        if args.merge:
            merge_series(SLOPES, args.merge, args.cost_as, args.on)
        if args.scale:
            merge_runs(SLOPES, args.scale, args.on)
        page = PAGE.read_text()
        updated_page = insert_tables(page, tables(load(SLOPES)))
    except (RowError, PageError, ReportError) as error:
        print(error, file=sys.stderr)
        return 1
    if args.write:
        PAGE.write_text(updated_page)
    elif updated_page != page:
        print(f"{PAGE}: its tables differ from those of {SLOPES}; run with --write", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
