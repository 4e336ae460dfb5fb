"""`client-proxy drill soak`: restarts of real proxies by seeds, one after the other or side by side."""

from __future__ import annotations

import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

import click

from client_proxy.fault_injection.soak.runner import Verdict, play


@click.command("soak")
@click.option("--seeds", default=50, show_default=True, help="How many runs, each with a seed of its own.")
@click.option(
    "--first", default=1, show_default=True, help="Seed of the first; the next have the next numbers."
)
@click.option("--jobs", default=1, show_default=True, help="Runs at a time; each takes a core and a half.")
def soak(seeds: int, first: int, jobs: int) -> None:
    """Restart proxies under signals, stops and faults, by seeds. Exit code 1 if a rule was broken."""
    verdicts = asyncio.run(play_all(range(first, first + seeds), jobs))
    counts = {name: sum(v.outcome == name for v in verdicts) for name in ("passed", "failed", "refused")}
    click.echo(", ".join(f"{count} {name}" for name, count in counts.items()))
    sys.exit(1 if counts["failed"] else 0)


async def play_all(seeds: range, jobs: int) -> list[Verdict]:
    """Play the runs of these seeds, `jobs` at a time, and print each verdict."""
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    left = list(seeds)
    verdicts: list[Verdict] = []

    async def work() -> None:
        while left:
            seed = left.pop(0)
            verdict = await play(seed, folder / str(seed))
            verdicts.append(verdict)
            show(verdict)

    try:
        await asyncio.gather(*(work() for _ in range(jobs)))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return verdicts


def show(verdict: Verdict) -> None:
    """Print a verdict, and each breach."""
    click.echo(
        f"seed {verdict.seed}: {verdict.outcome}: {verdict.served} of {verdict.requests} requests served, "
        f"harness late by {1000.0 * verdict.lateness_s:.0f} ms at the most"
    )
    for breach in verdict.breaches:
        click.echo(f"  {breach.rule}: {breach.what}")
