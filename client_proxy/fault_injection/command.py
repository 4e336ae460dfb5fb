"""`client-proxy drill`: run a plan, look for plans that break something, judge a folder again. Needs the
extra `rig`."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

from client_proxy.optional_dependencies import lacking, require

require("client-proxy drill", "rig", "rich", "pydantic", "httptools")

import click  # noqa: E402
from rich.console import Console  # noqa: E402
from rich.progress import Progress  # noqa: E402
from rich.table import Table  # noqa: E402

from client_proxy.fault_injection import explore, history, plan, scenario_runner  # noqa: E402
from client_proxy.fault_injection.scenario_runner import Verdict  # noqa: E402
from client_proxy.fault_injection.soak.command import soak  # noqa: E402

FILE = click.Path(dir_okay=False, path_type=Path)
DIR = click.Path(file_okay=False, path_type=Path)
CODES = {"passed": 0, "failed": 1, "error": 3, "refused": 4}


def new_folder(out: Path | None, name: str) -> Path:
    """Short: the paths of sockets in it have a bound of 108 bytes."""
    parent = out if out is not None else Path(tempfile.mkdtemp(prefix="drill-"))
    return parent / f"{name}-{time.strftime('%H%M%S')}-{time.monotonic_ns() % 1000:03d}"


def show(verdict: Verdict, console: Console) -> None:
    table = Table(title=f"{verdict.plan}, seed {verdict.seed}: {verdict.outcome}", show_header=False)
    tries = ", ".join(f"{n} {ending}" for ending, n in verdict.figures.get("tries", {}).items())
    asked, served = verdict.figures.get("asked", 0), verdict.figures.get("served", 0)
    after = verdict.figures.get("whole_after_s")
    table.add_row("asked, served", f"{asked}, {served} ({served / asked:.4f})" if asked else "nothing")
    table.add_row("tries", tries)
    table.add_row("whole again after", "never" if after is None else f"{after:.0f} s")
    table.add_row("took", f"{verdict.took_s:.1f} s")
    if verdict.why:
        table.add_row("why", verdict.why)
    console.print(table)
    counted: dict[tuple[str, str], list[str]] = {}
    for breach in verdict.breaches:
        counted.setdefault((breach.rule, breach.who), []).append(breach.what)
    if counted:
        found = Table("rule", "who", "times", "the first")
        for (rule, who), what in counted.items():
            found.add_row(rule, who, str(len(what)), what[0])
        console.print(found)


@click.group("drill")
def main() -> None:
    """Real processes with faults between them, and a checker of what clients saw."""


@main.command("run")
@click.argument("file", type=FILE)
@click.option("--out", type=DIR, help="Folder for the drill's own; else a new one under the system's.")
@click.option("--keep", is_flag=True, help="Keep the folder also of a drill that passed.")
@click.option("--page", type=FILE, help="Draw its lanes there.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def run_command(file: Path, out: Path | None, keep: bool, page: Path | None, as_json: bool) -> None:
    """Play the plan in FILE. Exit code 0: passed; 1: a rule was broken; 3: the drill itself failed; 4: the
    machine was too busy for a verdict."""
    if page is not None:
        told = lacking("--page", "plots", "matplotlib")
        if told:
            raise click.UsageError(told)
    stated = plan.load(file)
    console = Console(stderr=True)
    verdict = asyncio.run(scenario_runner.run(stated, new_folder(out, stated.name), console.print))
    if page is not None:
        from client_proxy.fault_injection.page import draw

        draw(stated, list(history.read(Path(verdict.folder) / "history.jsonl")), verdict, page)
    if as_json:
        click.echo(json.dumps(verdict.told(), indent=1))
    else:
        show(verdict, Console())
    if verdict.outcome == "passed" and not keep:
        scenario_runner.clear(Path(verdict.folder))
    else:
        console.print(f"kept: {verdict.folder}")
    sys.exit(CODES[verdict.outcome])


@main.command("replay")
@click.argument("folder", type=DIR)
@click.option("--play", is_flag=True, help="Play its plan again, in place of judging its history again.")
@click.option("--page", type=FILE, help="Draw its lanes there.")
def replay(folder: Path, play: bool, page: Path | None) -> None:
    """Judge the history in FOLDER by this version's rules; with --play, play its plan again."""
    stated = plan.load(folder / "plan.toml")
    try:
        if play:
            verdict = asyncio.run(scenario_runner.run(stated, new_folder(None, stated.name)))
        else:
            verdict = scenario_runner.again(folder)
    except (ValueError, KeyError) as error:
        raise click.ClickException(f"{folder}: not the folder of a drill: {error}") from None
    if page is not None:
        from client_proxy.fault_injection.page import draw

        draw(stated, list(history.read(Path(verdict.folder) / "history.jsonl")), verdict, page)
    show(verdict, Console())
    sys.exit(CODES[verdict.outcome])


@main.command("explore")
@click.argument("file", type=FILE)
@click.option("--rounds", default=20, help="Plans to draw from FILE's fleet.")
@click.option("--seed", default=1, help="Of the first; the next have the next numbers.")
@click.option("--out", type=DIR, required=True, help="Where failing plans and their folders are kept.")
@click.option("--jobs", default=1, help="Drills at a time; each takes two cores and more.")
@click.option("--shrink/--no-shrink", default=True, help="Find the fewest faults that still break it.")
def explore_command(file: Path, rounds: int, seed: int, out: Path, jobs: int, shrink: bool) -> None:
    """Play random plans on the fleet that FILE states. Exit code 1 if one broke a rule."""
    base = plan.load(file)
    out.mkdir(parents=True, exist_ok=True)
    found = asyncio.run(_explore(base, range(seed, seed + rounds), out, jobs, shrink))
    outcomes: dict[str, int] = {}
    for verdict in found:
        outcomes[verdict.outcome] = outcomes.get(verdict.outcome, 0) + 1
    click.echo(json.dumps({"rounds": rounds, "outcomes": outcomes}))
    sys.exit(1 if outcomes.get("failed") else 0)


async def _explore(base: plan.Plan, seeds: range, out: Path, jobs: int, shrink: bool) -> list[Verdict]:
    console = Console(stderr=True)
    left = list(seeds)
    found: list[Verdict] = []

    async def rules(drawn: plan.Plan) -> list[str]:
        verdict = await scenario_runner.run(drawn, new_folder(out, drawn.name))
        scenario_runner.clear(Path(verdict.folder))
        return verdict.rules() if verdict.outcome == "failed" else [verdict.outcome]

    with Progress(console=console) as progress:
        task = progress.add_task("plans", total=len(seeds))

        async def work() -> None:
            while left:
                drawn = explore.draw(base, left.pop(0))
                verdict = await scenario_runner.run(drawn, new_folder(out, drawn.name))
                found.append(verdict)
                with (out / "found.jsonl").open("a") as file:
                    file.write(json.dumps(verdict.told()) + "\n")
                if verdict.outcome == "passed":
                    scenario_runner.clear(Path(verdict.folder))
                else:
                    progress.console.print(f"{drawn.name}: {verdict.outcome}: {verdict.why}")
                if verdict.outcome == "failed" and shrink:
                    small = await explore.shrink(drawn, verdict.rules()[0], rules)
                    text = plan.format_plan(small.plan)
                    (out / f"{drawn.name}-{small.rule}.toml").write_text(text)
                progress.advance(task)

        await asyncio.gather(*(work() for _ in range(jobs)))
    return found


main.add_command(soak)
