"""`client-proxy drill`: run a plan, search for plans that break a rule, judge a drill's folder again.

Needs the extra `rig`.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

from client_proxy.optional_dependencies import missing_packages_message, require

require("client-proxy drill", "rig", "rich", "pydantic", "httptools")

import click  # noqa: E402
from rich.console import Console  # noqa: E402
from rich.progress import Progress  # noqa: E402
from rich.table import Table  # noqa: E402

from client_proxy.fault_injection import explore, history, plan, scenario_runner  # noqa: E402
from client_proxy.fault_injection.scenario_runner import Verdict  # noqa: E402
from client_proxy.fault_injection.soak.command import soak  # noqa: E402

FILE_PATH = click.Path(dir_okay=False, path_type=Path)
FOLDER_PATH = click.Path(file_okay=False, path_type=Path)
EXIT_CODES = {"passed": 0, "failed": 1, "error": 3, "refused": 4}


def new_folder(out: Path | None, name: str) -> Path:
    """Return the path of a new folder for a drill: short, as paths of Unix sockets are at most 108 bytes."""
    parent = out if out is not None else Path(tempfile.mkdtemp(prefix="drill-"))
    return parent / f"{name}-{time.strftime('%H%M%S')}-{time.monotonic_ns() % 1000:03d}"


def show(verdict: Verdict, console: Console) -> None:
    """Print a verdict and its breaches as tables."""
    table = Table(title=f"{verdict.plan}, seed {verdict.seed}: {verdict.outcome}", show_header=False)
    attempts = ", ".join(f"{n} {ending}" for ending, n in verdict.figures.get("tries", {}).items())
    requests, served = verdict.figures.get("asked", 0), verdict.figures.get("served", 0)
    restored_s = verdict.figures.get("whole_after_s")
    table.add_row(
        "requests, served", f"{requests}, {served} ({served / requests:.4f})" if requests else "nothing"
    )
    table.add_row("client attempts", attempts)
    table.add_row("service restored after", "never" if restored_s is None else f"{restored_s:.0f} s")
    table.add_row("took", f"{verdict.took_s:.1f} s")
    if verdict.why:
        table.add_row("why", verdict.why)
    console.print(table)
    breaches_by_rule: dict[tuple[str, str], list[str]] = {}
    for breach in verdict.breaches:
        breaches_by_rule.setdefault((breach.rule, breach.who), []).append(breach.what)
    if breaches_by_rule:
        breach_table = Table("rule", "process", "count", "first breach")
        for (rule, who), examples in breaches_by_rule.items():
            breach_table.add_row(rule, who, str(len(examples)), examples[0])
        console.print(breach_table)


@click.group("drill")
def main() -> None:
    """Run real processes under injected faults, and check what their clients saw."""


@main.command("run")
@click.argument("file", type=FILE_PATH)
@click.option("--out", type=FOLDER_PATH, help="Parent of the drill's folder; default: a temporary folder.")
@click.option("--keep", is_flag=True, help="Keep the folder even if the drill passed.")
@click.option("--page", type=FILE_PATH, help="Write an HTML page with a timeline of the drill there.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def run_command(file: Path, out: Path | None, keep: bool, page: Path | None, as_json: bool) -> None:
    """Run the plan in FILE.

    Exit code 0: passed; 1: a rule was broken; 3: the drill itself failed; 4: the machine was too busy for a
    verdict.
    """
    if page is not None:
        missing_extra = missing_packages_message("--page", "plots", "matplotlib")
        if missing_extra:
            raise click.UsageError(missing_extra)
    drill_plan = plan.load(file)
    console = Console(stderr=True)
    verdict = asyncio.run(scenario_runner.run(drill_plan, new_folder(out, drill_plan.name), console.print))
    if page is not None:
        from client_proxy.fault_injection.page import draw

        draw(drill_plan, list(history.read(Path(verdict.folder) / "history.jsonl")), verdict, page)
    if as_json:
        click.echo(json.dumps(verdict.as_dict(), indent=1))
    else:
        show(verdict, Console())
    if verdict.outcome == "passed" and not keep:
        scenario_runner.remove_folder(Path(verdict.folder))
    else:
        console.print(f"drill folder kept: {verdict.folder}")
    sys.exit(EXIT_CODES[verdict.outcome])


@main.command("replay")
@click.argument("folder", type=FOLDER_PATH)
@click.option("--play", is_flag=True, help="Run its plan again instead of judging its history again.")
@click.option("--page", type=FILE_PATH, help="Write an HTML page with a timeline of the drill there.")
def replay(folder: Path, play: bool, page: Path | None) -> None:
    """Judge the history in FOLDER by the rules of this version; with --play, run its plan again."""
    drill_plan = plan.load(folder / "plan.toml")
    try:
        if play:
            verdict = asyncio.run(scenario_runner.run(drill_plan, new_folder(None, drill_plan.name)))
        else:
            verdict = scenario_runner.judge_folder(folder)
    except (ValueError, KeyError) as error:
        raise click.ClickException(
            f"{folder}: not a drill's folder (plan.toml, verdict.json, history.jsonl): {error}"
        ) from None
    if page is not None:
        from client_proxy.fault_injection.page import draw

        draw(drill_plan, list(history.read(Path(verdict.folder) / "history.jsonl")), verdict, page)
    show(verdict, Console())
    sys.exit(EXIT_CODES[verdict.outcome])


@main.command("explore")
@click.argument("file", type=FILE_PATH)
@click.option("--rounds", default=20, help="Number of random plans to run.")
@click.option("--seed", default=1, help="Seed of the first plan; each further plan has the next number.")
@click.option("--out", type=FOLDER_PATH, required=True, help="Folder for failing plans and their drills.")
@click.option("--jobs", default=1, help="Drills that run at the same time; each needs two cores or more.")
@click.option(
    "--shrink/--no-shrink",
    default=True,
    help="Minimize a failing plan to the fewest faults that still break the rule.",
)
def explore_command(file: Path, rounds: int, seed: int, out: Path, jobs: int, shrink: bool) -> None:
    """Run random plans on the fleet that FILE describes. Exit code 1 if one broke a rule."""
    base = plan.load(file)
    out.mkdir(parents=True, exist_ok=True)
    verdicts = asyncio.run(_explore(base, range(seed, seed + rounds), out, jobs, shrink))
    outcomes: dict[str, int] = {}
    for verdict in verdicts:
        outcomes[verdict.outcome] = outcomes.get(verdict.outcome, 0) + 1
    click.echo(json.dumps({"rounds": rounds, "outcomes": outcomes}))
    sys.exit(1 if outcomes.get("failed") else 0)


async def _explore(base: plan.Plan, seeds: range, out: Path, jobs: int, shrink: bool) -> list[Verdict]:
    console = Console(stderr=True)
    remaining_seeds = list(seeds)
    verdicts: list[Verdict] = []

    async def rules(random_plan: plan.Plan) -> list[str]:
        verdict = await scenario_runner.run(random_plan, new_folder(out, random_plan.name))
        scenario_runner.remove_folder(Path(verdict.folder))
        return verdict.rules() if verdict.outcome == "failed" else [verdict.outcome]

    with Progress(console=console) as progress:
        task = progress.add_task("plans", total=len(seeds))

        async def run_plans() -> None:
            while remaining_seeds:
                random_plan = explore.draw_plan(base, remaining_seeds.pop(0))
                verdict = await scenario_runner.run(random_plan, new_folder(out, random_plan.name))
                verdicts.append(verdict)
                with (out / "found.jsonl").open("a") as file:
                    file.write(json.dumps(verdict.as_dict()) + "\n")
                if verdict.outcome == "passed":
                    scenario_runner.remove_folder(Path(verdict.folder))
                else:
                    progress.console.print(f"{random_plan.name}: {verdict.outcome}: {verdict.why}")
                if verdict.outcome == "failed" and shrink:
                    minimized = await explore.minimize(random_plan, verdict.rules()[0], rules)
                    text = plan.format_plan(minimized.plan)
                    (out / f"{random_plan.name}-{minimized.rule}.toml").write_text(text)
                progress.advance(task)

        await asyncio.gather(*(run_plans() for _ in range(jobs)))
    return verdicts


main.add_command(soak)
