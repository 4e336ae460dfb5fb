"""`client-proxy drill soak`: random restarts of real proxies, one or several at a time."""

from __future__ import annotations

import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

import click

from client_proxy.fault_injection.soak.runner import Verdict, play


@click.command("soak")
@click.option("--seeds", default=50, show_default=True, help="Number of runs, each with its own seed.")
@click.option(
    "--first",
    default=1,
    show_default=True,
    help="Seed of the first run; each further run has the next number.",
)
@click.option(
    "--jobs", default=1, show_default=True, help="Runs at the same time; each needs one and a half cores."
)
def soak(seeds: int, first: int, jobs: int) -> None:
    """Restart proxies under random signals, stops and faults. Exit code 1 if a rule was broken."""
    verdicts = asyncio.run(play_all(range(first, first + seeds), jobs))
    counts = {name: sum(v.outcome == name for v in verdicts) for name in ("passed", "failed", "refused")}
    click.echo(", ".join(f"{count} {name}" for name, count in counts.items()))
    sys.exit(1 if counts["failed"] else 0)


async def play_all(seeds: range, jobs: int) -> list[Verdict]:
    """Run these seeds, `jobs` at a time, and print each verdict."""
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    remaining_seeds = list(seeds)
    verdicts: list[Verdict] = []

    async def play_remaining() -> None:
        while remaining_seeds:
            seed = remaining_seeds.pop(0)
            verdict = await play(seed, folder / str(seed))
            verdicts.append(verdict)
            show(verdict)

    try:
        await asyncio.gather(*(play_remaining() for _ in range(jobs)))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return verdicts


def show(verdict: Verdict) -> None:
    """Print a verdict and its breaches."""
    click.echo(
        f"seed {verdict.seed}: {verdict.outcome}: {verdict.served} of {verdict.requests} requests served, "
        f"harness timers late by at most {1000.0 * verdict.lateness_s:.0f} ms"
    )
    for breach in verdict.breaches:
        click.echo(f"  {breach.rule}: {breach.what}")
