"""The command `client-proxy` with its subcommands.

It needs the extra `cli`; `python -m client_proxy.proxy` and `python -m client_proxy.adapter` do not.
"""

from __future__ import annotations

import asyncio
import json
import sys
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any

from client_proxy.optional_dependencies import require

require("client-proxy", "cli", "click", "pydantic", "structlog")

import click  # noqa: E402

from client_proxy.cli.asking import ask_instance  # noqa: E402
from client_proxy.cli.policy import policy  # noqa: E402
from client_proxy.cli.rollout import rollout  # noqa: E402
from client_proxy.process_signals import PROCESS_SIGNALS  # noqa: E402
from client_proxy.toml_table import TomlError  # noqa: E402

FILE = click.Path(dir_okay=False, path_type=Path)
DIR = click.Path(file_okay=False, path_type=Path)
EXIT_UNUSABLE_FILE, EXIT_SYSTEM_ERROR = 2, 1


class ErrorReportingGroup(click.Group):
    """Reports errors without a traceback: invalid files with exit code 2, system errors with exit code 1."""

    def invoke(self, ctx: click.Context) -> Any:
        """Runs a subcommand."""
        try:
            return super().invoke(ctx)
        except TomlError as error:
            click.echo(error, err=True)
            ctx.exit(EXIT_UNUSABLE_FILE)
        except OSError as error:
            click.echo(f"client-proxy: {error}", err=True)
            ctx.exit(EXIT_SYSTEM_ERROR)


@click.group(cls=ErrorReportingGroup)
def main() -> None:
    """A client-side load balancer: run it, manage its files, simulate and test it."""


@main.command("version")
def version_command() -> None:
    """Print the version."""
    try:
        click.echo(version("client-proxy"))
    except PackageNotFoundError:
        click.echo("not installed")


@main.command()
@click.option("--config", "path", type=FILE, required=True, help="File of the instance.")
def serve(path: Path) -> None:
    """Run one client proxy until SIGTERM or SIGINT."""
    import uvloop

    from client_proxy.cli.instance_file import load_instance_file
    from client_proxy.cli.logs import configure_logging
    from client_proxy.cli.serve import run

    instance_file = load_instance_file(path)
    configure_logging(instance_file.file.log)
    uvloop.run(run(instance_file, PROCESS_SIGNALS))


# Files


@main.group()
def config() -> None:
    """Check, seal and compare files; list and restore stored versions."""


@config.command("check")
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check(files: tuple[Path, ...], as_json: bool) -> None:
    """Check FILES, each an instance's file or a file of servers, and print all their faults."""
    exit_code = 0
    results: list[dict[str, Any]] = []
    for path in files:
        try:
            results.append({"file": str(path), "ok": True, "is": _describe_file(path)})
        except (TomlError, OSError) as error:
            exit_code = EXIT_UNUSABLE_FILE
            results.append({"file": str(path), "ok": False, "faults": str(error).splitlines()})
    if as_json:
        click.echo(json.dumps(results, indent=1))
    else:
        for result in results:
            lines = [f"{result['file']}: {result['is']}"] if result["ok"] else result["faults"]
            for line in lines:
                click.echo(line, err=not result["ok"])
    sys.exit(exit_code)


def _describe_file(path: Path) -> str:
    from client_proxy.cli.instance_file import load_instance_file
    from client_proxy.config.fleet import read_server_list

    content = path.read_bytes()
    if b"[[class]]" in content:
        instance_file = load_instance_file(path)
        table = instance_file.file.servers
        servers_text = f", and {_describe_file(instance_file.resolve_path(table.file))}" if table else ""
        return f"an instance with {len(instance_file.file.class_)} classes{servers_text}"
    fleet = read_server_list(content, str(path))
    sealed = "sealed" if fleet.sealed else "not sealed"
    return f"{len(fleet.servers)} servers, {len(fleet.usable)} of them usable, {sealed}"


@config.command("seal")
@click.argument("file", type=FILE)
@click.option("--version", "number", type=int, help="Version to set; default: the file's version plus 1.")
def seal_command(file: Path, number: int | None) -> None:
    """Give FILE the next version and an end marker with a digest of its content; replaced atomically."""
    from client_proxy.config.fleet import read_server_list, seal
    from client_proxy.config.models import FleetFile, parse

    content = file.read_bytes()
    if number is None:
        # Parsed without the digest check: an edited file still has the digest of its former content.
        before = parse(FleetFile, content.decode(), str(file)).version
        number = 1 if before is None else before + 1
    sealed = seal(content, number)
    read_server_list(sealed, str(file))
    _replace_file(file, sealed)
    click.echo(f"{file}: version {number}")


def _replace_file(file: Path, content: bytes) -> None:
    from client_proxy.config.version_store import Folder

    folder, temporary_name = Folder(file.parent), f".{file.name}.new"
    folder.write(temporary_name, content)
    folder.rename(temporary_name, file.name)
    folder.sync()


@config.command("diff")
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
def diff(old: Path, new: Path) -> None:
    """Print the differences between OLD and NEW, server by server. Exit code 1 if there are any."""
    from client_proxy.config.fleet import describe_server_changes, read_server_list

    old_fleet, new_fleet = (read_server_list(path.read_bytes(), str(path)) for path in (old, new))
    lines = describe_server_changes(old_fleet, new_fleet)
    for line in lines:
        click.echo(line)
    sys.exit(1 if lines else 0)


@config.command("history")
@click.argument("folder", type=DIR)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def history(folder: Path, as_json: bool) -> None:
    """List the versions stored in FOLDER, the newest last, with the damaged ones."""
    from client_proxy.config.version_store import Folder, VersionStore

    store = VersionStore(Folder(folder))
    rows: list[dict[str, Any]] = []
    for stored in store.versions():
        try:
            fleet = store.read(stored)
            rows.append({"number": stored.number, "version": fleet.version, "servers": len(fleet.servers)})
        except (TomlError, OSError) as error:
            rows.append({"number": stored.number, "torn": str(error).splitlines()[0]})
    if as_json:
        click.echo(json.dumps(rows, indent=1))
        return
    for row in rows:
        click.echo("  ".join(f"{key} {value}" for key, value in row.items() if value is not None))


@config.command("rollback")
@click.argument("file", type=FILE)
@click.argument("folder", type=DIR)
@click.option("--to", "number", type=int, help="Number of the stored version; default: the last but one.")
def rollback(file: Path, folder: Path, number: int | None) -> None:
    """Write a stored version to FILE again, sealed under a version above all stored ones."""
    from client_proxy.config.fleet import seal
    from client_proxy.config.version_store import Folder, VersionStore

    store = VersionStore(Folder(folder))
    versions = store.versions()
    chosen = [v for v in versions if v.number == number] if number is not None else versions[-2:-1]
    if not chosen:
        raise TomlError(f"{folder}: there is no such stored version")
    fleet = store.read(chosen[0])
    highest = max([0] + [v for v in (_read_version(store, stored) for stored in versions) if v is not None])
    _replace_file(file, seal(fleet.content, highest + 1))
    click.echo(f"{file}: stored version {chosen[0].number}, now sealed as version {highest + 1}")


def _read_version(store: Any, stored: Any) -> int | None:
    try:
        number: int | None = store.read(stored).version
    except (TomlError, OSError):
        return None
    return number


@config.command("schema")
@click.argument("of", type=click.Choice(["serve", "servers"]))
def schema(of: str) -> None:
    """Print the JSON schema of an instance's file or of a file of servers, for use in editors."""
    from client_proxy.config.models import FleetFile, ServeFile

    model = ServeFile if of == "serve" else FleetFile
    click.echo(json.dumps(model.model_json_schema(by_alias=True), indent=1))


@config.command("reference")
def reference() -> None:
    """Print the reference page of all keys, generated from the models."""
    from client_proxy.config.reference import reference_page

    click.echo(reference_page(), nl=False)


# Commands to a running instance


@main.command()
@click.argument("socket", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def status(socket: Path, as_json: bool) -> None:
    """Print the state of the instance at the control SOCKET."""
    answer = ask_instance(socket, {"do": "status"})
    if as_json:
        click.echo(json.dumps(answer, indent=1))
        return
    click.echo(f"{answer['name']}: up {answer['up_s']} s, {'ready' if answer['ready'] else 'not ready'}")
    for server in answer["servers"]:
        state = "paused" if server["paused"] else server["state"]
        click.echo(
            f"  {server['name']:24} {server['hall']:16} {state:9} {server['in_flight']:4} in flight"
            f"  {server['latency_ms']:8.1f} ms  errors {server['errors']:.3f}"
        )
    for line in (answer.get("fleet") or {}).get("changes", []):
        click.echo(f"  {line}")


@main.command()
@click.argument("socket", type=click.Path(path_type=Path))
@click.option("--digest", help="Digest of the list to accept; default: whichever is held back.")
def force(socket: Path, digest: str | None) -> None:
    """Make the instance accept the list that it holds back as suspicious."""
    question = {"do": "force"} | ({"digest": digest} if digest else {})
    click.echo(f"taken: {ask_instance(socket, question)['taken']}")


# Simulations and tests


@main.command(
    context_settings={"ignore_unknown_options": True, "help_option_names": []},
)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def rehearse(words: tuple[str, ...]) -> None:
    """Simulate scenarios: replay, compare, explore, check (same as `python -m client_proxy.emulator`)."""
    from client_proxy.emulator.__main__ import main as run_emulator

    sys.argv = ["client-proxy rehearse", *words]
    sys.exit(run_emulator())


@main.command(
    "drill",
    context_settings={"ignore_unknown_options": True, "allow_interspersed_args": False},
    add_help_option=False,
)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def drill(words: tuple[str, ...]) -> None:
    """Test real processes under injected faults: run, replay, explore."""
    from client_proxy.fault_injection.command import main as run_drills

    run_drills(list(words), prog_name="client-proxy drill")


@main.command(
    "scale",
    context_settings={"ignore_unknown_options": True, "allow_interspersed_args": False},
    add_help_option=False,
)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def scale(words: tuple[str, ...]) -> None:
    """Measure control cost and the speed of changes with hundreds of hollow instances and some real ones."""
    from client_proxy.scale.command import main as run_scale

    run_scale(list(words), prog_name="client-proxy scale")


@main.group()
def world() -> None:
    """Run emulated servers to test against."""


@world.command("up")
@click.argument("day", type=FILE)
@click.option("--servers", "out", type=FILE, required=True, help="Path of the file of servers to write.")
@click.option("--for", "for_s", type=float, default=600.0, show_default=True, help="Seconds to run.")
def world_up(day: Path, out: Path, for_s: float) -> None:
    """Run the servers of the scenario file DAY on loopback, and write a file of servers that lists them."""
    from client_proxy.emulator.standalone import run_standalone

    asyncio.run(run_standalone(day, out, for_s, click.echo))


main.add_command(policy)
main.add_command(rollout)
