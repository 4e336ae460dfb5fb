"""The command `client-proxy scale`, which runs a scale plan. Needs the extra `rig`."""

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
FOLDER = click.Path(file_okay=False, path_type=Path)
EXIT_CODES = {"passed": 0, "failed": 1, "error": 3, "refused": 4}


@click.group("scale")
def main() -> None:
    """Run many hollow instances with a few real ones, and measure what control costs each of them."""


@main.command("run")
@click.argument("file", type=FILE)
@click.option("--out", type=FOLDER, help="Folder for the run's files; default: a new temporary folder.")
@click.option("--json", "json_file", type=FILE, help="Write the report to this file, as JSON.")
@click.option("--page", type=FILE, help="Draw the report to this file, as an HTML page.")
def run_command(file: Path, out: Path | None, json_file: Path | None, page: Path | None) -> None:
    """Run the plan in FILE. Exit code 0: passed; 1: a hollow instance died, is overloaded or does not report;
    2: the file is invalid or asks for too much; 3: the run itself failed; 4: the machine was too busy."""
    if page is not None:
        missing = missing_packages_message("--page", "plots", "matplotlib")
        if missing:
            raise click.UsageError(missing)
    scale_plan = plan.load(file)
    progress = Console(stderr=True)
    report = run(scale_plan, _run_folder(out, scale_plan.name), progress.print)
    if json_file is not None:
        json_file.write_text(json.dumps(report.to_json(), indent=1))
    if page is not None:
        from client_proxy.scale.page import write_page

        write_page(report, page)
    show(report, Console())
    sys.exit(EXIT_CODES[report.outcome])


def _run_folder(out: Path | None, name: str) -> Path:
    parent = out if out is not None else Path(tempfile.mkdtemp(prefix="scale-"))
    return parent / f"{name}-{time.strftime('%H%M%S')}"
