"""`client-proxy scale`: play a scale plan. Needs the extra `rig`."""

from __future__ import annotations

import json
import sys
import tempfile
import time
from pathlib import Path

from client_proxy.optional_dependencies import missing_packages_message, require

require("client-proxy scale", "rig", "rich", "pydantic", "httptools", "msgspec", "cryptography")

import click  # noqa: E402
from rich.console import Console  # noqa: E402

from client_proxy.scale import plan  # noqa: E402
from client_proxy.scale.run import run  # noqa: E402
from client_proxy.scale.tables import show  # noqa: E402

FILE = click.Path(dir_okay=False, path_type=Path)
DIR = click.Path(file_okay=False, path_type=Path)
CODES = {"passed": 0, "failed": 1, "error": 3, "refused": 4}


@click.group("scale")
def main() -> None:
    """Many hollow instances beside a few real ones, and what control costs each of them."""


@main.command("run")
@click.argument("file", type=FILE)
@click.option("--out", type=DIR, help="Folder for the run's own; else a new one under the system's.")
@click.option("--json", "json_file", type=FILE, help="Write the report there, as JSON.")
@click.option("--page", type=FILE, help="Draw it there, as an HTML page.")
def run_command(file: Path, out: Path | None, json_file: Path | None, page: Path | None) -> None:
    """Play the plan in FILE. Exit code 0: passed; 1: a hollow instance died, lags or does not report; 2: the
    file can't be used, or asks for too much; 3: the run itself failed; 4: the machine was too busy."""
    if page is not None:
        told = missing_packages_message("--page", "plots", "matplotlib")
        if told:
            raise click.UsageError(told)
    stated = plan.load(file)
    progress = Console(stderr=True)
    report = run(stated, _new_folder(out, stated.name), progress.print)
    if json_file is not None:
        json_file.write_text(json.dumps(report.told(), indent=1))
    if page is not None:
        from client_proxy.scale.page import draw

        draw(report, page)
    show(report, Console())
    sys.exit(CODES[report.outcome])


def _new_folder(out: Path | None, name: str) -> Path:
    parent = out if out is not None else Path(tempfile.mkdtemp(prefix="scale-"))
    return parent / f"{name}-{time.strftime('%H%M%S')}"
